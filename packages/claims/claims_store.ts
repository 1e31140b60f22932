/** Claims in the table service. */
import type { Result } from "neverthrow";
import { Codec, enumeration, number, optional, string } from "purify-ts";
import * as core from "../core/mod.ts";
import type * as platform from "../platform/mod.ts";
import type { ClaimRequest, ClaimRow, VersionedClaim } from "./claims_types.ts";

const CLAIM_PREFIX = "claims/";

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
  outcome: optional(
    Codec.interface({ status: number, contentType: string, bodyText: string }),
  ),
});

/** How one compare-and-set of a claim ended. */
export type ClaimWriteEnd =
  | { readonly kind: "committed"; readonly version: number }
  | { readonly kind: "held"; readonly held: VersionedClaim | undefined }
  | { readonly kind: "failed"; readonly effect: "none" | "unknown" };

/** The part of a table service that claims need. */
export interface ClaimTransactor {
  transact(
    transaction: platform.Transaction,
  ): Promise<Result<platform.TransactOutcome, platform.StoreFailure>>;
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

/** Writes claims by compare-and-set. */
export class ClaimStore {
  readonly #transactor: ClaimTransactor;

  constructor(transactor: ClaimTransactor) {
    this.#transactor = transactor;
  }

  /** Writes a claim over the version seen; 0 when none was. */
  async write(
    key: string,
    version: number,
    claim: ClaimRow,
  ): Promise<ClaimWriteEnd> {
    const outcome = await this.#transactor.transact({
      checks: [{ key, version }],
      writes: [{ key, value: core.toJsonValue(claim) }],
    });
    if (outcome.isErr()) {
      return { kind: "failed", effect: outcome.error.effect };
    }
    if (outcome.value.outcome === "committed") {
      return { kind: "committed", version: outcome.value.version };
    }
    const row = outcome.value.rows.find((found) => found.key === key);
    return { kind: "held", held: row && decodeClaim(row) };
  }
}

function decodeClaim(row: platform.StoredRow): VersionedClaim | undefined {
  return core.decodeValue(row.value, ClaimRowCodec).match(
    (claim) => ({
      version: row.version,
      claim: claim as unknown as ClaimRow,
    }),
    () => undefined,
  );
}
