/**
 * Handles what arrives on a server's connections and is no request that it could
 * serve: malformed bytes, and CONNECT.
 */
import { type Server, type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_IMPLEMENTED = 501;
/** Statuses for the codes of errors that Node tells apart. */
const STATUS_BY_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Whether an error is about what a peer sent, not about its connection. */
function isParseError({ code }: NodeJS.ErrnoException): boolean {
  return code !== undefined &&
    (code.startsWith("HPE_") || code in STATUS_BY_CODE);
}

/** Responses that a server has yet to finish, by connection. */
class PendingResponses {
  readonly #bySocket = new WeakMap<Socket, Set<ServerResponse>>();
  readonly #closing = new WeakSet<Socket>();

  add(socket: Socket, response: ServerResponse): void {
    let pending = this.#bySocket.get(socket);
    if (!pending) this.#bySocket.set(socket, pending = new Set());
    pending.add(response);
    response.once("close", () => pending.delete(response));
  }

  /**
   * Whether a response has begun, or is owed to a request that was received
   * whole. A status that is written then would be taken for it.
   */
  areOwed(socket: Socket): boolean {
    return this.#of(socket)
      .some(({ headersSent, req }) => headersSent || req.complete);
  }

  /**
   * Closes a connection after its last response to a request that was received
   * whole.
   *
   * @returns false if there is none.
   */
  closeAfterLast(socket: Socket): boolean {
    const last = this.#of(socket).findLast(({ req }) => req.complete);
    if (last === undefined) return false;
    if (this.#closing.has(socket)) return true;
    this.#closing.add(socket);
    last.shouldKeepAlive = false;
    last.once("close", () => socket.destroySoon());
    return true;
  }

  #of(socket: Socket): ServerResponse[] {
    return [...this.#bySocket.get(socket) ?? []];
  }
}

/**
 * Lets a server finish the responses to requests that it has received whole
 * before it closes a connection on which something else follows. By default,
 * Node sends the error in place of the pending response, and closes at once; a
 * CONNECT it does not answer at all.
 *
 * @example
 * ```ts
 * transport.finishBeforeParseErrors(server);
 * ```
 */
export function finishBeforeParseErrors(server: Server): void {
  const pending = new PendingResponses();
  server.on(
    "request",
    ({ socket }, response) => pending.add(socket, response),
  );
  server.on("clientError", (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    // A peer that has closed its end has left.
    const hasLeft = socket.readableEnded || !isParseError(error);
    // Node reports the error again with whatever else arrives.
    if (!hasLeft && pending.closeAfterLast(socket)) return;
    if (socket.writable && !pending.areOwed(socket)) {
      writeStatus(
        socket,
        STATUS_BY_CODE[error.code ?? ""] ?? STATUS_BAD_REQUEST,
      );
    }
    socket.destroy(error);
  });
  server.on("connect", (_request, stream) => {
    const socket = stream as Socket;
    // Node has removed its listener, and the peer may leave.
    socket.on("error", () => {});
    if (pending.closeAfterLast(socket)) return;
    writeStatus(socket, STATUS_NOT_IMPLEMENTED);
    socket.destroySoon();
  });
}

/** Writes a response without a body, after which the connection closes. */
function writeStatus(socket: Socket, status: number): void {
  const reason = STATUS_CODES[status];
  socket.write(`HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\n\r\n`);
}
