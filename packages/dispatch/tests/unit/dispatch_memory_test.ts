/**
 * Loads on engines' memory: many nodes, sums 50 to 200 ms late, and one team with
 * several times its usual load.
 */
import test, { type ExecutionContext } from "ava";
import * as admission from "../../../admission/mod.ts";
import * as dispatch from "../../mod.ts";
import { SimFleet } from "../sim_fleet.ts";
import type { SimOptions } from "../sim_types.ts";
import { makeTraffic } from "../sim_traffic.ts";

const DURATION_MS = 6_000;
const NODES = 60;
const MODELS = 10;
const BASE = {
  nodes: NODES,
  engines: 30,
  modelsPerEngine: 2,
  models: MODELS,
  capacityTokens: 49_615,
  slots: 16,
  seed: 1,
  durationMs: DURATION_MS,
  ageMinMs: 50,
  ageMaxMs: 200,
};
const shares: Pick<SimOptions, "makeRule" | "makeSpread"> = {
  makeRule: (node, fleet) =>
    new admission.SharesRule(node, () => fleet.viewNodes(node)),
  makeSpread: (node) => new dispatch.SpreadByNode(node),
};
const today: Pick<SimOptions, "makeRule"> = {
  makeRule: () => new admission.OptimisticRule(),
};

function run(
  rule: Pick<SimOptions, "makeRule">,
  changes: Partial<SimOptions> = {},
  prepare: (fleet: SimFleet) => void = () => {},
): SimFleet {
  const fleet = new SimFleet({ ...BASE, ...rule, ...changes });
  prepare(fleet);
  return fleet.run(makeTraffic({
    seed: 2,
    nodes: NODES,
    models: MODELS,
    durationMs: DURATION_MS,
    ratePerS: 110,
    burst: 5,
  }));
}

function overrunsOf({ engines }: SimFleet): number {
  return engines.reduce((sum, { overruns }) => sum + overruns, 0);
}

/** No engine is overrun, and nearly as much is served as with today's rule. */
function checkNoOverrun(
  t: ExecutionContext,
  changes?: Partial<SimOptions>,
  prepare?: (fleet: SimFleet) => void,
): void {
  const before = run(today, changes, prepare);
  t.true(overrunsOf(before) > 0, "the load does not overrun engines");
  const fleet = run(shares, changes, prepare);
  t.is(overrunsOf(fleet), 0);
  t.true(fleet.served.length > 0.85 * before.served.length);
}

test("60 nodes with late sums and a burst of 5 times a team's load overrun no engine", (t) => {
  checkNoOverrun(t);
});

test("engines that restart empty under that load are not overrun by all nodes at once", (t) => {
  checkNoOverrun(t, {}, (fleet) => {
    for (let e = 0; e < 6; e++) {
      const engine = fleet.engines[5 * e]!;
      fleet.at(3_000 + 1_000 * e, () => engine.crash(fleet.nowMs, 1_000));
    }
  });
});

test("nodes that are cut off from the exchange under that load overrun no engine", (t) => {
  checkNoOverrun(t, {}, (fleet) => {
    for (const node of fleet.nodes.slice(0, 15)) {
      fleet.at(3_000, () => node.cutSinceMs = fleet.nowMs);
      fleet.at(8_000, () => node.cutSinceMs = undefined);
    }
  });
});

test("sums that are up to 600 ms late under that load overrun no engine", (t) => {
  checkNoOverrun(t, { ageMaxMs: 600 });
});

test("a third of the exchanges lost under that load overruns no engine", (t) => {
  checkNoOverrun(t, { lossShare: 0.33 });
});
