/** The readiness, directory and metrics endpoints of an entry node. */
import { createServer, type RequestListener, type Server } from "node:http";
import process from "node:process";
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as memory from "../memory/mod.ts";
import * as transport from "../transport/mod.ts";
import { directoryAddresses } from "./capacity/entry_directory.ts";
import type { EntryState } from "./entry_state.ts";

/** Upper limit of the TTL of directory responses; settings may lower it. */
export const DIRECTORY_TTL_MAX_MS = 900;
/** Time in which a client has to send its request, which has no body. */
const REQUEST_TIMEOUT_MS = 5_000;
/** Largest head; the platform's own calls have some hundred bytes. */
const HEADER_BYTES_MAX = 16_384;
const SERVER_OPTIONS = {
  maxHeaderSize: HEADER_BYTES_MAX,
  requestTimeout: REQUEST_TIMEOUT_MS,
  headersTimeout: REQUEST_TIMEOUT_MS,
  connectionsCheckingInterval: 1_000,
};

/**
 * Limits the connections of one of the node's servers.
 *
 * @param clients who connects there.
 * @example
 * ```ts
 * limitListener(state, server, "directory", "system");
 * ```
 */
export function limitListener(
  { limitReporter }: EntryState,
  server: Server,
  listener: string,
  clients: memory.ConnectionLimits["clients"],
): void {
  memory.limitConnections(server, {
    listener,
    clients,
    memory: memory.processMemory,
    reporter: limitReporter,
  });
}

/**
 * Starts the endpoints, which close with the life cycle.
 *
 * @param patienceFor how long a listener waits for an address that is in use.
 * @example
 * ```ts
 * await startSystemListeners(state, dialect, lifecycle, () => ({
 *   timeoutMs: 10_000,
 * }));
 * ```
 */
export async function startSystemListeners(
  state: EntryState,
  dialect: fleet.HttpDialect,
  lifecycle: core.Lifecycle,
  patienceFor: (listener: string) => transport.ListenPatience,
): Promise<void> {
  const { readiness, directory } = state.settings.listen;
  const answer: RequestListener = (request, response) => {
    const endpoint = dialect.matchSystemEndpoint(request.url ?? "");
    if (endpoint === "ready") {
      response.writeHead(state.isReady ? 200 : 503).end();
    } else if (endpoint === "directory") {
      const client = dialect.readDirectoryQuery(request.url ?? "");
      const addresses = directoryAddresses(state, client);
      if (addresses.length === 0) return response.writeHead(503).end();
      const ttlMs = Math.min(
        DIRECTORY_TTL_MAX_MS,
        state.settings.directoryTtlMs,
      );
      response.writeHead(200, { "content-type": "application/json" })
        .end(dialect.writeDirectory(addresses, ttlMs));
    } else response.writeHead(404).end();
  };
  const platformServer = createServer(SERVER_OPTIONS, answer);
  const listen = async (
    name: string,
    server: Server,
    { host, port }: fleet.ListenAddress,
  ) => {
    const patience = patienceFor(name);
    limitListener(state, server, name, "system");
    lifecycle.addCleanup(
      await transport.startServer(server, host, port, patience),
    );
  };
  await listen("readiness", platformServer, readiness);
  const isShared = readiness.host === directory.host &&
    readiness.port === directory.port;
  if (!isShared) {
    const directoryServer = createServer(
      SERVER_OPTIONS,
      answer,
    );
    await listen("directory", directoryServer, directory);
  }
}

/**
 * Serves the metrics as soon as their address can be bound. To be called after
 * all other listeners are started, as one of them may have the same address.
 *
 * @param isOrdering whether this node sends the orders to engines.
 * @example
 * ```ts
 * startMetricsListener(state, lifecycle, () => lease.isHeld, patience);
 * ```
 */
export function startMetricsListener(
  state: EntryState,
  lifecycle: core.Lifecycle,
  isOrdering: () => boolean,
  patience: transport.ListenPatience,
): void {
  const metricsServer = createServer(SERVER_OPTIONS, (_request, response) => {
    response.writeHead(200, { "content-type": "text/plain" })
      .end(state.metrics.render(gauges(state, isOrdering())));
  });
  limitListener(state, metricsServer, "metrics", "system");
  const { host, port } = state.settings.listen.metrics;
  transport.startServer(metricsServer, host, port, {
    ...patience,
    timeoutMs: Infinity,
  }).then((stop) => {
    if (lifecycle.signal.aborted) return stop();
    lifecycle.addCleanup(stop);
  }, (thrown) => {
    const reason = core.messageOf(thrown);
    state.logger.error("metrics_not_served", { reason });
  });
}

function gauges(
  state: EntryState,
  isOrdering: boolean,
): Record<string, number> {
  const {
    config,
    queue,
    teamOrder,
    requestsInFlight,
    members,
    quarantine,
    quotas,
    limitReporter,
  } = state;
  const { heldBytes, bytesMax } = memory.processMemory;
  return {
    ...state.overload.gauges(),
    ...state.capacity.gauges(),
    ...limitReporter.metrics,
    memory_held_bytes: heldBytes,
    memory_limit_bytes: bytesMax,
    resident_bytes: process.memoryUsage.rss(),
    config_version: config?.version ?? 0,
    requests_in_progress: requestsInFlight,
    requests_waiting: queue.size,
    ...teamOrder.totals.gauges(),
    members_alive: members.alive().length,
    orders_held: isOrdering ? 1 : 0,
    prompt_parts_held: quarantine.size,
    quota_teams_exhausted: quotas.exhaustedTeams,
  };
}
