/** Counts the bytes transferred by sockets, including closed ones. */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import { connector as resetAwareConnector } from "./transport_reset.ts";

/** Sums the bytes read and written by all tracked sockets. */
export class SocketMeter {
  #closedBytes = 0;
  readonly #openSockets = new Set<Socket>();

  /** Bytes read and written so far. */
  get totalBytes(): number {
    let sum = this.#closedBytes;
    for (const socket of this.#openSockets) sum += totalBytesOf(socket);
    return sum;
  }

  /** Adds a socket, with all bytes that it has transferred. */
  track(socket: Socket): void {
    this.#openSockets.add(socket);
    socket.once("close", () => {
      this.#openSockets.delete(socket);
      this.#closedBytes += totalBytesOf(socket);
    });
  }

  /**
   * Returns a connector that tracks the sockets it opens.
   *
   * @example
   * ```ts
   * const agent = new Agent({ connect: meter.connector(1_000) });
   * ```
   */
  connector(timeoutMs: number): buildConnector.connector {
    const connect = resetAwareConnector(timeoutMs);
    return (options, callback) => {
      connect(options, (...result: Parameters<buildConnector.Callback>) => {
        const [, socket] = result;
        if (socket) this.track(socket);
        callback(...result);
      });
    };
  }
}

function totalBytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
