/** Selects the instance that runs one request to a service without models. */
import type { UpstreamState } from "./dispatch_registry.ts";

/** Penalty for a failure share of 1, in in-flight requests per slot. */
const FAILURE_PENALTY = 4;

/**
 * Selects the instance with the fewest in-flight requests per slot, scaled by
 * its latency factor, plus penalties for recent failures and suspicion.
 *
 * @returns undefined when every instance is leaving, quiet or excluded.
 * @example
 * ```ts
 * const instance = dispatch.chooseInstance(
 *   registry.ofService(name),
 *   excluded,
 *   nowMs,
 * );
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
    if (!instance.maySend(nowMs) || excluded.has(instance)) continue;
    const { health, record, inFlight, latencyFactor } = instance;
    const cost = (inFlight + 1) / Math.max(1, record.slots) * latencyFactor +
      health.failureShare(nowMs) * FAILURE_PENALTY +
      (instance.isSuspect(nowMs) ? FAILURE_PENALTY : 0);
    // Random jitter keeps nodes from all choosing the same instance on a tie.
    const jittered = cost * (1 + Math.random() * 0.05);
    if (jittered >= bestCost) continue;
    best = instance;
    bestCost = jittered;
  }
  return best;
}
