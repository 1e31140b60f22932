/** A listener for callers before one upstream, both on loopback. */
import { once } from "node:events";
import {
  createServer,
  type IncomingHttpHeaders,
  type RequestListener,
  type Server,
} from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import * as core from "../../core/mod.ts";
import * as fleet from "../../fleet/mod.ts";
import type * as relay from "../../relay/mod.ts";
import * as testing from "../../testing/mod.ts";
import { CallerListener } from "../entry_caller_listener.ts";
import { OriginReader } from "../entry_origin_rows.ts";
import { EntryUpstreamSelector } from "../entry_selector.ts";
import { EntryState } from "../entry_state.ts";
import { TakeUpResolver } from "../entry_take_ups.ts";
import { makeEntrySettings } from "./entry_settings.ts";
import { MemoryTable } from "./memory_table.ts";

/** Longest wait for what a test expects, however busy the machine is. */
const WAIT_MAX_MS = 10_000;
const SERVICE = core.brandId<core.ServiceName>("s");
const UPSTREAM = core.brandId<core.UpstreamId>("u1");
const HEADER_TIMEOUT_MS = 1_000;

/** Reads and writes only the headers that the tests use. */
export class HarnessDialect extends fleet.HttpDialect {
  override readRequest(
    headers: IncomingHttpHeaders,
  ): Result<fleet.CallerRequest, string> {
    const id = headers["x-id"];
    if (id === undefined) return err("X-Id is missing");
    const deadline = headers["x-deadline"];
    return ok({
      requestId: core.brandId<core.RequestId>(String(id)),
      ...(deadline === undefined ? {} : { deadlineMs: Number(deadline) }),
      promptTokens: 0,
      outputTokensMax: 0,
      promptParts: [],
      forwardedHeaders: {},
    });
  }
  override writeRequest({ caller }: fleet.UpstreamRequest) {
    return { "x-id": caller.requestId };
  }
  override readResponse(
    _status: number,
    headers: Record<string, string | string[] | undefined>,
  ): fleet.UpstreamResponse {
    return {
      requestId: String(headers["x-id"]),
      isSigned: true,
      isNotRun: false,
      isLeaving: false,
      isEncoded: false,
      returnedHeaders: { "x-seal": String(headers["x-seal"]) },
    };
  }
  override writeRejection(retryAfterMs?: number): Record<string, string> {
    return retryAfterMs === undefined
      ? {}
      : { "retry-after": String(retryAfterMs / 1_000) };
  }
  override matchSystemEndpoint(): undefined {
    return undefined;
  }
  override writeDirectory(): string {
    return "";
  }
}

/** Behaviour of the upstream: echoes the id, after a delay. */
export function respondAfter(delayMs: number): RequestListener {
  return (request, response) => {
    // Tests of other processes may call a port that was theirs before.
    const id = request.headers["x-id"] ?? "";
    const headers = { "x-id": id, "x-seal": "seal" };
    setTimeout(() => response.writeHead(200, headers).end("whole"), delayMs);
  };
}

/** What a caller received on one connection, and how that ended. */
export class CallerConnection {
  readonly socket: Socket;
  /** Resolves once the connection has closed. */
  readonly closed: Promise<unknown>;
  text = "";
  error: Error | undefined;

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.on("data", (data) => this.text += data.toString("latin1"));
    this.socket.on("error", (error) => this.error = error);
    this.closed = new Promise((resolve) => this.socket.on("close", resolve));
  }

  /** Statuses of the responses received so far. */
  get statuses(): number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+) /g)]
      .map(([, status]) => Number(status));
  }

  /** Waits until what it received matches. */
  has(pattern: RegExp): Promise<void> {
    return testing.waitUntil(
      `a response that matches ${pattern}`,
      () => pattern.test(this.text),
      WAIT_MAX_MS,
    );
  }

  /** Waits until so many responses have begun. */
  answered(count: number): Promise<void> {
    return testing.waitUntil(
      `${count} responses`,
      () => this.statuses.length >= count,
      WAIT_MAX_MS,
    );
  }
}

export interface HarnessOptions {
  readonly dialect?: fleet.HttpDialect;
  /** Kind of the route. */
  readonly kind?: fleet.RouteKind;
  /** In place of the node's own one. */
  readonly selector?: relay.UpstreamSelector;
}

/** Starts the listener and its upstream; close it at the end of the test. */
export class ListenerHarness {
  readonly state = new EntryState(
    makeEntrySettings("n1"),
    new core.Logger({}, (line) => this.log.push(line)),
  );
  readonly log: string[] = [];
  readonly listener: CallerListener;
  /** Ids of the requests that the upstream has received. */
  readonly received: string[] = [];
  readonly #upstream: Server;
  #port = 0;
  #close: core.Cleanup = () => {};

  readonly #kind: fleet.RouteKind;

  constructor(
    respond: RequestListener,
    options: HarnessOptions = {},
  ) {
    const { dialect = new HarnessDialect(), kind = "safe" } = options;
    this.#kind = kind;
    this.#upstream = createServer((request, response) => {
      this.received.push(String(request.headers["x-id"]));
      respond(request, response);
    });
    const selector = options.selector ?? new EntryUpstreamSelector(this.state);
    const takeUps = new TakeUpResolver(
      this.state,
      new OriginReader(this.state, new MemoryTable()),
      { wakeExchange: () => {}, readVersions: () => Promise.resolve(true) },
    );
    this.listener = new CallerListener(this.state, dialect, selector, takeUps);
  }

  async start(): Promise<void> {
    this.#upstream.listen(0, "127.0.0.1");
    await once(this.#upstream, "listening");
    const { port } = this.#upstream.address() as AddressInfo;
    this.configure(1);
    this.state.setUpstream(testing.makeUpstreamRecord({
      id: UPSTREAM,
      service: SERVICE,
      address: `127.0.0.1:${port}`,
    }));
    this.state.hasReadUpstreams = true;
    this.state.hasReadMembers = true;
    [this.#port] = await testing.findFreePorts(1) as [number];
    this.#close = await this.listener
      .listen({ host: "127.0.0.1", port: this.#port });
  }

  /** Applies a configuration with one route, from `/a/` to the service. */
  configure(version: number, changes: Partial<fleet.FleetConfig> = {}): void {
    this.state.applyConfig({
      version,
      routes: [{
        name: "r",
        host: "h",
        pathPrefix: "/a/",
        kind: this.#kind,
        timeoutMs: 5_000,
        latencyTargetMs: 5_000,
        eventGapTargetMs: 300,
        priority: 0,
        targets: [{ service: SERVICE, weight: 1 }],
        attemptsMax: 1,
        isResumable: false,
      }],
      services: new Map([[SERVICE, { name: SERVICE, connectionsMax: 20 }]]),
      headerTimeoutMs: HEADER_TIMEOUT_MS,
      idleTimeoutMs: 5_000,
      bodyBytesMax: 1_000_000,
      ...changes,
    });
  }

  /** Waits until so many requests have reached the upstream. */
  reached(count: number): Promise<void> {
    return testing.waitUntil(
      `${count} requests at the upstream`,
      () => this.received.length >= count,
      WAIT_MAX_MS,
    );
  }

  /** Waits until no request is in flight. */
  idle(): Promise<void> {
    return testing.waitUntil(
      "no request in flight",
      () => this.state.requestsInFlight === 0,
      WAIT_MAX_MS,
    );
  }

  connect(): CallerConnection {
    return new CallerConnection(this.#port);
  }

  async close(): Promise<void> {
    await this.#close();
    await this.state.pools.close();
    this.#upstream.close();
    this.#upstream.closeAllConnections();
  }
}

/** Runs a test against a listener, and closes it. */
export async function withListener(
  respond: RequestListener,
  run: (harness: ListenerHarness) => Promise<void>,
  options: HarnessOptions = {},
): Promise<void> {
  const harness = new ListenerHarness(respond, options);
  await harness.start();
  try {
    await run(harness);
  } finally {
    await harness.close();
  }
}
