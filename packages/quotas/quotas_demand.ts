/** How much a node has spent lately of a team's tokens. */

/** Time over which the past counts less and less. */
const DECAY_MS = 1_000;

/** Time after which a team without requests is expected to have none. */
const SEEN_MS = 10_000;

/** Rate of spending and mean cost of a request, by exponential decay. */
export class SpendingRate {
  #askedCost = 0;
  #askedAtMs = -Infinity;
  #cost = 0;
  #count = 0;
  #atMs = 0;

  record(cost: number, nowMs: number): void {
    this.#decay(nowMs);
    this.#cost += cost;
    this.#count++;
  }

  /** Records a request that arrives, whatever is decided. */
  recordAsked(cost: number, nowMs: number): void {
    const isKnown = this.#askedCost > 0;
    this.#askedCost = isKnown ? 0.8 * this.#askedCost + 0.2 * cost : cost;
    this.#askedAtMs = nowMs;
  }

  /** Returns the mean cost of requests; 0 if none came lately. */
  meanAsked(nowMs: number): number {
    return nowMs - this.#askedAtMs < SEEN_MS ? this.#askedCost : 0;
  }

  /**
   * Returns what is expected to be spent within a time; 0 if that is less than a
   * request, since a part of one is of no use.
   */
  expect(durationMs: number, nowMs: number): number {
    this.#decay(nowMs);
    const expected = this.#cost * durationMs / DECAY_MS;
    return expected * this.#count < this.#cost ? 0 : expected;
  }

  #decay(nowMs: number): void {
    const factor = Math.exp((this.#atMs - nowMs) / DECAY_MS);
    this.#cost *= factor;
    this.#count *= factor;
    this.#atMs = nowMs;
  }
}
