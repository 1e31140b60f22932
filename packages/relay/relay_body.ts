/**
 * Buffers a caller's request body, so that a retry can send it again unchanged.
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import * as core from "../core/mod.ts";

/** Thrown when a body exceeds the configured limit. */
export class BodyTooLargeError extends Error {}

/** Thrown when a body has not arrived in time. */
export class BodyTimeoutError extends Error {}

/**
 * Reads a request body to its end.
 *
 * @param bytesMax limit above which reading stops.
 * @param timeoutMs time in which the whole body has to arrive.
 * @throws BodyTooLargeError above the limit; BodyTimeoutError after the time;
 * the stream's own error if the caller disconnects.
 * @example
 * ```ts
 * const body = await relay.readBody(request, 4_194_304, 15_000);
 * ```
 */
export function readBody(
  request: IncomingMessage,
  bytesMax: number,
  timeoutMs: number,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const body = new core.ChunkBuffer();
    const stop = () => {
      clearTimeout(timer);
      request.off("data", onData).off("end", onEnd).off("error", fail);
      request.off("close", onClose);
    };
    const fail = (error: Error) => {
      stop();
      reject(error);
    };
    const onData = (chunk: Buffer) => {
      body.append(chunk);
      if (body.length > bytesMax) fail(new BodyTooLargeError());
    };
    const onEnd = () => {
      stop();
      resolve(body.take());
    };
    const onClose = () => fail(new Error("the caller closed the connection"));
    const timer = setTimeout(() => fail(new BodyTimeoutError()), timeoutMs);
    request.on("data", onData).on("end", onEnd).on("error", fail);
    request.on("close", onClose);
  });
}

/** Bytes of an unwanted body that are read and discarded. */
const DISCARDED_BYTES_MAX = 1024 * 1024;
/** Time for which an unwanted body is read and discarded. */
const DISCARD_TIMEOUT_MS = 2_000;

/**
 * Discards the rest of a body, because closing the connection at once could
 * lose the response that is on its way. Closes the connection if the body does
 * not end soon.
 *
 * @returns a promise that resolves when no more of the body is to be read.
 * @example
 * ```ts
 * relay.discardBody(request).then(() => reply.end());
 * ```
 */
export function discardBody(request: IncomingMessage): Promise<void> {
  return new Promise((resolve) => {
    let bytes = 0;
    const stop = () => {
      clearTimeout(timer);
      request.off("data", onData).off("close", stop).off("end", stop);
      resolve();
    };
    const giveUp = () => {
      stop();
      request.socket.destroy();
    };
    const onData = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > DISCARDED_BYTES_MAX) giveUp();
    };
    const timer = setTimeout(giveUp, DISCARD_TIMEOUT_MS);
    request.on("data", onData).on("close", stop).on("end", stop);
  });
}
