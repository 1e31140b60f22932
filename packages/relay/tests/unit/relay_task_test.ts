import test, { type ExecutionContext } from "ava";
import type * as fleet from "../../../fleet/mod.ts";
import {
  type Behaviour,
  neverRespond,
  rejectNotRun,
  rejectOtherNotRun,
  type RelayResult,
  relayTo,
  resetConnection,
  respondError,
  respondOk,
  respondStatus,
  respondToOther,
  respondTruncated,
  respondUnsigned,
  signedHeaders,
} from "../relay_harness.ts";

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
  // Guards against a caller that repeats an order which has run.
  ...[408, 429, 503].map((status): Case => ({
    name: `unsafe: an upstream's own ${status} does not promise "not run"`,
    upstreams: [respondStatus(status), respondOk],
    route: { kind: "unsafe" },
    expected: { status: 502, body: "", outcomes: ["failed"] },
  })),
  {
    name: 'safe: an upstream\'s own 503 does not promise "not run"',
    upstreams: [respondStatus(503), respondOk],
    options: { budget: 0 },
    expected: { status: 502, body: "", outcomes: ["failed"] },
  },
  {
    name: "safe: an upstream's own 503 is retried on another upstream",
    upstreams: [respondStatus(503), respondOk],
    expected: { status: 200, body: "whole", outcomes: ["failed", "served"] },
  },
  {
    name: 'stream: an upstream\'s own 503 does not promise "not run"',
    upstreams: [respondStatus(503), respondOk],
    route: { kind: "stream" },
    expected: { status: 502, body: "", outcomes: ["failed"] },
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
    name: "a refusal of another request does not count as one of this request",
    upstreams: [rejectOtherNotRun, respondOk],
    route: { kind: "unsafe" },
    expected: { status: 502, outcomes: ["failed"] },
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

// Guards against a stream that its engine broke off inside an event, with an
// orderly close and no framing of its own, reaching the caller as complete.
test("a stream that cannot be resumed and ends inside an event never looks complete", async (t) => {
  const result = await relayTo([
    (_request, response) => {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, signedHeaders);
      response.write(`${events(1, 2)}id: 3\nda`);
      setTimeout(() => response.end(), 30);
    },
  ], { kind: "stream" });
  t.is(result.status, 200);
  t.deepEqual(idsOf(result.body), [1, 2]);
  t.false(result.isComplete);
  t.deepEqual(result.outcomes, ["failed"]);
});

test("a stream without framing that ends at the end of an event is complete", async (t) => {
  const result = await relayTo([
    (_request, response) => {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, signedHeaders).end(events(1, 3));
    },
  ], { kind: "stream" });
  t.deepEqual(idsOf(result.body), [1, 2, 3]);
  t.true(result.isComplete);
  t.deepEqual(result.outcomes, ["served"]);
});

test("a response of another media type on a stream route ends as its framing says", async (t) => {
  for (const isResumable of [false, true]) {
    const result = await relayTo([
      (_request, response) =>
        response.writeHead(200, {
          ...signedHeaders,
          "content-type": "application/json",
        }).end('{"whole":true}'),
    ], { kind: "stream", isResumable });
    t.true(result.body.includes('{"whole":true}'));
    t.true(result.isComplete);
  }
});

// Guards against an engine that broke off right after its response's head, with
// an orderly close and no framing, reaching the caller as a complete stream.
test("a stream without framing that ends before its first event never looks complete", async (t) => {
  const result = await relayTo([
    (_request, response) => {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, signedHeaders).end();
    },
  ], { kind: "stream" });
  t.false(result.isComplete && result.status === 200);
  t.deepEqual(result.outcomes, ["failed"]);
});

test("a framed stream without events is complete", async (t) => {
  const result = await relayTo([
    (_request, response) => {
      response.writeHead(200, signedHeaders);
      response.flushHeaders();
      response.end();
    },
  ], { kind: "stream" });
  t.is(result.status, 200);
  t.true(result.isComplete);
});

// Guards against a stream of another line end being held back, then lost.
test("a resumable stream is relayed whole, whatever its line ends", async (t) => {
  for (const lineEnd of ["\n", "\r\n", "\r"]) {
    const whole = events(1, 3).replaceAll("\n", lineEnd);
    const result = await relayTo([
      (_request, response) => {
        response.useChunkedEncodingByDefault = false;
        response.writeHead(200, signedHeaders);
        response.write(whole.slice(0, -1));
        setTimeout(() => response.end(whole.slice(-1)), 20);
      },
    ], { kind: "stream", isResumable: true });
    t.true(result.isComplete);
    const relayed = result.body.replaceAll(/(?:^|\r\n)[0-9a-f]+\r\n/g, "");
    t.is(relayed.replace(/\r\n$/, ""), whole, JSON.stringify(lineEnd));
  }
});

// Guards against a place on an upstream that stays taken for ever, because the
// request's time was over when the place was found.
test("a place that is found after the deadline is given back", async (t) => {
  const result = await relayTo([respondOk], {}, {
    deadlineMs: 50,
    selectionMs: 150,
  });
  t.is(result.status, 503);
  t.deepEqual(result.outcomes, ["cancelled"]);
  t.deepEqual(result.runs, []);
});

// Guards against a request that is sent to an upstream which has said that it is
// leaving since the request was granted.
test("a request that was granted a leaving upstream goes to another one", async (t) => {
  const result = await relayTo([respondError, respondOk], { kind: "unsafe" }, {
    budget: 0,
    isFirstLeaving: true,
  });
  t.is(result.body, "whole");
  t.deepEqual(result.outcomes, ["cancelled", "served"]);
});
