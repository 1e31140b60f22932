/**
 * Entry nodes in one process before engines on loopback that end as soon as
 * they begin to answer a prompt with a certain part.
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { err, type Result } from "neverthrow";
import * as core from "../../core/mod.ts";
import * as fleet from "../../fleet/mod.ts";
import * as relay from "../../relay/mod.ts";
import * as testing from "../../testing/mod.ts";
import { ExchangeHub } from "../entry_exchange.ts";
import { EntryUpstreamSelector } from "../entry_selector.ts";
import { EntryState } from "../entry_state.ts";
import { TableNewsExchange } from "../entry_table_news.ts";
import { makeEntrySettings } from "./entry_settings.ts";

const SERVICE = core.brandId<core.ServiceName>("s");
const MODEL = core.brandId<core.ModelName>("m");
const EVENTS = 8;
const EVENT_GAP_MS = 8;
const PREFILL_MS = 15;
/** How long an engine is down, and until it is taken off the list. */
const DOWN_MS = 500;
const DELISTED_AFTER_MS = 250;

class TestDialect extends fleet.HttpDialect {
  override readRequest(): Result<fleet.CallerRequest, string> {
    return err("not used");
  }
  override writeRequest({ caller }: fleet.UpstreamRequest) {
    return {
      "x-id": caller.requestId,
      "x-parts": caller.promptParts.map(({ id }) => id).join(","),
    };
  }
  override readResponse(
    _status: number,
    headers: Record<string, string | string[] | undefined>,
  ): fleet.UpstreamResponse {
    const requestId = headers["x-id"];
    return {
      ...(requestId === undefined ? {} : { requestId: String(requestId) }),
      isSigned: true,
      isNotRun: false,
      isLeaving: false,
      isEncoded: false,
      returnedHeaders: {},
    };
  }
  override writeRejection(retryAfterMs?: number): Record<string, string> {
    return { "retry-after": String((retryAfterMs ?? 0) / 1_000) };
  }
  override matchSystemEndpoint(): undefined {
    return undefined;
  }
  override writeDirectory(): string {
    return "";
  }
}

/** One place for an engine; each start of it is another incarnation. */
class CrashingEngine {
  record: fleet.UpstreamRecord | undefined;
  #server: Server | undefined;
  #starts = 0;

  constructor(
    readonly name: string,
    readonly fleetOf: CrashingFleet,
  ) {}

  async start(): Promise<void> {
    const server = createServer((request, response) => {
      this.#answer(request, response).catch(() => response.destroy());
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    this.#server = server;
    this.#starts++;
    this.record = testing.makeUpstreamRecord({
      id: core.brandId<core.UpstreamId>(`${this.name}-${this.#starts}`),
      startedAtMs: this.#starts,
      service: SERVICE,
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      slots: 64,
      models: [{ model: MODEL, adapters: [] }],
    });
    this.fleetOf.list(this.record);
  }

  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = undefined;
  }

  async #answer(request: IncomingMessage, response: ServerResponse) {
    const fleetOf = this.fleetOf;
    const parts = String(request.headers["x-parts"]).split(",");
    const isCrashing = fleetOf.crashingParts.has(parts[1]!);
    if (isCrashing) fleetOf.onCrashingArrival();
    request.resume();
    await core.sleep(PREFILL_MS);
    if (isCrashing) return this.#crash();
    response.writeHead(200, { "x-id": request.headers["x-id"] as string });
    for (let id = 1; id <= EVENTS; id++) {
      response.write(`id: ${id}\ndata: x\n\n`);
      await core.sleep(EVENT_GAP_MS);
    }
    response.end();
  }

  /** Ends with all its requests, and comes back as another incarnation. */
  #crash(): void {
    const { record } = this;
    if (this.#server === undefined || record === undefined) return;
    this.stop();
    this.record = undefined;
    this.fleetOf.crashes++;
    core.sleep(DELISTED_AFTER_MS)
      .then(() => this.fleetOf.delist(record.id))
      .then(() => core.sleep(DOWN_MS - DELISTED_AFTER_MS))
      .then(() => this.fleetOf.isClosed ? undefined : this.start());
  }
}

/** A node with its listener for callers. */
export class CrashTestNode {
  readonly state: EntryState;
  readonly hub: ExchangeHub;
  readonly selector: EntryUpstreamSelector;
  readonly #server: Server;

  /** @param isResumable whether this node resends streams that broke off. */
  constructor(
    readonly name: string,
    records: fleet.UpstreamRecord[],
    readonly isResumable = false,
  ) {
    this.state = new EntryState(
      makeEntrySettings(name),
      new core.Logger({}, () => {}),
    );
    this.state.applyConfig({
      version: 1,
      routes: [],
      services: new Map([[SERVICE, {
        name: SERVICE,
        connectionsMax: 400,
        engine: {
          slots: 64,
          kvCacheTokens: 1_000_000,
          tokensPerEvent: 1,
          weightMemoryMb: 1,
          adapterSlots: 1,
          loadsPerS: 1,
          models: new Map(),
        },
      }]]),
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
      bodyBytesMax: 1_000,
    });
    for (const record of records) this.state.setUpstream(record);
    this.hub = new ExchangeHub(this.state, new TableNewsExchange([]));
    this.selector = new EntryUpstreamSelector(this.state);
    this.#server = createServer((request, response) => {
      this.#relay(request, response).catch(() => response.destroy());
    });
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
  }

  async close(): Promise<void> {
    await this.state.pools.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Sends a request with shared parts; returns its status, 0 if broken. */
  async request(parts: readonly string[]): Promise<number> {
    const { port } = this.#server.address() as AddressInfo;
    try {
      const response = await fetch(`http://127.0.0.1:${port}/`, {
        headers: { "x-parts": parts.join(",") },
      });
      await response.text();
      return response.status;
    } catch {
      return 0;
    }
  }

  async #relay(request: IncomingMessage, response: ServerResponse) {
    const receivedAtMs = core.monotonicMs();
    const parts = String(request.headers["x-parts"]).split(",");
    const task = new relay.RelayTask(
      {
        caller: {
          requestId: core.randomId<core.RequestId>("id"),
          model: MODEL,
          promptTokens: 10,
          outputTokensMax: EVENTS,
          promptParts: parts.map((id) => ({ id, tokens: 3 })),
          forwardedHeaders: {},
        },
        route: {
          name: "r",
          host: "h",
          pathPrefix: "/",
          kind: "stream",
          timeoutMs: 3_000,
          latencyTargetMs: 600,
          eventGapTargetMs: 300,
          priority: 0,
          targets: [],
          attemptsMax: 2,
          isResumable: this.isResumable,
        },
        service: SERVICE,
        method: "GET",
        path: "/",
        body: Buffer.alloc(0),
        receivedAtMs,
        deadlineAtMs: receivedAtMs + 3_000,
      },
      new relay.CallerResponse(response, () => true),
      {
        dialect: new TestDialect(),
        selector: this.selector,
        logger: this.state.logger,
      },
      AbortSignal.timeout(3_000),
    );
    await task.run();
  }
}

/** Nodes that exchange with the first of them, and engines that crash. */
export class CrashingFleet {
  readonly nodes: CrashTestNode[] = [];
  readonly crashingParts = new Set<string>();
  crashes = 0;
  isClosed = false;
  /** Called when a request that crashes engines reaches one. */
  onCrashingArrival: () => void = () => {};
  readonly #engines: CrashingEngine[];
  /** Nodes that cannot reach the others. */
  readonly cutOff = new Set<CrashTestNode>();

  constructor(engines: number, readonly isResumable = false) {
    this.#engines = Array.from(
      { length: engines },
      (_, n) => new CrashingEngine(`e${n}`, this),
    );
  }

  async start(nodes: number): Promise<void> {
    await Promise.all(this.#engines.map((engine) => engine.start()));
    for (let n = 0; n < nodes; n++) await this.addNode(`n${n}`);
    this.#exchange();
  }

  async addNode(name: string): Promise<CrashTestNode> {
    const records = this.#engines.flatMap(({ record }) => record ?? []);
    const node = new CrashTestNode(name, records, this.isResumable);
    await node.start();
    this.nodes.push(node);
    return node;
  }

  list(record: fleet.UpstreamRecord): void {
    for (const { state } of this.nodes) state.setUpstream(record);
  }

  delist(id: core.UpstreamId): void {
    for (const { state } of this.nodes) state.removeUpstream(id, "row deleted");
  }

  async close(): Promise<void> {
    this.isClosed = true;
    for (const engine of this.#engines) engine.stop();
    await Promise.all(this.nodes.map((node) => node.close()));
  }

  /** Exchanges as nodes do, every 50 ms, with the first node as the root. */
  async #exchange(): Promise<void> {
    while (!this.isClosed) {
      const [root, ...others] = this.nodes;
      const nowMs = core.monotonicMs();
      root!.state.exchangedAtMs = nowMs;
      root!.hub.becomeRoot();
      root!.hub.applyLoad(nowMs);
      for (const node of others) {
        if (this.cutOff.has(node)) continue;
        const digest = node.hub.digestForParent(root!.name, nowMs);
        const view = root!.hub.exchange(digest);
        node.hub.applyParentView(core.brandId(root!.name), view, nowMs);
        node.hub.applyLoad(nowMs);
        node.state.exchangedAtMs = nowMs;
      }
      await core.sleep(50);
    }
  }
}
