/** Estimates model speed, output lengths and the timing of requests. */
import type * as core from "../core/mod.ts";
import type { InFlightRequest, UpstreamState } from "./dispatch_registry.ts";

/** Decode step time of a model without samples, from the engines' data sheets. */
const STEP_DEFAULT_MS = 10.5;
/**
 * Prompt tokens processed in the time of one decode step. The data sheets give
 * 19.2 prompt tokens per ms.
 */
const PROMPT_TOKENS_PER_STEP = 200;
/**
 * Weight of a sample above the estimate. Full engines take longer steps for
 * seconds on end but prefill at the usual speed, and prefill times are derived
 * from the step time.
 */
const STEP_RISE_WEIGHT = 0.001;
/**
 * Weight of a sample below the estimate. It is high, as a mean of several gaps
 * is rarely shorter than the steps really took.
 */
const STEP_FALL_WEIGHT = 0.3;
const STEP_MIN_MS = 0.2;

/** Learns the decode step time of each model from gaps between events. */
export class StepTimeEstimator {
  readonly #stepMs = new Map<core.ModelName, number>();

  /**
   * Records a sample.
   *
   * @param gapMs mean gap between several events of one stream.
   */
  recordEventGap(
    model: core.ModelName,
    gapMs: number,
    tokensPerEvent: number,
  ): void {
    const sampleMs = Math.max(STEP_MIN_MS, gapMs / tokensPerEvent);
    const stepMs = this.#stepMs.get(model) ?? sampleMs;
    const weight = sampleMs < stepMs ? STEP_FALL_WEIGHT : STEP_RISE_WEIGHT;
    this.#stepMs.set(model, stepMs + (sampleMs - stepMs) * weight);
  }

  /** Time of one decode step without contention, in ms. */
  stepMs(model: core.ModelName): number {
    return this.#stepMs.get(model) ?? STEP_DEFAULT_MS;
  }

  /** Prefill time of a number of prompt tokens, in ms. */
  prefillMs(model: core.ModelName, tokens: number): number {
    return tokens * this.stepMs(model) / PROMPT_TOKENS_PER_STEP;
  }
}

/** Share of the allowed output tokens assumed before the first response. */
const OUTPUT_SHARE_DEFAULT = 0.4;
/** Weight of one response; low, as output lengths vary widely. */
const OUTPUT_SHARE_WEIGHT = 0.02;
/**
 * Output length that nine in ten responses do not exceed, as a multiple of the
 * mean. It lies far above the mean because lengths vary widely.
 */
const LONG_OUTPUT_FACTOR = 2;
/**
 * Lower bound of the remaining tokens, as a share of those still allowed. It
 * applies to responses that are near that length or beyond it.
 */
const REMAINING_SHARE = 0.3;

/** Learns which share of the allowed output tokens responses use. */
export class OutputLengthEstimator {
  #share = OUTPUT_SHARE_DEFAULT;

  /** Records a complete response. */
  record(tokens: number, tokensMax: number): void {
    if (tokensMax <= 0) return;
    const share = Math.min(1, tokens / tokensMax);
    this.#share += (share - this.#share) * OUTPUT_SHARE_WEIGHT;
  }

  /** Mean number of output tokens, given the maximum allowed. */
  expected(tokensMax: number): number {
    return tokensMax * this.#share;
  }

  /** High estimate of the output tokens that a response still generates. */
  likelyRemainingMax(tokensMax: number, tokensGenerated: number): number {
    const longTokens = this.expected(tokensMax) * LONG_OUTPUT_FACTOR;
    const remaining = Math.min(tokensMax, longTokens) - tokensGenerated;
    const remainingMin = Math.max(0, tokensMax - tokensGenerated) *
      REMAINING_SHARE;
    return Math.max(remaining, remainingMin);
  }
}

/** Streams on one engine share decode steps, which then take longer. */
const SHARED_STEP_FACTOR = 1.5;
/** Remaining time assumed for a request that has outlasted its estimate. */
const REMAINING_MIN_MS = 100;

/**
 * Estimates how long an in-flight request still takes, in ms: any prefill left
 * and a high estimate of its decoding.
 *
 * @example
 * ```ts
 * const remainingMs = dispatch.estimateRemainingMs(
 *   stepTimes,
 *   outputLengths,
 *   request,
 *   nowMs,
 * );
 * ```
 */
export function estimateRemainingMs(
  stepTimes: StepTimeEstimator,
  outputLengths: OutputLengthEstimator,
  { model, prefillMs, outputTokensMax, sentAtMs }: InFlightRequest,
  nowMs: number,
): number {
  if (model === undefined) return REMAINING_MIN_MS;
  const stepMs = stepTimes.stepMs(model) * SHARED_STEP_FACTOR;
  // Negative while the prompt is still being processed.
  const decodingMs = nowMs - sentAtMs - prefillMs;
  const generated = Math.max(0, decodingMs / stepMs);
  const decodeMs =
    outputLengths.likelyRemainingMax(outputTokensMax, generated) * stepMs;
  return Math.max(REMAINING_MIN_MS, decodeMs - Math.min(0, decodingMs));
}

/**
 * Estimates the time to first event of a new request, in ms.
 *
 * @param prefillMs prefill time of the prompt tokens not cached on the engine.
 * @param decodeMs time to generate the tokens of the first event on an idle
 * engine.
 * @example
 * ```ts
 * const firstEventMs = dispatch.estimateFirstEventMs(engine, 40, 30);
 * ```
 */
export function estimateFirstEventMs(
  engine: UpstreamState,
  prefillMs: number,
  decodeMs: number,
): number {
  const occupancy = engine.inFlight / Math.max(1, engine.record.slots);
  const backlogMs = engine.prefillBacklogMs;
  return (backlogMs + prefillMs + decodeMs * (1 + occupancy)) *
    engine.latencyFactor;
}
