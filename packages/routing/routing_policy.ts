/** Which engine gets a request. */
import * as core from "../core/mod.ts";
import type { EngineView } from "./routing_fleet.ts";

/** What a policy knows of a request. */
export interface RoutedRequest {
  readonly artifactId: core.ArtifactId;
  /** Tokens that the answer may have. */
  readonly tokensMax: number;
  /** Hash of the prompt's beginning, for cache affinity. */
  readonly prefixHash: number;
  readonly priority: number;
  /** Time left, in milliseconds. */
  readonly remainingMs: number;
}

/** An engine with the time at which the answer is expected to end. */
export interface EngineEstimate {
  readonly view: EngineView;
  readonly firstTokenInMs: number;
  readonly completionInMs: number;
}

/** Chooses among engines that hold the artifact. */
export abstract class RoutingPolicy {
  abstract readonly name: string;
  abstract choose(
    candidates: readonly EngineView[],
    request: RoutedRequest,
  ): EngineView | undefined;
}

/** Service time assumed before any request has been served. */
const SERVICE_TOKENS_ASSUMED = 32;

/**
 * Estimates when an engine would answer.
 *
 * @example
 * ```ts
 * const { wholeInMs } = routing.estimate(view, request);
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
  const ahead = Math.max(0, view.inFlight + 1 - slots);
  const firstTokenInMs = (ahead / slots) * serviceMs + firstTokenMs;
  const wholeInMs = firstTokenInMs + tokenMs * request.tokensMax;
  return { view, firstTokenInMs, completionInMs: wholeInMs };
}

/** Baseline: each engine in turn. */
export class RoundRobinRouting extends RoutingPolicy {
  override readonly name = "round-robin";
  #turn = 0;

  override choose(candidates: readonly EngineView[]): EngineView | undefined {
    if (candidates.length === 0) return undefined;
    return candidates[this.#turn++ % candidates.length];
  }
}

/** Baseline: the least load as reported, lag and all. */
export class LeastReportedRouting extends RoutingPolicy {
  override readonly name = "least-reported";

  override choose(candidates: readonly EngineView[]): EngineView | undefined {
    return leastBy(
      candidates,
      ({ load }) => (load?.running ?? 0) + (load?.waiting ?? 0),
    );
  }
}

/** How far prefix affinity may pull a request. */
export interface EstimatedRoutingOptions {
  /** Extra wait accepted for a warm prefix, in milliseconds. */
  readonly affinityMaxMs: number;
  /** Prefixes remembered. */
  readonly prefixesMax: number;
}

/** The earliest estimated first token, with bounded prefix affinity. */
export class EstimatedRouting extends RoutingPolicy {
  override readonly name = "estimated";
  readonly #options: EstimatedRoutingOptions;
  readonly #warm = new Map<string, core.UpstreamId>();

  constructor(options: EstimatedRoutingOptions) {
    super();
    this.#options = options;
  }

  override choose(
    candidates: readonly EngineView[],
    request: RoutedRequest,
  ): EngineView | undefined {
    const best = leastBy(candidates, (view) => score(view, request));
    if (best === undefined) return undefined;
    const key = `${request.artifactId}|${request.prefixHash}`;
    const chosen = this.#warmEnough(key, candidates, request, best) ?? best;
    this.#remember(key, chosen.upstreamId);
    return chosen;
  }

  #warmEnough(
    key: string,
    candidates: readonly EngineView[],
    request: RoutedRequest,
    best: EngineView,
  ): EngineView | undefined {
    const warmId = this.#warm.get(key);
    const warm = candidates.find(({ upstreamId }) => upstreamId === warmId);
    if (warm === undefined) return undefined;
    const { firstTokenInMs, completionInMs: wholeInMs } = estimateCompletion(
      warm,
      request,
    );
    const extraMs = firstTokenInMs -
      estimateCompletion(best, request).firstTokenInMs;
    const isNear = extraMs <= this.#options.affinityMaxMs;
    return isNear && wholeInMs <= request.remainingMs ? warm : undefined;
  }

  #remember(key: string, upstreamId: core.UpstreamId): void {
    this.#warm.delete(key);
    this.#warm.set(key, upstreamId);
    if (this.#warm.size <= this.#options.prefixesMax) return;
    const oldest = this.#warm.keys().next().value;
    if (oldest !== undefined) this.#warm.delete(oldest);
  }
}

/** First token estimate, with the fill of the batch breaking ties. */
function score(view: EngineView, request: RoutedRequest): number {
  const fill = view.inFlight / Math.max(1, view.load?.slots ?? 1);
  return estimateCompletion(view, request).firstTokenInMs + fill;
}

/** The item of the least value; ties go to a random one. */
function leastBy<Item>(
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
