/** Base class of the fakes: an HTTP server on loopback with fault injection. */
import { serve, type ServerType } from "@hono/node-server";
import { type Context, Hono } from "hono";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { type Fault, FaultInjector } from "./fake_faults.ts";

/** The Hono environment that the Node server passes to handlers. */
export interface FakeBindings {
  Bindings: {
    incoming: import("node:http").IncomingMessage;
    outgoing: import("node:http").ServerResponse;
  };
}

/**
 * An HTTP fake with fault injection. `POST /faults` injects a fault and
 * `DELETE /faults` removes all faults or those with one name. Faults of every
 * fake: `outage` (503), `reset` (connection closed), `blackhole` (no response),
 * `slow` (delay before the handler), `slowReply` (delay after it), `loseReply`
 * (connection closed after the handler has run).
 */
export abstract class FakeServer {
  readonly faults = new FaultInjector();
  readonly app = new Hono<FakeBindings>();
  readonly #sockets = new Set<Socket>();
  #server: ServerType | undefined;
  #port = 0;

  constructor() {
    this.app.post("/faults", async (c) => {
      this.faults.inject(await c.req.json<Fault>());
      return c.json({});
    });
    this.app.delete("/faults", (c) => {
      this.faults.clear(c.req.query("name"));
      return c.json({});
    });
    this.app.use("*", (c, next) => this.#applyNetworkFaults(c, next));
  }

  /** Origin such as `http://127.0.0.1:9000`. */
  get origin(): string {
    return `http://127.0.0.1:${this.#port}`;
  }

  /** Starts listening on loopback, on a free port by default. */
  async start(port = 0): Promise<void> {
    const server = await new Promise<ServerType>((resolve) => {
      const listening: ServerType = serve(
        { fetch: this.app.fetch, port, hostname: "127.0.0.1" },
        () => resolve(listening),
      );
    });
    server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => undefined);
    });
    this.#server = server;
    this.#port = (server.address() as AddressInfo).port;
  }

  /** Stops immediately and closes all connections. */
  async stop(): Promise<void> {
    const server = this.#server;
    if (server === undefined) return;
    this.#server = undefined;
    for (const socket of this.#sockets) socket.destroy();
    await new Promise<void>((resolve) => server.close(() => resolve()));
  }

  /** Closes the connection of a request; the promise never settles. */
  protected cutConnection(c: Context<FakeBindings>): Promise<Response> {
    c.env.incoming.socket.destroy();
    return new Promise(() => undefined);
  }

  async #applyNetworkFaults(
    c: Context<FakeBindings>,
    next: () => Promise<void>,
  ): Promise<Response | void> {
    const path = c.req.path;
    // Buffers the body first, so that a received request takes effect even if
    // its sender dies.
    await c.req.text();
    if (this.faults.consume("outage", path)) return c.text("outage", 503);
    if (this.faults.consume("reset", path)) return this.cutConnection(c);
    if (this.faults.consume("blackhole", path)) return new Promise(() => {});
    const slowRequest = this.faults.consume("slow", path);
    if (slowRequest) await delay(slowRequest.delayMs ?? 1_000);
    await next();
    const slowReply = this.faults.consume("slowReply", path);
    if (slowReply) await delay(slowReply.delayMs ?? 1_000);
    if (this.faults.consume("loseReply", path)) return this.cutConnection(c);
  }
}
