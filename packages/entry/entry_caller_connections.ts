/** Decides after which response the connection of a caller is closed. */
import type { IncomingMessage, ServerResponse } from "node:http";
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
    const isEnding = socket.destroyed || socket.writableEnded;
    if (this.#closing.has(socket) || isEnding) return false;
    this.#lastRequests.set(socket, request);
    return true;
  }

  /**
   * Closes the connection after a response, whose head is about to be written.
   *
   * @returns false if other responses come before it, as requests may follow
   * until these have ended, or after it.
   * @example
   * ```ts
   * if (connections.tryClose(response)) response.setHeader("connection", "close");
   * ```
   */
  tryClose({ req: request, socket: assigned }: ServerResponse): boolean {
    const { socket } = request;
    const isOnly = assigned !== null &&
      this.#lastRequests.get(socket) === request;
    if (!isOnly) return false;
    this.#closing.add(socket);
    return true;
  }
}
