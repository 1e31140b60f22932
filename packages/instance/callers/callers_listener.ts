/** HTTP listener for callers and operators. */
import { createAdaptorServer, type ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import * as core from "../../core/mod.ts";
import type * as gateway from "../../gateway/mod.ts";

const CLOSE_POLL_MS = 20;

/** HTTP server that waits for open connections when it is closed. */
export class CallersListener {
  readonly #server: Server;
  #connections = 0;

  constructor(app: Hono<gateway.GatewayEnv>) {
    const server: ServerType = createAdaptorServer({ fetch: app.fetch });
    this.#server = server as Server;
    this.#server.on("connection", (socket) => {
      this.#connections++;
      socket.on("close", () => this.#connections--);
    });
  }

  /** Starts listening and returns the port. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /**
   * Stops accepting connections, waits up to `waitMs` for the open ones to
   * end, then closes the rest.
   */
  async close(waitMs: number): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    const deadline = new core.Deadline(waitMs);
    while (this.#connections > 0 && !deadline.isOver()) {
      await core.sleep(CLOSE_POLL_MS);
    }
    this.#server.closeAllConnections();
    await closed;
  }
}
