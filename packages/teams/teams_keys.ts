/** Keys by which callers are known, kept as digests. */
import { createHash } from "node:crypto";
import * as core from "../core/mod.ts";

const BEARER = /^Bearer +(\S+) *$/i;

/**
 * Digest of a key. A lookup by digest takes the same time whatever of a key a
 * caller has guessed.
 *
 * @example
 * ```ts
 * const digest = teams.digestKey("k7b2ex5wa5xwyhks8nbk");
 * ```
 */
export function digestKey(key: string): core.KeyDigest {
  const digest = createHash("sha256").update(key).digest("base64url");
  return core.brandId<core.KeyDigest>(digest);
}

/**
 * Reads the digest of the bearer token in an Authorization header.
 *
 * @returns undefined if there is none.
 * @example
 * ```ts
 * const digest = teams.readBearerKey(request.headers.authorization);
 * ```
 */
export function readBearerKey(
  header: string | undefined,
): core.KeyDigest | undefined {
  const [, key] = BEARER.exec(header ?? "") ?? [];
  return key === undefined ? undefined : digestKey(key);
}

/** Finds the holder of a key by the key's digest. */
export class KeyDirectory<Holder> {
  readonly #holders = new Map<core.KeyDigest, Holder>();

  /**
   * Adds a key; the first holder of a key keeps it.
   *
   * @returns whether nobody held it before.
   */
  add(digest: core.KeyDigest, holder: Holder): boolean {
    if (this.#holders.has(digest)) return false;
    this.#holders.set(digest, holder);
    return true;
  }

  find(digest: core.KeyDigest): Holder | undefined {
    return this.#holders.get(digest);
  }
}
