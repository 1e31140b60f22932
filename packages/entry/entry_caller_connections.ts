/** Decides after which response the connection of a caller is closed. */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/**
 * Tracks the requests that follow each other on a connection without waiting
 * for responses. Once a response has announced the close of its connection,
 * responses to later requests cannot be sent.
 */
export class CallerConnections {
  readonly #lastRequests = new WeakMap<Socket, IncomingMessage>();
  readonly #closing = new WeakSet<Socket>();

  /**
   * Records a request.
   *
   * @returns false if its response cannot be sent any more.
   */
  add(request: IncomingMessage): boolean {
    const { socket } = request;
    if (this.#closing.has(socket)) return false;
    this.#lastRequests.set(socket, request);
    return true;
  }

  /**
   * Closes the connection after the response to a request, whose head is about
   * to be written.
   *
   * @returns false if another request has followed.
   * @example
   * ```ts
   * if (connections.tryClose(request)) response.setHeader("connection", "close");
   * ```
   */
  tryClose(request: IncomingMessage): boolean {
    const { socket } = request;
    if (this.#lastRequests.get(socket) !== request) return false;
    this.#closing.add(socket);
    return true;
  }
}
