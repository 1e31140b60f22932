/** The listener that callers and operators connect to. */
import { createAdaptorServer, type ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import * as core from "../../core/mod.ts";
import type * as gateway from "../../gateway/mod.ts";

const CLOSE_POLL_MS = 20;

/** A listener that can stop without cutting anyone off. */
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

  /** Stops accepting, waits for connections to end, then closes the rest. */
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
