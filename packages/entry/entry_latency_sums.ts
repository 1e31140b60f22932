/**
 * What nodes tell each other of the speed of upstreams, where the configuration
 * has teams or the machines differ in size.
 */
import * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as peers from "../peers/mod.ts";
import type { EntryState } from "./entry_state.ts";

/** Parts of a sample that messages tell apart. */
const SCALE = 100;

type LatencyUse = Pick<peers.EngineUse, "latencySum" | "latencyCount">;

function isShared({ teams, capacity }: EntryState): boolean {
  return teams !== undefined || capacity.sizes.differ;
}

/** What this node has measured of an upstream lately. */
export function latencyOf(
  state: EntryState,
  { latency }: dispatch.UpstreamState,
  nowMs: number,
): LatencyUse {
  if (!isShared(state)) return { latencySum: 0, latencyCount: 0 };
  const { sum, count } = latency.samples(nowMs);
  return {
    latencySum: core.toUint32(Math.round(sum * SCALE)),
    latencyCount: core.toUint32(Math.round(count * SCALE)),
  };
}

/** Adds or subtracts what a node told. */
export function addLatency(
  sum: LatencyUse,
  use: LatencyUse,
  sign: 1 | -1,
): void {
  sum.latencySum = core.toUint32(sum.latencySum + sign * use.latencySum);
  sum.latencyCount = core.toUint32(sum.latencyCount + sign * use.latencyCount);
}

/** Applies what the other nodes have measured; undefined if that is nothing. */
export function applyLatency(
  state: EntryState,
  { latency }: dispatch.UpstreamState,
  use: LatencyUse | undefined,
  nowMs: number,
): void {
  if (!isShared(state)) return latency.setPeers(undefined, nowMs);
  const { latencySum = 0, latencyCount = 0 } = use ?? {};
  latency.setPeers(
    { sum: latencySum / SCALE, count: latencyCount / SCALE },
    nowMs,
  );
}
