/** Which engines name a rate limit below what their models are asked for. */
import type * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as placement from "../placement/mod.ts";
import type * as rates from "../rates/mod.ts";

/**
 * Finds the engines whose replicas are not counted on, so that their models get
 * others. If that were all of them, none would be left to load on.
 *
 * @param demand of each model, over all nodes.
 * @example
 * ```ts
 * const limited = findRateLimited(engines, namedRates, totals.modelDemand);
 * ```
 */
export function findRateLimited(
  engines: readonly dispatch.UpstreamState[],
  namedRates: rates.NamedRates,
  demand: ReadonlyMap<core.ModelName, placement.ModelDemand>,
): ReadonlySet<dispatch.UpstreamState> {
  const limited = engines.filter(({ record, replicas }) => {
    const perS = namedRates.perS(record);
    if (perS === undefined) return false;
    let ratePerS = 0;
    for (const model of replicas.keys()) {
      ratePerS += demand.get(model)?.ratePerS ?? 0;
    }
    return ratePerS > perS;
  });
  return new Set(limited.length < engines.length ? limited : []);
}
