/** HTTP listener for callers and operators. */
import { createAdaptorServer, type ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import type { Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import * as core from "../../core/mod.ts";
import type * as gateway from "../../gateway/mod.ts";

const CLOSE_POLL_MS = 20;

/** HTTP server that waits for its responses and connections when it is closed. */
export class CallersListener {
  readonly #server: Server;
  /** Responses that have not been sent completely. */
  readonly #responses = new Set<ServerResponse>();
  #connections = 0;

  constructor(app: Hono<gateway.GatewayEnv>) {
    const server: ServerType = createAdaptorServer({ fetch: app.fetch });
    this.#server = server as Server;
    this.#server.on("connection", (socket) => {
      this.#connections++;
      socket.on("close", () => this.#connections--);
    });
    this.#server.on("request", (_, response) => {
      this.#responses.add(response);
      response.on("close", () => this.#responses.delete(response));
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
   * Waits up to `sendMaxMs` until callers have been sent the responses that are
   * open now. Then stops accepting connections, waits up to `waitMs` for the
   * open ones to end, and closes the rest.
   */
  async close(sendMaxMs: number, waitMs: number): Promise<void> {
    // `Server.close` destroys connections whose response has ended, even if part
    // of it still waits for a caller that reads slowly.
    await this.#whenSent(sendMaxMs);
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

  async #whenSent(timeoutMs: number): Promise<void> {
    const controller = new AbortController();
    const sent = [...this.#responses].map((response) =>
      new Promise((resolve) => response.once("close", resolve))
    );
    const timeout = core.sleep(timeoutMs, controller.signal);
    await Promise.race([Promise.all(sent), timeout]);
    controller.abort();
  }
}
