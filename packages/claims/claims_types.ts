/** Shapes of claims on calls that may not be repeated. */
import type * as core from "../core/mod.ts";

/** A service's whole answer, kept for replay. */
export interface ClaimOutcome {
  readonly status: number;
  readonly contentType: string;
  readonly bodyText: string;
}

/** A claim as the table service keeps it. */
export interface ClaimRow {
  readonly bodyHash: string;
  readonly owner: core.InstanceId;
  readonly incarnation: core.Incarnation;
  readonly nonce: core.Nonce;
  readonly state: "claimed" | "released" | "done" | "unknown";
  readonly claimedAt: string;
  readonly outcome?: ClaimOutcome;
  /** Object that holds the outcome's body, where that is too large a row. */
  readonly bodyObject?: string;
}

/** A stored claim with the version to compare and set by. */
export interface VersionedClaim {
  readonly version: number;
  readonly claim: ClaimRow;
}

/** A caller's request that may run at most once. */
export interface ClaimRequest {
  readonly callerId: core.CallerId;
  readonly key: core.IdempotencyKey;
  /** Hash of all that makes the request what it is. */
  readonly bodyHash: string;
  readonly deadline: core.Deadline;
}

/** How a dispatch ended. */
export type DispatchResult =
  | { readonly kind: "answered"; readonly outcome: ClaimOutcome }
  | { readonly kind: "notRun"; readonly failure: core.Failure }
  | { readonly kind: "unknown"; readonly failure: core.Failure };

/** What the owner of a claim says about it. */
export type ClaimFate =
  | { readonly kind: "abandoned" }
  | { readonly kind: "inFlight" }
  | { readonly kind: "done"; readonly outcome: ClaimOutcome }
  | { readonly kind: "unknown" }
  | { readonly kind: "notOwner" }
  | { readonly kind: "unreachable" };

/** A question to the owner of a claim. */
export interface ClaimQuery {
  readonly callerId: core.CallerId;
  readonly key: core.IdempotencyKey;
  readonly nonce: core.Nonce;
  readonly owner: core.InstanceId;
  readonly incarnation: core.Incarnation;
}

/** Asks other instances about their claims. */
export abstract class ClaimPeers {
  abstract queryFate(question: ClaimQuery): Promise<ClaimFate>;
}
