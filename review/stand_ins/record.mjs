/** The record of a case: what was sent, answered and run. */
import { writeFileSync } from "node:fs";

const startedAtMs = Date.now();
const lines = [];

/** Adds a line with the time since the start in s. */
export function note(...words) {
  const atS = ((Date.now() - startedAtMs) / 1_000).toFixed(3);
  lines.push([atS.padStart(8), ...words].join(" "));
}

export function writeRecord(path) {
  writeFileSync(path, lines.join("\n") + "\n");
}

/** A generator of numbers in [0, 1) that repeats with its seed. */
export function randomFrom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
