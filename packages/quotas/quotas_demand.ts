/** How much a node has spent lately of a team's tokens. */

/** Time over which the past counts less and less. */
const DECAY_MS = 1_000;

/** Rate of spending and mean cost of a request, by exponential decay. */
export class SpendingRate {
  #cost = 0;
  #count = 0;
  #atMs = 0;

  record(cost: number, nowMs: number): void {
    this.#decay(nowMs);
    this.#cost += cost;
    this.#count++;
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
