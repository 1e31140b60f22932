/** Retries: a share of requests, so that retrying cannot feed an overload. */

/** How many retries there may be. */
export interface RetryBudgetOptions {
  /** Retries earned by each request. */
  readonly retriesPerRequest: number;
  /** Retries saved up at most. */
  readonly balanceMax: number;
}

/** Earns a part of a retry with each request and spends one on each retry. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #saved: number;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
    this.#saved = options.balanceMax;
  }

  /** Notes a request. */
  recordRequest(): void {
    const { retriesPerRequest, balanceMax: savedMax } = this.#options;
    this.#saved = Math.min(savedMax, this.#saved + retriesPerRequest);
  }

  /** Spends one retry if there is one. */
  trySpend(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
