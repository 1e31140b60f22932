/** Keeps connections open for as long as their peers were told. */
import type { Server } from "node:http";

/**
 * Makes a server keep an idle connection for as long as its last response said,
 * although the server's timeout was lowered while that was being made. Node
 * takes the announced time when a request arrives, but the timeout of the
 * connection when the response ends.
 *
 * @example
 * ```ts
 * transport.keepOpenAsAnnounced(server);
 * ```
 */
export function keepOpenAsAnnounced(server: Server): void {
  server.on("request", ({ socket }, response) => {
    const announcedMs = server.keepAliveTimeout;
    // Node has set the timeout when it calls this.
    response.once("finish", () => {
      const loweredByMs = announcedMs - server.keepAliveTimeout;
      if (loweredByMs <= 0 || !socket.timeout) return;
      socket.setTimeout(socket.timeout + loweredByMs);
    });
  });
}
