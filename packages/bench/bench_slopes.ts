/**
 * Benchmark `slopes`: how the control overhead of an instance grows with the
 * number of entries, engines and rows.
 */
import process from "node:process";
import * as core from "../core/mod.ts";
import * as testing from "../testing/mod.ts";
import {
  computeUsage,
  meanUsage,
  readMetrics,
  type ResourceUsage,
} from "./bench_metrics.ts";
import { SHIPPED_SETTINGS } from "./bench_settings.ts";

const SETTLE_MS = 12_000;
const MEASURE_MS = 10_000;

/** Size of one measured system. */
export interface SystemSize {
  readonly entries: number;
  readonly engines: number;
  readonly rows: number;
}

/** Mean and maximum resource usage per instance at one size. */
export interface SlopeResult extends SystemSize {
  readonly mean: ResourceUsage;
  readonly worst: ResourceUsage;
  /** Time until an edit was in force on every instance, in milliseconds. */
  readonly editMs: number;
}

const BASE: SystemSize = { entries: 4, engines: 16, rows: 120 };

/**
 * Sizes to measure: entries, engines and rows vary one at a time from the base
 * size. With `BENCH_ENGINES`, only the number of engines varies.
 */
export const SYSTEM_SIZES: readonly SystemSize[] = process.env.BENCH_ENGINES
  ? [10, 40, 80, 160].map((engines) => ({ ...BASE, engines }))
  : [
    ...[2, 4, 8, 16, 32].map((entries) => ({ ...BASE, entries })),
    ...[10, 40, 80, 160].map((engines) => ({ ...BASE, engines })),
    ...[50, 500, 2_000].map((rows) => ({ ...BASE, rows })),
  ];

/** Measures one size without callers, so that only control traffic counts. */
export async function measureSlope(size: SystemSize): Promise<SlopeResult> {
  const rows = Array.from(
    { length: size.rows },
    (_, n) => testing.makeRow(`model-${n}`),
  );
  const cluster = new testing.TestCluster({
    entries: size.entries,
    engines: size.engines,
    links: false,
    settings: SHIPPED_SETTINGS,
    rows,
  });
  try {
    await cluster.start();
    await core.sleep(SETTLE_MS);
    const before = await Promise.all(cluster.entries.map(readMetrics));
    await core.sleep(MEASURE_MS);
    const after = await Promise.all(cluster.entries.map(readMetrics));
    const usages = before.flatMap((sample, n) => {
      const laterSample = after[n];
      return laterSample ? [computeUsage(sample, laterSample)] : [];
    });
    const startedAtMs = core.monotonicMs();
    await cluster.applyEdit([testing.makeRow("model-0", { priority: 7 })]);
    const editMs = Math.round(core.monotonicMs() - startedAtMs);
    return {
      ...size,
      mean: meanUsage(usages),
      worst: worstOf(usages),
      editMs,
    };
  } finally {
    await cluster.stop();
  }
}

function worstOf(usages: readonly ResourceUsage[]): ResourceUsage {
  const [first] = usages;
  if (first === undefined) throw new Error("No instance was measured");
  return usages.reduce((worst, usage) => ({
    cpuPercent: Math.max(worst.cpuPercent, usage.cpuPercent),
    residentMb: Math.max(worst.residentMb, usage.residentMb),
    controlKbPerS: Math.max(worst.controlKbPerS, usage.controlKbPerS),
    peerCallsPerS: Math.max(worst.peerCallsPerS, usage.peerCallsPerS),
    storeReadsPerS: Math.max(worst.storeReadsPerS, usage.storeReadsPerS),
    storeWritesPerS: Math.max(worst.storeWritesPerS, usage.storeWritesPerS),
  }), first);
}

/** Renders one result as a row of a Markdown table. */
export function renderSlope(result: SlopeResult): string {
  const { entries, engines, rows, mean, worst, editMs } = result;
  const cells = [
    entries,
    engines,
    rows,
    `${mean.cpuPercent.toFixed(2)} (${worst.cpuPercent.toFixed(2)})`,
    `${mean.residentMb.toFixed(0)} (${worst.residentMb.toFixed(0)})`,
    `${mean.controlKbPerS.toFixed(1)} (${worst.controlKbPerS.toFixed(1)})`,
    mean.peerCallsPerS.toFixed(1),
    mean.storeReadsPerS.toFixed(2),
    mean.storeWritesPerS.toFixed(2),
    editMs,
  ];
  return `| ${cells.join(" | ")} |`;
}

/** Header of the Markdown table of `renderSlope`. */
export const SLOPE_HEADER = [
  "| entries | engines | rows | CPU % mean (worst) | MB mean (worst) | " +
  "KB/s mean (worst) | peer calls/s | store reads/s | store writes/s | " +
  "edit ms |",
  "|---|---|---|---|---|---|---|---|---|---|",
].join("\n");
