/** Reads the metrics of entry instances and computes their resource usage. */
import { request } from "undici";
import * as core from "../core/mod.ts";
import type * as testing from "../testing/mod.ts";

/** Metrics of one instance at one time. */
export interface MetricsSample {
  readonly sampledAtMs: number;
  readonly values: ReadonlyMap<string, number>;
}

/** Resource usage of one instance. */
export interface ResourceUsage {
  /** CPU time as a share of one core, in percent. */
  readonly cpuPercent: number;
  readonly residentMb: number;
  readonly controlKbPerS: number;
  readonly peerCallsPerS: number;
  readonly storeReadsPerS: number;
  readonly storeWritesPerS: number;
}

const BYTES_PER_KB = 1_000;
const BYTES_PER_MB = 1_000_000;

/** Fetches `/metrics` of an instance; names lose the prefix `carawaywind_`. */
export async function readMetrics(
  entry: testing.EntryProcess,
): Promise<MetricsSample> {
  const response = await request(`${entry.ready.callerAddress}/metrics`);
  const text = await response.body.text();
  const values = new Map<string, number>();
  for (const line of text.split("\n")) {
    const [name = "", value] = line.split(" ");
    values.set(name.replace("carawaywind_", ""), Number(value));
  }
  return { sampledAtMs: core.monotonicMs(), values };
}

/**
 * Computes the rates between two samples; `residentMb` is the value of the
 * later one.
 */
export function computeUsage(
  before: MetricsSample,
  after: MetricsSample,
): ResourceUsage {
  const elapsedS = (after.sampledAtMs - before.sampledAtMs) / 1_000;
  const rate = (name: string): number =>
    ((after.values.get(name) ?? 0) - (before.values.get(name) ?? 0)) /
    elapsedS;
  return {
    cpuPercent: rate("cpu_s_total") * 100,
    residentMb: (after.values.get("resident_bytes") ?? 0) / BYTES_PER_MB,
    controlKbPerS: rate("control_bytes_total") / BYTES_PER_KB,
    peerCallsPerS: rate("peer_calls_total"),
    storeReadsPerS: rate("store_reads_total"),
    storeWritesPerS: rate("store_writes_total"),
  };
}

/** Averages every field over instances. */
export function meanUsage(usages: readonly ResourceUsage[]): ResourceUsage {
  const mean = (field: keyof ResourceUsage): number =>
    usages.reduce((sum, usage) => sum + usage[field], 0) /
    Math.max(1, usages.length);
  return {
    cpuPercent: mean("cpuPercent"),
    residentMb: mean("residentMb"),
    controlKbPerS: mean("controlKbPerS"),
    peerCallsPerS: mean("peerCallsPerS"),
    storeReadsPerS: mean("storeReadsPerS"),
    storeWritesPerS: mean("storeWritesPerS"),
  };
}
