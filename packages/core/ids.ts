/** Branded identifiers: the compiler rejects one kind in place of another. */
import { randomBytes } from "node:crypto";

declare const brand: unique symbol;
type Branded<Name extends string> = string & { readonly [brand]: Name };

export type InstanceId = Branded<"InstanceId">;
export type Incarnation = Branded<"Incarnation">;
export type CallerId = Branded<"CallerId">;
export type OperatorId = Branded<"OperatorId">;
export type UpstreamId = Branded<"UpstreamId">;
export type RowName = Branded<"RowName">;
export type ServiceName = Branded<"ServiceName">;
export type ModelName = Branded<"ModelName">;
export type RequestId = Branded<"RequestId">;
/** A team that shares the fleet with others, and holds keys and a quota. */
export type TeamName = Branded<"TeamName">;
/** Digest of a key that a caller presents; the key itself is not kept. */
export type KeyDigest = Branded<"KeyDigest">;
/** A version of the software that upstreams of a service run. */
export type SoftwareVersion = Branded<"SoftwareVersion">;
/** Names a stream in messages and rows, by the request that began it. */
export type StreamKey = Branded<"StreamKey">;
export type ArtifactId = Branded<"ArtifactId">;
export type AttemptId = Branded<"AttemptId">;
export type TransmissionId = Branded<"TransmissionId">;
export type EditId = Branded<"EditId">;
export type Nonce = Branded<"Nonce">;
export type IdempotencyKey = Branded<"IdempotencyKey">;
/** Names a prompt part in tables and messages, whatever callers call it. */
export type PromptPartKey = Branded<"PromptPartKey">;
/** One incarnation of an upstream: its id and start. */
export type UpstreamRunKey = Branded<"UpstreamRunKey">;

const RANDOM_ID_BYTES = 12;

/**
 * Brands a string that has already been validated.
 *
 * @example
 * ```ts
 * const id = core.brandId<core.CallerId>("kiosk-router");
 * ```
 */
export function brandId<Id extends string>(text: string): Id {
  return text as Id;
}

/**
 * Creates a random identifier; the prefix tells its kind.
 *
 * @example
 * ```ts
 * const attemptId = core.randomId<core.AttemptId>("at");
 * ```
 */
export function randomId<Id extends string>(prefix: string): Id {
  const text = randomBytes(RANDOM_ID_BYTES).toString("base64url");
  return `${prefix}-${text}` as unknown as Id;
}
