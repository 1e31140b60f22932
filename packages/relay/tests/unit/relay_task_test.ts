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

const quiet = new core.Logger({}, () => {});

/** Reads the few headers that the tests use. */
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

/** Places requests on given upstreams in turn, with a budget. */
class ListedPlacer extends relay.Placer {
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

  override place() {
    const upstream = this.#upstreams[this.#next++];
    if (!upstream) {
      return Promise.resolve(
        err<relay.Placement, relay.Refusal>({
          reason: "none left",
          retryAfterMs: 700,
        }),
      );
    }
    return Promise.resolve(ok<relay.Placement, relay.Refusal>({
      upstream,
      dispatcher: this.#pools.get(upstream, 10, 1),
      basis: {},
      answered: () => {},
      heard: () => {},
      refused: () => {},
      noteGap: () => {},
      noteLength: () => {},
      end: (outcome: dispatch.UpstreamOutcome | "shed" | "cancelled") => {
        this.outcomes.push(outcome);
      },
    }));
  }

  override tryRetry(): boolean {
    return this.budget-- > 0;
  }
}

interface Told {
  readonly status: number;
  readonly headers: string;
  readonly body: string;
  /** Whether the answer ended as its framing demands. */
  readonly isWhole: boolean;
  readonly outcomes: readonly string[];
  readonly runs: readonly string[];
}

/** Relays one request to upstreams that behave as told. */
async function relayTo(
  behaviours: readonly Behaviour[],
  part: Partial<fleet.RouteSpec>,
  options: { budget?: number; lastsMs?: number } = {},
): Promise<Told> {
  const runs: string[] = [];
  const servers = behaviours.map((behave) =>
    createServer((request, response) => {
      runs.push(String(request.headers["x-after"]));
      response.on("error", () => {});
      behave(request, response);
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
  const placer = new ListedPlacer(upstreams, pools, options.budget ?? 10);
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
    ...part,
  };
  const front = createServer((_request, response) => {
    const receivedAtMs = core.monotonicMs();
    const ended = new AbortController();
    const timer = setTimeout(
      () => ended.abort(new Error("time is over")),
      options.lastsMs ?? 5_000,
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
        endsAtMs: receivedAtMs + (options.lastsMs ?? 5_000),
      },
      new relay.CallerAnswer(response, () => true),
      { dialect: new PlainDialect(), placer, logger: quiet },
      ended.signal,
    );
    task.run().finally(() => clearTimeout(timer));
  });
  await new Promise<void>((resolve) =>
    front.listen(0, "127.0.0.1", () => resolve())
  );
  try {
    const raw = await rawAnswer((front.address() as AddressInfo).port);
    const [head = "", ...rest] = raw.split("\r\n\r\n");
    const body = rest.join("\r\n\r\n");
    const isChunked = /transfer-encoding: chunked/i.test(head);
    const length = /content-length: (\d+)/i.exec(head)?.[1];
    return {
      status: Number(head.split(" ")[1]),
      headers: head,
      body,
      isWhole: isChunked
        ? body.endsWith("0\r\n\r\n")
        : body.length === Number(length ?? -1),
      outcomes: placer.outcomes,
      runs,
    };
  } finally {
    await pools.close();
    for (const server of [...servers, front]) {
      server.close();
      server.closeAllConnections();
    }
  }
}

function rawAnswer(port: number): Promise<string> {
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

const sealed = { "x-id": "id-1", "x-seal": "seal" };
const serve: Behaviour = (_request, response) =>
  response.writeHead(200, sealed).end("whole");
const shed: Behaviour = (_request, response) =>
  response.writeHead(503, { "x-not-run": "1" }).end();
const fail: Behaviour = (_request, response) =>
  response.writeHead(500, sealed).end("own error");
const foreign: Behaviour = (_request, response) =>
  response.writeHead(200, { ...sealed, "x-id": "other" }).end("not yours");
const unsealed: Behaviour = (_request, response) =>
  response.writeHead(200, { "x-id": "id-1" }).end("unsigned");
const reset: Behaviour = (request) => request.socket.resetAndDestroy();
const silent: Behaviour = () => {};
const short: Behaviour = (request, response) => {
  response.writeHead(200, { ...sealed, "content-length": "50" });
  response.write("short", () => request.socket.destroy());
};

interface Case {
  readonly name: string;
  readonly upstreams: readonly Behaviour[];
  readonly route?: Partial<fleet.RouteSpec>;
  readonly options?: { budget?: number; lastsMs?: number };
  readonly expected: Partial<Told>;
}

const cases: Case[] = [
  {
    name: "an answer is returned with its seal",
    upstreams: [serve],
    expected: { status: 200, body: "whole", isWhole: true },
  },
  {
    name: "an upstream's own failure is returned as it is",
    upstreams: [fail, serve],
    route: { kind: "unsafe" },
    expected: { status: 500, body: "own error", outcomes: ["failed"] },
  },
  {
    name: "safe: an upstream's own failure is tried elsewhere",
    upstreams: [fail, serve],
    expected: { status: 200, body: "whole" },
  },
  {
    name: "safe: without budget an upstream's own failure is returned",
    upstreams: [fail, serve],
    options: { budget: 0 },
    expected: { status: 500, body: "own error", outcomes: ["failed"] },
  },
  {
    name: "resumable: an upstream's own failure is tried elsewhere",
    upstreams: [
      fail,
      (_request, response) => response.writeHead(200, sealed).end(events(1, 2)),
    ],
    route: { kind: "stream", isResumable: true },
    expected: { status: 200, outcomes: ["failed", "served"] },
  },
  {
    name: "unsafe: what was not run goes elsewhere",
    upstreams: [shed, serve],
    route: { kind: "unsafe", attemptsMax: 1 },
    expected: { status: 200, body: "whole", outcomes: ["shed", "served"] },
  },
  {
    name: "unsafe: after a reset nothing is sent again, nothing is promised",
    upstreams: [reset, serve],
    route: { kind: "unsafe" },
    expected: { status: 502, outcomes: ["failed"] },
  },
  {
    name: "safe: after a reset another upstream answers",
    upstreams: [reset, serve],
    expected: { status: 200, body: "whole" },
  },
  {
    name: "safe: no more upstreams run it than the route allows",
    upstreams: [reset, reset, serve],
    expected: { status: 502, outcomes: ["failed", "failed"] },
  },
  {
    name: "all upstreams are full: refused as not run",
    upstreams: [shed, shed],
    expected: { status: 503, outcomes: ["shed", "shed"] },
  },
  {
    name: "no budget: refused as not run after the first",
    upstreams: [shed, serve],
    options: { budget: 0 },
    expected: { status: 503, outcomes: ["shed"] },
  },
  {
    name: "another request's answer is never returned",
    upstreams: [foreign],
    route: { kind: "unsafe" },
    expected: { status: 502, outcomes: ["failed"] },
  },
  {
    name: "an answer without a seal is never returned",
    upstreams: [unsealed],
    route: { kind: "unsafe" },
    expected: { status: 502, outcomes: ["failed"] },
  },
  {
    name: "a short answer is never returned as whole",
    upstreams: [short],
    route: { kind: "unsafe" },
    expected: { status: 502, outcomes: ["failed"] },
  },
  {
    name: "a silent upstream is answered for when time is over",
    upstreams: [silent],
    route: { kind: "unsafe" },
    options: { lastsMs: 200 },
    expected: { status: 504, outcomes: ["cancelled"] },
  },
  {
    name: "safe: a silent upstream is given up for another after the aim",
    upstreams: [silent, serve],
    route: { latencyTargetMs: 100 },
    options: { lastsMs: 2_000 },
    expected: { status: 200, body: "whole" },
  },
  {
    name: "safe: without budget a silent upstream is waited for",
    upstreams: [
      (_request, response) => setTimeout(() => serve(_request, response), 300),
      serve,
    ],
    route: { latencyTargetMs: 100 },
    options: { budget: 0, lastsMs: 2_000 },
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

/** Sends events, then breaks off inside one. */
function breakAfter(from: number, to: number): Behaviour {
  return (request, response) => {
    response.writeHead(200, sealed);
    response.write(
      `${events(from, to)}id: ${to + 1}\nda`,
      () => setTimeout(() => request.socket.resetAndDestroy(), 30),
    );
  };
}

const idsOf = (body: string) =>
  [...body.matchAll(/id: (\d+)\ndata: e\1\n\n/g)].map(([, id]) => Number(id));

test("a resumable stream goes on elsewhere, each event once", async (t) => {
  const told = await relayTo([
    breakAfter(1, 3),
    (_request, response) => response.writeHead(200, sealed).end(events(4, 6)),
  ], { kind: "stream", isResumable: true });
  t.deepEqual(idsOf(told.body), [1, 2, 3, 4, 5, 6]);
  t.true(told.isWhole);
  t.deepEqual(told.runs, ["", "3"]);
});

test("a stream that may not be resumed never looks complete", async (t) => {
  const told = await relayTo([breakAfter(1, 3), serve], { kind: "stream" });
  t.is(told.status, 200);
  t.false(told.isWhole);
  t.deepEqual(told.runs, [""]);
});

test("a stream that goes on at a failing upstream is broken off or goes on", async (t) => {
  const broken = await relayTo(
    [breakAfter(1, 3), fail],
    { kind: "stream", isResumable: true },
  );
  t.deepEqual(idsOf(broken.body), [1, 2, 3]);
  t.false(broken.isWhole);
  t.deepEqual(broken.outcomes, ["failed", "failed"]);
  const served = await relayTo([
    breakAfter(1, 3),
    fail,
    (_request, response) => response.writeHead(200, sealed).end(events(4, 6)),
  ], { kind: "stream", isResumable: true, attemptsMax: 3 });
  t.deepEqual(idsOf(served.body), [1, 2, 3, 4, 5, 6]);
  t.true(served.isWhole);
});

test("a resumable stream that ends inside an event goes on", async (t) => {
  const told = await relayTo([
    (_request, response) =>
      response.writeHead(200, sealed).end(`${events(1, 2)}id: 3\nda`),
    (_request, response) => response.writeHead(200, sealed).end(events(3, 3)),
  ], { kind: "stream", isResumable: true });
  t.deepEqual(idsOf(told.body), [1, 2, 3]);
  t.true(told.isWhole);
});
