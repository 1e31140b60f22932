/** Bounds the memory that buffers of one kind take together. */

/** What one holder has buffered. */
export class MemoryShare {
  readonly #budget: MemoryBudget;
  readonly #evict: () => void;
  #bytes = 0;

  constructor(budget: MemoryBudget, evict: () => void) {
    this.#budget = budget;
    this.#evict = evict;
  }

  /** Bytes that count against the budget. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Sets the bytes that the holder has buffered. If all shares together exceed
   * the budget then, the largest are evicted, which may be this one.
   */
  set(bytes: number): void {
    const before = this.#bytes;
    this.#bytes = bytes;
    this.#budget.account(this, before);
  }

  /** Gives all bytes back and tells the holder to drop what it has buffered. */
  evict(): void {
    this.set(0);
    this.#evict();
  }
}

/**
 * Memory for buffers of many holders. A holder that needs more than is left
 * costs the one that holds most its buffer, so that small ones are kept however
 * much a few others buffer.
 */
export class MemoryBudget {
  readonly #bytesMax: number;
  /** Shares that hold bytes. */
  readonly #shares = new Set<MemoryShare>();
  #bytes = 0;

  constructor(bytesMax: number) {
    this.#bytesMax = bytesMax;
  }

  /** Bytes that all shares hold. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Opens a share, which holds nothing at first. Set it to 0 to give it back.
   *
   * @param evict drops what the holder has buffered; called after the share
   * was set to 0.
   * @example
   * ```ts
   * const share = budget.open(() => attempt.cancel("out of memory"));
   * share.set(body.length);
   * ```
   */
  open(evict: () => void): MemoryShare {
    return new MemoryShare(this, evict);
  }

  /** Called by a share whose bytes have changed. */
  account(share: MemoryShare, bytesBefore: number): void {
    this.#bytes += share.bytes - bytesBefore;
    if (share.bytes > 0) this.#shares.add(share);
    else this.#shares.delete(share);
    while (this.#bytes > this.#bytesMax) this.#largest().evict();
  }

  #largest(): MemoryShare {
    return [...this.#shares].reduce((largest, share) =>
      share.bytes > largest.bytes ? share : largest
    );
  }
}
