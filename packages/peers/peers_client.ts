/** Client for peer instances, over Connect on HTTP/1.1 with keep-alive. */
import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Agent, type ClientRequestArgs } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import * as claims from "../claims/mod.ts";
import type * as transport from "../transport/mod.ts";
import {
  type DemandReport,
  type Digest,
  type FetchTableReply,
  PeerService,
} from "./gen/peers_pb.ts";
import { fromFateMessage } from "./peers_convert.ts";
import type { PeerDirectory } from "./peers_directory.ts";

const IDLE_SOCKETS_PER_PEER_MAX = 2;

/** Counters of this instance's calls to peers. */
export interface PeerCallCounters {
  calls: number;
  failures: number;
}

/** Agent with keep-alive that registers each new connection with a meter. */
class MeteredAgent extends Agent {
  readonly #meter: transport.SocketMeter;

  constructor(meter: transport.SocketMeter) {
    super({ keepAlive: true, maxFreeSockets: IDLE_SOCKETS_PER_PEER_MAX });
    this.#meter = meter;
  }

  override createConnection(
    options: ClientRequestArgs,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    const socket = super.createConnection(options, callback);
    if (socket) this.#meter.track(socket as Socket);
    return socket;
  }
}

/** Whether an error or one of its causes is a refused connection. */
function isConnectionRefused(thrown: unknown): boolean {
  for (let error = thrown; error instanceof Error; error = error.cause) {
    if ((error as { code?: unknown }).code === "ECONNREFUSED") return true;
  }
  return false;
}

/** Clients for peers, cached by address. */
export class PeerClients {
  readonly counters: PeerCallCounters = { calls: 0, failures: 0 };
  readonly #agent: Agent;
  readonly #clients = new Map<string, Client<typeof PeerService>>();
  readonly #timeoutMs: number;

  constructor(timeoutMs: number, meter: transport.SocketMeter) {
    this.#timeoutMs = timeoutMs;
    this.#agent = new MeteredAgent(meter);
  }

  /**
   * Sends a digest and returns the peer's. Returns `refused` if no process
   * listens at the address, `failed` if the exchange failed otherwise.
   */
  async exchange(
    peerAddress: string,
    digest: Digest,
  ): Promise<Digest | "refused" | "failed"> {
    this.counters.calls++;
    try {
      return await this.#client(peerAddress).exchange(digest);
    } catch (thrown) {
      this.counters.failures++;
      return isConnectionRefused(thrown) ? "refused" : "failed";
    }
  }

  /**
   * Fetches the table as a delta or snapshot; undefined if the call failed.
   *
   * @param takesDelta whether a delta from `afterRevision` can be applied.
   */
  fetchTable(
    peerAddress: string,
    afterRevision: number,
    takesDelta: boolean,
  ): Promise<FetchTableReply | undefined> {
    return this.#call(() =>
      this.#client(peerAddress).fetchTable({
        afterRevision: BigInt(afterRevision),
        takesDelta,
      })
    );
  }

  /** Queries a peer for the fate of its claim. */
  async resolveClaim(
    peerAddress: string,
    query: claims.ClaimQuery,
  ): Promise<claims.ClaimFate> {
    const { callerId, key, nonce, incarnation } = query;
    this.counters.calls++;
    try {
      return fromFateMessage(
        await this.#client(peerAddress).resolveClaim({
          callerId,
          key,
          nonce,
          incarnation,
        }),
      );
    } catch (thrown) {
      this.counters.failures++;
      // The owner listens at this address for its whole lifetime, so a refused
      // connection means that it no longer runs.
      const isStopped = isConnectionRefused(thrown);
      return { kind: isStopped ? "notOwner" : "unreachable" };
    }
  }

  /**
   * Reports demand to a peer.
   *
   * @returns whether the peer accepted the report as the planner.
   */
  async reportDemand(
    peerAddress: string,
    report: DemandReport,
  ): Promise<boolean> {
    const reply = await this.#call(() =>
      this.#client(peerAddress).reportDemand(report)
    );
    return reply?.accepted ?? false;
  }

  /** Closes every connection. */
  close(): void {
    this.#agent.destroy();
  }

  #client(peerAddress: string): Client<typeof PeerService> {
    const existing = this.#clients.get(peerAddress);
    if (existing) return existing;
    const transport = createConnectTransport({
      baseUrl: peerAddress,
      httpVersion: "1.1",
      nodeOptions: { agent: this.#agent },
      acceptCompression: [],
      defaultTimeoutMs: this.#timeoutMs,
    });
    const client = createClient(PeerService, transport);
    this.#clients.set(peerAddress, client);
    return client;
  }

  async #call<Reply>(send: () => Promise<Reply>): Promise<Reply | undefined> {
    this.counters.calls++;
    try {
      return await send();
    } catch {
      this.counters.failures++;
      return undefined;
    }
  }
}

/** Queries the owners of claims over the peer protocol. */
export class RemoteClaimPeers extends claims.ClaimPeers {
  readonly #clients: PeerClients;
  readonly #directory: PeerDirectory;

  constructor(clients: PeerClients, directory: PeerDirectory) {
    super();
    this.#clients = clients;
    this.#directory = directory;
  }

  override async queryFate(
    query: claims.ClaimQuery,
  ): Promise<claims.ClaimFate> {
    const owner = this.#directory.find(query.owner);
    if (!owner) return { kind: "unreachable" };
    return await this.#clients.resolveClaim(owner.peerAddress, query);
  }
}
