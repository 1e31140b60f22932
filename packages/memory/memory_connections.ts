/** Limits the connections of a server, and the half-read heads on them. */
import type { Server } from "node:http";
import type { Socket } from "node:net";
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
  requests: number;
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
    this.#open.set(socket, { requests: 0, bytesSeen: 0 });
    memory.addConnections(CONNECTION_BYTES);
    // Each waiting response may add some.
    socket.setMaxListeners(PIPELINED_MAX + 10);
    socket.once("close", () => {
      memory.addConnections(-CONNECTION_BYTES);
      this.#remove(socket);
    });
    if (this.#open.size > connections) {
      reporter.note("connections", { listener, max: connections });
      if (!this.#makeRoom(connections)) return this.#close(socket);
    }
    this.#unused.add(socket);
  }

  /** Records a request; closes a connection with too many of them. */
  beginRequest(socket: Socket, onEnd: (callback: () => void) => void): void {
    const connection = this.#open.get(socket);
    if (!connection) return;
    this.#unused.delete(socket);
    this.#idle.delete(socket);
    if (++connection.requests > PIPELINED_MAX) {
      const { reporter, listener } = this.#options;
      reporter.note("pipelined", { listener, max: PIPELINED_MAX });
      return this.#close(socket);
    }
    onEnd(() => {
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
      reporter.note("heads", { listener, max: heads });
      this.#close(socket);
    }
  }

  /**
   * Closes a connection, or sheds a request whose connection closes soon: first
   * one that nothing has come of yet.
   */
  #makeRoom(connectionsMax: number): boolean {
    const [unused] = this.#unused;
    if (unused) {
      this.#close(unused);
      return true;
    }
    const endingMax = connectionsMax * (1 + ENDING_PART);
    const { clients, memory } = this.#options;
    const mayShed = clients === "callers" && this.#open.size <= endingMax;
    if (mayShed && memory.shedReading()) return true;
    const [idle] = this.#idle;
    if (idle) this.#close(idle);
    return idle !== undefined;
  }

  #close(socket: Socket): void {
    const connection = this.#open.get(socket);
    this.#remove(socket);
    const isHalfRead = connection?.requests === 0 &&
      socket.bytesRead > connection.bytesSeen;
    if (!isHalfRead) return void socket.destroy();
    // The rest must not arrive, as the request would run after the rejection.
    socket.pause();
    socket.write(SHED_RESPONSE);
    socket.destroySoon();
  }

  #remove(socket: Socket): void {
    this.#open.delete(socket);
    this.#unused.delete(socket);
    this.#idle.delete(socket);
  }
}

/**
 * Limits the connections of a server. Above the limit, a new one takes the place
 * of the oldest that has sent no whole request, else of a request whose body is
 * being read, else of the one that has been idle for longest.
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
    table.beginRequest(
      socket,
      (callback) => response.once("close", callback),
    );
  });
  const timer = setInterval(() => table.checkHeads(), HEADS_CHECK_INTERVAL_MS);
  timer.unref();
  server.once("close", () => clearInterval(timer));
}
