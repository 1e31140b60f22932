/** What a caller's request leads to, and how long it may take. */
import type * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as origins from "../origins/mod.ts";
import type * as relay from "../relay/mod.ts";

/**
 * Slowest step time expected, relative to the estimate: large batches and
 * interleaved prefills lengthen the steps.
 */
const STEP_TIME_FACTOR_MAX = 3;
/** Longest time expected before a stream's first token. */
const FIRST_TOKEN_MAX_MS = 1_000;

/**
 * Estimates the longest duration of a generation; Infinity if no model runs.
 *
 * @example
 * ```ts
 * const estimatedMs = maxGenerationMs(state.stepTimes, caller);
 * ```
 */
export function maxGenerationMs(
  stepTimes: dispatch.StepTimeEstimator,
  { model, outputTokensMax }: fleet.CallerRequest,
): number {
  if (model === undefined || outputTokensMax === 0) return Infinity;
  return FIRST_TOKEN_MAX_MS +
    outputTokensMax * stepTimes.stepMs(model) * STEP_TIME_FACTOR_MAX;
}

/**
 * Where a request is served: a stream that is taken up at the service that began
 * it, if the route still leads there, and at the same software version.
 *
 * @example
 * ```ts
 * const request = { caller, ...targetOf(route, service, takenUp.value) };
 * ```
 */
export function targetOf(
  { targets }: fleet.RouteSpec,
  service: core.ServiceName,
  takenUp: origins.StreamOrigin | undefined,
): Pick<relay.RelayedRequest, "service" | "softwareVersion"> {
  if (!takenUp) return { service };
  const { softwareVersion } = takenUp;
  const leadsThere = targets.some((target) =>
    target.service === takenUp.service && target.weight > 0
  );
  return { service: leadsThere ? takenUp.service : service, softwareVersion };
}
