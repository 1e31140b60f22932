/** Listening HTTP servers. */
import type { Server } from "node:http";
import type * as core from "../core/mod.ts";

/**
 * Has a server listen on an address.
 *
 * @returns the clean-up that stops listening and closes every connection.
 * @throws the system's error where the address cannot be taken.
 * @example
 * ```ts
 * lifecycle.own(await transport.startServer(server, "10.0.0.1", 7380));
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
