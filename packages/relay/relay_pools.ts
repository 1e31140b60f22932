/** Connection pools to upstreams, one for each incarnation. */
import * as undici from "undici";
import type * as fleet from "../fleet/mod.ts";
import * as transport from "../transport/mod.ts";

/** Connect timeout; failure domains are a millisecond apart. */
const CONNECT_TIMEOUT_MS = 600;
/** Keep-alive timeout for upstreams that announce none. */
const IDLE_TIMEOUT_DEFAULT_MS = 4_000;
/**
 * Subtracted from the keep-alive timeout that an upstream announces, so that a
 * request is not sent on a connection that the upstream is just closing.
 */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;
/** Share of an upstream's connection limit that all nodes together may use. */
const CONNECTIONS_SHARE = 0.8;
const CONNECTIONS_MIN = 4;

const connect = transport.connector(CONNECT_TIMEOUT_MS);

/** Opens pools on demand and closes those of removed upstreams. */
export class UpstreamPools {
  readonly #pools = new Map<string, undici.Pool>();

  /**
   * Returns the pool of one incarnation of an upstream, opening it if needed.
   *
   * @param connectionsMax connection limit of the upstream's service. It and
   * `nodes` take effect only when the pool is opened.
   * @param nodes number of nodes that share the upstream's connections.
   */
  get(
    upstream: fleet.UpstreamRecord,
    connectionsMax: number,
    nodes: number,
  ): undici.Pool {
    const key = poolKey(upstream);
    let pool = this.#pools.get(key);
    if (!pool) {
      const nodeShare = CONNECTIONS_SHARE * connectionsMax /
        Math.max(1, nodes);
      pool = new undici.Pool(`http://${upstream.address}`, {
        connections: Math.max(CONNECTIONS_MIN, Math.floor(nodeShare)),
        // Without pipelining undici never resends a request by itself.
        pipelining: 1,
        connect,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: IDLE_TIMEOUT_DEFAULT_MS,
        keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
      });
      this.#pools.set(key, pool);
    }
    return pool;
  }

  /** Closes the pool of a removed upstream once its in-flight requests end. */
  drain(upstream: fleet.UpstreamRecord): void {
    const key = poolKey(upstream);
    const pool = this.#pools.get(key);
    this.#pools.delete(key);
    // close() waits for in-flight requests; nothing depends on its completion.
    pool?.close().catch(() => {});
  }

  /** Destroys all connections, including those with in-flight requests. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}

function poolKey(upstream: fleet.UpstreamRecord): string {
  return `${upstream.id}@${upstream.startedAtMs}@${upstream.address}`;
}
