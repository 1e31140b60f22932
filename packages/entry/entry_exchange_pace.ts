/**
 * How often the children of a node may exchange with it. Pattern of load: a
 * small machine that answers many others has no processor time left, its answers
 * come too late, and the nodes below it look for another parent.
 */
import { type EventLoopUtilization, performance } from "node:perf_hooks";

/** Interval at which the use of the processor is measured. */
const MEASURE_MS = 250;
/** Share of the time in which the event loop may be busy. */
const BUSY_SHARE_MAX = 0.6;
/** Below this, the children may exchange more often again. */
const BUSY_SHARE_LOW = 0.4;
/** First interval that is asked for; nodes exchange every 50 ms without. */
const INTERVAL_FIRST_MS = 75;
/**
 * Longest interval. A node that sends no digest for 0.8 s counts as one that has
 * another parent.
 */
const INTERVAL_MAX_MS = 400;
const INCREASE = 1.5;
const DECREASE = 0.8;

/** Measures how busy the event loop was since the last call. */
export type BusyMeter = () => number;

/** Returns a meter of this process. */
function makeBusyMeter(): BusyMeter {
  let last: EventLoopUtilization = performance.eventLoopUtilization();
  return () => {
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, last);
    last = now;
    return utilization;
  };
}

/** Asks for longer intervals while the event loop is busy. */
export class ExchangePace {
  readonly #measure: BusyMeter;
  #measuredAtMs = -Infinity;
  #intervalMs = 0;

  constructor(measure: BusyMeter = makeBusyMeter()) {
    this.#measure = measure;
  }

  /**
   * Returns the shortest interval between two exchanges of a child; 0 while the
   * intervals of the children may be as they are.
   *
   * @example
   * ```ts
   * const view = { minIntervalMs: pace.minIntervalMs(core.monotonicMs()) };
   * ```
   */
  minIntervalMs(nowMs: number): number {
    if (nowMs - this.#measuredAtMs < MEASURE_MS) return this.#intervalMs;
    this.#measuredAtMs = nowMs;
    const busyShare = this.#measure();
    if (busyShare > BUSY_SHARE_MAX) {
      const longerMs = Math.max(INTERVAL_FIRST_MS, this.#intervalMs * INCREASE);
      this.#intervalMs = Math.min(INTERVAL_MAX_MS, Math.round(longerMs));
    } else if (busyShare < BUSY_SHARE_LOW && this.#intervalMs > 0) {
      const shorterMs = Math.round(this.#intervalMs * DECREASE);
      this.#intervalMs = shorterMs < INTERVAL_FIRST_MS ? 0 : shorterMs;
    }
    return this.#intervalMs;
  }
}
