/** Limits what a connection reads that belongs to no response. */
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import { readTurns } from "./transport_read_turns.ts";

/** Bytes parsed at once. */
const READ_BYTES_MAX = 8 * 1024;
/** Bytes read in a row of which nothing was passed on. */
const IDLE_BYTES_MAX = 256 * 1024;

/** A connection reads on and on, and nothing of it is passed on. */
export class NoProgressError extends Error {
  override readonly name = "NoProgressError";

  constructor() {
    super(`${IDLE_BYTES_MAX} bytes were read that are no part of a response`);
  }
}

/** Counts what one connection has read since a part of a response. */
interface ReadCount {
  bytes: number;
}

/** Of the connection that is being parsed; undici does so synchronously. */
let parsed: ReadCount = { bytes: 0 };

/**
 * Records that a part of a response was passed on by the connection that is
 * being parsed.
 */
export function noteProgress(): void {
  parsed.bytes = 0;
}

/**
 * Returns what arrives on a connection in small pieces, and nothing after it was
 * destroyed: undici parses what it has read to the end, also after a limit was
 * exceeded, at the cost of one error for each line of a head or trailer. A
 * connection that only sends what the parser skips, such as the extensions of a
 * chunk, is destroyed.
 *
 * @example
 * ```ts
 * limitReads(socket);
 * ```
 */
export function limitReads(socket: Socket): void {
  const count: ReadCount = { bytes: 0 };
  const read = socket.read.bind(socket);
  socket.read = (size?: number) => {
    if (socket.destroyed) return null;
    const isLong = size === undefined && socket.readableLength > READ_BYTES_MAX;
    if (isLong && !readTurns.tryTake(socket, READ_BYTES_MAX)) return null;
    const bytes = read(isLong ? READ_BYTES_MAX : size);
    parsed = count;
    count.bytes += bytes?.length ?? 0;
    if (count.bytes <= IDLE_BYTES_MAX) return bytes;
    socket.destroy(new NoProgressError());
    return null;
  };
}

/**
 * Returns a dispatcher whose responses count as progress of their connections,
 * which connections from `connector` need.
 *
 * @example
 * ```ts
 * const response = await transport.trackProgress(agent).request(options);
 * ```
 */
export function trackProgress(dispatcher: Dispatcher): Dispatcher {
  return dispatcher.compose((dispatch) => (options, handler) =>
    dispatch(options, {
      onRequestStart: (...args) => handler.onRequestStart?.(...args),
      onResponseStart: (...args) => {
        noteProgress();
        handler.onResponseStart?.(...args);
      },
      onResponseData: (...args) => {
        noteProgress();
        handler.onResponseData?.(...args);
      },
      onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
      onResponseError: (...args) => handler.onResponseError?.(...args),
    })
  );
}
