/** Since when requests of a team lack tokens, at a node and below it. */

/**
 * Time from the first shortage until all nodes have given what they do not need:
 * one exchange to hear of it and one to give, at each level.
 */
const SETTLE_MS = 250;
/** A shortage is announced for this long after requests last waited. */
const HOLD_MS = 300;
/** After this without one, a shortage is a new one. */
const PAUSE_MS = 1_000;

export class Shortage {
  #sinceMs = -Infinity;
  #lastMs = -Infinity;

  /** Records that more is waited for than is in stock. */
  record(nowMs: number): void {
    if (nowMs - this.#lastMs > PAUSE_MS) this.#sinceMs = nowMs;
    this.#lastMs = nowMs;
  }

  /** Whether other nodes are to give what they do not need. */
  isAnnounced(nowMs: number): boolean {
    return nowMs - this.#lastMs < HOLD_MS;
  }

  /** Whether nodes may still have tokens that they do not need. */
  isNew(nowMs: number): boolean {
    return nowMs - this.#sinceMs < SETTLE_MS;
  }
}
