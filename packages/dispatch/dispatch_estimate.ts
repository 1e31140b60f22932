/** How fast models run, and when a request's first event can be expected. */
import type * as core from "../core/mod.ts";
import type { EngineState, EngineWork } from "./dispatch_board.ts";

/** Step time assumed for a model not seen yet, in ms: the users' sheets. */
const STEP_DEFAULT_MS = 10.5;
/** Prompt tokens read in the time of one step: 19.2 per ms on the sheets. */
const PROMPT_TOKENS_PER_STEP = 200;
/**
 * Weight with which a longer gap raises the estimate of a step. Full engines
 * make longer steps for seconds on end, but read prompts as fast as ever.
 */
const STEP_RISE_WEIGHT = 0.001;
/** Weight with which a shorter gap lowers it: means are hardly too short. */
const STEP_FALL_WEIGHT = 0.3;
const STEP_MIN_MS = 0.2;

/** Learns the step time of each model from the gaps between events. */
export class ModelPace {
  readonly #stepMs = new Map<core.ModelName, number>();

  /** Notes the mean gap between some events of one stream. */
  noteGap(model: core.ModelName, gapMs: number, eventTokens: number): void {
    const sampleMs = Math.max(STEP_MIN_MS, gapMs / eventTokens);
    const stepMs = this.#stepMs.get(model) ?? sampleMs;
    const weight = sampleMs < stepMs ? STEP_FALL_WEIGHT : STEP_RISE_WEIGHT;
    this.#stepMs.set(model, stepMs + (sampleMs - stepMs) * weight);
  }

  /** Time of one step when nothing else holds it up, in ms. */
  stepMs(model: core.ModelName): number {
    return this.#stepMs.get(model) ?? STEP_DEFAULT_MS;
  }

  /** Time to read prompt tokens, in ms. */
  prefillMs(model: core.ModelName, tokens: number): number {
    return tokens * this.stepMs(model) / PROMPT_TOKENS_PER_STEP;
  }
}

/** Streams share steps, so that they take longer than alone. */
const SHARED_STEP_FACTOR = 1.5;
/** Time that a request is expected to take on when its estimate has passed. */
const LEFT_MIN_MS = 100;

/**
 * Estimates how long a request on its way still takes, in ms.
 *
 * @example
 * ```ts
 * const leftMs = dispatch.estimateLeftMs(pace, work, core.monotonicMs());
 * ```
 */
export function estimateLeftMs(
  pace: ModelPace,
  { model, prefillMs, outputTokens, sentAtMs }: EngineWork,
  nowMs: number,
): number {
  if (model === undefined) return LEFT_MIN_MS;
  const decodeMs = outputTokens * pace.stepMs(model) * SHARED_STEP_FACTOR;
  return Math.max(LEFT_MIN_MS, sentAtMs + prefillMs + decodeMs - nowMs);
}

/**
 * Estimates when a request's first event would arrive, in ms from now.
 *
 * @param prefillMs time to read what of the prompt is not kept there.
 * @param firstEventMs time to make the tokens of the first event.
 * @example
 * ```ts
 * const estimateMs = dispatch.estimateFirstEventMs(engine, 40, 30);
 * ```
 */
export function estimateFirstEventMs(
  engine: EngineState,
  prefillMs: number,
  firstEventMs: number,
): number {
  const fullness = engine.inFlight / Math.max(1, engine.record.slots);
  const ahead = engine.prefillBacklogMs;
  return (ahead + prefillMs + firstEventMs * (1 + fullness)) * engine.slowness;
}
