/** Limits the rate of loads from the weight store, over all engines. */

/** Loads that may start at once beyond the steady rate. */
const BURST_LOADS = 2;
const MS_PER_S = 1_000;

/**
 * A token bucket. It starts empty, so that a new lease holder does not add a
 * burst to the one that the previous holder may have used.
 */
export class LoadRateLimiter {
  #tokens = 0;
  #refilledAtMs: number;

  constructor(nowMs: number) {
    this.#refilledAtMs = nowMs;
  }

  /** Loads that may start now. */
  available(loadsPerS: number, nowMs: number): number {
    this.#refill(loadsPerS, nowMs);
    return Math.floor(this.#tokens);
  }

  /** Takes one load. */
  take(): void {
    this.#tokens -= 1;
  }

  #refill(loadsPerS: number, nowMs: number): void {
    const earned = (nowMs - this.#refilledAtMs) / MS_PER_S * loadsPerS;
    this.#tokens = Math.min(BURST_LOADS, this.#tokens + earned);
    this.#refilledAtMs = nowMs;
  }
}
