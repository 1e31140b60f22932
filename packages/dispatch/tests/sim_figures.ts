/** Prints the figures of docs/design/engine-memory.md. */
import * as admission from "../../admission/mod.ts";
import * as dispatch from "../mod.ts";
import { SimFleet } from "./sim_fleet.ts";
import type { SimOptions } from "./sim_types.ts";
import { makeTraffic } from "./sim_traffic.ts";
import { FixedParts, PartByAge, Reservation } from "./sim_variants.ts";

const DURATION_MS = 30_000;
type Variant = Pick<SimOptions, "makeRule" | "makeSpread" | "sendDelayMs">;

const variants: Record<string, Variant> = {
  today: { makeRule: () => new admission.OptimisticRule() },
  "fixed/nodes": { makeRule: (_, f) => new FixedParts(f.options.nodes) },
  "fixed/16": { makeRule: () => new FixedParts(16) },
  "part by age": { makeRule: () => new PartByAge() },
  reservation: {
    makeRule: (node, f) => new Reservation(f, node),
    sendDelayMs: 20,
  },
  shares: {
    makeRule: (node, f) =>
      new admission.SharesRule(node, () => f.viewNodes(node)),
  },
  "shares+spread": {
    makeRule: (node, f) =>
      new admission.SharesRule(node, () => f.viewNodes(node)),
    makeSpread: (node) => new dispatch.SpreadByNode(node),
  },
  "today+spread": {
    makeRule: () => new admission.OptimisticRule(),
    makeSpread: (node) => new dispatch.SpreadByNode(node),
  },
};

interface Scenario {
  readonly nodes: number;
  readonly capacityTokens: number;
  readonly slots: number;
  readonly ratePerS: number;
  readonly burst: number;
  readonly isLong?: boolean;
  readonly ageMaxMs?: number;
  readonly prepare?: (fleet: SimFleet) => void;
}

const base = {
  nodes: 84,
  capacityTokens: 49_615,
  slots: 16,
  ratePerS: 200,
  burst: 5,
};
const scenarios: Record<string, Scenario> = {
  "84 nodes": base,
  long: { ...base, isLong: true },
  light: { ...base, ratePerS: 120, burst: 3 },
  "32 nodes": { ...base, nodes: 32, capacityTokens: 72_053 },
  overload: { ...base, ratePerS: 330, burst: 2 },
  restarts: {
    ...base,
    ratePerS: 250,
    prepare: (fleet) => {
      for (let e = 0; e < 8; e++) {
        const sim = fleet.engines[e * 9]!;
        fleet.at(5_000 + e * 2_500, () => sim.crash(fleet.nowMs, 2_000));
      }
    },
  },
  cut: {
    ...base,
    prepare: (fleet) => {
      for (const node of fleet.nodes.slice(0, 20)) {
        fleet.at(10_000, () => node.cutSinceMs = fleet.nowMs);
        fleet.at(22_000, () => node.cutSinceMs = undefined);
      }
    },
  },
  late: { ...base, ageMaxMs: 600 },
};

const wanted = process.argv[2];
const only = process.argv[3];
for (const [title, scenario] of Object.entries(scenarios)) {
  if (wanted && wanted !== "all" && title !== wanted) continue;
  for (const [name, variant] of Object.entries(variants)) {
    if (only && !only.split(",").includes(name)) continue;
    console.log(row(title, name, run(scenario, variant)));
  }
}

function run(scenario: Scenario, variant: Variant): SimFleet {
  const { nodes, capacityTokens, slots, ageMaxMs = 200 } = scenario;
  const fleet = new SimFleet({
    nodes,
    engines: 78,
    modelsPerEngine: 2,
    models: 26,
    capacityTokens,
    slots,
    seed: 1,
    durationMs: DURATION_MS,
    ageMinMs: 50,
    ageMaxMs,
    crashesOnOverrun: process.argv[4] === "crash",
    ...variant,
  });
  scenario.prepare?.(fleet);
  return fleet.run(makeTraffic({
    seed: 2,
    nodes,
    models: 26,
    durationMs: DURATION_MS,
    ratePerS: scenario.ratePerS,
    burst: scenario.burst,
    isLong: scenario.isLong === true,
  }));
}

function row(title: string, name: string, fleet: SimFleet): string {
  const { engines, served } = fleet;
  const sum = (of: (engine: (typeof engines)[number]) => number) =>
    engines.reduce((total, engine) => total + of(engine), 0);
  const firsts = served.map(({ firstMs }) => firstMs).sort((a, b) => a - b);
  const waits = served.map(({ waitMs }) => waitMs).sort((a, b) => a - b);
  const at = (sorted: number[], q: number) =>
    Math.round(sorted[Math.floor(sorted.length * q)] ?? 0);
  const cells = {
    overruns: sum(({ overruns }) => overruns),
    peak: (Math.max(...engines.map(({ peakTokens }) => peakTokens)) /
      fleet.options.capacityTokens).toFixed(2),
    idle: Math.round(fleet.idleTokens / Math.max(1, fleet.idleSamples)),
    served: served.length,
    failed: fleet.failed,
    shed: sum(({ shed }) => shed),
    beyond: sum(({ beyondSlots }) => beyondSlots),
    wait50: at(waits, 0.5),
    wait99: at(waits, 0.99),
    first50: at(firsts, 0.5),
    first99: at(firsts, 0.99),
  };
  const text = Object.entries(cells).map(([key, value]) => `${key}=${value}`);
  return `${title.padEnd(9)} ${name.padEnd(14)} ${text.join(" ")}`;
}
