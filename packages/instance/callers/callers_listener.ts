/** HTTP listener for callers and operators. */
import {
  createAdaptorServer,
  type HttpBindings,
  type ServerType,
} from "@hono/node-server";
import type { Hono } from "hono";
import type { Server, ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import * as core from "../../core/mod.ts";
import type * as gateway from "../../gateway/mod.ts";
import * as transport from "../../transport/mod.ts";

const CLOSE_POLL_MS = 20;
/**
 * How long a connection without a request is kept while the listener closes, so
 * that a request that its caller is about to send gets a response.
 */
const IDLE_CLOSE_MS = 1_000;

/** A caller's connection, and the responses that are owed to it. */
class CallerConnection {
  readonly #socket: Socket;
  readonly #openResponses = new Set<ServerResponse>();
  /** When the last response was sent completely; unused connections: never. */
  #idleFromMs = Infinity;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /** Whether a request was read whole whose response is not sent yet. */
  get owesResponse(): boolean {
    return [...this.#openResponses].some(({ req }) => req.complete);
  }

  /** Adds a response until it has been sent completely. */
  addResponse(response: ServerResponse): void {
    this.#openResponses.add(response);
    response.once("close", () => {
      this.#openResponses.delete(response);
      this.#idleFromMs = core.monotonicMs();
    });
  }

  /** Whether further responses are owed after the given one. */
  owesAfter(response: ServerResponse): boolean {
    return [...this.#openResponses].at(-1) !== response;
  }

  /** Closes the connection if it was used and has been idle since then. */
  closeIfIdle(): void {
    const idleMs = core.monotonicMs() - this.#idleFromMs;
    if (this.#openResponses.size > 0 || idleMs < IDLE_CLOSE_MS) return;
    this.#socket.destroy();
  }
}

/** HTTP server that waits for open connections when it is closed. */
export class CallersListener {
  readonly #server: Server;
  readonly #connections = new Map<Socket, CallerConnection>();
  #acceptedConnections = 0;
  /** Responses are held until this resolves, if it is set. */
  #held: Promise<void> | undefined;
  #endHold: () => void = () => undefined;

  /** @param limit limits the connections of the server. */
  constructor(
    app: Hono<gateway.GatewayEnv>,
    limit: (server: Server) => void = () => {},
  ) {
    const server: ServerType = createAdaptorServer({
      fetch: async (request, { incoming, outgoing }) => {
        const bindings = { incoming, outgoing } as HttpBindings;
        const response = await app
          .fetch(request, this.#makeBindings(bindings));
        await this.#held;
        return response;
      },
    });
    this.#server = server as Server;
    limit(this.#server);
    this.#server.on("connection", (socket) => {
      this.#acceptedConnections++;
      this.#connections.set(socket, new CallerConnection(socket));
      socket.on("close", () => this.#connections.delete(socket));
    });
    this.#server.prependListener("request", ({ socket }, response) => {
      this.#connections.get(socket)?.addResponse(response);
    });
  }

  /**
   * Starts listening and returns the port.
   *
   * @param patience how long to wait for an address that is in use.
   */
  async listen(
    host: string,
    port: number,
    patience?: transport.ListenPatience,
  ): Promise<number> {
    await transport.listen(this.#server, host, port, patience);
    return (this.#server.address() as AddressInfo).port;
  }

  /**
   * Stops accepting connections, waits for the open ones to end, then closes the
   * rest.
   *
   * @param connectionWaitMs longest wait for connections whose callers are owed
   * no response.
   * @param responseWaitMs longest wait for the responses to requests that have
   * been read whole.
   */
  async close(connectionWaitMs: number, responseWaitMs: number): Promise<void> {
    await this.#drainAcceptQueue(connectionWaitMs);
    const closed = this.#stopAccepting();
    this.#endHold();
    const connectionsDeadline = new core.Deadline(connectionWaitMs);
    const responsesDeadline = new core.Deadline(responseWaitMs);
    while (this.#connections.size > 0) {
      const deadline = this.#owesResponse
        ? responsesDeadline
        : connectionsDeadline;
      if (deadline.isOver()) break;
      await core.sleep(CLOSE_POLL_MS);
      // Requests that came while the process was held up have been read then.
      await core.nextPoll();
      for (const connection of this.#connections.values()) {
        connection.closeIfIdle();
      }
    }
    this.#server.closeAllConnections();
    await closed;
  }

  #makeBindings(bindings: HttpBindings): gateway.GatewayBindings {
    const connection = this.#connections.get(bindings.incoming.socket);
    const { outgoing } = bindings;
    return {
      ...bindings,
      hasLaterRequests: () => connection?.owesAfter(outgoing) ?? false,
    };
  }

  get #owesResponse(): boolean {
    return [...this.#connections.values()]
      .some(({ owesResponse }) => owesResponse);
  }

  /**
   * Accepts what the kernel has queued, as closing the listening socket resets
   * it. Responses are held meanwhile, so that callers that connect again at once
   * do not fill the queue.
   */
  async #drainAcceptQueue(waitMs: number): Promise<void> {
    this.#held = new Promise((resolve) => this.#endHold = resolve);
    const deadline = new core.Deadline(waitMs);
    let known: number;
    do {
      known = this.#acceptedConnections;
      await core.nextPoll();
    } while (this.#acceptedConnections > known && !deadline.isOver());
  }

  /**
   * Closes the listening socket alone. The method of the HTTP server also
   * destroys connections whose response has been written, but not sent.
   */
  #stopAccepting(): Promise<void> {
    return new Promise((resolve) => {
      NetServer.prototype.close.call(this.#server, () => resolve());
    });
  }
}
