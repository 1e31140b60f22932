/** Registry of the unsettled claims of this incarnation. */
import type * as core from "../core/mod.ts";
import type { ClaimFate, ClaimOutcome } from "./claims_types.ts";

/** A claim of this incarnation whose final state is not yet stored. */
export class ClaimEntry {
  readonly storeKey: string;
  readonly bodyHash: string;
  readonly nonce: core.Nonce;
  #fate: ClaimFate = { kind: "inFlight" };
  #resolveSettled: () => void = () => undefined;
  /** Resolves when the fate is no longer `inFlight`. */
  readonly settled: Promise<void>;

  constructor(storeKey: string, bodyHash: string, nonce: core.Nonce) {
    this.storeKey = storeKey;
    this.bodyHash = bodyHash;
    this.nonce = nonce;
    this.settled = new Promise((resolve) => this.#resolveSettled = resolve);
  }

  /** What became of the claim. */
  get fate(): ClaimFate {
    return this.#fate;
  }

  /** Marks the claim as done, with the outcome to replay. */
  complete(outcome: ClaimOutcome): void {
    this.#setFate({ kind: "done", outcome });
  }

  /** Marks the claim as abandoned: its call has not run and never will. */
  abandon(): void {
    this.#setFate({ kind: "abandoned" });
  }

  /** Marks the claim as dispatched with an unknown outcome. */
  markUnknown(): void {
    this.#setFate({ kind: "unknown" });
  }

  #setFate(fate: ClaimFate): void {
    this.#fate = fate;
    this.#resolveSettled();
  }
}

/**
 * Claims by nonce and by key. A nonce of this incarnation that is not in the
 * registry was never dispatched and never will be, or is settled in the store.
 */
export class ClaimRegistry {
  readonly #byNonce = new Map<core.Nonce, ClaimEntry>();
  readonly #byKey = new Map<string, ClaimEntry>();

  /** Number of claims that are not settled in the store. */
  get size(): number {
    return this.#byNonce.size;
  }

  /** Adds a claim before it is written. */
  add(entry: ClaimEntry): void {
    this.#byNonce.set(entry.nonce, entry);
    this.#byKey.set(entry.storeKey, entry);
  }

  /** Returns the unsettled claim on a key, if there is one. */
  find(storeKey: string): ClaimEntry | undefined {
    return this.#byKey.get(storeKey);
  }

  /** Removes a claim that is settled in the store or abandoned. */
  remove(entry: ClaimEntry): void {
    this.#byNonce.delete(entry.nonce);
    if (this.#byKey.get(entry.storeKey) === entry) {
      this.#byKey.delete(entry.storeKey);
    }
  }

  /** Returns what became of this incarnation's claim with the given nonce. */
  fateOf(nonce: core.Nonce): ClaimFate {
    return this.#byNonce.get(nonce)?.fate ?? { kind: "abandoned" };
  }
}
