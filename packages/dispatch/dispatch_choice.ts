/** Chooses the engine for one request to a model. */
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type { EngineState } from "./dispatch_board.ts";
import { estimateFirstEventMs, type ModelPace } from "./dispatch_estimate.ts";

/** What a request needs of an engine. */
export interface RequestNeeds {
  readonly model: core.ModelName;
  readonly adapter?: string;
  readonly promptTokens: number;
  readonly outputTokensMax: number;
  readonly parts: readonly fleet.PromptPart[];
  /**
   * Longest pause that streams may have: prompts are read between the tokens
   * of running streams, so too many at once hold all of them up.
   */
  readonly pauseMaxMs: number;
}

/** An engine, and what is expected of it. */
export interface EngineChoice {
  readonly engine: EngineState;
  readonly prefillMs: number;
  readonly firstEventMs: number;
}

/** Share of an engine's memory that admission fills: outputs vary. */
const MEMORY_SHARE = 0.9;
/** Part of a pause that is left for what other nodes send meanwhile. */
const PAUSE_MARGIN_MS = 100;
/** Added to the estimate for a failure share of 1. */
const FAILURE_PENALTY_MS = 4_000;

/**
 * Chooses the engine with the earliest expected first event among those that
 * can begin the request now.
 *
 * @returns undefined when no engine can begin it now.
 * @example
 * ```ts
 * const choice = dispatch.chooseEngine(board.ofService(name), needs, options);
 * ```
 */
export function chooseEngine(
  engines: Iterable<EngineState>,
  needs: RequestNeeds,
  context: {
    readonly pace: ModelPace;
    readonly spec: fleet.EngineSpec;
    readonly nowMs: number;
    readonly excluded: ReadonlySet<EngineState>;
  },
): EngineChoice | undefined {
  const { pace, spec, nowMs, excluded } = context;
  const { model, adapter, parts } = needs;
  const weights = adapter === undefined ? model : `${model}/${adapter}`;
  const need = needs.promptTokens + needs.outputTokensMax;
  let best: EngineChoice | undefined;
  let bestCost = Infinity;
  for (const engine of engines) {
    if (engine.record.isLeaving || excluded.has(engine)) continue;
    if (!engine.canRun(model, adapter, nowMs)) continue;
    if (engine.health.isUnreachable(nowMs)) continue;
    if (engine.inFlight >= spec.slots) continue;
    const room = spec.kvCacheTokens * MEMORY_SHARE - engine.tokens;
    if (need > room && engine.inFlight > 0) continue;
    const isSuspect = engine.isSuspect(nowMs);
    const cached = engine.prefixes.cachedTokens(weights, parts);
    const rest = Math.max(0, needs.promptTokens - cached);
    const prefillMs = pace.prefillMs(model, rest);
    const eventMs = pace.stepMs(model) * spec.tokensPerEvent;
    const pauseMs = engine.prefillBacklogMs + prefillMs + eventMs;
    const holdsUpStreams = engine.prefillBacklogMs > 0 &&
      pauseMs > needs.pauseMaxMs - PAUSE_MARGIN_MS;
    if (holdsUpStreams) continue;
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
