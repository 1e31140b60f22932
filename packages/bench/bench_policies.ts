/**
 * Benchmark `policies`: compares the shipped routing and placement policies
 * with their baselines under open-loop load, a shift of demand, and failures of
 * an engine, an entry instance and the table service.
 */
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
const RETRY_DELAY_MIN_MS = 20;
const ENTRY_COUNT = 4;
/** Multiple of the request rate of the deployment. */
const LOAD_FACTOR = Number(process.env.BENCH_LOAD ?? 1);
const TOKENS_MIN = 10;
const TOKENS_RANGE = 30;

/** Routing and placement policy of one run. */
export interface PolicyPair {
  readonly routing: settings.RoutingPolicyName;
  readonly placement: settings.PlacementPolicyName;
}

/** The shipped pair, then pairs in which a baseline replaces one policy. */
export const POLICY_PAIRS: readonly PolicyPair[] = [
  { routing: "estimated", placement: "demand" },
  { routing: "least-reported", placement: "demand" },
  { routing: "round-robin", placement: "demand" },
  { routing: "estimated", placement: "lru" },
];

/** Measurements of one run. */
export interface PolicyResult extends PolicyPair {
  readonly deployment: string;
  readonly seed: number;
  readonly requests: number;
  readonly met: number;
  /** Share of requests answered within the deadline, in percent. */
  readonly attainmentPercent: number;
  readonly attainmentPerAccelerator: number;
  readonly moves: number;
  readonly loads: number;
  /** Requests answered after the deadline. */
  readonly late: number;
  /** Requests that engines completed more than once. */
  readonly doubled: number;
  readonly refusals: number;
  readonly refusedAfterP95Ms: number;
  /** Smallest share of requests within the deadline of any row, in percent. */
  readonly worstRowPercent: number;
  /** Rows that were requested, but never answered within the deadline. */
  readonly deadRows: number;
  readonly overcommits: number;
  readonly peakLoads: number;
  readonly spending: ResourceUsage;
}

interface RowOutcomes {
  requests: number;
  met: number;
}

/** Counts the outcomes of requests as callers see them. */
class OutcomeCounter {
  requests = 0;
  met = 0;
  late = 0;
  readonly rejectionTimesMs: number[] = [];
  readonly rows = new Map<string, RowOutcomes>();

  recordRequest(name: string): RowOutcomes {
    this.requests++;
    let row = this.rows.get(name);
    if (!row) {
      row = { requests: 0, met: 0 };
      this.rows.set(name, row);
    }
    row.requests++;
    return row;
  }
}

/** Runs the scenario once with one pair of policies. */
export async function measurePolicies(
  deployment: Deployment,
  pair: PolicyPair,
  seed: number,
): Promise<PolicyResult> {
  const cluster = makeCluster(deployment, pair);
  try {
    await cluster.start();
    preloadModels(cluster, deployment);
    return await new PolicyRun(cluster, deployment, pair, seed).run();
  } finally {
    await cluster.stop();
  }
}

function makeCluster(
  deployment: Deployment,
  pair: PolicyPair,
): testing.TestCluster {
  const { loadsAtOnceMax, adapterLoadsAtOnceMax, attainmentWeight } =
    deployment;
  return new testing.TestCluster({
    entries: ENTRY_COUNT,
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

/**
 * Loads one replica of every model before the run, the state after a period of
 * low load.
 */
function preloadModels(
  cluster: testing.TestCluster,
  deployment: Deployment,
): void {
  const models = makeRows(deployment).filter(({ kind }) => kind === "model");
  for (const [n, row] of models.entries()) {
    const engine = cluster.engines[n % cluster.engines.length];
    const artifactId = String(table.artifactIdOf(row));
    engine?.memory.reserve(artifactId, row.weightBytes);
    engine?.memory.markReady(artifactId);
  }
}

class PolicyRun {
  readonly #cluster: testing.TestCluster;
  readonly #deployment: Deployment;
  readonly #pair: PolicyPair;
  readonly #seed: number;
  readonly #random: Random;
  readonly #rowSampler: ZipfSampler;
  readonly #outcomes = new OutcomeCounter();
  readonly #inFlight = new Set<Promise<void>>();
  #isMeasuring = false;
  #sentCount = 0;
  #firstMeasured = 0;

  constructor(
    cluster: testing.TestCluster,
    deployment: Deployment,
    pair: PolicyPair,
    seed: number,
  ) {
    this.#cluster = cluster;
    this.#deployment = deployment;
    this.#pair = pair;
    this.#seed = seed;
    this.#random = makeRandom(seed);
    const names = makeRows(deployment).map(({ name }) => String(name));
    this.#rowSampler = new ZipfSampler(names, this.#random);
  }

  async run(): Promise<PolicyResult> {
    const startedAtMs = core.monotonicMs();
    const events = this.#scheduledEvents();
    let startSamples: MetricsSample[] = [];
    for (;;) {
      const elapsedS = (core.monotonicMs() - startedAtMs) / 1_000;
      if (elapsedS >= TIMELINE_S.end) break;
      while (events[0] && elapsedS >= events[0].atS) {
        await events.shift()?.trigger();
      }
      if (!this.#isMeasuring && elapsedS >= TIMELINE_S.measurementStart) {
        this.#isMeasuring = true;
        this.#firstMeasured = this.#sentCount;
        startSamples = await this.#sampleMetrics();
      }
      this.#startRequest();
      const interArrivalMs = -Math.log(1 - this.#random()) * 1_000 /
        (this.#deployment.requestsPerS * LOAD_FACTOR);
      await core.sleep(interArrivalMs);
    }
    await Promise.all(this.#inFlight);
    return this.#buildResult(startSamples);
  }

  #scheduledEvents(): { atS: number; trigger: () => Promise<void> | void }[] {
    const { tableService, engines, entries } = this.#cluster;
    return [
      {
        atS: TIMELINE_S.demandShift,
        trigger: () => this.#rowSampler.swapHalves(),
      },
      { atS: TIMELINE_S.engineCrash, trigger: () => engines[0]?.stop() },
      { atS: TIMELINE_S.entryCrash, trigger: () => entries.at(-1)?.kill() },
      {
        atS: TIMELINE_S.storeOutageStart,
        trigger: () => tableService.faults.inject({ name: "outage" }),
      },
      {
        atS: TIMELINE_S.storeOutageEnd,
        trigger: () => tableService.faults.clear(),
      },
    ];
  }

  #startRequest(): void {
    const name = this.#rowSampler.nextName();
    const tokens = TOKENS_MIN + Math.floor(this.#random() * TOKENS_RANGE);
    const n = this.#sentCount++;
    const row = this.#isMeasuring
      ? this.#outcomes.recordRequest(name)
      : undefined;
    const request = this.#sendUntilDone(name, tokens, n, row);
    this.#inFlight.add(request);
    request.finally(() => this.#inFlight.delete(request));
  }

  /**
   * Sends one request, and retries it until the deadline if the response states
   * that it did not run or if there is no response. Counts the outcome only if
   * `row` is given.
   */
  async #sendUntilDone(
    name: string,
    tokens: number,
    n: number,
    row: RowOutcomes | undefined,
  ): Promise<void> {
    const startedAtMs = core.monotonicMs();
    const remainingMs = () => DEADLINE_MS - (core.monotonicMs() - startedAtMs);
    for (let attempt = 0; remainingMs() > 0; attempt++) {
      const sentAtMs = core.monotonicMs();
      const response = await testing.complete(this.#originFor(n + attempt), {
        model: name,
        prompt: `request ${n}`,
        tokens,
        deadlineMs: Math.max(1, Math.floor(remainingMs())),
      }).catch(() => undefined);
      if (response?.status === 200) {
        if (row === undefined) return;
        if (remainingMs() >= 0) {
          this.#outcomes.met++;
          row.met++;
        } else {
          this.#outcomes.late++;
        }
        return;
      }
      if (response?.body.ran === "no" && row) {
        this.#outcomes.rejectionTimesMs.push(core.monotonicMs() - sentAtMs);
      }
      if (response && response.body.ran !== "no") return;
      const retryAfterMs = Number(response?.body.retryAfterMs ?? 0);
      await core.sleep(Math.max(RETRY_DELAY_MIN_MS, retryAfterMs));
    }
  }

  #originFor(n: number): string {
    const live = this.#cluster.entries.filter((entry) => !entry.hasExited);
    return live[n % live.length]?.ready.callerAddress ?? "";
  }

  #sampleMetrics(): Promise<MetricsSample[]> {
    const live = this.#cluster.entries.filter((entry) => !entry.hasExited);
    return Promise.all(live.map(readMetrics));
  }

  async #buildResult(before: readonly MetricsSample[]): Promise<PolicyResult> {
    const after = await this.#sampleMetrics();
    const usages = after.flatMap((sample, n) => {
      const startSample = before[n];
      return startSample ? [computeUsage(startSample, sample)] : [];
    });
    const outcomes = this.#outcomes;
    const { engines, weightStore } = this.#cluster;
    const sum = (field: "loads" | "unloads") =>
      engines.reduce((total, engine) => total + engine[field], 0);
    const metFractions = [...outcomes.rows.values()].map((
      { requests, met },
    ) => met / requests);
    const attainment = outcomes.met / Math.max(1, outcomes.requests);
    return {
      ...this.#pair,
      deployment: this.#deployment.name,
      seed: this.#seed,
      requests: outcomes.requests,
      met: outcomes.met,
      attainmentPercent: attainment * 100,
      attainmentPerAccelerator: attainment / this.#deployment.engines,
      moves: sum("loads") + sum("unloads"),
      loads: sum("loads"),
      late: outcomes.late,
      doubled: this.#countDuplicates(),
      refusals: outcomes.rejectionTimesMs.length,
      refusedAfterP95Ms: percentile(outcomes.rejectionTimesMs, 0.95),
      worstRowPercent: Math.min(...metFractions) * 100,
      deadRows: metFractions.filter((fraction) => fraction === 0).length,
      overcommits: engines
        .reduce((total, { memory }) => total + memory.overcommits, 0),
      peakLoads: weightStore.peakModels,
      spending: meanUsage(usages),
    };
  }

  /** Counts measured requests that engines completed more than once. */
  #countDuplicates(): number {
    const runs = new Map<string, number>();
    for (const engine of this.#cluster.engines) {
      for (const prompt of engine.completedPrompts) {
        runs.set(prompt, (runs.get(prompt) ?? 0) + 1);
      }
    }
    let duplicates = 0;
    for (const [prompt, count] of runs) {
      const n = Number(prompt.split(" ")[1]);
      if (n >= this.#firstMeasured && count > 1) duplicates++;
    }
    return duplicates;
  }
}

/** Returns the value at a percentile, given as a fraction; 0 without values. */
export function percentile(
  values: readonly number[],
  fraction: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0;
}

/** Header of the Markdown table of `renderPolicy`. */
export const POLICY_HEADER = [
  "| deployment | routing | placement | seed | requests | attainment % | " +
  "moves | late | doubled | refusals | refused p95 ms | worst row % | " +
  "dead rows | CPU % | KB/s | reads/s | writes/s |",
  "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|",
].join("\n");

/** Renders one result as a row of a Markdown table. */
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
