/** Limits retries to a share of requests, so that they cannot feed overload. */

/** Limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries that each request adds to the balance, usually a fraction. */
  readonly retriesPerRequest: number;
  /** Maximum balance, which is also the initial one. */
  readonly balanceMax: number;
}

/** Token bucket that requests fill and retries drain. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #balance: number;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
    this.#balance = options.balanceMax;
  }

  /** Adds the share of one request to the balance. */
  recordRequest(): void {
    const { retriesPerRequest, balanceMax } = this.#options;
    this.#balance = Math.min(balanceMax, this.#balance + retriesPerRequest);
  }

  /** Spends one retry if the balance allows it. */
  trySpend(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
