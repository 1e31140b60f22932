/** Limits this node to its share of the retry budget common to all nodes. */

/** Retry budget of one service over all nodes. */
export interface SharedRetryBudgetOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries allowed in addition per window, over all nodes. */
  readonly slack: number;
}

/**
 * Share of the budget that nodes spend. The rest is a safety margin, as clocks
 * and request counts differ between nodes.
 */
const SPENT_SHARE = 0.8;

/** Counts requests and retries of one service in a sliding window. */
export class SharedRetryBudget {
  #options: SharedRetryBudgetOptions;
  readonly #requestsAtMs: number[] = [];
  readonly #retriesAtMs: number[] = [];

  constructor(options: SharedRetryBudgetOptions) {
    this.#options = options;
  }

  /** Applies changed settings; retries already spent still count. */
  updateOptions(options: SharedRetryBudgetOptions): void {
    this.#options = options;
  }

  /** Records a request from a caller, which adds to the budget. */
  recordRequest(nowMs: number): void {
    this.#requestsAtMs.push(nowMs);
    this.#dropExpired(nowMs);
  }

  /**
   * Whether this node's share allows one more retry.
   *
   * @param nodes number of nodes that may spend at the same time.
   */
  canSpend(nodes: number, nowMs: number): boolean {
    this.#dropExpired(nowMs);
    const { ratio, slack } = this.#options;
    const allowed = SPENT_SHARE *
      (ratio * this.#requestsAtMs.length + slack / Math.max(1, nodes));
    return this.#retriesAtMs.length + 1 <= allowed;
  }

  /** Spends one retry if this node's share allows it, as in `canSpend`. */
  trySpend(nodes: number, nowMs: number): boolean {
    if (!this.canSpend(nodes, nowMs)) return false;
    this.#retriesAtMs.push(nowMs);
    return true;
  }

  #dropExpired(nowMs: number): void {
    const sinceMs = nowMs - this.#options.windowMs;
    for (const times of [this.#requestsAtMs, this.#retriesAtMs]) {
      let expired = 0;
      while (expired < times.length && times[expired]! < sinceMs) expired++;
      if (expired > 0) times.splice(0, expired);
    }
  }
}
