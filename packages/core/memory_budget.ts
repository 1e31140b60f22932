/** Bounds the memory that buffers of one kind take together. */

/** What one holder has buffered. */
export class MemoryShare {
  readonly #budget: MemoryBudget;
  readonly #evict: () => void;
  readonly #rank: ((bytes: number) => number) | undefined;
  #bytes = 0;

  constructor(
    budget: MemoryBudget,
    evict: () => void,
    rank?: (bytes: number) => number,
  ) {
    this.#budget = budget;
    this.#evict = evict;
    this.#rank = rank;
  }

  /** Bytes that count against the budget. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The share with the highest rank is evicted first. */
  get rank(): number {
    return this.#rank ? this.#rank(this.#bytes) : this.#bytes;
  }

  /**
   * Sets the bytes that the holder has buffered. If all shares together exceed
   * the budget then, the largest are evicted, which may be this one.
   */
  set(bytes: number): void {
    const before = this.#bytes;
    if (bytes === before) return;
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
 * much a few others buffer. A part of a budget has a limit of its own, and
 * counts against the whole as well.
 */
export class MemoryBudget {
  #bytesMax: number;
  readonly #whole: MemoryBudget | undefined;
  /** Shares that hold bytes. */
  readonly #shares = new Set<MemoryShare>();
  #bytes = 0;

  /** @param whole the budget that this one is a part of. */
  constructor(bytesMax: number, whole?: MemoryBudget) {
    this.#bytesMax = bytesMax;
    this.#whole = whole;
  }

  /** Bytes that all shares hold. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Limit of the bytes that all shares hold. */
  get bytesMax(): number {
    return this.#bytesMax;
  }

  /** Changes the limit; the largest shares above a lower one are evicted. */
  setMax(bytesMax: number): void {
    this.#bytesMax = bytesMax;
    this.#evictExcess();
  }

  /**
   * Opens a share, which holds nothing at first. Set it to 0 to give it back.
   *
   * @param evict drops what the holder has buffered; called after the share
   * was set to 0.
   * @param rank decides which share is evicted first, by its bytes if absent.
   * @example
   * ```ts
   * const share = budget.open(() => attempt.cancel("out of memory"));
   * share.set(body.length);
   * ```
   */
  open(evict: () => void, rank?: (bytes: number) => number): MemoryShare {
    return new MemoryShare(this, evict, rank);
  }

  /** Called by a share whose bytes have changed. */
  account(share: MemoryShare, bytesBefore: number): void {
    this.#bytes += share.bytes - bytesBefore;
    if (share.bytes > 0) this.#shares.add(share);
    else this.#shares.delete(share);
    this.#whole?.account(share, bytesBefore);
    this.#evictExcess();
  }

  /**
   * Evicts the share with the highest rank.
   *
   * @param mayEvict restricts the choice.
   * @returns false if there is none.
   */
  evictLargest(mayEvict: (share: MemoryShare) => boolean = () => true) {
    let largest: MemoryShare | undefined;
    let rankMax = 0;
    for (const share of this.#shares) {
      const { rank } = share;
      if (rank <= rankMax || !mayEvict(share)) continue;
      largest = share;
      rankMax = rank;
    }
    largest?.evict();
    return largest !== undefined;
  }

  /** Shares with rank 0 are not evicted. */
  #evictExcess(): void {
    while (this.#bytes > this.#bytesMax && this.evictLargest());
  }
}
