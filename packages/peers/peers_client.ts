/** Calls to peer instances over Connect on HTTP/1.1 with keep-alive. */
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

const IDLE_SOCKETS_MAX = 2;

/** Bytes and calls of the peer protocol, as this instance sent them. */
export interface PeerCallCounters {
  calls: number;
  failures: number;
}

/** Keeps connections alive and shows each new one to a meter. */
class MeteredAgent extends Agent {
  readonly #meter: transport.SocketMeter;

  constructor(meter: transport.SocketMeter) {
    super({ keepAlive: true, maxFreeSockets: IDLE_SOCKETS_MAX });
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

/** Whether an error says that no process listens at the address. */
function isConnectionRefused(thrown: unknown): boolean {
  for (let error = thrown; error instanceof Error; error = error.cause) {
    if ((error as { code?: unknown }).code === "ECONNREFUSED") return true;
  }
  return false;
}

/** Clients of peers, one for each address. */
export class PeerClients {
  readonly counters: PeerCallCounters = { calls: 0, failures: 0 };
  readonly #agent: Agent;
  readonly #clients = new Map<string, Client<typeof PeerService>>();
  readonly #timeoutMs: number;

  constructor(timeoutMs: number, meter: transport.SocketMeter) {
    this.#timeoutMs = timeoutMs;
    this.#agent = new MeteredAgent(meter);
  }

  /** Swaps digests, or tells why the peer did not answer. */
  async exchange(
    peerAddress: string,
    digest: Digest,
  ): Promise<Digest | "refused" | "silent"> {
    this.counters.calls++;
    try {
      return await this.#client(peerAddress).exchange(digest);
    } catch (thrown) {
      this.counters.failures++;
      return isConnectionRefused(thrown) ? "refused" : "silent";
    }
  }

  /** Fetches a newer table; undefined when the peer did not answer. */
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

  /** Asks a peer what became of a claim. */
  async resolveClaim(
    peerAddress: string,
    question: claims.ClaimQuery,
  ): Promise<claims.ClaimFate> {
    const { callerId, key, nonce, incarnation } = question;
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
      // Nothing listens where the owner listened for as long as it lived.
      const isGone = isConnectionRefused(thrown);
      return { kind: isGone ? "notOwner" : "unreachable" };
    }
  }

  /** Tells the planner about demand. */
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
    const known = this.#clients.get(peerAddress);
    if (known) return known;
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

/** Asks the owners of claims over the peer protocol. */
export class RemoteClaimPeers extends claims.ClaimPeers {
  readonly #clients: PeerClients;
  readonly #directory: PeerDirectory;

  constructor(clients: PeerClients, directory: PeerDirectory) {
    super();
    this.#clients = clients;
    this.#directory = directory;
  }

  override async queryFate(
    question: claims.ClaimQuery,
  ): Promise<claims.ClaimFate> {
    const owner = this.#directory.find(question.owner);
    if (!owner) return { kind: "unreachable" };
    return await this.#clients.resolveClaim(owner.peerAddress, question);
  }
}
