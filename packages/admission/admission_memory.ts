/** What one node knows of the memory in use on one engine, in tokens. */

/** A claim as other nodes hear of it. */
export interface TicketedClaim {
  /** Order among the claims of all nodes; the lowest goes first. */
  readonly ticket: number;
  readonly tokens: number;
}

/** What all other nodes hold on an engine, as sums that arrive late. */
export interface OthersMemoryUse {
  readonly inFlight: number;
  readonly tokens: number;
  /** Requests that they sent in the last `RECENT_MS` before the sums. */
  readonly recentSends: number;
  /** Their queued requests that may go to this engine. */
  readonly contenders: number;
  /** Room that they keep for requests which they haven't sent yet. */
  readonly claimedTokens: number;
  /** The claims of all nodes that go first, this node's included, in order. */
  readonly firstClaims: readonly TicketedClaim[];
  /** Mean age of the sums when they were received. */
  readonly ageMs: number;
}

/** Time over which sends are counted, for the rate at which nodes send. */
export const RECENT_MS = 1_000;
/** A claim is given up if its request was not tried again for this long. */
const CLAIM_TTL_MS = 600;

const NO_USE: OthersMemoryUse = {
  inFlight: 0,
  tokens: 0,
  recentSends: 0,
  contenders: 0,
  claimedTokens: 0,
  firstClaims: [],
  ageMs: 0,
};

/** Room that this node keeps for a request before it sends it. */
export interface MemoryClaim extends TicketedClaim {
  readonly placedAtMs: number;
}

/** Memory of one engine: this node's part, and the sums of the others. */
export class EngineMemory {
  #ownTokens = 0;
  /** Times of this node's sends within `RECENT_MS`. */
  readonly #sentAtMs: number[] = [];
  #others = NO_USE;
  #othersAtMs = -Infinity;
  #claim: MemoryClaim | undefined;
  #claimTriedAtMs = -Infinity;

  /** Tokens of this node's requests in flight, without its claim. */
  get ownTokens(): number {
    return this.#ownTokens;
  }

  get others(): OthersMemoryUse {
    return this.#others;
  }

  /**
   * Counts a request that is sent now; the returned function removes it.
   *
   * @example
   * ```ts
   * const release = memory.hold(promptTokens + expectedTokens, nowMs);
   * ```
   */
  hold(tokens: number, nowMs: number): () => void {
    this.#ownTokens += tokens;
    this.#dropOld(nowMs);
    this.#sentAtMs.push(nowMs);
    return () => {
      this.#ownTokens -= tokens;
    };
  }

  /** Replaces the sums of the other nodes. */
  setOthers(others: OthersMemoryUse, nowMs: number): void {
    this.#others = others;
    this.#othersAtMs = nowMs;
  }

  /** Mean age of the sums of the other nodes; infinite before the first. */
  othersAgeMs(nowMs: number): number {
    return nowMs - this.#othersAtMs + this.#others.ageMs;
  }

  /** Number of this node's sends within `RECENT_MS`, for the other nodes. */
  recentSends(nowMs: number): number {
    this.#dropOld(nowMs);
    return this.#sentAtMs.length;
  }

  /** Whether this node has sent something within a time. */
  hasSentWithin(forMs: number, nowMs: number): boolean {
    return nowMs - (this.#sentAtMs.at(-1) ?? -Infinity) < forMs;
  }

  /** The claim that a request of this node still waits on. */
  claim(nowMs: number): MemoryClaim | undefined {
    if (nowMs - this.#claimTriedAtMs > CLAIM_TTL_MS) this.#claim = undefined;
    return this.#claim;
  }

  placeClaim(claim: MemoryClaim): void {
    this.#claim = claim;
    this.#claimTriedAtMs = claim.placedAtMs;
  }

  /** Keeps the claim, as a request still waits for it. */
  touchClaim(nowMs: number): void {
    this.#claimTriedAtMs = nowMs;
  }

  dropClaim(): void {
    this.#claim = undefined;
  }

  #dropOld(nowMs: number): void {
    const sent = this.#sentAtMs;
    while (sent.length > 0 && nowMs - sent[0]! > RECENT_MS) sent.shift();
  }
}
