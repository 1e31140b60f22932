/**
 * Client and listener for the exchange of digests between entry nodes, over
 * Connect on HTTP/1.1.
 */
import { type Client, createClient } from "@connectrpc/connect";
import {
  connectNodeAdapter,
  createConnectTransport,
} from "@connectrpc/connect-node";
import { Agent, createServer } from "node:http";
import * as core from "../core/mod.ts";
import * as transport from "../transport/mod.ts";
import {
  FleetService,
  type FleetView,
  type NodeDigest,
} from "./gen/fleet_pb.ts";

/**
 * Timeout of one exchange; the latency between failure domains is a few
 * milliseconds.
 */
const EXCHANGE_TIMEOUT_MS = 350;

/** Largest message that a node accepts from another one. */
const MESSAGE_BYTES_MAX = 4 * 1024 * 1024;

/** Answers a digest of another node with the hub's view of the fleet. */
export abstract class FleetHandler {
  abstract exchange(digest: NodeDigest): FleetView;
}

/**
 * Starts the listener for the exchanges of other entry nodes.
 *
 * @returns the cleanup that stops the listener.
 * @example
 * ```ts
 * const stop = await peers.startFleetListener(hub, "10.0.0.1", 7380);
 * lifecycle.addCleanup(stop);
 * ```
 */
export async function startFleetListener(
  handler: FleetHandler,
  host: string,
  port: number,
): Promise<core.Cleanup> {
  const server = createServer(connectNodeAdapter({
    routes: (router) => {
      router.service(FleetService, {
        exchange: (digest) => handler.exchange(digest),
      });
    },
    acceptCompression: [],
    readMaxBytes: MESSAGE_BYTES_MAX,
  }));
  return await transport.startServer(server, host, port);
}

/** Clients for other entry nodes, cached by address. */
export class FleetClients {
  readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: 2 });
  readonly #clients = new Map<string, Client<typeof FleetService>>();
  readonly #logger: core.Logger;

  constructor(logger: core.Logger) {
    this.#logger = logger;
  }

  /**
   * Sends a digest and returns the receiver's view of the fleet, or undefined
   * if the exchange failed.
   */
  async exchange(
    address: string,
    digest: NodeDigest,
  ): Promise<FleetView | undefined> {
    try {
      return await this.#client(address).exchange(digest);
    } catch (thrown) {
      const reason = core.messageOf(thrown);
      this.#logger.warn("exchange_failed", { address, reason });
      return undefined;
    }
  }

  /** Closes every connection. */
  close(): void {
    this.#agent.destroy();
  }

  #client(address: string): Client<typeof FleetService> {
    let client = this.#clients.get(address);
    if (!client) {
      client = createClient(
        FleetService,
        createConnectTransport({
          baseUrl: `http://${address}`,
          httpVersion: "1.1",
          nodeOptions: { agent: this.#agent },
          acceptCompression: [],
          readMaxBytes: MESSAGE_BYTES_MAX,
          defaultTimeoutMs: EXCHANGE_TIMEOUT_MS,
        }),
      );
      this.#clients.set(address, client);
    }
    return client;
  }
}
