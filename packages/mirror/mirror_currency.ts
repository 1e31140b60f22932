/** As of when a copy of a table is known to be current. */

/** A read whose answer confirmed a copy. */
export interface ConfirmingRead {
  /** When the store's read began, by this node's monotonic clock. */
  readonly asOfMs: number;
  /**
   * When this node began to ask for it: the store, or a node that passed the
   * age of its own copy on.
   */
  readonly askedAtMs: number;
}

/**
 * Keeps the latest read that confirmed a copy. A read that was asked for before
 * the process was last suspended says nothing: its answer may have waited.
 */
export class CopyCurrency {
  readonly #resumedAtMs: () => number;
  #last: ConfirmingRead = { asOfMs: -Infinity, askedAtMs: -Infinity };

  /** @param resumedAtMs end of the last suspension of the process. */
  constructor(resumedAtMs: () => number) {
    this.#resumedAtMs = resumedAtMs;
  }

  /**
   * Records a read that confirmed the copy.
   *
   * @example
   * ```ts
   * currency.record({ asOfMs: startedAtMs, askedAtMs: startedAtMs });
   * ```
   */
  record(read: ConfirmingRead): void {
    if (!this.#isTrusted(read)) return;
    const isKnown = this.#isTrusted(this.#last);
    if (!isKnown || read.asOfMs > this.#last.asOfMs) this.#last = read;
  }

  /** Start of the latest read that confirmed the copy; -Infinity if none. */
  get asOfMs(): number {
    return this.#isTrusted(this.#last) ? this.#last.asOfMs : -Infinity;
  }

  #isTrusted({ askedAtMs }: ConfirmingRead): boolean {
    return askedAtMs > this.#resumedAtMs();
  }
}
