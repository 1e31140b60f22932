/** Types of the origins of streams. */
import { createHash } from "node:crypto";
import * as core from "../core/mod.ts";

/** What wrote the first event of a stream, and alone can continue it. */
export interface StreamOrigin {
  readonly service: core.ServiceName;
  readonly softwareVersion: core.SoftwareVersion;
}

/** An origin in messages between nodes and in rows, with a relative time. */
export interface ReportedOrigin extends StreamOrigin {
  readonly stream: core.StreamKey;
  /** Time for which the stream may still be taken up. */
  readonly ttlMs: number;
}

/**
 * Time after which no stream can be taken up any more. Longer than callers wait
 * for one stream, all their attempts included.
 */
export const TAKE_UP_MAX_MS = 120_000;

/** 96 bits: callers choose the ids, but not so that two share a key. */
const KEY_LENGTH = 16;

/**
 * Names a stream by the caller's request that brought its first event. The key
 * is short, whatever the length of the id.
 *
 * @example
 * ```ts
 * const stream = origins.toStreamKey(caller.requestId);
 * ```
 */
export function toStreamKey(request: core.RequestId): core.StreamKey {
  const digest = createHash("sha256").update(request).digest("base64url");
  return core.brandId<core.StreamKey>(digest.slice(0, KEY_LENGTH));
}
