/** Counts the bytes of sockets, those that are closed included. */
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Sums bytes read and written over the sockets that it is shown. */
export class SocketMeter {
  #closedBytes = 0;
  readonly #open = new Set<Socket>();

  /** Bytes both ways so far. */
  get totalBytes(): number {
    let sum = this.#closedBytes;
    for (const socket of this.#open) sum += bytesOf(socket);
    return sum;
  }

  /** Counts a socket from now on. */
  track(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#closedBytes += bytesOf(socket);
    });
  }

  /**
   * A connector whose sockets are counted.
   *
   * @example
   * ```ts
   * const agent = new Agent({ connect: meter.connector(1_000) });
   * ```
   */
  connector(timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) => {
      connect(options, (...end: Parameters<buildConnector.Callback>) => {
        const [, socket] = end;
        if (socket) this.track(socket);
        callback(...end);
      });
    };
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
