import test from "ava";
import {
  AdmissionLimit,
  AdvertisedWeight,
  findPeak,
  LatenessSource,
  LimitSource,
  LinkSource,
} from "../../mod.ts";

const TICK_MS = 100;

// A node that turns five times slower runs its timers late in each turn.
test("a timer that is 400 ms late in each turn is overload after a second", (t) => {
  const source = new LatenessSource(TICK_MS);
  source.pressure(0);
  t.true(source.pressure(500) < 1);
  t.true(source.pressure(1_000) < 1);
  t.true(source.pressure(1_500) >= 1);
  t.true(source.pressure(1_600) < 1, "at once over when in time again");
});

// Guards against a node that sheds requests since it was frozen or moved.
test("a process that stood still once, for 5 s, is not overloaded", (t) => {
  const source = new LatenessSource(TICK_MS);
  source.pressure(0);
  t.true(source.pressure(5_100) < 1);
  t.true(source.pressure(5_200) < 1);
});

test("a quota that holds the process up for 76 ms of 100 is not overload", (t) => {
  const source = new LatenessSource(TICK_MS);
  for (let nowMs = 0; nowMs < 10_000; nowMs += TICK_MS + 76) {
    t.true(source.pressure(nowMs) < 1);
  }
});

test("memory at 95 % of its limit is overload, at 80 % it is not", (t) => {
  let usedMb = 168;
  const memory = new LimitSource("memory", 210, () => usedMb);
  t.true(memory.pressure() < 1);
  usedMb = 200;
  t.true(memory.pressure() >= 1);
  const idle = new LimitSource("descriptors", 1_000, () => 10);
  t.is(findPeak([idle, memory], 0).kind, "memory");
  t.is(findPeak([], 0).kind, undefined);
});

test("a link of 7 Mbit/s is behind if it is full and bytes wait", (t) => {
  const bytesPerS = 7_000_000 / 8;
  let written = 0;
  let waiting = 500_000;
  const link = new LinkSource(7, () => ({ written, waiting }));
  link.pressure(0);
  // Callers that read slowly: many bytes wait, few are sent.
  written += bytesPerS * 0.1;
  t.true(link.pressure(1_000) < 1);
  written += bytesPerS * 0.95;
  t.true(link.pressure(2_000) >= 1);
  written += bytesPerS * 0.95;
  waiting = 1_000;
  t.true(link.pressure(3_000) < 1);
});

/**
 * Runs a node that can have `capacity` requests in progress without being
 * overloaded, and gets more. Each takes a second.
 */
function runOverload(
  arrivalsPerS: number,
  capacityAt: (nowMs: number) => number,
  durationMs: number,
) {
  const limit = new AdmissionLimit();
  const weight = new AdvertisedWeight();
  const endsAtMs: number[] = [];
  const percents = [weight.percent];
  let shed = 0;
  let most = 0;
  let arrivals = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
    while (endsAtMs[0] !== undefined && endsAtMs[0] <= nowMs) endsAtMs.shift();
    const pressure = endsAtMs.length / capacityAt(nowMs);
    limit.update(pressure, endsAtMs.length, nowMs);
    if (weight.update(limit.isOverloaded(nowMs), nowMs)) {
      percents.push(weight.percent);
    }
    for (; arrivals < arrivalsPerS * nowMs / 1_000; arrivals++) {
      if (limit.tryAdmit(endsAtMs.length, nowMs)) endsAtMs.push(nowMs + 1_000);
      else shed++;
    }
    if (nowMs > 5_000) most = Math.max(most, endsAtMs.length);
  }
  return { limit, shed, most, arrivals, percents };
}

test("at twice its capacity a node sheds half, and keeps to its capacity", (t) => {
  const { shed, most, arrivals, percents } = runOverload(100, () => 50, 60_000);
  t.true(shed / arrivals > 0.4 && shed / arrivals < 0.65, `${shed}`);
  t.true(most <= 75, `${most} in progress`);
  t.deepEqual(percents, [100, 50, 25]);
});

test("below its capacity a node sheds nothing", (t) => {
  const { shed, percents } = runOverload(100, () => 150, 60_000);
  t.is(shed, 0);
  t.deepEqual(percents, [100]);
});

test("a node five times slower for 8 s sheds, and takes all again within 15 s", (t) => {
  const capacityAt = (nowMs: number) =>
    nowMs > 10_000 && nowMs < 18_000 ? 30 : 150;
  const { limit, shed, arrivals, percents } = runOverload(
    100,
    capacityAt,
    33_000,
  );
  t.true(shed > 100 && shed < 1_000, `${shed} of ${arrivals}`);
  t.is(limit.limit, Infinity);
  t.true(limit.tryAdmit(1_000, 33_000));
  t.is(percents[1], 50);
});

// Guards against callers that close their connections every few seconds.
test("a node that is overloaded for 3 s of every 15 s changes its weight seldom", (t) => {
  const weight = new AdvertisedWeight();
  let changes = 0;
  for (let nowMs = 0; nowMs < 300_000; nowMs += TICK_MS) {
    if (weight.update(nowMs % 15_000 < 3_000, nowMs)) changes++;
  }
  t.true(changes <= 8, `${changes} changes in 20 overloads`);
});

test("an overload of less than 2 s leaves the weight as it is", (t) => {
  const weight = new AdvertisedWeight();
  for (let nowMs = 0; nowMs < 60_000; nowMs += TICK_MS) {
    t.false(weight.update(nowMs % 10_000 < 1_900, nowMs));
  }
});

test("callers are asked to wait as long as the overload has lasted", (t) => {
  const limit = new AdmissionLimit();
  limit.update(2, 100, 1_000);
  t.is(limit.limit, 80);
  t.is(limit.excess(90), 10);
  t.is(limit.retryAfterMs(1_100), 1_000);
  t.is(limit.retryAfterMs(4_000), 3_000);
  t.is(limit.retryAfterMs(60_000), 5_000);
});
