/** Prompts with a part that crashes every engine that answers them. */
import test from "ava";
import * as core from "../../../core/mod.ts";
import { CrashingFleet } from "../crashing_fleet.ts";

const CRASHING_PART = "ec";
/** Time after the fifth crash in which nodes may still learn of the part. */
const LEARNING_MS = 3_000;
const OBSERVED_MS = 2_000;
/** Requests that may still reach engines after that time, over all nodes. */
const LATE_ARRIVALS_MAX = 3;

interface Outcome {
  readonly arrivals: number;
  readonly lateArrivals: number;
  readonly crashes: number;
  readonly soundLate: { readonly sent: number; readonly served: number };
}

/**
 * Sends requests with the part and sound ones, which share its other parts, in
 * turn to all nodes, until some time after the fifth crash.
 */
async function runTraffic(
  fleet: CrashingFleet,
  crashingGapMs: number,
): Promise<Outcome> {
  let arrivals = 0;
  let lateArrivals = 0;
  let fifthCrashAtMs = Infinity;
  const soundLate = { sent: 0, served: 0 };
  fleet.crashingParts.add(CRASHING_PART);
  fleet.onCrashingArrival = () => {
    arrivals++;
    if (core.monotonicMs() > fifthCrashAtMs + LEARNING_MS) lateArrivals++;
  };
  const startedAtMs = core.monotonicMs();
  const pending: Promise<unknown>[] = [];
  let sent = 0;
  let nextCrashingAtMs = startedAtMs + 300;
  for (;;) {
    const nowMs = core.monotonicMs();
    if (fleet.crashes >= 5) fifthCrashAtMs = Math.min(fifthCrashAtMs, nowMs);
    const isLate = nowMs > fifthCrashAtMs + LEARNING_MS;
    if (nowMs > fifthCrashAtMs + LEARNING_MS + OBSERVED_MS) break;
    if (nowMs > startedAtMs + 14_000) break;
    const node = fleet.nodes[sent++ % fleet.nodes.length]!;
    const sound = ["a0", `b${sent % 5}`, `s${sent}`];
    pending.push(
      node.request(sound).then((status) => {
        if (!isLate) return;
        soundLate.sent++;
        if (status === 200) soundLate.served++;
      }),
    );
    if (nowMs >= nextCrashingAtMs) {
      nextCrashingAtMs = nowMs + crashingGapMs;
      const other = fleet.nodes[(sent + 1) % fleet.nodes.length]!;
      pending.push(other.request(["a0", CRASHING_PART, `x${sent}`]));
    }
    await core.sleep(20);
  }
  await Promise.all(pending);
  return { arrivals, lateArrivals, crashes: fleet.crashes, soundLate };
}

// Guards against requests with one prompt part crashing engine after engine:
// nothing related the crashes to what the crashed engines had been running.
test.serial("a prompt part that crashes engines is held back, and sound requests beside it are served", async (t) => {
  const fleet = new CrashingFleet(6);
  await fleet.start(3);
  try {
    const outcome = await runTraffic(fleet, 150);
    t.log(JSON.stringify(outcome));
    t.true(outcome.lateArrivals <= LATE_ARRIVALS_MAX);
    t.true(outcome.soundLate.served >= 0.9 * outcome.soundLate.sent);
  } finally {
    await fleet.close();
  }
});
