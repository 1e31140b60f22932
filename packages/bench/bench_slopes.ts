/** What control costs an instance as the system grows. */
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

/** One size that is measured. */
export interface SystemSize {
  readonly entries: number;
  readonly engines: number;
  readonly rows: number;
}

/** What a size costs an instance, on average and at the worst. */
export interface SlopeResult extends SystemSize {
  readonly mean: ResourceUsage;
  readonly worst: ResourceUsage;
  /** How long an edit took to be in force everywhere, in milliseconds. */
  readonly editMs: number;
}

const BASE: SystemSize = { entries: 4, engines: 16, rows: 120 };

/** Sizes along three axes, one varied at a time. */
export const SYSTEM_SIZES: readonly SystemSize[] = process.env.BENCH_ENGINES
  ? [10, 40, 80, 160].map((engines) => ({ ...BASE, engines }))
  : [
    ...[2, 4, 8, 16, 32].map((entries) => ({ ...BASE, entries })),
    ...[10, 40, 80, 160].map((engines) => ({ ...BASE, engines })),
    ...[50, 500, 2_000].map((rows) => ({ ...BASE, rows })),
  ];

/** Measures one size without callers: control alone. */
export async function measureSlope(point: SystemSize): Promise<SlopeResult> {
  const rows = Array.from(
    { length: point.rows },
    (_, n) => testing.makeRow(`model-${n}`),
  );
  const world = new testing.World({
    entries: point.entries,
    engines: point.engines,
    links: false,
    settings: SHIPPED_SETTINGS,
    rows,
  });
  try {
    await world.start();
    await core.sleep(SETTLE_MS);
    const before = await Promise.all(world.entries.map(readMetrics));
    await core.sleep(MEASURE_MS);
    const after = await Promise.all(world.entries.map(readMetrics));
    const all = before.flatMap((reading, n) => {
      const later = after[n];
      return later ? [computeUsage(reading, later)] : [];
    });
    const startedAtMs = core.monotonicMs();
    await world.edit([testing.makeRow("model-0", { priority: 7 })]);
    const editMs = Math.round(core.monotonicMs() - startedAtMs);
    return { ...point, mean: meanUsage(all), worst: worstOf(all), editMs };
  } finally {
    await world.stop();
  }
}

function worstOf(all: readonly ResourceUsage[]): ResourceUsage {
  const [first] = all;
  if (first === undefined) throw new Error("No instance was measured");
  return all.reduce((worst, one) => ({
    cpuPercent: Math.max(worst.cpuPercent, one.cpuPercent),
    residentMb: Math.max(worst.residentMb, one.residentMb),
    controlKbPerS: Math.max(worst.controlKbPerS, one.controlKbPerS),
    peerCallsPerS: Math.max(worst.peerCallsPerS, one.peerCallsPerS),
    storeReadsPerS: Math.max(worst.storeReadsPerS, one.storeReadsPerS),
    storeWritesPerS: Math.max(worst.storeWritesPerS, one.storeWritesPerS),
  }), first);
}

/** Renders one result as a line of a table. */
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

/** Head of the table that `renderSlope` fills. */
export const SLOPE_HEADER = [
  "| entries | engines | rows | CPU % mean (worst) | MB mean (worst) | " +
  "KB/s mean (worst) | peer calls/s | store reads/s | store writes/s | " +
  "edit ms |",
  "|---|---|---|---|---|---|---|---|---|---|",
].join("\n");
