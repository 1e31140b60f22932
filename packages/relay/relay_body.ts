/**
 * Buffers a caller's request body, so that a retry can send it again unchanged.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Thrown when a body exceeds the configured limit. */
export class BodyTooLargeError extends Error {}

/**
 * Reads a request body to its end.
 *
 * @param bytesMax limit above which reading stops.
 * @throws BodyTooLargeError above the limit; the stream's own error if the
 * caller disconnects.
 * @example
 * ```ts
 * const body = await relay.readBody(request, 4_194_304);
 * ```
 */
export async function readBody(
  request: IncomingMessage,
  bytesMax: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > bytesMax) throw new BodyTooLargeError();
    chunks.push(chunk as Buffer);
  }
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
