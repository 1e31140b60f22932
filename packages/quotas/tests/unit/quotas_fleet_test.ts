/** A team's quota over many nodes under load and with failures. */
import test from "ava";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { ExecutionContext } from "ava";
import {
  boundOf,
  BOUNDS,
  makeTeam,
  MovingTokens,
} from "../quotas_sim_design.ts";
import { type SimEvent, type SimOptions, Simulation } from "../quotas_sim.ts";

const SMALL_PER_S = 11_000;
const LARGE_PER_S = 300_000;
/** When a fleet that starts at 0 has settled. */
const SETTLED_MS = 4_000;
const END_MS = 24_000;

interface Load extends Partial<SimOptions> {
  readonly ratePerS: number;
  /** Demand, relative to the rate. */
  readonly demand: number;
  readonly nodes: number;
}

function run({ ratePerS, demand, ...options }: Load) {
  return new Simulation({
    seed: 1,
    durationMs: END_MS,
    demandPerS: () => ratePerS * demand,
    ...options,
  }, () => new MovingTokens([makeTeam(ratePerS)])).run();
}

/** Checks the bound in any window, and the least part of the rate in use. */
function check(
  t: ExecutionContext,
  load: Load,
  usedMin: number,
  [fromMs, untilMs] = [SETTLED_MS, END_MS],
): void {
  const sim = run(load);
  const { ratePerS } = load;
  const most = sim.most(BOUNDS.windowMs);
  const bound = boundOf(ratePerS);
  t.true(most <= bound, `${most} in a window, allowed ${bound}`);
  const allowed = ratePerS * (untilMs - fromMs) / 1_000;
  const used = sim.sum(fromMs, untilMs) / allowed;
  t.true(used >= usedMin, `${used} of the rate in use`);
}

// Guards against shares of a small team that no request can be paid from, which
// 32 fixed shares are.
test("32 nodes, 11,000 tokens/s, twice the demand at all of them", (t) => {
  check(t, { nodes: 32, ratePerS: SMALL_PER_S, demand: 2 }, 0.9);
});

// Guards against tokens that stay where they are not needed.
test("32 nodes, 11,000 tokens/s, twice the demand at one of them", (t) => {
  const asked = (index: number) => index === 17;
  check(t, { nodes: 32, ratePerS: SMALL_PER_S, demand: 2, asked }, 0.9);
});

test("32 nodes, 300,000 tokens/s, twice the demand, skewed 1:100", (t) => {
  const load = { nodes: 32, ratePerS: LARGE_PER_S, demand: 2, skew: 100 };
  check(t, load, 0.95);
});

test("4 nodes, 2,700 tokens/s, twice the demand at one of them", (t) => {
  const asked = (index: number) => index === 3;
  check(t, { nodes: 4, ratePerS: 2_700, demand: 2, asked }, 0.8);
});

// Guards against rejections below the limit.
test("32 nodes, 300,000 tokens/s, 0.9 of the rate asked for", (t) => {
  const sim = run({ nodes: 32, ratePerS: LARGE_PER_S, demand: 0.9 });
  const asked = sim.sum(SETTLED_MS, END_MS, sim.arrivals);
  const rejected = sim.sum(SETTLED_MS, END_MS, sim.rejections);
  t.true(rejected < 0.01 * asked, `${rejected} of ${asked} rejected`);
});

// Guards against a burst that is only there in shares, at nodes not asked.
test("32 nodes, 11,000 tokens/s, a burst at one node after 10 s without", (t) => {
  const sim = run({
    nodes: 32,
    ratePerS: SMALL_PER_S,
    demand: 1,
    durationMs: 12_000,
    demandPerS: (nowMs) => nowMs < 10_000 ? 0 : 4 * SMALL_PER_S,
    asked: (index) => index === 9,
  });
  // Burst and refill of one second; the bound allows nearly twice as much.
  const spent = sim.sum(10_000, 11_000);
  t.true(spent >= 2 * SMALL_PER_S, `${spent} in the first second`);
  t.true(sim.most(BOUNDS.windowMs) <= boundOf(SMALL_PER_S));
});

// Guards against nodes that go on with what others refill, too.
test("32 nodes at twice the demand, 12 of them cut off for 10 s", (t) => {
  const cutOff = (isCutOff: boolean) => (sim: Simulation<unknown, unknown>) => {
    for (const node of sim.nodes.slice(20)) node.isCutOff = isCutOff;
  };
  for (const ratePerS of [SMALL_PER_S, LARGE_PER_S]) {
    check(
      t,
      {
        nodes: 32,
        ratePerS,
        demand: 2,
        events: [[8_000, cutOff(true)], [18_000, cutOff(false)]],
      },
      0.55,
      [8_000, 18_000],
    );
  }
});

// Guards against a balance that a start fills.
test("4 nodes at twice the demand, each killed and started every 2 s", (t) => {
  const events = Array.from(
    { length: 9 },
    (_, n): SimEvent => [5_000 + 2_000 * n, (sim) => sim.restart(n % 4)],
  );
  const load = { nodes: 4, ratePerS: LARGE_PER_S, demand: 2, events };
  check(t, load, 0.7);
});

// Guards against the refill of a long pause, and messages from before it.
test("32 nodes at twice the demand, the root and 8 more frozen for 6 s", (t) => {
  const freeze = (sim: Simulation<unknown, unknown>) => {
    for (const node of sim.nodes.slice(0, 9)) node.frozenUntilMs = 14_000;
  };
  for (const ratePerS of [SMALL_PER_S, LARGE_PER_S]) {
    check(
      t,
      {
        nodes: 32,
        ratePerS,
        demand: 2,
        events: [[8_000, freeze]],
      },
      0.4,
      [8_000, 14_000],
    );
  }
});

// Guards against amounts of lost messages that count where they were, too.
test("32 nodes at twice the demand, every tenth message lost", (t) => {
  for (const ratePerS of [SMALL_PER_S, LARGE_PER_S]) {
    const load = { nodes: 32, ratePerS, demand: 2, lossPart: 0.1 };
    check(t, load, 0.5);
  }
});

// Guards against shares that add up to more than the rate.
test("4 nodes at twice the demand become 12", (t) => {
  const add = (sim: Simulation<unknown, unknown>) => {
    for (let n = 0; n < 8; n++) sim.addNode();
  };
  check(t, {
    nodes: 4,
    ratePerS: LARGE_PER_S,
    demand: 2,
    events: [[8_000, add]],
  }, 0.85);
});

// Guards against refunds that are lost, or spent in a later window than the
// refill. Of a fifth that is refunded after 1 s, a fifth is so again after 2 s,
// when it has expired: at most 0.96 can be used.
test("4 nodes, a fifth of the requests refunded after 1 s", (t) => {
  for (const ratePerS of [SMALL_PER_S, LARGE_PER_S]) {
    const load = { nodes: 4, ratePerS, demand: 2, notRunPart: 0.2 };
    check(t, load, 0.85);
  }
});

// Guards against combinations of failures that exceed the bound.
test("36 nodes at three times the demand, failures at random, 10 seeds", (t) => {
  for (let seed = 1; seed <= 10; seed++) {
    const random = xoroshiro128plus(seed);
    const pick = (below: number) => (random.next() >>> 0) % below;
    const events = Array.from({ length: 25 }, (_, n): SimEvent => [
      3_000 + 700 * n,
      (sim) => {
        const index = pick(sim.nodes.length);
        const node = sim.nodes[index]!;
        const act = pick(6);
        if (act === 0) sim.kill(index);
        else if (act === 1) sim.restart(index);
        else if (act === 2) node.frozenUntilMs = sim.nowMs + pick(8_000);
        else if (act === 3) sim.addNode();
        else if (act === 4) node.isLeaving = !node.isLeaving;
        else node.isCutOff = !node.isCutOff;
      },
    ]);
    const ratePerS = seed % 2 === 0 ? SMALL_PER_S : LARGE_PER_S;
    const nodes = seed % 3 === 0 ? 5 : 36;
    const load = { nodes, ratePerS, demand: 3, events, seed, lossPart: 0.05 };
    check(t, load, 0.05);
  }
});
