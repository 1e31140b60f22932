/** Starts and stops HTTP servers. */
import type { Server } from "node:http";
import type * as core from "../core/mod.ts";

/**
 * Starts a server on an address.
 *
 * @returns a cleanup that stops listening and closes all connections.
 * @throws the system's error if the address cannot be bound.
 * @example
 * ```ts
 * lifecycle.addCleanup(await transport.startServer(server, "10.0.0.1", 7380));
 * ```
 */
export async function startServer(
  server: Server,
  host: string,
  port: number,
): Promise<core.Cleanup> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  return () => {
    server.close();
    server.closeAllConnections();
  };
}
