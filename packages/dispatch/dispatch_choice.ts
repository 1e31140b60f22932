/** Selects the engine that runs one request to a model. */
import * as admission from "../admission/mod.ts";
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import { toModelKey } from "./dispatch_model_key.ts";
import type { UpstreamState } from "./dispatch_registry.ts";
import {
  estimateFirstEventMs,
  type StepTimeEstimator,
} from "./dispatch_estimate.ts";
import {
  CheapestEngine,
  type CostedEngine,
  type EngineSpread,
} from "./dispatch_spread.ts";

/** What a request requires of an engine. */
export interface RequestNeeds {
  /** Identifies a request that is tried several times. */
  readonly request?: object;
  readonly model: core.ModelName;
  readonly adapter?: string;
  readonly promptTokens: number;
  readonly outputTokensMax: number;
  /** Output tokens that few such requests exceed; the maximum if absent. */
  readonly outputTokensLikely?: number;
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
 * Part of the allowed event gap that is kept free for prompts that other nodes
 * send to the same engine in the meantime.
 */
const EVENT_GAP_MARGIN_MS = 100;
/** Penalty for a failure share of 1, or for a suspect engine. */
const FAILURE_PENALTY_MS = 4_000;

const OPTIMISTIC = new admission.OptimisticRule();
const CHEAPEST = new CheapestEngine();

/** What a choice depends on besides the engines and the request. */
export interface ChoiceContext {
  readonly stepTimes: StepTimeEstimator;
  readonly spec: fleet.EngineSpec;
  readonly nowMs: number;
  readonly excluded: ReadonlySet<UpstreamState>;
  /** Admits requests to the engines' memory; optimistic by default. */
  readonly admission?: admission.AdmissionRule;
  /** Chooses among engines of nearly the same cost; the cheapest by default. */
  readonly spread?: EngineSpread;
  /** Called if nothing but their memory keeps engines from the request. */
  readonly onMemoryFull?: (engines: readonly UpstreamState[]) => void;
}

/**
 * Selects an engine by cost among those that can start the request now. The cost
 * is the estimated time to first event plus penalties for recent failures and
 * suspicion.
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
  context: ChoiceContext,
): EngineChoice | undefined {
  const { spec, nowMs, admission: rule = OPTIMISTIC } = context;
  const request = {
    key: needs.request ?? needs,
    tokens: neededTokensOf(needs),
  };
  const open: CostedEngine<EngineChoice>[] = [];
  const competition = new admission.Competition();
  for (const engine of engines) {
    if (!isUsable(engine, needs, context)) continue;
    competition.add(engine.memory);
    const candidate = costEngine(engine, needs, context);
    if (candidate) open.push(candidate);
  }
  const spread = context.spread ?? CHEAPEST;
  const near = spread.countNear(open);
  const costed = open.filter(({ choice }, n) => {
    const room = roomOf(choice.engine, spec, near[n]!);
    return rule.admits(room, request, competition, nowMs);
  });
  if (costed.length > 0) {
    rule.release(request);
    return spread.pick(costed);
  }
  if (open.length > 0) {
    const full = open.map(({ choice }) => choice.engine);
    const rooms = full.map((each) => roomOf(each, spec, 1));
    rule.claim(request, rooms, nowMs);
    context.onMemoryFull?.(full);
  }
  return undefined;
}

/** Engine memory that a request is expected to need, in tokens. */
export function neededTokensOf(
  { promptTokens, outputTokensMax, outputTokensLikely }: RequestNeeds,
): number {
  return promptTokens + (outputTokensLikely ?? outputTokensMax);
}

function roomOf(
  { record, memory, inFlight }: UpstreamState,
  spec: fleet.EngineSpec,
  alternatives: number,
): admission.EngineRoom {
  const { kvCacheTokens: capacityTokens } = spec;
  return { id: record.id, capacityTokens, memory, inFlight, alternatives };
}

/** Whether requests for the model may be sent to an engine at all. */
function isUsable(
  engine: UpstreamState,
  { model, adapter }: RequestNeeds,
  { nowMs, excluded }: ChoiceContext,
): boolean {
  return engine.maySend(nowMs) && !excluded.has(engine) &&
    engine.canRun(model, adapter, nowMs) && !engine.health.isInBackoff(nowMs);
}

/** The cost of an engine; undefined if it cannot start the request now. */
function costEngine(
  engine: UpstreamState,
  needs: RequestNeeds,
  { stepTimes, spec, nowMs }: ChoiceContext,
): CostedEngine<EngineChoice> | undefined {
  const { model, adapter, promptParts } = needs;
  if (engine.inFlight >= spec.slots) return undefined;
  const modelKey = toModelKey(model, adapter);
  const cachedTokens = engine.prefixCache.cachedTokens(modelKey, promptParts);
  const uncachedTokens = Math.max(0, needs.promptTokens - cachedTokens);
  const prefillMs = stepTimes.prefillMs(model, uncachedTokens);
  const eventMs = stepTimes.stepMs(model) * spec.tokensPerEvent;
  const backlogMs = engine.prefillBacklogMs;
  const eventGapMs = (backlogMs + prefillMs + eventMs) *
    engine.latency.slowdown;
  // Without a prefill backlog, a prompt of any length is admitted.
  const stallsStreams = backlogMs > 0 &&
    eventGapMs > needs.eventGapMaxMs - EVENT_GAP_MARGIN_MS;
  if (stallsStreams) return undefined;
  const firstEventMs = estimateFirstEventMs(engine, prefillMs, eventMs);
  const costMs = firstEventMs +
    engine.health.failureShare(nowMs) * FAILURE_PENALTY_MS +
    (engine.isSuspect(nowMs) ? FAILURE_PENALTY_MS : 0);
  return {
    id: engine.record.id,
    costMs,
    choice: { engine, prefillMs, firstEventMs },
  };
}
