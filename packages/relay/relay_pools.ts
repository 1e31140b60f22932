/** Connections to upstreams, one pool for each incarnation. */
import * as undici from "undici";
import type * as fleet from "../fleet/mod.ts";

/** Time for a connection to be opened; zones are a millisecond apart. */
const CONNECT_TIMEOUT_MS = 600;
/** Idle time kept where an upstream names none. */
const IDLE_DEFAULT_MS = 4_000;
/** Idle time left unused of what an upstream allows, against races. */
const IDLE_MARGIN_MS = 1_000;
/** Share of an upstream's connections that all nodes together may open. */
const CONNECTIONS_SHARE = 0.8;
const CONNECTIONS_MIN = 4;

/**
 * Opens connections whose resets are never taken for the end of a body:
 * undici counts ECONNRESET as the end of an answer without a length.
 */
const connect: undici.buildConnector.connector = (options, callback) => {
  openConnection(options, (...opened) => {
    const [, socket] = opened;
    socket?.on("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "ECONNRESET") error.code = "UPSTREAM_RESET";
    });
    callback(...opened);
  });
};

const openConnection = undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/** Opens pools on demand and closes those of upstreams that are gone. */
export class UpstreamPools {
  readonly #pools = new Map<string, undici.Pool>();

  /**
   * The pool of one incarnation of an upstream.
   *
   * @param nodes how many nodes share the upstream's connections.
   */
  get(
    upstream: fleet.UpstreamRecord,
    connectionsMax: number,
    nodes: number,
  ): undici.Pool {
    const key = poolKey(upstream);
    let pool = this.#pools.get(key);
    if (!pool) {
      const share = CONNECTIONS_SHARE * connectionsMax / Math.max(1, nodes);
      pool = new undici.Pool(`http://${upstream.address}`, {
        connections: Math.max(CONNECTIONS_MIN, Math.floor(share)),
        // One request at a time: undici resends only pipelined requests.
        pipelining: 1,
        connect,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: IDLE_DEFAULT_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      });
      this.#pools.set(key, pool);
    }
    return pool;
  }

  /** Closes the pool of an upstream that is gone, after its requests. */
  retire(upstream: fleet.UpstreamRecord): void {
    const key = poolKey(upstream);
    const pool = this.#pools.get(key);
    this.#pools.delete(key);
    // Requests on the way end first; nothing waits for the closing itself.
    pool?.close().catch(() => {});
  }

  /** Destroys every connection. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}

function poolKey(upstream: fleet.UpstreamRecord): string {
  return `${upstream.id}@${upstream.startedAtMs}@${upstream.address}`;
}
