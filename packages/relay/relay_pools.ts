/** Connection pools to upstreams, one for each incarnation. */
import type * as fleet from "../fleet/mod.ts";
import * as transport from "../transport/mod.ts";
import { type CloseReason, UpstreamConnections } from "./relay_connections.ts";

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

/** Called when an idle connection to an upstream is closed. */
export type PoolCloseListener = (
  upstream: fleet.UpstreamRecord,
  reason: CloseReason,
) => void;

/**
 * A node's part of the connections to an upstream; undefined for equal parts.
 *
 * @param budget connections that all nodes together may use.
 * @param min part of a node at least.
 */
export type ConnectionShare = (
  budget: number,
  min: number,
) => number | undefined;

/** Opens pools on demand and closes those of removed upstreams. */
export class UpstreamPools {
  readonly #onClose: PoolCloseListener;
  readonly #pools = new Map<string, UpstreamConnections>();

  /** @param onClose called when an idle connection is closed for a reason. */
  constructor(onClose: PoolCloseListener = () => {}) {
    this.#onClose = onClose;
  }

  /**
   * Returns the pool of one incarnation of an upstream, opening it if needed.
   *
   * @param connectionsMax connection limit of the upstream's service. It and
   * `nodes` take effect only when the pool is opened.
   * @param nodes number of nodes that share the upstream's connections.
   * @param share this node's part, if it does not follow from their number.
   */
  get(
    upstream: fleet.UpstreamRecord,
    connectionsMax: number,
    nodes: number,
    share: ConnectionShare = () => undefined,
  ): UpstreamConnections {
    const key = poolKey(upstream);
    let pool = this.#pools.get(key);
    if (!pool) {
      const budget = CONNECTIONS_SHARE * connectionsMax;
      const nodeShare = share(budget, CONNECTIONS_MIN) ??
        budget / Math.max(1, nodes);
      pool = new UpstreamConnections(`http://${upstream.address}`, {
        connectionsMax: Math.max(CONNECTIONS_MIN, Math.floor(nodeShare)),
        connect,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: IDLE_TIMEOUT_DEFAULT_MS,
        keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
        onClose: (reason) => this.#onClose(upstream, reason),
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
