/** Relays requests to upstreams that behave as a test says. */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect } from "node:net";
import { Dispatcher } from "undici";
import * as core from "../../core/mod.ts";
import type * as dispatch from "../../dispatch/mod.ts";
import * as fleet from "../../fleet/mod.ts";
import * as testing from "../../testing/mod.ts";
import * as relay from "../mod.ts";

export const silentLogger = new core.Logger({}, () => {});

/** Reads and writes only the headers that the tests use. */
export class PlainDialect extends fleet.HttpDialect {
  override readRequest(): Result<fleet.CallerRequest, string> {
    return err("not used");
  }
  override writeRequest(request: fleet.UpstreamRequest) {
    return {
      "x-id": request.caller.requestId,
      "x-after": request.lastEventId ?? "",
    };
  }
  override readResponse(
    _status: number,
    headers: Record<string, string | string[] | undefined>,
  ): fleet.UpstreamResponse {
    return {
      ...(headers["x-id"] === undefined
        ? {}
        : { requestId: String(headers["x-id"]) }),
      isSigned: headers["x-seal"] !== undefined,
      isNotRun: headers["x-not-run"] !== undefined,
      isLeaving: false,
      isEncoded: false,
      returnedHeaders: { "x-seal": String(headers["x-seal"] ?? "") },
    };
  }
  override writeRejection(retryAfterMs?: number): Record<string, string> {
    return { "retry-after": String(retryAfterMs) };
  }
  override matchSystemEndpoint(): undefined {
    return undefined;
  }
  override writeDirectory(): string {
    return "";
  }
}

export type Behaviour = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Accepts requests and never sends them. */
class BlockedDispatcher extends Dispatcher {
  override dispatch(): boolean {
    return true;
  }
}

/** Selects the given upstreams in turn, and counts down a retry budget. */
export class ListedSelector extends relay.UpstreamSelector {
  readonly outcomes: string[] = [];
  readonly #upstreams: fleet.UpstreamRecord[];
  readonly #pools: relay.UpstreamPools;
  readonly #selectionMs: number;
  readonly #isFirstBlocked: boolean;
  readonly #isFirstLeaving: boolean;
  #next = 0;
  budget: number;

  constructor(
    upstreams: fleet.UpstreamRecord[],
    pools: relay.UpstreamPools,
    {
      budget = 10,
      selectionMs = 0,
      isFirstBlocked = false,
      isFirstLeaving = false,
    }: RelayOptions,
  ) {
    super();
    this.#upstreams = upstreams;
    this.#pools = pools;
    this.#selectionMs = selectionMs;
    this.#isFirstBlocked = isFirstBlocked;
    this.#isFirstLeaving = isFirstLeaving;
    this.budget = budget;
  }

  override async select(): Promise<
    Result<relay.UpstreamAssignment, relay.Rejection>
  > {
    if (this.#selectionMs > 0) await core.sleep(this.#selectionMs);
    const assignment = this.#nextAssignment();
    return assignment
      ? ok(assignment)
      : err({ reason: "no upstream left", retryAfterMs: 700 });
  }

  override trySelectRetry(): relay.UpstreamAssignment | undefined {
    const hasOther = this.#next < this.#upstreams.length;
    return hasOther && this.trySpendRetry()
      ? this.#nextAssignment()
      : undefined;
  }

  #nextAssignment(): relay.UpstreamAssignment | undefined {
    const isBlocked = this.#isFirstBlocked && this.#next === 0;
    const isLeaving = this.#isFirstLeaving && this.#next === 0;
    const upstream = this.#upstreams[this.#next++];
    if (!upstream) return undefined;
    return {
      upstream,
      dispatcher: isBlocked
        ? new BlockedDispatcher()
        : this.#pools.get(upstream, 10, 1),
      logFields: {},
      onStreamStart: () => {},
      onFirstEvent: () => {},
      onBytesReceived: () => {},
      onNotRun: () => {},
      isWithdrawn: () => isLeaving,
      onQuiet: () => {},
      onRateLimit: () => {},
      onLeaving: () => {},
      onEventGap: () => {},
      onStreamLength: () => {},
      onFailure: () => {},
      onConnectionClosed: () => {},
      onEnd: (outcome: dispatch.UpstreamOutcome | "shed" | "cancelled") => {
        this.outcomes.push(outcome);
      },
    };
  }

  override trySpendRetry(): boolean {
    if (this.budget <= 0) return false;
    this.budget--;
    return true;
  }
}

export interface RelayResult {
  readonly status: number;
  /** Retries left in the budget. */
  readonly budgetLeft: number;
  readonly headers: string;
  readonly body: string;
  /** Whether the body ended as the response's framing requires. */
  readonly isComplete: boolean;
  readonly outcomes: readonly string[];
  readonly runs: readonly string[];
}

export interface RelayOptions {
  /** Retries allowed at the start. */
  readonly budget?: number;
  /** Time from the start after which ten more retries are allowed. */
  readonly budgetReturnsAfterMs?: number;
  readonly deadlineMs?: number;
  /** Time that the selection of an upstream takes. */
  readonly selectionMs?: number;
  /** Whether the first upstream has no connection free, so nothing is sent. */
  readonly isFirstBlocked?: boolean;
  /** Whether the first upstream is found to be leaving once it is selected. */
  readonly isFirstLeaving?: boolean;
}

/** Relays one request to upstreams with the given behaviours. */
export async function relayTo(
  behaviours: readonly Behaviour[],
  routeChanges: Partial<fleet.RouteSpec>,
  options: RelayOptions = {},
): Promise<RelayResult> {
  const runs: string[] = [];
  const servers = behaviours.map((respond) =>
    createServer((request, response) => {
      runs.push(String(request.headers["x-after"]));
      response.on("error", () => {});
      respond(request, response);
    })
  );
  const upstreams: fleet.UpstreamRecord[] = [];
  for (const [n, server] of servers.entries()) {
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    upstreams.push(testing.makeUpstreamRecord({
      id: core.brandId<core.UpstreamId>(`u${n}`),
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    }));
  }
  const pools = new relay.UpstreamPools();
  const selector = new ListedSelector(upstreams, pools, options);
  const budgetTimer = setTimeout(
    () => selector.budget = 10,
    options.budgetReturnsAfterMs ?? 60_000,
  );
  const route: fleet.RouteSpec = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "safe",
    timeoutMs: 5_000,
    latencyTargetMs: 2_000,
    eventGapTargetMs: 300,
    priority: 0,
    targets: [],
    attemptsMax: 2,
    isResumable: false,
    ...routeChanges,
  };
  const callerServer = createServer((_request, response) => {
    const receivedAtMs = core.monotonicMs();
    const ended = new AbortController();
    const timer = setTimeout(
      () => ended.abort(new Error("deadline passed")),
      options.deadlineMs ?? 5_000,
    );
    const task = new relay.RelayTask(
      {
        caller: {
          requestId: core.brandId<core.RequestId>("id-1"),
          promptTokens: 0,
          outputTokensMax: 0,
          promptParts: [],
          forwardedHeaders: {},
        },
        route,
        service: core.brandId<core.ServiceName>("s"),
        method: "GET",
        path: "/",
        body: Buffer.alloc(0),
        receivedAtMs,
        deadlineAtMs: receivedAtMs + (options.deadlineMs ?? 5_000),
      },
      new relay.CallerResponse(response, () => true),
      { dialect: new PlainDialect(), selector, logger: silentLogger },
      ended.signal,
    );
    task.run().finally(() => clearTimeout(timer));
  });
  await new Promise<void>((resolve) =>
    callerServer.listen(0, "127.0.0.1", () => resolve())
  );
  try {
    const raw = await readRawResponse(
      (callerServer.address() as AddressInfo).port,
    );
    const [head = "", ...rest] = raw.split("\r\n\r\n");
    const body = rest.join("\r\n\r\n");
    const isChunked = /transfer-encoding: chunked/i.test(head);
    const length = /content-length: (\d+)/i.exec(head)?.[1];
    return {
      status: Number(head.split(" ")[1]),
      headers: head,
      body,
      isComplete: isChunked
        ? body.endsWith("0\r\n\r\n")
        : body.length === Number(length ?? -1),
      outcomes: selector.outcomes,
      budgetLeft: selector.budget,
      runs,
    };
  } finally {
    clearTimeout(budgetTimer);
    await pools.close();
    for (const server of [...servers, callerServer]) {
      server.close();
      server.closeAllConnections();
    }
  }
}

export function readRawResponse(port: number): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    const socket = connect(port, "127.0.0.1", () => {
      socket.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    });
    socket.on("data", (data) => text += data.toString("latin1"));
    socket.on("error", () => resolve(text));
    socket.on("close", () => resolve(text));
  });
}

export const signedHeaders = { "x-id": "id-1", "x-seal": "seal" };
export const respondOk: Behaviour = (_request, response) =>
  response.writeHead(200, signedHeaders).end("whole");
export const rejectNotRun: Behaviour = (_request, response) =>
  response.writeHead(503, { "x-not-run": "1" }).end();
export const rejectOtherNotRun: Behaviour = (_request, response) =>
  response.writeHead(503, { "x-not-run": "1", "x-id": "other" }).end();
/** An upstream's own failure, after a run. */
export const respondStatus =
  (status: number): Behaviour => (_request, response) =>
    response.writeHead(status, signedHeaders).end("own error");
export const respondError = respondStatus(500);
export const respondToOther: Behaviour = (_request, response) =>
  response.writeHead(200, { ...signedHeaders, "x-id": "other" }).end(
    "not yours",
  );
export const respondUnsigned: Behaviour = (_request, response) =>
  response.writeHead(200, { "x-id": "id-1" }).end("unsigned");
export const resetConnection: Behaviour = (request) =>
  request.socket.resetAndDestroy();
export const neverRespond: Behaviour = () => {};
export const respondTruncated: Behaviour = (request, response) => {
  response.writeHead(200, { ...signedHeaders, "content-length": "50" });
  response.write("short", () => request.socket.destroy());
};
