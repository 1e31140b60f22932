/** The readiness, directory and metrics endpoints of an entry node. */
import { createServer, type Server } from "node:http";
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as transport from "../transport/mod.ts";
import { directoryAddresses } from "./capacity/entry_directory.ts";
import type { EntryState } from "./entry_state.ts";

/** Upper limit of the TTL of directory responses; settings may lower it. */
export const DIRECTORY_TTL_MAX_MS = 900;

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
  const platformServer = createServer((request, response) => {
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
  });
  const listen = async (
    name: string,
    server: Server,
    { host, port }: fleet.ListenAddress,
  ) => {
    const patience = patienceFor(name);
    lifecycle.addCleanup(
      await transport.startServer(server, host, port, patience),
    );
  };
  await listen("readiness", platformServer, readiness);
  const isShared = readiness.host === directory.host &&
    readiness.port === directory.port;
  if (!isShared) {
    const directoryServer = createServer(
      platformServer.listeners("request")[0] as () => void,
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
  const metricsServer = createServer((_request, response) => {
    response.writeHead(200, { "content-type": "text/plain" })
      .end(state.metrics.render(gauges(state, isOrdering())));
  });
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
  } = state;
  return {
    ...state.overload.gauges(),
    ...state.capacity.gauges(),
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
