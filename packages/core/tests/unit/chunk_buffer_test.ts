import test from "ava";
import { Buffer } from "node:buffer";
import * as core from "../../mod.ts";

test("pieces of all sizes are collected in order", (t) => {
  const collector = new core.ChunkBuffer();
  t.is(collector.take().length, 0);
  const pieces: Buffer[] = [];
  for (let n = 0; n < 3_000; n++) {
    const piece = Buffer.alloc((n * 7_919) % 1_500, n % 256);
    pieces.push(piece);
    collector.append(piece);
  }
  const whole = Buffer.concat(pieces);
  t.is(collector.length, whole.length);
  t.true(collector.take().equals(whole));
  t.is(collector.length, 0);
});

test("bytes that were taken stay as they are", (t) => {
  const collector = new core.ChunkBuffer();
  for (const text of ["a", "b", "c"]) collector.append(Buffer.from(text));
  const first = collector.take();
  for (const text of ["d", "e", "f"]) collector.append(Buffer.from(text));
  t.is(collector.take().toString(), "def");
  t.is(first.toString(), "abc");
});
