/**
 * Client and listener for the exchange of digests between entry nodes, over
 * the Connect protocol on HTTP/1.1. Exchanges are most of what a node does
 * while no request comes, so both sides speak that protocol's unary call
 * directly; other calls and clients are served by the connect library.
 */
import {
  type DescMessage,
  fromBinary,
  type MessageShape,
  toBinary,
} from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import {
  compressionGzip,
  connectNodeAdapter,
  createConnectTransport,
} from "@connectrpc/connect-node";
import type { Buffer } from "node:buffer";
import {
  Agent,
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import * as undici from "undici";
import * as core from "../core/mod.ts";
import * as memory from "../memory/mod.ts";
import * as transport from "../transport/mod.ts";
import {
  FleetService,
  type FleetView,
  FleetViewSchema,
  type NodeDigest,
  NodeDigestSchema,
  type PermitReply,
  PermitReplySchema,
  type PermitRequest,
  PermitRequestSchema,
  type ReadTableReply,
  type ReadTableRequest,
  type TableNews,
} from "./gen/fleet_pb.ts";

/**
 * Timeout of one exchange; the latency between failure domains is a few
 * milliseconds.
 */
const EXCHANGE_TIMEOUT_MS = 350;
/** Timeout of a read of a whole table, which may have several megabytes. */
const TABLE_TIMEOUT_MS = 2_000;
/** Largest table that a node accepts from another one. */
const TABLE_BYTES_MAX = 32 * 1024 * 1024;
/** Largest message that a node accepts from another one. */
const MESSAGE_BYTES_MAX = 4 * 1024 * 1024;
/** Counted for each chunk of a message in addition to its bytes. */
const CHUNK_OVERHEAD_BYTES = 512;
/** Memory for messages that are being received from all other nodes. */
const messageMemory = memory.processMemory.messages;
/** Time in which a node has to send a whole digest. */
const DIGEST_TIMEOUT_MS = 5_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
/** Connections to one peer; a call may follow on one that timed out. */
const CONNECTIONS_PER_PEER = 2;

const EXCHANGE_PATH =
  `/${FleetService.typeName}/${FleetService.method.exchange.name}`;
const PERMITS_PATH =
  `/${FleetService.typeName}/${FleetService.method.requestPermits.name}`;
const MESSAGE_TYPE = "application/proto";

/** Answers digests and reads of other nodes. */
export abstract class FleetHandler {
  abstract exchange(digest: NodeDigest): FleetView;
  /** Returns what the caller's copy of a table lacks. */
  abstract readTable(request: ReadTableRequest): ReadTableReply;
  /** Issues permits for a rate-limited upstream, if this node does. */
  abstract requestPermits(request: PermitRequest): PermitReply;
}

/**
 * Starts the listener for the exchanges of other entry nodes.
 *
 * @param patience how long to wait for an address that is in use.
 * @param limit limits the connections of the server.
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
  patience?: transport.ListenPatience,
  limit: (server: Server) => void = () => {},
): Promise<core.Cleanup> {
  const handleOther = connectNodeAdapter({
    routes: (router) => {
      router.service(FleetService, {
        exchange: (digest) => handler.exchange(digest),
        readTable: (request) => handler.readTable(request),
        requestPermits: (request) => handler.requestPermits(request),
      });
    },
    // Tables compress to a fraction; links between nodes are narrow.
    acceptCompression: [compressionGzip],
    readMaxBytes: MESSAGE_BYTES_MAX,
  });
  const server = createServer({
    requestTimeout: DIGEST_TIMEOUT_MS,
    headersTimeout: DIGEST_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
  }, (request, response) => {
    const isExchange = request.method === "POST" &&
      request.url === EXCHANGE_PATH &&
      request.headers["content-type"] === MESSAGE_TYPE;
    if (isExchange) answerExchange(handler, request, response);
    else handleOther(request, response);
  });
  limit(server);
  return await transport.startServer(server, host, port, patience);
}

/** Reads a digest and answers it; a message that is too large is cut off. */
function answerExchange(
  handler: FleetHandler,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const chunks = new core.ChunkBuffer();
  let bytes = 0;
  const memory = messageMemory.open(() => {
    chunks.clear();
    request.destroy();
  });
  request.on("error", () => response.destroy());
  request.on("close", () => memory.set(0));
  request.on("data", (chunk: Buffer) => {
    if (request.destroyed) return;
    chunks.append(chunk);
    bytes += chunk.length + CHUNK_OVERHEAD_BYTES;
    if (bytes > MESSAGE_BYTES_MAX) return memory.evict();
    memory.set(chunks.length);
  });
  request.on("end", () => {
    try {
      const digest = fromBinary(NodeDigestSchema, chunks.take());
      const view = toBinary(FleetViewSchema, handler.exchange(digest));
      response.writeHead(200, {
        "content-type": MESSAGE_TYPE,
        "content-length": view.length,
      }).end(view);
    } catch (thrown) {
      const message = core.messageOf(thrown);
      response.writeHead(400, { "content-type": "application/json" })
        .end(JSON.stringify({ code: "invalid_argument", message }));
    }
  });
}

/** Clients for other entry nodes, cached by address. */
export class FleetClients {
  readonly #pools = new Map<string, undici.Pool>();
  readonly #tableAgent = new Agent();
  readonly #logger: core.Logger;

  constructor(logger: core.Logger) {
    this.#logger = logger;
  }

  /**
   * Sends a digest and returns the receiver's view of the fleet, or undefined
   * if the exchange failed.
   */
  exchange(
    address: string,
    digest: NodeDigest,
  ): Promise<FleetView | undefined> {
    return this.#call(
      address,
      EXCHANGE_PATH,
      toBinary(NodeDigestSchema, digest),
      FleetViewSchema,
    );
  }

  /** Asks a node for permits; undefined if it did not answer. */
  requestPermits(
    address: string,
    request: PermitRequest,
  ): Promise<PermitReply | undefined> {
    return this.#call(
      address,
      PERMITS_PATH,
      toBinary(PermitRequestSchema, request),
      PermitReplySchema,
    );
  }

  /** Sends one message and returns the reply, or undefined if that failed. */
  async #call<Reply extends DescMessage>(
    address: string,
    path: string,
    message: Uint8Array,
    reply: Reply,
  ): Promise<MessageShape<Reply> | undefined> {
    const aborter = new AbortController();
    const timer = setTimeout(
      () => aborter.abort(new Error("no answer in time")),
      EXCHANGE_TIMEOUT_MS,
    );
    try {
      const { statusCode, body } = await this.#pool(address).request({
        path,
        method: "POST",
        headers: {
          "content-type": MESSAGE_TYPE,
          "connect-protocol-version": "1",
        },
        body: message,
        signal: aborter.signal,
      });
      const bytes = new Uint8Array(await body.arrayBuffer());
      if (statusCode === 200) return fromBinary(reply, bytes);
      this.#logFailure(address, `status ${statusCode}`);
    } catch (thrown) {
      this.#logFailure(address, core.messageOf(thrown));
    } finally {
      clearTimeout(timer);
    }
    return undefined;
  }

  /**
   * Reads what a copy at `position` lacks of a table from another node, or
   * returns undefined if the call failed or the node has no copy.
   */
  async readTable(
    address: string,
    table: string,
    position: { generation: number; version: number } | undefined,
  ): Promise<TableNews | undefined> {
    try {
      const client = createClient(
        FleetService,
        createConnectTransport({
          baseUrl: `http://${address}`,
          httpVersion: "1.1",
          nodeOptions: { agent: this.#tableAgent },
          acceptCompression: [compressionGzip],
          readMaxBytes: TABLE_BYTES_MAX,
          defaultTimeoutMs: TABLE_TIMEOUT_MS,
        }),
      );
      const request = { table, ...(position ? { position } : {}) };
      return (await client.readTable(request)).news;
    } catch (thrown) {
      const reason = core.messageOf(thrown);
      this.#logger.warn("table_read_failed", { table, address, reason });
      return undefined;
    }
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    this.#tableAgent.destroy();
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #logFailure(address: string, reason: string): void {
    this.#logger.warn("exchange_failed", { address, reason });
  }

  #pool(address: string): undici.Pool {
    let pool = this.#pools.get(address);
    if (!pool) {
      pool = new undici.Pool(`http://${address}`, {
        connections: CONNECTIONS_PER_PEER,
        pipelining: 1,
        connect: { timeout: EXCHANGE_TIMEOUT_MS },
        headersTimeout: 0,
        bodyTimeout: 0,
        maxResponseSize: MESSAGE_BYTES_MAX,
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }
}
