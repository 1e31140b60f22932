/**
 * Tells resets of connections from orderly closes. The body of a response with
 * neither a length nor chunks ends with its connection; if that was reset, the
 * body is incomplete.
 */

import type { Socket } from "node:net";
import * as undici from "undici";
import { limitReads } from "./transport_read_limit.ts";
import { readTurns } from "./transport_read_turns.ts";

/** Bytes buffered of a connection from which it is no longer read. */
const BUFFERED_BYTES_MAX = 16 * 1024;

/**
 * Returns a connector that limits reads and changes the error code of resets,
 * because undici treats ECONNRESET as the regular end of a body without framing.
 * Requests on its connections are sent by `send`, `guardUnframedBody` or
 * `trackProgress`, as a connection that shows no progress is destroyed.
 *
 * @param timeoutMs limit for opening a connection.
 * @example
 * ```ts
 * const agent = new Agent({ connect: transport.connector(1_000) });
 * ```
 */
export function connector(timeoutMs: number): undici.buildConnector.connector {
  // undici passes on what its types lack.
  const settings = {
    timeout: timeoutMs,
    highWaterMark: BUFFERED_BYTES_MAX,
  };
  const openConnection = undici.buildConnector(settings);
  return (options, callback) => {
    openConnection(options, (...result) => {
      const [, socket] = result;
      if (socket) limitReads(socket as Socket);
      socket?.on("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") error.code = "UPSTREAM_RESET";
      });
      callback(...result);
    });
  };
}

/** The connection of a body without framing was reset. */
export class ResetError extends Error {
  override readonly name = "ResetError";

  constructor() {
    super("connection reset directly after the last bytes");
  }
}

/**
 * Notices that a connection was reset directly after the last bytes of a
 * close-delimited body. An orderly close is reported in a later turn of the
 * event loop than the last bytes. A reset is reported in the same turn, because
 * libuv reports a hang-up after a partial read as end of stream.
 */
export class ResetDetector {
  #hasBytesThisTurn = false;

  /** Records that bytes of the response arrived, be it the head alone. */
  onBytes(): void {
    // These arrived in an earlier turn, and no end with them.
    if (readTurns.isReadingOn) return;
    this.#hasBytesThisTurn = true;
    setImmediate(() => {
      this.#hasBytesThisTurn = false;
    });
  }

  /**
   * Whether the end of the body, which is being reported now, was a reset.
   *
   * @example
   * ```ts
   * if (detector.isEndReset) fail(new ResetError());
   * ```
   */
  get isEndReset(): boolean {
    return this.#hasBytesThisTurn;
  }
}
