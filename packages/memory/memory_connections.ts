/** Limits the connections of a server, and the half-read heads on them. */
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import * as core from "../core/mod.ts";
import * as turns from "../turns/mod.ts";
import type { NodeMemory } from "./memory_account.ts";
import { CONNECTION_BYTES } from "./memory_limits.ts";
import type { LimitReporter } from "./memory_reporter.ts";

/**
 * Requests of one connection that wait for their responses. Clients of the
 * platform send one after the other; HTTP libraries that pipeline use up to 10.
 */
const PIPELINED_MAX = 16;
/** Connections beyond the limit whose requests were shed and still end. */
const ENDING_PART = 0.25;
const HEADS_CHECK_INTERVAL_MS = 500;
const STATUS_ERROR_MIN = 400;
/** Time in which the first request of a connection usually arrives. */
const UNUSED_MS = 500;
/** Sent for a half-read head, whose request has not run. */
const SHED_RESPONSE = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" +
  "Content-Length: 0\r\nConnection: close\r\n\r\n";

/** Limits of one server's connections. */
export interface ConnectionLimits {
  /** Name of the address, for the log. */
  readonly listener: string;
  /** Who connects there, which decides how many may. */
  readonly clients: "callers" | "peers" | "system";
  readonly memory: NodeMemory;
  readonly reporter: LimitReporter;
}

/** A connection, and what it has been used for. */
interface OpenConnection {
  readonly openedAtMs: number;
  requests: number;
  /** Requests that were answered with success. */
  served: number;
  /** The last response, until it ends and its request was received whole. */
  response: ServerResponse | undefined;
  /** Bytes read when its last request ended; more belong to the next head. */
  bytesSeen: number;
}

/** Returns how many connections and half-read heads an address may have. */
function maxOf(
  { limits }: NodeMemory,
  clients: ConnectionLimits["clients"],
): { connections: number; heads: number } {
  const connections = {
    callers: limits.callerConnectionsMax,
    peers: limits.peerConnectionsMax,
    system: limits.systemConnectionsMax,
  }[clients];
  return { connections, heads: Math.min(connections, limits.headsMax) };
}

class ConnectionTable {
  readonly #options: ConnectionLimits;
  readonly #open = new Map<Socket, OpenConnection>();
  /** Without a request so far, oldest first. */
  readonly #unused = new Set<Socket>();
  /** Between two requests, longest idle first. */
  readonly #idle = new Set<Socket>();

  constructor(options: ConnectionLimits) {
    this.#options = options;
  }

  add(socket: Socket): void {
    const { memory, reporter, listener, clients } = this.#options;
    const { connections } = maxOf(memory, clients);
    const unused = {
      openedAtMs: core.monotonicMs(),
      requests: 0,
      served: 0,
      response: undefined,
      bytesSeen: 0,
    };
    this.#open.set(socket, unused);
    memory.addConnections(CONNECTION_BYTES);
    // Each waiting response may add some.
    socket.setMaxListeners(PIPELINED_MAX + 10);
    socket.once("close", () => {
      memory.addConnections(-CONNECTION_BYTES);
      this.#remove(socket);
    });
    if (this.#open.size > connections) {
      const client = socket.remoteAddress;
      reporter.note("connections", { listener, max: connections, client });
      if (!this.#makeRoom(connections)) return this.#refuse(socket);
    }
    this.#unused.add(socket);
  }

  /** Records a request; closes a connection with too many of them. */
  beginRequest(socket: Socket, response: ServerResponse): void {
    const connection = this.#open.get(socket);
    if (!connection) return;
    connection.response = response;
    this.#unused.delete(socket);
    this.#idle.delete(socket);
    if (++connection.requests > PIPELINED_MAX) {
      const { reporter, listener } = this.#options;
      const client = socket.remoteAddress;
      reporter.note("pipelined", { listener, max: PIPELINED_MAX, client });
      return this.#close(socket);
    }
    response.once("close", () => {
      const isLast = connection.response === response;
      if (isLast && response.req.complete) connection.response = undefined;
      if (response.statusCode < STATUS_ERROR_MIN) connection.served++;
      if (--connection.requests > 0 || !this.#open.has(socket)) return;
      connection.bytesSeen = socket.bytesRead;
      this.#idle.add(socket);
    });
  }

  /** Closes the oldest connections with half-read heads above the limit. */
  checkHeads(): void {
    const { memory, reporter, listener, clients } = this.#options;
    const halfRead = [...this.#idle, ...this.#unused].filter((socket) =>
      socket.bytesRead > (this.#open.get(socket)?.bytesSeen ?? Infinity)
    );
    const { heads } = maxOf(memory, clients);
    for (const socket of halfRead.slice(0, -heads)) {
      const client = socket.remoteAddress;
      reporter.note("heads", { listener, max: heads, client });
      this.#close(socket);
    }
  }

  /**
   * Makes room for a connection that exceeds the limit: closes others, or sheds a
   * request whose connection closes soon.
   *
   * @returns false if the new one is to be refused.
   */
  #makeRoom(connectionsMax: number): boolean {
    const hasClosed = this.#closeUseless(connectionsMax);
    if (this.#open.size <= connectionsMax) return true;
    const { clients, memory } = this.#options;
    const hasShed = clients === "callers" && memory.shedReading();
    const endingMax = connectionsMax * (1 + ENDING_PART);
    if (hasClosed || hasShed) return this.#open.size <= endingMax;
    const [unused] = this.#unused;
    const other = unused ?? this.#findLeastServed();
    if (other) this.#close(other);
    return other !== undefined;
  }

  /** Closes connections that nothing comes of, as long as there are too many. */
  #closeUseless(connectionsMax: number): boolean {
    const sizeBefore = this.#open.size;
    for (const socket of [...this.#unused, ...this.#open.keys()]) {
      if (this.#open.size <= connectionsMax) break;
      if (this.#isLate(socket) || this.#isRejected(socket)) this.#close(socket);
    }
    return this.#open.size < sizeBefore;
  }

  /** Whether a first request should have arrived long ago. */
  #isLate(socket: Socket): boolean {
    const connection = this.#open.get(socket);
    return connection !== undefined && this.#unused.has(socket) &&
      core.monotonicMs() - connection.openedAtMs > UNUSED_MS;
  }

  /** Whether the body of a request still arrives that was rejected. */
  #isRejected(socket: Socket): boolean {
    const response = this.#open.get(socket)?.response;
    return response !== undefined && response.headersSent &&
      !response.req.complete;
  }

  /**
   * Returns an idle connection. A client that has used its connection may be
   * sending the next request, and cannot tell whether that has run.
   */
  #findLeastServed(): Socket | undefined {
    let least: Socket | undefined;
    let servedMin = Infinity;
    for (const socket of this.#idle) {
      const { served } = this.#open.get(socket)!;
      if (served >= servedMin) continue;
      least = socket;
      servedMin = served;
    }
    return least;
  }

  /** Answers 503 to a connection whose request has not been read, and closes it. */
  #refuse(socket: Socket): void {
    this.#remove(socket);
    // The rest must not arrive, as the request would run after the rejection.
    socket.pause();
    socket.write(SHED_RESPONSE);
    socket.destroySoon();
  }

  #close(socket: Socket): void {
    const connection = this.#open.get(socket);
    const isHalfRead = connection?.requests === 0 &&
      socket.bytesRead > connection.bytesSeen;
    if (isHalfRead) return this.#refuse(socket);
    this.#remove(socket);
    socket.destroy();
  }

  #remove(socket: Socket): void {
    this.#open.delete(socket);
    this.#unused.delete(socket);
    this.#idle.delete(socket);
  }
}

/**
 * Limits the connections of a server. Above the limit, those are closed that have
 * sent no whole request for 500 ms, and those whose request was rejected and whose
 * body still arrives; then a request whose body is being read is shed. If there
 * is none, the oldest without a whole request is closed, else the idle one that
 * has been served least. If that makes no room, the new one is answered 503.
 *
 * @example
 * ```ts
 * memory.limitConnections(server, {
 *   listener: "callers",
 *   clients: "callers",
 *   memory: memory.processMemory,
 *   reporter,
 * });
 * ```
 */
export function limitConnections(
  server: Server,
  options: ConnectionLimits,
): void {
  const table = new ConnectionTable(options);
  server.on("connection", (socket: Socket) => {
    const { listener, memory, reporter } = options;
    const fields = { listener, client: socket.remoteAddress };
    turns.shareReads(socket, {
      onRead: (bytes) => memory.noteRead(bytes),
      onDeferred: () => reporter.note("turns", fields),
    });
    table.add(socket);
  });
  server.prependListener("request", ({ socket }, response) => {
    table.beginRequest(socket, response);
  });
  const timer = setInterval(() => table.checkHeads(), HEADS_CHECK_INTERVAL_MS);
  timer.unref();
  server.once("close", () => clearInterval(timer));
}
