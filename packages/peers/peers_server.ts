/** Listener that serves the peer protocol to other entry instances. */
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type * as core from "../core/mod.ts";
import * as transport from "../transport/mod.ts";
import {
  type DemandReport,
  type Digest,
  type FetchTableReply,
  type FetchTableRequest,
  PeerService,
  type ResolveClaimReply,
  type ResolveClaimRequest,
} from "./gen/peers_pb.ts";

/** Handlers for the requests of peers. */
export abstract class PeerHandlers {
  abstract exchange(digest: Digest): Digest;
  abstract fetchTable(request: FetchTableRequest): FetchTableReply;
  abstract resolveClaim(request: ResolveClaimRequest): ResolveClaimReply;
  abstract reportDemand(report: DemandReport): boolean;
}

/** Options of the peer listener. */
export interface PeerListenerOptions {
  readonly host: string;
  readonly port: number;
  /** Counts the bytes of the peers' connections. */
  readonly meter: transport.SocketMeter;
  /** How long to wait for an address that is in use. */
  readonly patience?: transport.ListenPatience;
  /** Limits the connections of the server. */
  readonly limit?: (server: Server) => void;
}

function makeRoutes(handlers: PeerHandlers): (router: ConnectRouter) => void {
  return (router) => {
    router.service(PeerService, {
      exchange: (digest) => handlers.exchange(digest),
      fetchTable: (request) => handlers.fetchTable(request),
      resolveClaim: (request) => handlers.resolveClaim(request),
      reportDemand: (report) => ({ accepted: handlers.reportDemand(report) }),
    });
  };
}

/**
 * Starts the listener for peers.
 *
 * @returns the port and the cleanup, which stops the listener and closes its
 * connections.
 * @example
 * ```ts
 * const { port, cleanup } = await startPeerListener(handlers, options);
 * ```
 */
export async function startPeerListener(
  handlers: PeerHandlers,
  options: PeerListenerOptions,
): Promise<{ port: number; cleanup: core.Cleanup }> {
  const server = createServer(
    connectNodeAdapter({ routes: makeRoutes(handlers), acceptCompression: [] }),
  );
  options.limit?.(server);
  const sockets = new Set<Socket>();
  server.on("connection", (socket) => {
    sockets.add(socket);
    options.meter.track(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  await transport.listen(
    server,
    options.host,
    options.port,
    options.patience,
  );
  const { port } = server.address() as AddressInfo;
  return { port, cleanup: () => closeServer(server, sockets) };
}

async function closeServer(
  server: Server,
  sockets: ReadonlySet<Socket>,
): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  for (const socket of sockets) socket.destroy();
  await closed;
}
