/** Chooses the instance of a plain service for one request. */
import type { UpstreamState } from "./dispatch_registry.ts";

/** Weight of a failure share of 1, in requests on the way per slot. */
const FAILURE_WEIGHT = 4;

/**
 * Chooses the instance with the least work per slot, weighed by how slow its
 * answers have been and how many failed.
 *
 * @example
 * ```ts
 * const instance = dispatch.chooseInstance(board.ofService(name), tried, now);
 * ```
 */
export function chooseInstance(
  instances: Iterable<UpstreamState>,
  excluded: ReadonlySet<UpstreamState>,
  nowMs: number,
): UpstreamState | undefined {
  let best: UpstreamState | undefined;
  let bestCost = Infinity;
  for (const instance of instances) {
    if (instance.record.isLeaving || excluded.has(instance)) continue;
    const { health, record, inFlight, latencyFactor: slowness } = instance;
    const cost = (inFlight + 1) / Math.max(1, record.slots) * slowness +
      health.failureShare(nowMs) * FAILURE_WEIGHT +
      (instance.isSuspect(nowMs) ? FAILURE_WEIGHT : 0);
    // Ties are broken at random, so that nodes do not choose alike.
    const jittered = cost * (1 + Math.random() * 0.05);
    if (jittered >= bestCost) continue;
    best = instance;
    bestCost = jittered;
  }
  return best;
}
