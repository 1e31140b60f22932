/** The exchange between entry nodes, over Connect on HTTP/1.1. */
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

/** Time for one exchange; zones are a few milliseconds apart. */
const EXCHANGE_TIMEOUT_MS = 350;

/** Answers the exchanges of other nodes. */
export abstract class FleetHandler {
  abstract exchange(digest: NodeDigest): FleetView;
}

/**
 * Listens for other entry nodes.
 *
 * @returns the clean-up that stops listening.
 * @example
 * ```ts
 * lifecycle.own(await peers.registerFleetListener(hub, "10.0.0.1", 7380));
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
  }));
  return await transport.startServer(server, host, port);
}

/** Clients of other entry nodes, one for each address. */
export class FleetClients {
  readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: 2 });
  readonly #clients = new Map<string, Client<typeof FleetService>>();
  readonly #logger: core.Logger;

  constructor(logger: core.Logger) {
    this.#logger = logger;
  }

  /** Exchanges digests; undefined when the other did not answer. */
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
          defaultTimeoutMs: EXCHANGE_TIMEOUT_MS,
        }),
      );
      this.#clients.set(address, client);
    }
    return client;
  }
}
