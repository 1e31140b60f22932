/** How fast models run, and when a request's first event can be expected. */
import type * as core from "../core/mod.ts";
import type { InFlightRequest, UpstreamState } from "./dispatch_registry.ts";

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
export class StepTimeEstimator {
  readonly #stepMs = new Map<core.ModelName, number>();

  /** Notes the mean gap between some events of one stream. */
  recordEventGap(
    model: core.ModelName,
    gapMs: number,
    eventTokens: number,
  ): void {
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

/** Part of the tokens allowed that is assumed to be used at first. */
const OUTPUT_SHARE_DEFAULT = 0.4;
/** Weight of one whole answer against the history: lengths vary widely. */
const OUTPUT_SHARE_WEIGHT = 0.02;
/** Length that nine in ten answers keep to, against the mean: they vary widely. */
const OUTPUT_LONG_FACTOR = 2;
/** Part of the rest that an answer longer than that is taken to use. */
const OUTPUT_REST_SHARE = 0.3;

/** Learns how much of the tokens that callers allow answers use. */
export class OutputLengthEstimator {
  #share = OUTPUT_SHARE_DEFAULT;

  /** Notes a whole answer. */
  record(tokens: number, tokensMax: number): void {
    if (tokensMax <= 0) return;
    const share = Math.min(1, tokens / tokensMax);
    this.#share += (share - this.#share) * OUTPUT_SHARE_WEIGHT;
  }

  /** Tokens expected of an answer that may have so many. */
  expected(tokensMax: number): number {
    return tokensMax * this.#share;
  }

  /** Tokens that are likely to be the most still to come. */
  likelyRemainingMax(tokensMax: number, tokensMade: number): number {
    const long = this.expected(tokensMax) * OUTPUT_LONG_FACTOR;
    const left = Math.min(tokensMax, long) - tokensMade;
    const rest = Math.max(0, tokensMax - tokensMade) * OUTPUT_REST_SHARE;
    return Math.max(left, rest);
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
 * const leftMs = dispatch.estimateRemainingMs(pace, output, work, nowMs);
 * ```
 */
export function estimateRemainingMs(
  pace: StepTimeEstimator,
  output: OutputLengthEstimator,
  { model, prefillMs, outputTokensMax, sentAtMs }: InFlightRequest,
  nowMs: number,
): number {
  if (model === undefined) return LEFT_MIN_MS;
  const stepMs = pace.stepMs(model) * SHARED_STEP_FACTOR;
  const decodingMs = nowMs - sentAtMs - prefillMs;
  const made = Math.max(0, decodingMs / stepMs);
  const leftMs = output.likelyRemainingMax(outputTokensMax, made) * stepMs;
  return Math.max(LEFT_MIN_MS, leftMs - Math.min(0, decodingMs));
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
  engine: UpstreamState,
  prefillMs: number,
  firstEventMs: number,
): number {
  const fullness = engine.inFlight / Math.max(1, engine.record.slots);
  const ahead = engine.prefillBacklogMs;
  return (ahead + prefillMs + firstEventMs * (1 + fullness)) *
    engine.latencyFactor;
}
