/** Claims in the table service. */
import type { Result } from "neverthrow";
import { Codec, enumeration, number, optional, string } from "purify-ts";
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";
import type { ClaimRequest, ClaimRow, VersionedClaim } from "./claims_types.ts";

const CLAIM_PREFIX = "claims/";
/** Longer bodies go to the object store, in characters. */
const INLINE_BODY_MAX = 16_384;

enum StateTag {
  Claimed = "claimed",
  Released = "released",
  Done = "done",
  Unknown = "unknown",
}

const ClaimRowCodec = Codec.interface({
  bodyHash: string,
  owner: string,
  incarnation: string,
  nonce: string,
  state: enumeration(StateTag),
  claimedAt: string,
  bodyObject: optional(string),
  outcome: optional(
    Codec.interface({ status: number, contentType: string, bodyText: string }),
  ),
});

/** How one compare-and-set of a claim ended. */
export type ClaimWriteResult =
  | { readonly kind: "committed"; readonly version: number }
  | { readonly kind: "held"; readonly held: VersionedClaim | undefined }
  | { readonly kind: "failed"; readonly effect: "none" | "unknown" };

/** The part of a table service that claims need. */
export interface ClaimTransactor {
  transact(
    transaction: store.Transaction,
  ): Promise<Result<store.TransactOutcome, store.StoreFailure>>;
}

/**
 * The key under which a claim is stored.
 *
 * @example
 * ```ts
 * claims.claimKey({ callerId, key }); // "claims/kiosk/order-17"
 * ```
 */
export function claimKey(
  request: Pick<ClaimRequest, "callerId" | "key">,
): string {
  const { callerId, key } = request;
  return `${CLAIM_PREFIX}${encodeURIComponent(callerId)}/${key}`;
}

/** The part of an object store that claims need. */
export type ClaimObjects = Pick<store.ObjectStore, "put" | "get">;

/** Writes claims by compare-and-set. */
export class ClaimStore {
  readonly #transactor: ClaimTransactor;
  readonly #objects: ClaimObjects;

  constructor(transactor: ClaimTransactor, objects: ClaimObjects) {
    this.#transactor = transactor;
    this.#objects = objects;
  }

  /** Writes a claim over the version seen; 0 when none was. */
  async write(
    key: string,
    version: number,
    claim: ClaimRow,
  ): Promise<ClaimWriteResult> {
    const row = await this.#withoutLargeBody(claim);
    if (row === undefined) return { kind: "failed", effect: "none" };
    const outcome = await this.#transactor.transact({
      checks: [{ key, version }],
      writes: [{ key, value: core.toJsonValue(row) }],
    });
    if (outcome.isErr()) {
      return { kind: "failed", effect: outcome.error.effect };
    }
    if (outcome.value.outcome === "committed") {
      return { kind: "committed", version: outcome.value.version };
    }
    const found = outcome.value.rows.find((held) => held.key === key);
    const held = found && decodeClaim(found);
    return { kind: "held", held: held && await this.#withBody(held) };
  }

  /** Moves a large body to the object store; undefined when that failed. */
  async #withoutLargeBody(claim: ClaimRow): Promise<ClaimRow | undefined> {
    const { outcome } = claim;
    if (!outcome || outcome.bodyText.length <= INLINE_BODY_MAX) return claim;
    const bodyObject = `${CLAIM_PREFIX}${claim.nonce}`;
    const put = await this.#objects.put(bodyObject, outcome.bodyText);
    if (put.isErr()) return undefined;
    return { ...claim, bodyObject, outcome: { ...outcome, bodyText: "" } };
  }

  /** Brings a large body back; without it the outcome is not readable. */
  async #withBody(held: VersionedClaim): Promise<VersionedClaim> {
    const { bodyObject, outcome, ...rest } = held.claim;
    if (bodyObject === undefined || outcome === undefined) return held;
    const body = await this.#objects.get(bodyObject);
    const claim = body.match<ClaimRow>(
      (bodyText) => ({ ...rest, outcome: { ...outcome, bodyText } }),
      () => rest,
    );
    return { ...held, claim };
  }
}

function decodeClaim(row: store.StoredRow): VersionedClaim | undefined {
  return core.decodeValue(row.value, ClaimRowCodec).match(
    (claim) => ({
      version: row.version,
      claim: claim as unknown as ClaimRow,
    }),
    () => undefined,
  );
}
