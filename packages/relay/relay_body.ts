/** Reads a caller's body whole, so that it can be sent as it was. */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** The body is larger than the configuration allows. */
export class BodyTooLargeError extends Error {}

/**
 * Reads a body to its end.
 *
 * @throws BodyTooLargeError above the limit; the stream's own error if the
 * caller breaks off.
 * @example
 * ```ts
 * const body = await relay.readBody(request, 4_194_304);
 * ```
 */
export async function readBody(
  request: IncomingMessage,
  bytesMax: number,
): Promise<Buffer> {
  const pieces: Buffer[] = [];
  let bytes = 0;
  for await (const piece of request) {
    bytes += (piece as Buffer).length;
    if (bytes > bytesMax) throw new BodyTooLargeError();
    pieces.push(piece as Buffer);
  }
  return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces);
}
