/** Relays many requests to engines that answer with raw bytes. */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  Agent,
  createServer as createHttpServer,
  request as sendRequest,
  type Server as HttpServer,
} from "node:http";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { ok } from "neverthrow";
import * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";
import * as testing from "../../testing/mod.ts";
import * as relay from "../mod.ts";
import { PlainDialect } from "./relay_harness.ts";

/** A request as an engine received it. */
export interface Arrival {
  readonly id: string;
  /** The event after which a stream is to go on; "" for none. */
  readonly after: string;
  readonly socket: Socket;
  /** Requests that came on the same connection before. */
  readonly before: readonly string[];
  /** How often the engine has received this request, with this time. */
  readonly times: number;
}

/** Answers requests on raw connections as a test says. */
export class RawEngine {
  readonly open = new Set<Socket>();
  readonly record: fleet.UpstreamRecord;
  connections = 0;
  readonly #times = new Map<string, number>();
  readonly #server: Server;

  private constructor(
    server: Server,
    id: string,
    answer: (arrival: Arrival, engine: RawEngine) => void,
  ) {
    this.#server = server;
    const { port } = server.address() as AddressInfo;
    this.record = testing.makeUpstreamRecord({
      id: core.brandId<core.UpstreamId>(id),
      address: `127.0.0.1:${port}`,
    });
    server.on("connection", (socket) => {
      this.connections++;
      this.open.add(socket);
      socket.setNoDelay(true);
      socket.on("error", () => {});
      socket.on("close", () => this.open.delete(socket));
      this.#serve(socket, answer);
    });
  }

  static async start(
    id: string,
    answer: (arrival: Arrival, engine: RawEngine) => void,
  ): Promise<RawEngine> {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return new RawEngine(server, id, answer);
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.open) socket.destroy();
  }

  #serve(
    socket: Socket,
    answer: (arrival: Arrival, engine: RawEngine) => void,
  ): void {
    const before: string[] = [];
    let text = "";
    socket.on("data", (data) => {
      text += data.toString("latin1");
      for (;;) {
        const end = text.indexOf("\r\n\r\n");
        if (end < 0) return;
        const head = text.slice(0, end);
        text = text.slice(end + 4);
        const id = /^x-id: (.*)$/m.exec(head)?.[1];
        // Not from the relay: another process still uses a port that was its own.
        if (id === undefined) return void socket.destroy();
        const after = /^x-after: (.*)$/m.exec(head)?.[1] ?? "";
        const times = (this.#times.get(id) ?? 0) + 1;
        this.#times.set(id, times);
        answer({ id, after, socket, before: [...before], times }, this);
        before.push(id);
      }
    });
  }
}

const REASONS: Readonly<Record<number, string>> = { 200: "OK" };

/** The bytes of an answer with its whole body. */
export function answerBytes(
  id: string | undefined,
  status: number,
  body: string,
  extra = "",
): string {
  const idLine = id === undefined ? "" : `x-id: ${id}\r\n`;
  return `HTTP/1.1 ${status} ${REASONS[status] ?? "Failed"}\r\n${idLine}` +
    `${extra}content-length: ${body.length}\r\n\r\n${body}`;
}

export const SEAL = "x-seal: s\r\n";

export const refusal = (id?: string) =>
  answerBytes(id, 503, "", "x-not-run: 1\r\n");
export const failure = (id: string, status = 500) =>
  answerBytes(id, status, "own error", SEAL);
export const success = (id: string) =>
  answerBytes(id, 200, `whole ${id}`, SEAL);

/** Head of an answer whose body comes in chunks. */
export function chunkedHead(id: string, status: number, extra = SEAL): string {
  return `HTTP/1.1 ${status} ${
    REASONS[status] ?? "Failed"
  }\r\nx-id: ${id}\r\n` +
    `${extra}transfer-encoding: chunked\r\n\r\n`;
}

export const chunk = (text: string) =>
  `${text.length.toString(16)}\r\n${text}\r\n`;
export const LAST_CHUNK = "0\r\n\r\n";

/** An event that names its request. */
export const eventOf = (id: string, n: number) =>
  `id: ${n}\ndata: ${id}-${n}\n\n`;

/** Events of a whole stream. */
export const EVENTS = 8;

/** A whole stream after an event, as one answer. */
export function streamBytes(id: string, after = 0): string {
  let text = chunkedHead(id, 200);
  for (let n = after + 1; n <= EVENTS; n++) text += chunk(eventOf(id, n));
  return text + LAST_CHUNK;
}

/** What a caller received. */
export interface Received {
  readonly status: number;
  readonly body: string;
  /** Whether the body ended as its framing requires. */
  readonly isComplete: boolean;
}

export interface RawFleetOptions {
  readonly kind?: fleet.RouteKind;
  readonly attemptsMax?: number;
  /** Chooses the engine of each sending; by default the first. */
  readonly choose?: (engines: readonly RawEngine[]) => RawEngine;
  readonly connectionsMax?: number;
  readonly deadlineMs?: number;
}

class RawSelector extends relay.UpstreamSelector {
  readonly #choose: () => relay.UpstreamAssignment;

  constructor(choose: () => relay.UpstreamAssignment) {
    super();
    this.#choose = choose;
  }

  override select() {
    return Promise.resolve(
      ok<relay.UpstreamAssignment, relay.Rejection>(this.#choose()),
    );
  }

  override trySelectRetry(): undefined {
    return undefined;
  }

  override trySpendRetry(): boolean {
    return true;
  }
}

/** Relays requests of one route to engines. */
export class RawFleet {
  /** Reasons for which connections were closed. */
  readonly closed: string[] = [];
  /** Lines of the log. */
  readonly log: string[] = [];
  readonly #logger = new core.Logger({}, (line) => this.log.push(line));
  readonly #pools = new relay.UpstreamPools((_upstream, reason) =>
    this.closed.push(reason)
  );
  readonly #agent = new Agent({ keepAlive: true });
  readonly #callers: HttpServer;
  readonly #engines: readonly RawEngine[];
  readonly #options: RawFleetOptions;

  constructor(engines: readonly RawEngine[], options: RawFleetOptions = {}) {
    this.#engines = engines;
    this.#options = options;
    this.#callers = createHttpServer((request, response) => {
      const id = request.headers["x-id"];
      // Other processes may still use a port that was theirs before.
      if (typeof id !== "string") {
        this.log.push(`stray request: ${request.method} ${request.url}`);
        return void response.writeHead(400).end();
      }
      const kind = String(request.headers["x-kind"]) as fleet.RouteKind;
      this.#relay(id, kind, new relay.CallerResponse(response, () => true));
    });
  }

  async start(): Promise<void> {
    this.#callers.listen(0, "127.0.0.1");
    await once(this.#callers, "listening");
  }

  async stop(): Promise<void> {
    this.#agent.destroy();
    this.#callers.close();
    this.#callers.closeAllConnections();
    await this.#pools.close();
    for (const engine of this.#engines) engine.stop();
  }

  /** Sends a caller's request; resolves when its answer has ended. */
  ask(
    id: string,
    kind: fleet.RouteKind = this.#options.kind ?? "unsafe",
  ): Promise<Received> {
    const { port } = this.#callers.address() as AddressInfo;
    return new Promise((resolve) => {
      const request = sendRequest({
        host: "127.0.0.1",
        port,
        agent: this.#agent,
        headers: { "x-id": id, "x-kind": kind },
      }, (response) => {
        let body = "";
        response.on("data", (data) => body += data);
        response.on("error", () => {});
        response.on("close", () =>
          resolve({
            status: response.statusCode ?? 0,
            body,
            isComplete: response.complete,
          }));
      });
      request.on(
        "error",
        () => resolve({ status: 0, body: "", isComplete: false }),
      );
      request.end();
    });
  }

  #relay(
    id: string,
    kind: fleet.RouteKind,
    response: relay.CallerResponse,
  ): void {
    const receivedAtMs = core.monotonicMs();
    const ended = new AbortController();
    const { deadlineMs = 3_000 } = this.#options;
    const timer = setTimeout(() => ended.abort(new Error("late")), deadlineMs);
    const isStream = kind === "stream";
    const task = new relay.RelayTask(
      {
        caller: {
          requestId: core.brandId<core.RequestId>(id),
          promptTokens: 0,
          outputTokensMax: 0,
          promptParts: [],
          forwardedHeaders: {},
        },
        route: {
          name: "r",
          host: "h",
          pathPrefix: "/",
          kind,
          timeoutMs: deadlineMs,
          latencyTargetMs: 2_000,
          eventGapTargetMs: 300,
          priority: 0,
          targets: [],
          attemptsMax: this.#options.attemptsMax ?? 3,
          isResumable: isStream,
        },
        service: core.brandId<core.ServiceName>("s"),
        method: "GET",
        path: "/",
        body: Buffer.alloc(0),
        receivedAtMs,
        deadlineAtMs: receivedAtMs + deadlineMs,
      },
      response,
      {
        dialect: new PlainDialect(),
        selector: new RawSelector(() => this.#assign()),
        logger: this.#logger,
      },
      ended.signal,
    );
    task.run().finally(() => clearTimeout(timer));
  }

  #assign(): relay.UpstreamAssignment {
    const { choose = ([first]) => first!, connectionsMax = 50 } = this.#options;
    const { record } = choose(this.#engines);
    return {
      upstream: record,
      dispatcher: this.#pools.get(record, connectionsMax, 1),
      logFields: {},
      onStreamStart: () => {},
      onFirstEvent: () => {},
      onBytesReceived: () => {},
      onNotRun: () => {},
      isWithdrawn: () => false,
      onQuiet: () => {},
      onRateLimit: () => {},
      onLeaving: () => {},
      onEventGap: () => {},
      onStreamLength: () => {},
      onFailure: () => {},
      onConnectionClosed: (reason) => this.closed.push(reason),
      onEnd: () => {},
    };
  }
}

/** Starts engines and a fleet of them, and stops both in the end. */
export async function withFleet(
  answers: readonly ((arrival: Arrival, engine: RawEngine) => void)[],
  options: RawFleetOptions,
  run: (fleet: RawFleet, engines: readonly RawEngine[]) => Promise<void>,
): Promise<void> {
  const engines = await Promise.all(
    answers.map((answer, n) => RawEngine.start(`e${n}`, answer)),
  );
  const rawFleet = new RawFleet(engines, options);
  await rawFleet.start();
  try {
    await run(rawFleet, engines);
  } finally {
    await rawFleet.stop();
  }
}
