/** What this incarnation knows about its own claims. */
import type * as core from "../core/mod.ts";
import type { ClaimFate, ClaimOutcome } from "./claims_types.ts";

/** One claim of this incarnation that is not settled in the store. */
export class ClaimEntry {
  readonly storeKey: string;
  readonly bodyHash: string;
  readonly nonce: core.Nonce;
  #fate: ClaimFate = { kind: "inFlight" };
  #settle: () => void = () => undefined;
  /** Resolves when the fate is no longer `inFlight`. */
  readonly settled: Promise<void>;

  constructor(storeKey: string, bodyHash: string, nonce: core.Nonce) {
    this.storeKey = storeKey;
    this.bodyHash = bodyHash;
    this.nonce = nonce;
    this.settled = new Promise((resolve) => this.#settle = resolve);
  }

  /** What became of the claim. */
  get fate(): ClaimFate {
    return this.#fate;
  }

  /** Ends the claim as answered. */
  complete(outcome: ClaimOutcome): void {
    this.#end({ kind: "done", outcome });
  }

  /** Ends the claim as never to be dispatched. */
  abandon(): void {
    this.#end({ kind: "abandoned" });
  }

  /** Ends the claim as dispatched with an unknown outcome. */
  markUnknown(): void {
    this.#end({ kind: "unknown" });
  }

  #end(fate: ClaimFate): void {
    this.#fate = fate;
    this.#settle();
  }
}

/**
 * Claims by nonce and by key. A nonce of this incarnation that is not in the
 * book was never dispatched and never will be, or is settled in the store.
 */
export class ClaimRegistry {
  readonly #byNonce = new Map<core.Nonce, ClaimEntry>();
  readonly #byKey = new Map<string, ClaimEntry>();

  /** How many claims are not settled in the store. */
  get size(): number {
    return this.#byNonce.size;
  }

  /** Adds a claim before it is written. */
  add(entry: ClaimEntry): void {
    this.#byNonce.set(entry.nonce, entry);
    this.#byKey.set(entry.storeKey, entry);
  }

  /** The unsettled claim on a key, if there is one. */
  find(storeKey: string): ClaimEntry | undefined {
    return this.#byKey.get(storeKey);
  }

  /** Forgets a claim that is settled in the store or abandoned. */
  remove(entry: ClaimEntry): void {
    this.#byNonce.delete(entry.nonce);
    if (this.#byKey.get(entry.storeKey) === entry) {
      this.#byKey.delete(entry.storeKey);
    }
  }

  /** What became of a nonce of this incarnation. */
  fateOf(nonce: core.Nonce): ClaimFate {
    return this.#byNonce.get(nonce)?.fate ?? { kind: "abandoned" };
  }
}
