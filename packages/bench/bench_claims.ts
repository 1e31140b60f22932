/**
 * Benchmark `claims`: the latency and the table service writes of service calls
 * that run at most once, by the number of concurrent callers.
 */
import * as core from "../core/mod.ts";
import * as testing from "../testing/mod.ts";
import { percentile } from "./bench_policies.ts";
import { SHIPPED_SETTINGS } from "./bench_settings.ts";

const MEASURE_MS = 4_000;
const CALLER_COUNTS = [1, 8, 32, 128];
/** Delay of each transaction in the table service, in milliseconds. */
const STORE_DELAY_MS = 5;

/** Measurements at one number of concurrent callers. */
export interface ClaimsResult {
  readonly callers: number;
  readonly callsPerS: number;
  readonly storeWritesPerS: number;
  readonly storeWritesPerCall: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
}

/** Measures one entry instance with an increasing number of callers. */
export async function measureClaims(): Promise<ClaimsResult[]> {
  const cluster = new testing.TestCluster({
    entries: 1,
    engines: 0,
    links: false,
    services: { orders: 2 },
    settings: SHIPPED_SETTINGS,
  });
  try {
    await cluster.start();
    const delayMs = STORE_DELAY_MS;
    cluster.tableService.faults.inject({
      name: "slow",
      match: "transact",
      delayMs,
    });
    const results: ClaimsResult[] = [];
    for (const callers of CALLER_COUNTS) {
      results.push(await measureCallerCount(cluster, callers));
    }
    return results;
  } finally {
    await cluster.stop();
  }
}

async function measureCallerCount(
  cluster: testing.TestCluster,
  callers: number,
): Promise<ClaimsResult> {
  const origin = cluster.entries[0]?.ready.callerAddress ?? "";
  const deadline = new core.Deadline(MEASURE_MS);
  const durationsMs: number[] = [];
  const writesBefore = cluster.tableService.writes;
  await Promise.all(
    Array.from({ length: callers }, async (_, caller) => {
      for (let n = 0; !deadline.isOver(); n++) {
        const startedAtMs = core.monotonicMs();
        const response = await testing.callService(origin, {
          service: "orders",
          path: "dispense",
          body: {},
          key: `bench-${callers}-${caller}-${n}`,
        });
        if (response.status !== 200) {
          throw new Error(JSON.stringify(response.body));
        }
        durationsMs.push(core.monotonicMs() - startedAtMs);
      }
    }),
  );
  const writes = cluster.tableService.writes - writesBefore;
  const elapsedS = MEASURE_MS / 1_000;
  return {
    callers,
    callsPerS: durationsMs.length / elapsedS,
    storeWritesPerS: writes / elapsedS,
    storeWritesPerCall: writes / durationsMs.length,
    p50Ms: percentile(durationsMs, 0.5),
    p95Ms: percentile(durationsMs, 0.95),
  };
}

/** Renders the results as a Markdown table. */
export function renderClaims(results: readonly ClaimsResult[]): string {
  const lines = results.map((result) => {
    const cells = [
      result.callers,
      result.callsPerS.toFixed(0),
      result.storeWritesPerS.toFixed(0),
      result.storeWritesPerCall.toFixed(2),
      result.p50Ms.toFixed(1),
      result.p95Ms.toFixed(1),
    ];
    return `| ${cells.join(" | ")} |`;
  });
  return [
    "| callers | calls/s | store writes/s | writes/call | p50 ms | p95 ms |",
    "|---|---|---|---|---|---|",
    ...lines,
  ].join("\n");
}
