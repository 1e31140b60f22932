/** Routing policies: select the engine that runs a request. */
import * as core from "../core/mod.ts";
import type { EngineView } from "./routing_fleet.ts";

/** Properties of a request that policies use. */
export interface RoutedRequest {
  readonly artifactId: core.ArtifactId;
  /** Maximum number of output tokens. */
  readonly tokensMax: number;
  /** Hash of the prompt prefix, for cache affinity. */
  readonly prefixHash: number;
  readonly priority: number;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
}

/** An engine with the estimated times of its response, from now. */
export interface EngineEstimate {
  readonly view: EngineView;
  readonly firstTokenInMs: number;
  readonly completionInMs: number;
}

/** Selects one of the engines that have loaded the artifact. */
export abstract class RoutingPolicy {
  abstract readonly name: string;
  abstract choose(
    candidates: readonly EngineView[],
    request: RoutedRequest,
  ): EngineView | undefined;
}

/** Output tokens of the service time assumed before any request completed. */
const SERVICE_TOKENS_ASSUMED = 32;

/**
 * Estimates when an engine would respond to a request: wait for a free slot,
 * then the first token, then the maximum number of output tokens.
 *
 * @example
 * ```ts
 * const { completionInMs } = routing.estimateCompletion(view, request);
 * ```
 */
export function estimateCompletion(
  view: EngineView,
  request: Pick<RoutedRequest, "tokensMax">,
): EngineEstimate {
  const load = view.load;
  const slots = load?.slots ?? 1;
  const firstTokenMs = load?.firstTokenMs ?? 0;
  const tokenMs = load?.tokenMs ?? 0;
  const serviceMs = view.serviceMs > 0
    ? view.serviceMs
    : firstTokenMs + tokenMs * SERVICE_TOKENS_ASSUMED;
  const requestsAhead = Math.max(0, view.inFlight + 1 - slots);
  const firstTokenInMs = (requestsAhead / slots) * serviceMs + firstTokenMs;
  const completionInMs = firstTokenInMs + tokenMs * request.tokensMax;
  return { view, firstTokenInMs, completionInMs };
}

/** Baseline policy: each engine in turn. */
export class RoundRobinRouting extends RoutingPolicy {
  override readonly name = "round-robin";
  #nextIndex = 0;

  override choose(candidates: readonly EngineView[]): EngineView | undefined {
    if (candidates.length === 0) return undefined;
    return candidates[this.#nextIndex++ % candidates.length];
  }
}

/** Baseline policy: the least reported load, without correcting for its age. */
export class LeastReportedRouting extends RoutingPolicy {
  override readonly name = "least-reported";

  override choose(candidates: readonly EngineView[]): EngineView | undefined {
    return minBy(
      candidates,
      ({ load }) => (load?.running ?? 0) + (load?.waiting ?? 0),
    );
  }
}

/** Limits of prefix affinity. */
export interface EstimatedRoutingOptions {
  /** Additional delay accepted for a cached prefix, in milliseconds. */
  readonly affinityMaxMs: number;
  /** Maximum number of tracked prefixes; the least recently used is evicted. */
  readonly prefixesMax: number;
}

/**
 * Selects the engine with the earliest estimated first token. Prefers the one
 * last chosen for the prefix while its additional delay is within the affinity
 * bound and its response within the deadline.
 */
export class EstimatedRouting extends RoutingPolicy {
  override readonly name = "estimated";
  readonly #options: EstimatedRoutingOptions;
  readonly #engineByPrefix = new Map<string, core.UpstreamId>();

  constructor(options: EstimatedRoutingOptions) {
    super();
    this.#options = options;
  }

  override choose(
    candidates: readonly EngineView[],
    request: RoutedRequest,
  ): EngineView | undefined {
    const best = minBy(candidates, (view) => score(view, request));
    if (best === undefined) return undefined;
    const key = `${request.artifactId}|${request.prefixHash}`;
    const chosen = this.#affinityEngine(key, candidates, request, best) ?? best;
    this.#recordPrefix(key, chosen.upstreamId);
    return chosen;
  }

  #affinityEngine(
    key: string,
    candidates: readonly EngineView[],
    request: RoutedRequest,
    best: EngineView,
  ): EngineView | undefined {
    const previousId = this.#engineByPrefix.get(key);
    const previous = candidates.find(({ upstreamId }) =>
      upstreamId === previousId
    );
    if (previous === undefined) return undefined;
    const { firstTokenInMs, completionInMs } = estimateCompletion(
      previous,
      request,
    );
    const extraMs = firstTokenInMs -
      estimateCompletion(best, request).firstTokenInMs;
    const isWithinBound = extraMs <= this.#options.affinityMaxMs;
    return isWithinBound && completionInMs <= request.remainingMs
      ? previous
      : undefined;
  }

  #recordPrefix(key: string, upstreamId: core.UpstreamId): void {
    this.#engineByPrefix.delete(key);
    this.#engineByPrefix.set(key, upstreamId);
    if (this.#engineByPrefix.size <= this.#options.prefixesMax) return;
    const oldest = this.#engineByPrefix.keys().next().value;
    if (oldest !== undefined) this.#engineByPrefix.delete(oldest);
  }
}

/** Estimated time to first token; slot occupancy breaks ties. */
function score(view: EngineView, request: RoutedRequest): number {
  const occupancy = view.inFlight / Math.max(1, view.load?.slots ?? 1);
  return estimateCompletion(view, request).firstTokenInMs + occupancy;
}

/** Returns an item with the smallest value, a random one of several. */
function minBy<Item>(
  items: readonly Item[],
  valueOf: (item: Item) => number,
): Item | undefined {
  let least: Item[] = [];
  let leastValue = Infinity;
  for (const item of items) {
    const value = valueOf(item);
    if (value > leastValue) continue;
    if (value < leastValue) least = [];
    leastValue = value;
    least.push(item);
  }
  return least[Math.floor(Math.random() * least.length)];
}
