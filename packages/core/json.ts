/** JSON values, and decoding of untrusted ones from messages and storage. */
import { err, ok, type Result } from "neverthrow";
import type { Codec } from "purify-ts";

/** Any JSON value. */
export type JsonValue =
  | null
  | boolean
  | number
  | string
  | JsonValue[]
  | { [key: string]: JsonValue };

/** Far above what messages use, far below what overflows the stack. */
const NESTING_MAX = 100;

function isNestedDeeper(value: JsonValue, levels: number): boolean {
  if (typeof value !== "object" || value === null) return false;
  if (levels === 0) return true;
  return Object.values(value).some((inner) =>
    isNestedDeeper(inner, levels - 1)
  );
}

/**
 * Parses JSON text of another process. Parsing has no limit of nesting, but
 * whatever reads or writes the value later calls itself for each level.
 *
 * @throws an error if the text is not JSON, or has more than 100 levels.
 * @example
 * ```ts
 * const value = core.parseJson(Buffer.from(row.value, "base64").toString());
 * ```
 */
export function parseJson(text: string): JsonValue {
  const value = JSON.parse(text) as JsonValue;
  if (isNestedDeeper(value, NESTING_MAX)) {
    throw new Error(`nested deeper than ${NESTING_MAX} levels`);
  }
  return value;
}

/**
 * Parses JSON text and decodes it with a codec.
 *
 * @returns the value, or a message that describes the error.
 * @example
 * ```ts
 * const body = core.decodeJson(text, CompletionRequestCodec);
 * ```
 */
export function decodeJson<T>(
  text: string,
  codec: Codec<T>,
): Result<T, string> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch (thrown) {
    return err(`not JSON: ${(thrown as Error).message}`);
  }
  return decodeValue(parsed, codec);
}

/**
 * Decodes a value with a codec.
 *
 * @returns the value, or a message that describes the error.
 * @example
 * ```ts
 * const row = core.decodeValue(stored.value, ClaimRowCodec);
 * ```
 */
export function decodeValue<T>(
  value: unknown,
  codec: Codec<T>,
): Result<T, string> {
  return codec.decode(value).caseOf<Result<T, string>>({
    Left: (message) => err(message),
    Right: (decoded) => ok(decoded),
  });
}

/**
 * Converts a plain value to a JSON value; undefined members are dropped.
 *
 * @example
 * ```ts
 * const write = { key, value: core.toJsonValue(claim) };
 * ```
 */
export function toJsonValue(value: unknown): JsonValue {
  return JSON.parse(JSON.stringify(value)) as JsonValue;
}
