/** The rate of loads from the weight store, over all engines. */

/** Loads that may begin at once beyond the steady rate. */
const BURST_LOADS = 2;
const MS_PER_S = 1_000;

/**
 * A token bucket. It starts empty, so that a new holder cannot add a burst of
 * its own to the one that the holder before may have spent.
 */
export class LoadRateLimiter {
  #tokens = 0;
  #atMs: number;

  constructor(nowMs: number) {
    this.#atMs = nowMs;
  }

  /** Loads that may begin now. */
  available(loadsPerS: number, nowMs: number): number {
    this.#fill(loadsPerS, nowMs);
    return Math.floor(this.#tokens);
  }

  /** Takes one load. */
  take(): void {
    this.#tokens -= 1;
  }

  #fill(loadsPerS: number, nowMs: number): void {
    const earned = (nowMs - this.#atMs) / MS_PER_S * loadsPerS;
    this.#tokens = Math.min(BURST_LOADS, this.#tokens + earned);
    this.#atMs = nowMs;
  }
}
