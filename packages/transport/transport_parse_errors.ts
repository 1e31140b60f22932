/** Handles bytes on a server's connections that are no HTTP requests. */
import { type Server, type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";

const STATUS_BAD_REQUEST = 400;
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

/**
 * Lets a server finish the responses to requests that it has received whole
 * before it closes a connection on which something else follows. By default,
 * Node sends the error in place of the pending response, and closes at once.
 *
 * @example
 * ```ts
 * transport.finishBeforeParseErrors(server);
 * ```
 */
export function finishBeforeParseErrors(server: Server): void {
  const pendingBySocket = new WeakMap<Socket, Set<ServerResponse>>();
  const closingSockets = new WeakSet<Socket>();
  server.on("request", (request, response) => {
    const { socket } = request;
    let pending = pendingBySocket.get(socket);
    if (!pending) pendingBySocket.set(socket, pending = new Set());
    pending.add(response);
    response.once("close", () => pending.delete(response));
  });
  server.on("clientError", (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    const pending = [...pendingBySocket.get(socket) ?? []];
    const last = pending.findLast(({ req }) => req.complete);
    // A peer that has closed its end has left.
    const hasLeft = socket.readableEnded || !isParseError(error);
    if (hasLeft || last === undefined) {
      return reject(error, socket, pending.some((each) => each.headersSent));
    }
    // Node reports the error again with whatever else arrives.
    if (closingSockets.has(socket)) return;
    closingSockets.add(socket);
    last.shouldKeepAlive = false;
    last.once("close", () => socket.destroySoon());
  });
}

/** Answers as Node does by default, and closes the connection. */
function reject(
  error: NodeJS.ErrnoException,
  socket: Socket,
  hasStarted: boolean,
): void {
  if (socket.writable && !hasStarted) {
    const status = STATUS_BY_CODE[error.code ?? ""] ?? STATUS_BAD_REQUEST;
    const reason = STATUS_CODES[status];
    socket.write(`HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy(error);
}
