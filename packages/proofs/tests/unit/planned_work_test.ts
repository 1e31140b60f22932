/**
 * Requests that an entry has read whole, beside signals and while it leaves:
 * each ends with a whole answer or a refusal.
 */
import test from "ava";
import { createServer, type RequestListener, type Server } from "node:http";
import { once } from "node:events";
import { type AddressInfo, connect } from "node:net";
import process from "node:process";
import { buffer } from "node:stream/consumers";
import { request } from "undici";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

const rows = [testing.makeRow("llama")];

function originOf(cluster: testing.TestCluster): string {
  return cluster.entries[0]?.ready.callerAddress ?? "";
}

/** Adds an instance of the service `orders` that answers as told. */
async function addOrderService(
  cluster: testing.TestCluster,
  respond: RequestListener,
): Promise<Server> {
  const server = createServer((incoming, outgoing) => {
    void buffer(incoming).then(() => {
      const id = String(incoming.headers["x-request-id"]);
      outgoing.setHeader("x-request-id", id);
      respond(incoming, outgoing);
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  cluster.instanceList.put({
    id: "orders-own",
    kind: "service",
    service: "orders",
    address: `http://127.0.0.1:${port}`,
    failureDomain: "calama",
    state: "live",
  });
  return server;
}

async function stopServer(server: Server): Promise<void> {
  server.closeAllConnections();
  server.close();
  await once(server, "close");
}

async function readCpuSeconds(origin: string): Promise<number> {
  const response = await request(`${origin}/metrics`);
  const text = await response.body.text();
  return Number(/carawaywind_cpu_s_total (\S+)/.exec(text)?.[1]);
}

async function waitUntilLeaving(origin: string): Promise<void> {
  await testing.waitUntil("the entry is leaving", async () => {
    const response = await request(`${origin}/readyz`);
    return await response.body.text() === "leaving\n";
  });
}

// A hang-up signal, as for a reload of the settings, ended the process and cut
// off every request.
test.serial("SIGHUP cuts off no request and names faults of the settings file", async (t) => {
  const cluster = new testing.TestCluster({ entries: 1, engines: 1, rows });
  try {
    await cluster.start();
    const [entry] = cluster.entries;
    const call = { model: "llama", prompt: "go on", tokens: 400 };
    let hasStarted = false;
    const result = testing.stream(originOf(cluster), call, () => {
      if (!hasStarted) entry?.signal("SIGHUP");
      hasStarted = true;
    });
    const { isComplete, text, error } = await result;
    t.true(isComplete, JSON.stringify(error));
    t.is(text, testing.expectedText(call));
    await cluster.writeSettings("entry-1", {
      drain: { finishMaxMs: "soon" as unknown as number },
    });
    entry?.signal("SIGHUP");
    await testing.waitUntil(
      "the fault is logged",
      () =>
        entry?.stderrLines.some((line) =>
          line.includes("event=settings_fault") && line.includes("finishMaxMs")
        ) ?? false,
    );
    const after = { model: "llama", prompt: "after" };
    const response = await testing.complete(originOf(cluster), after);
    t.is(testing.completionText(response), testing.expectedText(after));
  } finally {
    await cluster.stop();
  }
});

// When the reader of its log went away, as a collector of logs that restarts, the
// next line ended the process and cut off every request.
test.serial("a log that nobody reads any more cuts off no request", async (t) => {
  const cluster = new testing.TestCluster({ entries: 1, engines: 1, rows });
  try {
    await cluster.start();
    const [entry] = cluster.entries;
    const origin = originOf(cluster);
    const call = { model: "llama", prompt: "go on", tokens: 400 };
    let hasStarted = false;
    const streamed = testing.stream(origin, call, () => hasStarted = true);
    await testing.waitUntil("the stream has started", () => hasStarted);
    entry?.closeStderr();
    for (const weight of [2, 3]) {
      await cluster.applyEdit([testing.makeRow("llama", { weight })]);
    }
    const { isComplete, text, error } = await streamed;
    t.true(isComplete, JSON.stringify(error));
    t.is(text, testing.expectedText(call));
    const before = await readCpuSeconds(origin);
    await core.sleep(1_000);
    const cpuSeconds = await readCpuSeconds(origin) - before;
    t.true(cpuSeconds < 0.5, `${cpuSeconds} s of processor time in 1 s`);
  } finally {
    await cluster.stop();
  }
});

// An exception outside of any request ended the process and cut off every
// request in progress.
test.serial("an uncaught exception cuts off no request", async (t) => {
  const throwOnSignal = "process.on('SIGUSR2',()=>{throw(Error('stray'))})";
  const flags = process.env.CARAWAYWIND_NODE_FLAGS;
  process.env.CARAWAYWIND_NODE_FLAGS =
    `--import data:text/javascript,${throwOnSignal}`;
  const cluster = new testing.TestCluster({ entries: 1, engines: 1, rows });
  try {
    await cluster.start();
    const [entry] = cluster.entries;
    const call = { model: "llama", prompt: "go on", tokens: 400 };
    let hasStarted = false;
    const result = await testing.stream(originOf(cluster), call, () => {
      if (!hasStarted) entry?.signal("SIGUSR2");
      hasStarted = true;
    });
    t.true(result.isComplete, JSON.stringify(result.error));
    t.is(result.text, testing.expectedText(call));
    t.true(entry?.stderrLines.some((line) => line.includes("stray")));
  } finally {
    if (flags === undefined) delete process.env.CARAWAYWIND_NODE_FLAGS;
    else process.env.CARAWAYWIND_NODE_FLAGS = flags;
    await cluster.stop();
  }
});

for (const status of [204, 304, 700]) {
  // While an entry was leaving, an answer whose status has no body, or is not in
  // the standard's range, was replaced by an internal error.
  test.serial(`a leaving entry relays a service's answer with status ${status}`, async (t) => {
    const cluster = new testing.TestCluster({
      entries: 1,
      engines: 0,
      settings: { drain: { entriesMaxAgeMs: 5_000 } },
    });
    await cluster.start();
    const server = await addOrderService(cluster, (_, outgoing) => {
      outgoing.writeHead(status).end();
    });
    try {
      const origin = originOf(cluster);
      const call = { service: "orders", path: "dispense", body: {} };
      await testing.waitUntil("the service is known", async () => {
        const key = core.randomId("warm");
        const { status } = await testing.callService(origin, { ...call, key });
        return status !== core.NO_UPSTREAM.httpStatus;
      });
      cluster.entries[0]?.signal("SIGTERM");
      await waitUntilLeaving(origin);
      const key = "leaving-1";
      const response = await testing.callService(origin, { ...call, key });
      t.is(response.status, status, JSON.stringify(response.body));
    } finally {
      await stopServer(server);
      await cluster.stop();
    }
  });
}

// A stream of a leaving entry did not ask its caller to close the connection, so
// that the caller's next request crossed the end of the process.
test.serial("a stream of a leaving entry closes its connection", async (t) => {
  const cluster = new testing.TestCluster({
    entries: 1,
    engines: 1,
    rows,
    settings: { drain: { entriesMaxAgeMs: 5_000 } },
  });
  try {
    await cluster.start();
    const origin = originOf(cluster);
    await testing.complete(origin, { model: "llama", prompt: "warm" });
    cluster.entries[0]?.signal("SIGTERM");
    await waitUntilLeaving(origin);
    const response = await request(`${origin}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${testing.CALLER_TOKENS.kiosk}` },
      body: JSON.stringify({
        model: "llama",
        messages: [{ role: "user", content: "last" }],
        stream: true,
      }),
    });
    t.is(response.headers.connection, "close");
    t.true((await response.body.text()).endsWith("data: [DONE]\n\n"));
  } finally {
    await cluster.stop();
  }
});

// Of requests that a caller sent at once on one connection, all but the first
// were cut off by the close of the connection after the first answer.
test.serial("pipelined requests to a leaving entry are all answered", async (t) => {
  const cluster = new testing.TestCluster({
    entries: 1,
    engines: 1,
    rows,
    settings: { drain: { entriesMaxAgeMs: 5_000 } },
  });
  try {
    await cluster.start();
    const origin = originOf(cluster);
    await testing.complete(origin, { model: "llama", prompt: "warm" });
    cluster.entries[0]?.signal("SIGTERM");
    await waitUntilLeaving(origin);
    const socket = connect(Number(new URL(origin).port), "127.0.0.1");
    const body = JSON.stringify({
      model: "llama",
      messages: [{ role: "user", content: "both" }],
    });
    const message = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n" +
      `authorization: Bearer ${testing.CALLER_TOKENS.kiosk}\r\n` +
      `content-length: ${body.length}\r\n\r\n${body}`;
    socket.write(message + message);
    let received = "";
    socket.on("data", (bytes) => received += bytes.toString("latin1"));
    await once(socket, "close");
    t.is(received.match(/HTTP\/1\.1 200 OK/g)?.length, 2, received);
  } finally {
    await cluster.stop();
  }
});
