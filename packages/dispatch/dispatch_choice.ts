/** Selects the engine that runs one request to a model. */
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import { toModelKey } from "./dispatch_model_key.ts";
import type { UpstreamState } from "./dispatch_registry.ts";
import {
  estimateFirstEventMs,
  type StepTimeEstimator,
} from "./dispatch_estimate.ts";

/** What a request requires of an engine. */
export interface RequestNeeds {
  readonly model: core.ModelName;
  readonly adapter?: string;
  readonly promptTokens: number;
  readonly outputTokensMax: number;
  readonly promptParts: readonly fleet.PromptPart[];
  /**
   * Longest acceptable gap between two events of a stream. Engines interleave
   * prefill with the decode steps of running streams, so too many prompts at
   * once stall all of them.
   */
  readonly eventGapMaxMs: number;
}

/** The selected engine with its estimates. */
export interface EngineChoice {
  readonly engine: UpstreamState;
  /** Prefill time of the prompt tokens that are not cached there. */
  readonly prefillMs: number;
  /** Time to first event. */
  readonly firstEventMs: number;
}

/**
 * Share of an engine's memory that admission control may reserve. The rest is
 * headroom, as output lengths vary.
 */
const MEMORY_SHARE = 0.9;
/**
 * Part of the allowed event gap that is kept free for prompts that other nodes
 * send to the same engine in the meantime.
 */
const EVENT_GAP_MARGIN_MS = 100;
/** Penalty for a failure share of 1, or for a suspect engine. */
const FAILURE_PENALTY_MS = 4_000;

/**
 * Selects the engine with the lowest cost among those that can start the
 * request now. The cost is the estimated time to first event plus penalties for
 * recent failures and suspicion.
 *
 * @returns undefined when no engine can start the request now.
 * @example
 * ```ts
 * const choice = dispatch.chooseEngine(
 *   registry.ofService(name),
 *   needs,
 *   context,
 * );
 * ```
 */
export function chooseEngine(
  engines: Iterable<UpstreamState>,
  needs: RequestNeeds,
  context: {
    readonly stepTimes: StepTimeEstimator;
    readonly spec: fleet.EngineSpec;
    readonly nowMs: number;
    readonly excluded: ReadonlySet<UpstreamState>;
  },
): EngineChoice | undefined {
  const { stepTimes, spec, nowMs, excluded } = context;
  const { model, adapter, promptParts } = needs;
  const modelKey = toModelKey(model, adapter);
  const neededTokens = needs.promptTokens + needs.outputTokensMax;
  let best: EngineChoice | undefined;
  let bestCost = Infinity;
  for (const engine of engines) {
    if (!engine.maySend(nowMs) || excluded.has(engine)) continue;
    if (!engine.canRun(model, adapter, nowMs)) continue;
    if (engine.health.isInBackoff(nowMs)) continue;
    if (engine.inFlight >= spec.slots) continue;
    const freeTokens = spec.kvCacheTokens * MEMORY_SHARE -
      engine.reservedTokens;
    // An idle engine accepts a request of any size.
    if (neededTokens > freeTokens && engine.inFlight > 0) continue;
    const isSuspect = engine.isSuspect(nowMs);
    const cachedTokens = engine.prefixCache.cachedTokens(modelKey, promptParts);
    const uncachedTokens = Math.max(0, needs.promptTokens - cachedTokens);
    const prefillMs = stepTimes.prefillMs(model, uncachedTokens);
    const eventMs = stepTimes.stepMs(model) * spec.tokensPerEvent;
    const eventGapMs = engine.prefillBacklogMs + prefillMs + eventMs;
    // Without a prefill backlog, a prompt of any length is admitted.
    const stallsStreams = engine.prefillBacklogMs > 0 &&
      eventGapMs > needs.eventGapMaxMs - EVENT_GAP_MARGIN_MS;
    if (stallsStreams) continue;
    const firstEventMs = estimateFirstEventMs(
      engine,
      prefillMs,
      eventMs,
    );
    const cost = firstEventMs +
      engine.health.failureShare(nowMs) * FAILURE_PENALTY_MS +
      (isSuspect ? FAILURE_PENALTY_MS : 0);
    if (cost >= bestCost) continue;
    best = { engine, prefillMs, firstEventMs };
    bestCost = cost;
  }
  return best;
}
