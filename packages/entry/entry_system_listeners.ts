/** The readiness, directory and metrics endpoints of an entry node. */
import { createServer, type Server } from "node:http";
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as transport from "../transport/mod.ts";
import type { EntryState } from "./entry_state.ts";

/** Upper limit of the TTL of directory responses; settings may lower it. */
export const DIRECTORY_TTL_MAX_MS = 900;

/**
 * Starts the endpoints, which close with the life cycle.
 *
 * @param isOrdering whether this node sends the orders to engines.
 * @example
 * ```ts
 * await startSystemListeners(state, dialect, lifecycle, () => lease.isHeld);
 * ```
 */
export async function startSystemListeners(
  state: EntryState,
  dialect: fleet.HttpDialect,
  lifecycle: core.Lifecycle,
  isOrdering: () => boolean,
): Promise<void> {
  const { readiness, directory, metrics } = state.settings.listen;
  const platformServer = createServer((request, response) => {
    const endpoint = dialect.matchSystemEndpoint(request.url ?? "");
    if (endpoint === "ready") {
      response.writeHead(state.isReady ? 200 : 503).end();
    } else if (endpoint === "directory") {
      const addresses = directoryAddresses(state);
      if (addresses.length === 0) return response.writeHead(503).end();
      const ttlMs = Math.min(
        DIRECTORY_TTL_MAX_MS,
        state.settings.directoryTtlMs,
      );
      response.writeHead(200, { "content-type": "application/json" })
        .end(dialect.writeDirectory(addresses, ttlMs));
    } else response.writeHead(404).end();
  });
  const listen = async (server: Server, address: fleet.ListenAddress) => {
    const { host, port } = address;
    lifecycle.addCleanup(await transport.startServer(server, host, port));
  };
  await listen(platformServer, readiness);
  const isShared = readiness.host === directory.host &&
    readiness.port === directory.port;
  if (!isShared) {
    const directoryServer = createServer(
      platformServer.listeners("request")[0] as () => void,
    );
    await listen(directoryServer, directory);
  }
  const metricsServer = createServer((_request, response) => {
    response.writeHead(200, { "content-type": "text/plain" })
      .end(state.metrics.render(gauges(state, isOrdering())));
  });
  await listen(metricsServer, metrics);
}

function directoryAddresses({ members, isReady, settings }: EntryState) {
  const { host, port } = settings.listen.callers;
  const own = isReady ? [`${host}:${port}`] : [];
  return [...own, ...members.callerAddresses()];
}

function gauges(
  { config, queue, requestsInFlight, members, quarantine }: EntryState,
  isOrdering: boolean,
): Record<string, number> {
  return {
    config_version: config?.version ?? 0,
    requests_in_progress: requestsInFlight,
    requests_waiting: queue.size,
    members_alive: members.alive().length,
    orders_held: isOrdering ? 1 : 0,
    prompt_parts_held: quarantine.size,
  };
}
