/** Policies against their baselines, under load and faults. */
import process from "node:process";
import * as core from "../core/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as table from "../table/mod.ts";
import * as testing from "../testing/mod.ts";
import {
  computeUsage,
  meanUsage,
  type MetricsSample,
  readMetrics,
  type ResourceUsage,
} from "./bench_metrics.ts";
import {
  type Deployment,
  makeRandom,
  makeRows,
  type Random,
  TIMELINE_S,
  ZipfSampler,
} from "./bench_scenario.ts";
import { SHIPPED_SETTINGS } from "./bench_settings.ts";

const DEADLINE_MS = 2_000;
const RETRY_PAUSE_MIN_MS = 20;
const ENTRIES = 4;
/** Times the deployment's usual load. */
const LOAD_FACTOR = Number(process.env.BENCH_LOAD ?? 1);
const TOKENS_MIN = 10;
const TOKENS_SPREAD = 30;

/** The policies of one run. */
export interface PolicyPair {
  readonly routing: settings.RoutingPolicyName;
  readonly placement: settings.PlacementPolicyName;
}

/** The shipped pair first, then each baseline beside it. */
export const POLICY_PAIRS: readonly PolicyPair[] = [
  { routing: "estimated", placement: "demand" },
  { routing: "least-reported", placement: "demand" },
  { routing: "round-robin", placement: "demand" },
  { routing: "estimated", placement: "lru" },
];

/** What one run came to. */
export interface PolicyResult extends PolicyPair {
  readonly deployment: string;
  readonly seed: number;
  readonly requests: number;
  readonly met: number;
  /** Share of requests answered in time, in percent. */
  readonly attainmentPercent: number;
  readonly attainmentPerAccelerator: number;
  readonly moves: number;
  readonly loads: number;
  /** Answered, but too late. */
  readonly late: number;
  /** Requests that an engine ran more than once. */
  readonly doubled: number;
  readonly refusals: number;
  readonly refusedAfterP95Ms: number;
  /** The row with the smallest share of requests met, in percent. */
  readonly worstRowPercent: number;
  /** Rows asked for that never answered. */
  readonly deadRows: number;
  readonly overcommits: number;
  readonly peakLoads: number;
  readonly spending: ResourceUsage;
}

interface RowCount {
  asked: number;
  met: number;
}

/** Counts what callers see. */
class Tally {
  requests = 0;
  met = 0;
  late = 0;
  readonly refusedAfterMs: number[] = [];
  readonly rows = new Map<string, RowCount>();

  ask(name: string): RowCount {
    this.requests++;
    let row = this.rows.get(name);
    if (!row) {
      row = { asked: 0, met: 0 };
      this.rows.set(name, row);
    }
    row.asked++;
    return row;
  }
}

/** Runs one pair of policies once. */
export async function measurePolicies(
  deployment: Deployment,
  pair: PolicyPair,
  seed: number,
): Promise<PolicyResult> {
  const world = makeWorld(deployment, pair);
  try {
    await world.start();
    preload(world, deployment);
    return await new PolicyRun(world, deployment, pair, seed).run();
  } finally {
    await world.stop();
  }
}

function makeWorld(deployment: Deployment, pair: PolicyPair): testing.World {
  const { loadsAtOnceMax, adapterLoadsAtOnceMax, attainmentWeight } =
    deployment;
  return new testing.World({
    entries: ENTRIES,
    engines: deployment.engines,
    links: false,
    engine: {
      slots: 8,
      waitingMax: 64,
      firstTokenMs: 60,
      tokenMs: 8,
      reportLagMs: 300,
      capacityBytes: 28 + deployment.modelsPerEngine * 18,
      kvReserveBytes: 10,
      roleOverheadBytes: 5,
      honoursFencing: true,
      tellsLoad: process.env.BENCH_TELLS_LOAD === "1",
    },
    weightStore: {
      modelLoadMs: deployment.modelLoadMs,
      modelsAtOnceMax: loadsAtOnceMax,
      adapterLoadMs: 15,
      adaptersAtOnceMax: adapterLoadsAtOnceMax,
    },
    settings: {
      ...SHIPPED_SETTINGS,
      engines: { ...SHIPPED_SETTINGS.engines, honourFencing: true },
      placement: {
        ...SHIPPED_SETTINGS.placement,
        residentMinMs: 3_000,
        loadsAtOnceMax,
        adapterLoadsAtOnceMax,
        attainmentWeight,
      },
      policies: pair,
    },
    rows: makeRows(deployment),
  });
}

/** The run begins with every model held once, as after a quiet night. */
function preload(world: testing.World, deployment: Deployment): void {
  const models = makeRows(deployment).filter(({ kind }) => kind === "model");
  for (const [n, row] of models.entries()) {
    const engine = world.engines[n % world.engines.length];
    const artifactId = String(table.artifactOf(row));
    engine?.memory.take(artifactId, row.weightBytes);
    engine?.memory.finish(artifactId);
  }
}

class PolicyRun {
  readonly #world: testing.World;
  readonly #deployment: Deployment;
  readonly #pair: PolicyPair;
  readonly #seed: number;
  readonly #random: Random;
  readonly #popularity: ZipfSampler;
  readonly #tally = new Tally();
  readonly #running = new Set<Promise<void>>();
  #counting = false;
  #number = 0;
  #firstCounted = 0;

  constructor(
    world: testing.World,
    deployment: Deployment,
    pair: PolicyPair,
    seed: number,
  ) {
    this.#world = world;
    this.#deployment = deployment;
    this.#pair = pair;
    this.#seed = seed;
    this.#random = makeRandom(seed);
    const names = makeRows(deployment).map(({ name }) => String(name));
    this.#popularity = new ZipfSampler(names, this.#random);
  }

  async run(): Promise<PolicyResult> {
    const startedAtMs = core.monotonicMs();
    const events = this.#events();
    let readings: MetricsSample[] = [];
    for (;;) {
      const elapsedS = (core.monotonicMs() - startedAtMs) / 1_000;
      if (elapsedS >= TIMELINE_S.end) break;
      while (events[0] && elapsedS >= events[0].atS) {
        await events.shift()?.happen();
      }
      if (!this.#counting && elapsedS >= TIMELINE_S.measurementStart) {
        this.#counting = true;
        this.#firstCounted = this.#number;
        readings = await this.#readAll();
      }
      this.#launch();
      const gapMs = -Math.log(1 - this.#random()) * 1_000 /
        (this.#deployment.requestsPerS * LOAD_FACTOR);
      await core.sleep(gapMs);
    }
    await Promise.all(this.#running);
    return this.#result(readings);
  }

  #events(): { atS: number; happen: () => Promise<void> | void }[] {
    const { tableService, engines, entries } = this.#world;
    return [
      {
        atS: TIMELINE_S.demandShift,
        happen: () => this.#popularity.swapHalves(),
      },
      { atS: TIMELINE_S.engineCrash, happen: () => engines[0]?.stop() },
      { atS: TIMELINE_S.entryCrash, happen: () => entries.at(-1)?.kill() },
      {
        atS: TIMELINE_S.storeOutageStart,
        happen: () => tableService.faults.set({ name: "outage" }),
      },
      {
        atS: TIMELINE_S.storeOutageEnd,
        happen: () => tableService.faults.clear(),
      },
    ];
  }

  #launch(): void {
    const name = this.#popularity.nextName();
    const tokens = TOKENS_MIN + Math.floor(this.#random() * TOKENS_SPREAD);
    const n = this.#number++;
    const row = this.#counting ? this.#tally.ask(name) : undefined;
    const running = this.#call(name, tokens, n, row);
    this.#running.add(running);
    running.finally(() => this.#running.delete(running));
  }

  /** One caller's request, sent again when told that it was not run. */
  async #call(
    name: string,
    tokens: number,
    n: number,
    row: RowCount | undefined,
  ): Promise<void> {
    const startedAtMs = core.monotonicMs();
    const leftMs = () => DEADLINE_MS - (core.monotonicMs() - startedAtMs);
    for (let attempt = 0; leftMs() > 0; attempt++) {
      const sentAtMs = core.monotonicMs();
      const answer = await testing.complete(this.#origin(n + attempt), {
        model: name,
        prompt: `request ${n}`,
        tokens,
        deadlineMs: Math.max(1, Math.floor(leftMs())),
      }).catch(() => undefined);
      if (answer?.status === 200) {
        if (row === undefined) return;
        if (leftMs() >= 0) {
          this.#tally.met++;
          row.met++;
        } else {
          this.#tally.late++;
        }
        return;
      }
      if (answer?.body.ran === "no" && row) {
        this.#tally.refusedAfterMs.push(core.monotonicMs() - sentAtMs);
      }
      if (answer && answer.body.ran !== "no") return;
      const asked = Number(answer?.body.retryAfterMs ?? 0);
      await core.sleep(Math.max(RETRY_PAUSE_MIN_MS, asked));
    }
  }

  #origin(n: number): string {
    const live = this.#world.entries.filter((entry) => !entry.hasExited);
    return live[n % live.length]?.ready.callerAddress ?? "";
  }

  #readAll(): Promise<MetricsSample[]> {
    const live = this.#world.entries.filter((entry) => !entry.hasExited);
    return Promise.all(live.map(readMetrics));
  }

  async #result(before: readonly MetricsSample[]): Promise<PolicyResult> {
    const after = await this.#readAll();
    const spending = after.flatMap((reading, n) => {
      const earlier = before[n];
      return earlier ? [computeUsage(earlier, reading)] : [];
    });
    const tally = this.#tally;
    const { engines, weightStore } = this.#world;
    const sum = (field: "loads" | "unloads") =>
      engines.reduce((total, engine) => total + engine[field], 0);
    const shares = [...tally.rows.values()].map(({ asked, met }) =>
      met / asked
    );
    const attainment = tally.met / Math.max(1, tally.requests);
    return {
      ...this.#pair,
      deployment: this.#deployment.name,
      seed: this.#seed,
      requests: tally.requests,
      met: tally.met,
      attainmentPercent: attainment * 100,
      attainmentPerAccelerator: attainment / this.#deployment.engines,
      moves: sum("loads") + sum("unloads"),
      loads: sum("loads"),
      late: tally.late,
      doubled: this.#doubled(),
      refusals: tally.refusedAfterMs.length,
      refusedAfterP95Ms: percentile(tally.refusedAfterMs, 0.95),
      worstRowPercent: Math.min(...shares) * 100,
      deadRows: shares.filter((share) => share === 0).length,
      overcommits: engines
        .reduce((total, { memory }) => total + memory.overcommits, 0),
      peakLoads: weightStore.peakModels,
      spending: meanUsage(spending),
    };
  }

  /** Requests that engines answered more than once. */
  #doubled(): number {
    const runs = new Map<string, number>();
    for (const engine of this.#world.engines) {
      for (const prompt of engine.answeredPrompts) {
        runs.set(prompt, (runs.get(prompt) ?? 0) + 1);
      }
    }
    let doubled = 0;
    for (const [prompt, count] of runs) {
      const n = Number(prompt.split(" ")[1]);
      if (n >= this.#firstCounted && count > 1) doubled++;
    }
    return doubled;
  }
}

/** The value below which a share of the values lies. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

/** Head of the table that `renderPolicy` fills. */
export const POLICY_HEADER = [
  "| deployment | routing | placement | seed | requests | attainment % | " +
  "moves | late | doubled | refusals | refused p95 ms | worst row % | " +
  "dead rows | CPU % | KB/s | reads/s | writes/s |",
  "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|",
].join("\n");

/** Renders one result as a line of a table. */
export function renderPolicy(result: PolicyResult): string {
  const { spending } = result;
  const cells = [
    result.deployment,
    result.routing,
    result.placement,
    result.seed,
    result.requests,
    result.attainmentPercent.toFixed(1),
    result.moves,
    result.late,
    result.doubled,
    result.refusals,
    result.refusedAfterP95Ms.toFixed(0),
    result.worstRowPercent.toFixed(0),
    result.deadRows,
    spending.cpuPercent.toFixed(1),
    spending.controlKbPerS.toFixed(1),
    spending.storeReadsPerS.toFixed(1),
    spending.storeWritesPerS.toFixed(1),
  ];
  return `| ${cells.join(" | ")} |`;
}
