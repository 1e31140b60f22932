import test, { type ExecutionContext } from "ava";
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect } from "node:net";
import * as core from "../../../core/mod.ts";
import type * as dispatch from "../../../dispatch/mod.ts";
import * as fleet from "../../../fleet/mod.ts";
import * as relay from "../../mod.ts";

const silentLogger = new core.Logger({}, () => {});

/** Reads and writes only the headers that the tests use. */
class PlainDialect extends fleet.HttpDialect {
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
      requestId: String(headers["x-id"] ?? ""),
      isSigned: headers["x-seal"] !== undefined,
      isNotRun: headers["x-not-run"] !== undefined,
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

type Behaviour = (request: IncomingMessage, response: ServerResponse) => void;

/** Selects the given upstreams in turn, and counts down a retry budget. */
class ListedSelector extends relay.UpstreamSelector {
  readonly outcomes: string[] = [];
  readonly #upstreams: fleet.UpstreamRecord[];
  readonly #pools: relay.UpstreamPools;
  #next = 0;
  budget: number;

  constructor(
    upstreams: fleet.UpstreamRecord[],
    pools: relay.UpstreamPools,
    budget: number,
  ) {
    super();
    this.#upstreams = upstreams;
    this.#pools = pools;
    this.budget = budget;
  }

  override select() {
    const upstream = this.#upstreams[this.#next++];
    if (!upstream) {
      return Promise.resolve(
        err<relay.UpstreamAssignment, relay.Rejection>({
          reason: "no upstream left",
          retryAfterMs: 700,
        }),
      );
    }
    return Promise.resolve(ok<relay.UpstreamAssignment, relay.Rejection>({
      upstream,
      dispatcher: this.#pools.get(upstream, 10, 1),
      logFields: {},
      onFirstEvent: () => {},
      onBytesReceived: () => {},
      onNotRun: () => {},
      onEventGap: () => {},
      onStreamLength: () => {},
      onEnd: (outcome: dispatch.UpstreamOutcome | "shed" | "cancelled") => {
        this.outcomes.push(outcome);
      },
    }));
  }

  override trySpendRetry(): boolean {
    return this.budget-- > 0;
  }
}

interface RelayResult {
  readonly status: number;
  readonly headers: string;
  readonly body: string;
  /** Whether the body ended as the response's framing requires. */
  readonly isComplete: boolean;
  readonly outcomes: readonly string[];
  readonly runs: readonly string[];
}

/** Relays one request to upstreams with the given behaviours. */
async function relayTo(
  behaviours: readonly Behaviour[],
  routeChanges: Partial<fleet.RouteSpec>,
  options: { budget?: number; deadlineMs?: number } = {},
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
    upstreams.push({
      id: core.brandId<core.UpstreamId>(`u${n}`),
      startedAtMs: 1,
      service: core.brandId<core.ServiceName>("s"),
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      failureDomain: "z",
      slots: 1,
      isLeaving: false,
      models: [],
      modelsInMemory: [],
      modelsOnDisk: [],
    });
  }
  const pools = new relay.UpstreamPools();
  const selector = new ListedSelector(upstreams, pools, options.budget ?? 10);
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
      runs,
    };
  } finally {
    await pools.close();
    for (const server of [...servers, callerServer]) {
      server.close();
      server.closeAllConnections();
    }
  }
}

function readRawResponse(port: number): Promise<string> {
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

const signedHeaders = { "x-id": "id-1", "x-seal": "seal" };
const respondOk: Behaviour = (_request, response) =>
  response.writeHead(200, signedHeaders).end("whole");
const rejectNotRun: Behaviour = (_request, response) =>
  response.writeHead(503, { "x-not-run": "1" }).end();
const respondError: Behaviour = (_request, response) =>
  response.writeHead(500, signedHeaders).end("own error");
const respondToOther: Behaviour = (_request, response) =>
  response.writeHead(200, { ...signedHeaders, "x-id": "other" }).end(
    "not yours",
  );
const respondUnsigned: Behaviour = (_request, response) =>
  response.writeHead(200, { "x-id": "id-1" }).end("unsigned");
const resetConnection: Behaviour = (request) =>
  request.socket.resetAndDestroy();
const neverRespond: Behaviour = () => {};
const respondTruncated: Behaviour = (request, response) => {
  response.writeHead(200, { ...signedHeaders, "content-length": "50" });
  response.write("short", () => request.socket.destroy());
};

interface Case {
  readonly name: string;
  readonly upstreams: readonly Behaviour[];
  readonly route?: Partial<fleet.RouteSpec>;
  readonly options?: { budget?: number; deadlineMs?: number };
  readonly expected: Partial<RelayResult>;
}

const cases: Case[] = [
  {
    name: "a response is relayed with its signature",
    upstreams: [respondOk],
    expected: { status: 200, body: "whole", isComplete: true },
  },
  {
    name: "unsafe: an upstream's error response is relayed unchanged",
    upstreams: [respondError, respondOk],
    route: { kind: "unsafe" },
    expected: { status: 500, body: "own error", outcomes: ["failed"] },
  },
  {
    name: "safe: an error response is retried on another upstream",
    upstreams: [respondError, respondOk],
    expected: { status: 200, body: "whole" },
  },
  {
    name: "safe: an error response is relayed if the retry budget is exhausted",
    upstreams: [respondError, respondOk],
    options: { budget: 0 },
    expected: { status: 500, body: "own error", outcomes: ["failed"] },
  },
  {
    name: "resumable: an error response is retried on another upstream",
    upstreams: [
      respondError,
      (_request, response) =>
        response.writeHead(200, signedHeaders).end(events(1, 2)),
    ],
    route: { kind: "stream", isResumable: true },
    expected: { status: 200, outcomes: ["failed", "served"] },
  },
  {
    name: "unsafe: a request that was not run is sent to another upstream",
    upstreams: [rejectNotRun, respondOk],
    route: { kind: "unsafe", attemptsMax: 1 },
    expected: { status: 200, body: "whole", outcomes: ["shed", "served"] },
  },
  {
    name:
      "unsafe: after a reset the request is not sent again and fails with 502",
    upstreams: [resetConnection, respondOk],
    route: { kind: "unsafe" },
    expected: { status: 502, outcomes: ["failed"] },
  },
  {
    name: "safe: after a reset the request is retried on another upstream",
    upstreams: [resetConnection, respondOk],
    expected: { status: 200, body: "whole" },
  },
  {
    name: "safe: the request runs at most as often as the route allows",
    upstreams: [resetConnection, resetConnection, respondOk],
    expected: { status: 502, outcomes: ["failed", "failed"] },
  },
  {
    name: "all upstreams reject the request: 503, not run",
    upstreams: [rejectNotRun, rejectNotRun],
    expected: { status: 503, outcomes: ["shed", "shed"] },
  },
  {
    name: "retry budget exhausted: 503 after the first rejection, not run",
    upstreams: [rejectNotRun, respondOk],
    options: { budget: 0 },
    expected: { status: 503, outcomes: ["shed"] },
  },
  {
    name: "a response to another request is never relayed",
    upstreams: [respondToOther],
    route: { kind: "unsafe" },
    expected: { status: 502, outcomes: ["failed"] },
  },
  {
    name: "an unsigned response is never relayed",
    upstreams: [respondUnsigned],
    route: { kind: "unsafe" },
    expected: { status: 502, outcomes: ["failed"] },
  },
  {
    name: "a truncated response is never relayed",
    upstreams: [respondTruncated],
    route: { kind: "unsafe" },
    expected: { status: 502, outcomes: ["failed"] },
  },
  {
    name: "an unresponsive upstream fails the request with 504 at the deadline",
    upstreams: [neverRespond],
    route: { kind: "unsafe" },
    options: { deadlineMs: 200 },
    expected: { status: 504, outcomes: ["cancelled"] },
  },
  {
    name: "safe: an unresponsive upstream is replaced after the latency target",
    upstreams: [neverRespond, respondOk],
    route: { latencyTargetMs: 100 },
    options: { deadlineMs: 2_000 },
    expected: { status: 200, body: "whole" },
  },
  {
    name:
      "safe: a slow upstream is waited for if the retry budget is exhausted",
    upstreams: [
      (_request, response) =>
        setTimeout(() => respondOk(_request, response), 300),
      respondOk,
    ],
    route: { latencyTargetMs: 100 },
    options: { budget: 0, deadlineMs: 2_000 },
    expected: { status: 200, body: "whole", outcomes: ["served"] },
  },
];

for (const { name, upstreams, route, options, expected } of cases) {
  test(name, async (t: ExecutionContext) => {
    t.like(await relayTo(upstreams, route ?? {}, options), expected);
  });
}

function events(from: number, to: number): string {
  let text = "";
  for (let id = from; id <= to; id++) text += `id: ${id}\ndata: e${id}\n\n`;
  return text;
}

/** Sends events, then resets the connection inside the next one. */
function breakAfter(from: number, to: number): Behaviour {
  return (request, response) => {
    response.writeHead(200, signedHeaders);
    response.write(
      `${events(from, to)}id: ${to + 1}\nda`,
      () => setTimeout(() => request.socket.resetAndDestroy(), 30),
    );
  };
}

const idsOf = (body: string) =>
  [...body.matchAll(/id: (\d+)\ndata: e\1\n\n/g)].map(([, id]) => Number(id));

test("a resumable stream continues on another upstream, each event once", async (t) => {
  const result = await relayTo([
    breakAfter(1, 3),
    (_request, response) =>
      response.writeHead(200, signedHeaders).end(events(4, 6)),
  ], { kind: "stream", isResumable: true });
  t.deepEqual(idsOf(result.body), [1, 2, 3, 4, 5, 6]);
  t.true(result.isComplete);
  t.deepEqual(result.runs, ["", "3"]);
});

test("a broken stream that is not resumable never looks complete", async (t) => {
  const result = await relayTo([breakAfter(1, 3), respondOk], {
    kind: "stream",
  });
  t.is(result.status, 200);
  t.false(result.isComplete);
  t.deepEqual(result.runs, [""]);
});

test("a stream resumed on a failing upstream is aborted, or resumed on a third", async (t) => {
  const broken = await relayTo(
    [breakAfter(1, 3), respondError],
    { kind: "stream", isResumable: true },
  );
  t.deepEqual(idsOf(broken.body), [1, 2, 3]);
  t.false(broken.isComplete);
  t.deepEqual(broken.outcomes, ["failed", "failed"]);
  const served = await relayTo([
    breakAfter(1, 3),
    respondError,
    (_request, response) =>
      response.writeHead(200, signedHeaders).end(events(4, 6)),
  ], { kind: "stream", isResumable: true, attemptsMax: 3 });
  t.deepEqual(idsOf(served.body), [1, 2, 3, 4, 5, 6]);
  t.true(served.isComplete);
});

test("a resumable stream that ends inside an event is resumed", async (t) => {
  const result = await relayTo([
    (_request, response) =>
      response.writeHead(200, signedHeaders).end(`${events(1, 2)}id: 3\nda`),
    (_request, response) =>
      response.writeHead(200, signedHeaders).end(events(3, 3)),
  ], { kind: "stream", isResumable: true });
  t.deepEqual(idsOf(result.body), [1, 2, 3]);
  t.true(result.isComplete);
});
