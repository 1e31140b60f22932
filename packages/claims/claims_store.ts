/** Stores claims in the table service, and large bodies in the object store. */
import type { Result } from "neverthrow";
import { Codec, enumeration, number, optional, string } from "purify-ts";
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";
import type { ClaimRequest, ClaimRow, VersionedClaim } from "./claims_types.ts";

const CLAIM_PREFIX = "claims/";
/** Longer bodies are stored in the object store, not in the row. */
const INLINE_CHARS_MAX = 16_384;

enum ClaimStateTag {
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
  state: enumeration(ClaimStateTag),
  claimedAt: string,
  bodyObject: optional(string),
  outcome: optional(
    Codec.interface({ status: number, contentType: string, bodyText: string }),
  ),
});

/** Result of one compare-and-set of a claim. */
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
 * Returns the key under which a claim is stored.
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

  /** Writes a claim if its stored version is `version`; 0 means no row. */
  async write(
    key: string,
    version: number,
    claim: ClaimRow,
  ): Promise<ClaimWriteResult> {
    const row = await this.#offloadLargeBody(claim);
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
    return { kind: "held", held: held && await this.#restoreLargeBody(held) };
  }

  /** Moves a large body to the object store; undefined if that fails. */
  async #offloadLargeBody(claim: ClaimRow): Promise<ClaimRow | undefined> {
    const { outcome } = claim;
    if (!outcome || outcome.bodyText.length <= INLINE_CHARS_MAX) return claim;
    const bodyObject = `${CLAIM_PREFIX}${claim.nonce}`;
    const put = await this.#objects.put(bodyObject, outcome.bodyText);
    if (put.isErr()) return undefined;
    return { ...claim, bodyObject, outcome: { ...outcome, bodyText: "" } };
  }

  /** Reads a large body back. If that fails, the claim has no outcome. */
  async #restoreLargeBody(held: VersionedClaim): Promise<VersionedClaim> {
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
