/** Types of claims on calls that may not be repeated. */
import type * as core from "../core/mod.ts";

/** A service's complete response, stored for replay. */
export interface ClaimOutcome {
  readonly status: number;
  readonly contentType: string;
  readonly bodyText: string;
}

/** A claim as stored in the table service. */
export interface ClaimRow {
  readonly bodyHash: string;
  readonly owner: core.InstanceId;
  readonly incarnation: core.Incarnation;
  readonly nonce: core.Nonce;
  readonly state: "claimed" | "released" | "done" | "unknown";
  readonly claimedAt: string;
  readonly outcome?: ClaimOutcome;
  /** Object that holds the outcome's body if it is too large for the row. */
  readonly bodyObject?: string;
}

/** A stored claim with its version, for compare-and-set. */
export interface VersionedClaim {
  readonly version: number;
  readonly claim: ClaimRow;
}

/** A caller's request that may run at most once. */
export interface ClaimRequest {
  readonly callerId: core.CallerId;
  readonly key: core.IdempotencyKey;
  /** Hash of everything that distinguishes the request from another one. */
  readonly bodyHash: string;
  readonly deadline: core.Deadline;
  /** Ends the request before its deadline; a dispatched call goes on. */
  readonly signal?: AbortSignal;
}

/**
 * Result of a dispatch. After `notRun` the service has certainly not run the
 * call; after `unknown` it may have.
 */
export type DispatchResult =
  | { readonly kind: "answered"; readonly outcome: ClaimOutcome }
  | { readonly kind: "notRun"; readonly failure: core.Failure }
  | { readonly kind: "unknown"; readonly failure: core.Failure };

/** What became of a claim, according to its owner. */
export type ClaimFate =
  | { readonly kind: "abandoned" }
  | { readonly kind: "inFlight" }
  | { readonly kind: "done"; readonly outcome: ClaimOutcome }
  | { readonly kind: "unknown" }
  | { readonly kind: "notOwner" }
  | { readonly kind: "unreachable" };

/** A query to the owner of a claim. */
export interface ClaimQuery {
  readonly callerId: core.CallerId;
  readonly key: core.IdempotencyKey;
  readonly nonce: core.Nonce;
  readonly owner: core.InstanceId;
  readonly incarnation: core.Incarnation;
}

/** Queries other instances about their claims. */
export abstract class ClaimPeers {
  abstract queryFate(query: ClaimQuery): Promise<ClaimFate>;
}
