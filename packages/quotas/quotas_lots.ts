/** A stock of tokens, each of which may be spent until it expires. */

/**
 * Parts of a lifetime within which tokens are kept as one lot. Fewer would let
 * tokens expire earlier, as a lot has the age of its oldest token.
 */
const LOTS_PER_LIFETIME = 32;
/** The same for lots in messages, which are to be small. */
const MESSAGE_LOTS_PER_LIFETIME = 16;

/** Tokens that were refilled at the same time, or a little later. */
export interface TokenLot {
  readonly refilledAtMs: number;
  readonly amount: number;
}

/** Tokens on the way between two nodes. */
export interface SentLot {
  /** Whole parts of a unit, as set by the limit's message scale. */
  readonly amount: number;
  /** Age of the oldest of them when they were sent. */
  readonly ageMs: number;
}

/** The tokens that a node has of one team, the oldest first. */
export class TokenLots {
  readonly #lifetimeMs: number;
  #lots: { refilledAtMs: number; amount: number }[] = [];
  #total = 0;

  constructor(lifetimeMs: number) {
    this.#lifetimeMs = lifetimeMs;
  }

  /** Returns the amount that has not expired. */
  total(nowMs: number): number {
    const fromMs = nowMs - this.#lifetimeMs;
    let expired = 0;
    while (expired < this.#lots.length) {
      const { refilledAtMs, amount } = this.#lots[expired]!;
      if (refilledAtMs >= fromMs) break;
      this.#total -= amount;
      expired++;
    }
    if (expired > 0) this.#lots.splice(0, expired);
    if (this.#lots.length === 0) this.#total = 0;
    return this.#total;
  }

  /** Returns the amount that was refilled before then. */
  totalBefore(atMs: number): number {
    let total = 0;
    for (const { refilledAtMs, amount } of this.#lots) {
      if (refilledAtMs < atMs) total += amount;
    }
    return total;
  }

  add({ refilledAtMs, amount }: TokenLot): void {
    if (!(amount > 0)) return;
    let index = this.#lots.length;
    while (index > 0 && this.#lots[index - 1]!.refilledAtMs > refilledAtMs) {
      index--;
    }
    this.#total += amount;
    const older = this.#lots[index - 1];
    const grainMs = this.#lifetimeMs / LOTS_PER_LIFETIME;
    if (older && refilledAtMs - older.refilledAtMs < grainMs) {
      older.amount += amount;
    } else this.#lots.splice(index, 0, { refilledAtMs, amount });
  }

  /** Removes an amount, or all if there is less; the oldest go first. */
  take(amount: number): TokenLot[] {
    const taken: TokenLot[] = [];
    let missing = amount;
    let used = 0;
    while (missing > 0 && used < this.#lots.length) {
      const lot = this.#lots[used]!;
      const part = Math.min(lot.amount, missing);
      taken.push({ refilledAtMs: lot.refilledAtMs, amount: part });
      missing -= part;
      if (part < lot.amount) {
        lot.amount -= part;
        break;
      }
      used++;
    }
    this.#lots.splice(0, used);
    this.#total -= amount - missing;
    return taken;
  }

  clear(): void {
    this.#lots = [];
    this.#total = 0;
  }

  /** Returns the lots multiplied by a factor, for another limit. */
  scaled(factor: number): TokenLot[] {
    return this.#lots.map(({ refilledAtMs, amount }) => ({
      refilledAtMs,
      amount: amount * factor,
    }));
  }

  /**
   * Removes a whole number of parts of a unit, to be sent to another node. Lots
   * are joined and rounded towards the older ones, so none becomes younger.
   */
  send(amount: number, scale: number, nowMs: number): SentLot[] {
    const whole = Math.floor(Math.min(amount, this.total(nowMs)) * scale);
    if (whole < 1) return [];
    const grainMs = this.#lifetimeMs / MESSAGE_LOTS_PER_LIFETIME;
    const groups: { atMs: number; amount: number }[] = [];
    for (const { refilledAtMs, amount } of this.take(whole / scale)) {
      const last = groups.at(-1);
      if (last && refilledAtMs - last.atMs < grainMs) last.amount += amount;
      else groups.push({ atMs: refilledAtMs, amount });
    }
    const sent: SentLot[] = [];
    let rest = whole;
    let younger = 0;
    for (const { atMs, amount } of groups.reverse()) {
      younger += amount * scale;
      const parts = Math.min(rest, Math.floor(younger + 1e-6));
      younger -= parts;
      rest -= parts;
      if (parts > 0) {
        sent.push({ amount: parts, ageMs: Math.ceil(nowMs - atMs) });
      }
    }
    return sent;
  }
}
