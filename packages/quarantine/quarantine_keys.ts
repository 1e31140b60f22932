/** Keys of prompt parts and of incarnations of upstreams. */
import { createHash } from "node:crypto";
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";

/** Ids of this form are keys as they are; others are hashed. */
const PLAIN_ID = /^[A-Za-z0-9_-]{1,64}$/;

/**
 * Returns the key of a prompt part, of bounded length and safe in row keys.
 *
 * @example
 * ```ts
 * quarantine.toPartKey("91bd3f06"); // "91bd3f06"
 * ```
 */
export function toPartKey(id: string): core.PromptPartKey {
  const text = PLAIN_ID.test(id)
    ? id
    : `sha256-${createHash("sha256").update(id).digest("base64url")}`;
  return core.brandId<core.PromptPartKey>(text);
}

/**
 * Returns the keys of the parts that other requests may share; the last part
 * belongs to the request or its session alone.
 *
 * @example
 * ```ts
 * quarantine.sharedPartKeys(caller.promptParts);
 * ```
 */
export function sharedPartKeys(
  parts: readonly fleet.PromptPart[],
): core.PromptPartKey[] {
  return parts.slice(0, -1).map(({ id }) => toPartKey(id));
}

/**
 * Returns the key of one incarnation of an upstream.
 *
 * @example
 * ```ts
 * quarantine.toRunKey(upstream.record); // "i-7f3a91c2@1791559693331"
 * ```
 */
export function toRunKey(
  { id, startedAtMs }: Pick<fleet.UpstreamRecord, "id" | "startedAtMs">,
): core.UpstreamRunKey {
  return core.brandId<core.UpstreamRunKey>(`${id}@${startedAtMs}`);
}
