/** The part of its weight that an overloaded node asks callers for. */

/** Remaining parts of the weight, in percent, by how long an overload lasts. */
const STEPS = [
  { percent: 50, afterMs: 2_000 },
  { percent: 25, afterMs: 6_000 },
] as const;
const FULL_PERCENT = 100;
/** An overload that pauses for less goes on. */
const GAP_MAX_MS = 1_500;
/** Time without overload before the weight rises by one step. */
const HOLD_MIN_MS = 10_000;
const HOLD_MAX_MS = 80_000;
/** An overload that returns within this time doubles the next hold. */
const RELAPSE_MS = 60_000;

/**
 * Lowers a node's weight only for an overload that lasts, and restores it
 * slowly, as callers close their connections to a node that leaves an answer.
 */
export class AdvertisedWeight {
  #percent = FULL_PERCENT;
  #overloadedSinceMs: number | undefined;
  #overloadedAtMs = -Infinity;
  #raisedAtMs = -Infinity;
  #holdMs = HOLD_MIN_MS;

  /** Part of the node's weight that counts, in percent. */
  get percent(): number {
    return this.#percent;
  }

  /**
   * Notes whether the node is overloaded now; to be called at least every
   * second.
   *
   * @returns whether the part has changed.
   */
  update(isOverloaded: boolean, nowMs: number): boolean {
    const before = this.#percent;
    if (isOverloaded) this.#lower(nowMs);
    else if (nowMs - this.#overloadedAtMs > GAP_MAX_MS) this.#raise(nowMs);
    return this.#percent !== before;
  }

  #lower(nowMs: number): void {
    this.#overloadedSinceMs ??= nowMs;
    this.#overloadedAtMs = nowMs;
    const lastedMs = nowMs - this.#overloadedSinceMs;
    const isFull = this.#percent === FULL_PERCENT;
    for (const { percent, afterMs } of STEPS) {
      if (lastedMs >= afterMs) this.#percent = Math.min(this.#percent, percent);
    }
    if (!isFull || this.#percent === FULL_PERCENT) return;
    const isRelapse = nowMs - this.#raisedAtMs < RELAPSE_MS;
    this.#holdMs = isRelapse
      ? Math.min(HOLD_MAX_MS, this.#holdMs * 2)
      : HOLD_MIN_MS;
  }

  #raise(nowMs: number): void {
    this.#overloadedSinceMs = undefined;
    if (this.#percent === FULL_PERCENT) return;
    const sinceMs = nowMs - Math.max(this.#overloadedAtMs, this.#raisedAtMs);
    if (sinceMs < this.#holdMs) return;
    const higher = STEPS.filter(({ percent }) => percent > this.#percent);
    this.#percent = higher.at(-1)?.percent ?? FULL_PERCENT;
    this.#raisedAtMs = nowMs;
  }
}
