import test from "ava";
import { connect } from "node:net";
import { request } from "undici";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

const KIOSK = `Bearer ${testing.CALLER_TOKENS.kiosk}`;
const BODY_MAX_BYTES = 4_096;

const cluster = new testing.TestCluster({
  entries: 1,
  engines: 1,
  engine: { slots: 1, waitingMax: 2 },
  services: { orders: 2 },
  settings: { limits: { bodyMaxBytes: BODY_MAX_BYTES, inProgressMax: 12 } },
  rows: [
    testing.makeRow("llama"),
    testing.makeRow("narrow", { limits: { inProgressMax: 1 } }),
    testing.makeRow("cold"),
    testing.makeRow("huge", { weightBytes: 1_000 }),
  ],
});
let origin = "";

test.before(async () => {
  await cluster.start();
  origin = cluster.entries[0]?.ready.callerAddress ?? "";
  await testing.complete(origin, { model: "llama", prompt: "warm" });
  await testing.complete(origin, { model: "narrow", prompt: "warm" });
});

test.after.always(() => cluster.stop());

/** Number of requests that all upstreams have run. */
function runCount(): number {
  const engines = cluster.engines
    .reduce((sum, { attempts }) => sum + attempts.size, 0);
  const services = (cluster.services.get("orders") ?? [])
    .reduce((sum, { attempts }) => sum + attempts.size, 0);
  return engines + services;
}

interface Post {
  readonly path?: string;
  readonly headers?: Record<string, string>;
  readonly body: string;
}

async function post(
  { path = "/v1/chat/completions", headers, body }: Post,
): Promise<testing.CallerResponse> {
  const response = await request(`${origin}${path}`, {
    method: "POST",
    headers: { authorization: KIOSK, ...headers },
    body,
  });
  const text = await response.body.text();
  const isProblem = response.headers["content-type"] ===
    "application/problem+json";
  return {
    status: response.statusCode,
    body: isProblem ? JSON.parse(text) : { text },
  };
}

function completion(
  model: string,
  change: Record<string, unknown> = {},
): string {
  const messages = [{ role: "user", content: "x" }];
  return JSON.stringify({ model, messages, ...change });
}

interface RejectionCase {
  readonly code: core.ResultCode;
  readonly name?: string;
  readonly post: Post;
}

const DISPENSE = "/v1/services/orders/dispense";

const rejectionCases: RejectionCase[] = [
  { code: core.BODY_INVALID, post: { body: '{"model": "lla' } },
  { code: core.BODY_INVALID, name: "a list", post: { body: "[]" } },
  {
    code: core.BODY_INVALID,
    name: "no messages",
    post: { body: completion("llama", { messages: [] }) },
  },
  {
    code: core.BODY_INVALID,
    name: "negative tokens",
    post: { body: completion("llama", { max_tokens: -1 }) },
  },
  {
    code: core.BODY_TOO_LARGE,
    post: { body: completion("llama", { x: "y".repeat(BODY_MAX_BYTES) }) },
  },
  {
    code: core.TOKEN_INVALID,
    post: {
      headers: { authorization: "Bearer nobody" },
      body: completion("llama"),
    },
  },
  { code: core.MODEL_UNKNOWN, post: { body: completion("nobody") } },
  {
    code: core.MODEL_UNKNOWN,
    name: "__proto__",
    post: { body: completion("__proto__") },
  },
  {
    code: core.SERVICE_UNKNOWN,
    post: { path: "/v1/services/nobody/x", body: "{}" },
  },
  { code: core.KEY_MISSING, post: { path: DISPENSE, body: "{}" } },
  {
    code: core.KEY_INVALID,
    post: {
      path: DISPENSE,
      headers: { "idempotency-key": "a b/../c" },
      body: "{}",
    },
  },
  {
    code: core.DEADLINE_INVALID,
    post: {
      headers: { "carawaywind-deadline-ms": "-5" },
      body: completion("llama"),
    },
  },
  { code: core.ROUTE_UNKNOWN, post: { path: "/v2/x", body: "{}" } },
  {
    code: core.DEADLINE_UNREACHABLE,
    post: {
      headers: { "carawaywind-deadline-ms": "500" },
      body: completion("llama", { max_tokens: 100_000 }),
    },
  },
  {
    code: core.MODEL_LOADING,
    post: {
      headers: { "carawaywind-deadline-ms": "20" },
      body: completion("cold"),
    },
  },
  {
    code: core.MODEL_LOADING,
    name: "fits on no engine",
    post: {
      headers: { "carawaywind-deadline-ms": "20" },
      body: completion("huge"),
    },
  },
  {
    code: core.NO_UPSTREAM,
    post: { path: "/v1/services/stock/lookup", body: "{}" },
  },
];

for (const { code, name, post: sent } of rejectionCases) {
  test.serial(`${code.name} ${name ?? ""}: rejected, not run`, async (t) => {
    const before = runCount();
    const response = await post(sent);
    t.is(response.body.code, code.code, JSON.stringify(response.body));
    t.is(response.status, code.httpStatus);
    t.is(response.body.ran, "no");
    t.is(runCount(), before);
  });
}

test.serial("LIMIT_REACHED: rejected, not run", async (t) => {
  const long = { model: "narrow", prompt: "long", tokens: 1_500 };
  let started = false;
  const first = testing.stream(origin, long, () => started = true);
  await testing.waitUntil("the stream has started", () => started);
  const before = runCount();
  const overLimit = await post({ body: completion("narrow") });
  t.is(overLimit.body.code, core.LIMIT_REACHED.code);
  t.is(overLimit.body.ran, "no");
  t.is(runCount(), before);
  t.true((await first).isComplete);
});

test.serial("an engine that is full until the deadline: rejected, not run", async (t) => {
  const before = runCount();
  const headers = { "carawaywind-deadline-ms": "1500" };
  const body = completion("llama", { max_tokens: 200 });
  const responses = await Promise.all(
    Array.from({ length: 11 }, () => post({ body, headers })),
  );
  const countOf = (status: number) =>
    responses.filter((response) => response.status === status).length;
  const rejected = responses.filter(({ status }) => status === 503);
  t.true(rejected.length > 0);
  for (const { body } of rejected) t.is(body.ran, "no", JSON.stringify(body));
  t.is(countOf(200) + countOf(503) + countOf(504), responses.length);
  const runs = runCount() - before;
  t.true(runs >= countOf(200) && runs <= countOf(200) + countOf(504));
});

test.serial("INSTANCE_FULL: rejected, not run", async (t) => {
  const before = runCount();
  const responses = await Promise.all(
    Array.from({ length: 40 }, () => post({ body: completion("llama") })),
  );
  const rejected = responses.filter(({ status }) => status !== 200);
  const codes = new Set(rejected.map(({ body }) => body.code));
  t.true(codes.has(core.INSTANCE_FULL.code), [...codes].join(" "));
  for (const { body } of rejected) t.is(body.ran, "no", JSON.stringify(body));
  t.is(runCount(), before + responses.length - rejected.length);
});

test.serial("UPSTREAM_REFUSED: claim released, then run by a retry", async (t) => {
  const services = cluster.services.get("orders") ?? [];
  for (const { faults } of services) faults.inject({ name: "refuse" });
  const call = { path: DISPENSE, headers: { "idempotency-key": "r1" } };
  const before = runCount();
  const rejected = await post({ ...call, body: "{}" });
  t.is(rejected.body.ran, "no", JSON.stringify(rejected.body));
  t.is(runCount(), before);
  for (const { faults } of services) faults.clear();
  await testing.waitUntil("a retry runs", async () => {
    const response = await post({ ...call, body: "{}" });
    return response.status === 200;
  });
  t.is(cluster.runCount("orders", "kiosk/r1"), 1);
});

test.serial("KEY_REUSED: rejected, not run", async (t) => {
  const call = { path: DISPENSE, headers: { "idempotency-key": "r2" } };
  await post({ ...call, body: "{}" });
  const before = runCount();
  const reused = await post({ ...call, body: '{"other": 1}' });
  t.is(reused.body.code, core.KEY_REUSED.code);
  t.is(reused.body.ran, "no");
  t.is(runCount(), before);
});

test.serial("CLAIM_STORE_DOWN: rejected, not run; models serve", async (t) => {
  cluster.tableService.faults.inject({ name: "outage" });
  const before = runCount();
  const response = await post({
    path: DISPENSE,
    headers: { "idempotency-key": "r3" },
    body: "{}",
  });
  t.is(response.body.code, core.CLAIM_STORE_DOWN.code);
  t.is(response.body.ran, "no");
  t.truthy(response.body.retryAfterMs);
  t.is(runCount(), before);
  const served = await post({ body: completion("llama") });
  t.is(served.status, 200);
  cluster.tableService.faults.clear();
});

test.serial("EDIT_INVALID: the table does not change", async (t) => {
  const headers = { authorization: `Bearer ${testing.OPERATOR_TOKENS.ana}` };
  const path = "/v1/table/edits";
  const entry = cluster.entries[0];
  if (!entry) throw new Error("No entry");
  const before = await cluster.status(entry);
  const orphan = testing.makeAdapter("orphan", "nobody");
  const negative = testing.makeRow("negative", { weightBytes: -1 });
  for (const row of [orphan, negative]) {
    const changes = [{ name: row.name, row }];
    const body = JSON.stringify({ editId: `bad-${row.name}`, changes });
    const response = await post({ path, headers, body });
    t.is(response.body.code, core.EDIT_INVALID.code);
  }
  t.is((await cluster.status(entry)).tableRevision, before.tableRevision);
});

test.serial("malformed requests do not crash the process", async (t) => {
  const { port } = new URL(origin);
  const attacks = [
    "\x00\x01\x02 garbage\r\n\r\n",
    `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx: ${
      "a".repeat(100_000)
    }\r\n\r\n`,
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n" +
    "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /v1/services/%00%ff/..%2f HTTP/1.1\r\nhost: x\r\n" +
    "content-length: 0\r\n\r\n",
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n" +
    "content-length: 999\r\n\r\nshort",
  ];
  for (const bytes of attacks) {
    await new Promise<void>((resolve) => {
      const socket = connect(Number(port), "127.0.0.1", () => {
        socket.end(bytes);
      });
      socket.on("error", () => resolve());
      socket.on("close", () => resolve());
      socket.resume();
    });
  }
  const response = await post({ body: completion("llama") });
  t.is(response.status, 200);
});

test.serial("TABLE_NOT_READY: rejected, not run", async (t) => {
  const fresh = new testing.TestCluster({ entries: 0, engines: 0 });
  try {
    await fresh.start();
    fresh.tableService.faults.inject({ name: "outage" });
    const entry = await fresh.startEntry("entry-1");
    const response = await testing.complete(entry.ready.callerAddress, {
      model: "llama",
      prompt: "x",
    });
    t.is(response.body.code, core.TABLE_NOT_READY.code);
    t.is(response.body.ran, "no");
  } finally {
    await fresh.stop();
  }
});
