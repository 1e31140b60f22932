/** Prompts with a part that crashes every engine that answers them. */
import test from "ava";
import * as core from "../../../core/mod.ts";
import { CrashingFleet } from "../crashing_fleet.ts";

/** Time after the fifth crash in which nodes may still learn of the part. */
const LEARNING_MS = 3_000;
const OBSERVED_MS = 2_000;
const TRAFFIC_MAX_MS = 10_000;
/** Requests that may still reach engines after that time, over all nodes. */
const LATE_ARRIVALS_MAX = 3;

interface Outcome {
  readonly arrivals: number;
  readonly lateArrivals: number;
  readonly crashes: number;
  /** Requests sent with each of the crashing parts. */
  readonly sentByPart: readonly number[];
  readonly soundLate: { readonly sent: number; readonly served: number };
}

/**
 * Sends requests with the part and sound ones, which share its other parts, in
 * turn to all nodes, until some time after the fifth crash.
 */
async function runTraffic(
  fleet: CrashingFleet,
  crashingGapMs: number,
  crashingParts: readonly string[],
): Promise<Outcome> {
  let arrivals = 0;
  let lateArrivals = 0;
  let fifthCrashAtMs = Infinity;
  const soundLate = { sent: 0, served: 0 };
  for (const part of crashingParts) fleet.crashingParts.add(part);
  fleet.onCrashingArrival = () => {
    arrivals++;
    if (core.monotonicMs() > fifthCrashAtMs + LEARNING_MS) lateArrivals++;
  };
  const startedAtMs = core.monotonicMs();
  const pending: Promise<unknown>[] = [];
  let sent = 0;
  let crashingSent = 0;
  const sentByPart = crashingParts.map(() => 0);
  let nextCrashingAtMs = startedAtMs + 300;
  for (;;) {
    const nowMs = core.monotonicMs();
    if (fleet.crashes >= 5) fifthCrashAtMs = Math.min(fifthCrashAtMs, nowMs);
    const isHeld = fleet.nodes.every(({ state }) =>
      state.quarantine.size === crashingParts.length
    );
    const isLate = isHeld || nowMs > fifthCrashAtMs + LEARNING_MS;
    if (nowMs > fifthCrashAtMs + LEARNING_MS + OBSERVED_MS) break;
    if (nowMs > startedAtMs + TRAFFIC_MAX_MS) break;
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
      const index = crashingSent++ % crashingParts.length;
      sentByPart[index]!++;
      const part = crashingParts[index]!;
      pending.push(other.request(["a0", part, `x${sent}`]));
    }
    await core.sleep(20);
  }
  await Promise.all(pending);
  return {
    arrivals,
    lateArrivals,
    crashes: fleet.crashes,
    sentByPart,
    soundLate,
  };
}

interface Case {
  readonly name: string;
  readonly engines: number;
  readonly nodes: number;
  readonly crashingGapMs: number;
  readonly crashingParts: readonly string[];
  readonly isResumable?: boolean;
}

const cases: Case[] = [
  {
    name: "",
    engines: 6,
    nodes: 3,
    crashingGapMs: 150,
    crashingParts: ["ec"],
  },
  {
    name: ": many requests with the part at once",
    engines: 8,
    nodes: 4,
    crashingGapMs: 30,
    crashingParts: ["ec"],
  },
  {
    name: ": few requests with the part",
    engines: 6,
    nodes: 3,
    crashingGapMs: 900,
    crashingParts: ["ec"],
  },
  {
    name: ": nodes resend streams that broke off",
    engines: 6,
    nodes: 3,
    crashingGapMs: 200,
    crashingParts: ["ec"],
    isResumable: true,
  },
  {
    name: ": two such parts at the same time",
    engines: 8,
    nodes: 3,
    crashingGapMs: 150,
    crashingParts: ["ec", "ed"],
  },
];

// Guards against requests with one prompt part crashing engine after engine:
// nothing related the crashes to what the crashed engines had been running.
for (const each of cases) {
  test.serial(`a prompt part that crashes engines is held back, and sound requests beside it are served${each.name}`, async (t) => {
    const fleet = new CrashingFleet(each.engines, each.isResumable);
    await fleet.start(each.nodes);
    try {
      const outcome = await runTraffic(
        fleet,
        each.crashingGapMs,
        each.crashingParts,
      );
      t.log(JSON.stringify(outcome));
      t.true(
        outcome.lateArrivals <= LATE_ARRIVALS_MAX * each.crashingParts.length,
      );
      t.true(outcome.soundLate.served >= 0.9 * outcome.soundLate.sent);
      const held = fleet.nodes.map(({ state }) => state.quarantine.size);
      t.deepEqual(held, held.map(() => each.crashingParts.length));
    } finally {
      await fleet.close();
    }
  });
}
