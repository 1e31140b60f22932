/** Reads responses that are not passed on, within limits. */
import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";

/** Bytes that are read of a response that is not passed on. */
const DROPPED_BYTES_MAX = 64 * 1024;
/** Time in which such a response has to end. */
const DROP_TIMEOUT_MS = 100;

/**
 * Reads a body to its end, so that its connection can be used again. If it does
 * not end soon, closes the connection, which ends the work of the upstream.
 *
 * @throws Error if the body is not whole.
 * @example
 * ```ts
 * const detail = await readDropped(response.body);
 * ```
 */
export async function readDropped(
  body: Dispatcher.ResponseData["body"],
): Promise<string> {
  const timer = setTimeout(
    () => body.destroy(new Error("dropped response did not end in time")),
    DROP_TIMEOUT_MS,
  );
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    // Leaving the loop closes the connection.
    for await (const chunk of body) {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > DROPPED_BYTES_MAX) {
        throw new Error("dropped response is too large");
      }
    }
  } finally {
    clearTimeout(timer);
  }
  return Buffer.concat(chunks).toString("utf8");
}
