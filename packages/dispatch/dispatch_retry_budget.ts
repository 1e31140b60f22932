/** One node's share of the retry budget that all nodes have together. */

/** The budget of the whole system, for each service. */
export interface SharedRetryBudgetOptions {
  /** Retries allowed for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries allowed beyond the ratio in one window, over all nodes. */
  readonly slack: number;
}

/** Part of the budget that is used: clocks and counts of nodes differ. */
const USED_SHARE = 0.8;

/** Counts requests and retries of one service in a sliding window. */
export class SharedRetryBudget {
  #options: SharedRetryBudgetOptions;
  readonly #requestsAtMs: number[] = [];
  readonly #retriesAtMs: number[] = [];

  constructor(options: SharedRetryBudgetOptions) {
    this.#options = options;
  }

  /** Takes changed settings; what was spent stays spent. */
  updateOptions(options: SharedRetryBudgetOptions): void {
    this.#options = options;
  }

  /** Notes a request of a caller. */
  recordRequest(nowMs: number): void {
    this.#requestsAtMs.push(nowMs);
    this.#forget(nowMs);
  }

  /**
   * Takes one retry if this node's share allows it.
   *
   * @param nodes how many nodes may spend at the same time.
   */
  trySpend(nodes: number, nowMs: number): boolean {
    this.#forget(nowMs);
    const { ratio, slack } = this.#options;
    const allowed = USED_SHARE *
      (ratio * this.#requestsAtMs.length + slack / Math.max(1, nodes));
    if (this.#retriesAtMs.length + 1 > allowed) return false;
    this.#retriesAtMs.push(nowMs);
    return true;
  }

  #forget(nowMs: number): void {
    const sinceMs = nowMs - this.#options.windowMs;
    for (const times of [this.#requestsAtMs, this.#retriesAtMs]) {
      let old = 0;
      while (old < times.length && times[old]! < sinceMs) old++;
      if (old > 0) times.splice(0, old);
    }
  }
}
