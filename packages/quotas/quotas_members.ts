/** By how many nodes a rate is divided. */

/**
 * Time from when a node is registered until it refills. Meanwhile the others
 * hear of it and refill less.
 */
const JOIN_MS = 1_000;
/**
 * Time for which a lower number has to be seen. Rows may be missing for a moment
 * after a restore of the store, and a node that leaves may still have tokens.
 */
const FEWER_MS = 5_000;

/** Counts nodes so that the shares of all of them add up to at most one. */
export class NodeCount {
  #count = 0;
  #fewer = 0;
  #fewerSinceMs = Infinity;
  #memberSinceMs: number | undefined;

  /**
   * Returns the number to divide by; undefined if this node has no share.
   *
   * @param isMember whether this node is registered and not leaving.
   */
  update(
    nodes: number,
    isMember: boolean,
    nowMs: number,
  ): number | undefined {
    if (nodes >= this.#count) {
      this.#count = nodes;
      this.#fewerSinceMs = Infinity;
    } else {
      const isNew = this.#fewerSinceMs === Infinity;
      if (isNew) this.#fewerSinceMs = nowMs;
      // The highest number of the time counts.
      this.#fewer = isNew ? nodes : Math.max(this.#fewer, nodes);
      if (nowMs - this.#fewerSinceMs >= FEWER_MS) {
        this.#count = this.#fewer;
        this.#fewerSinceMs = Infinity;
      }
    }
    if (!isMember) {
      this.#memberSinceMs = undefined;
      return undefined;
    }
    this.#memberSinceMs ??= nowMs;
    const isSettled = nowMs - this.#memberSinceMs >= JOIN_MS;
    return isSettled && this.#count > 0 ? this.#count : undefined;
  }
}
