/** Closing the listener for callers while responses are on their way. */
import test from "ava";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import * as core from "../../../core/mod.ts";
import type * as gateway from "../../../gateway/mod.ts";
import * as testing from "../../../testing/mod.ts";
import { CallersListener } from "../../callers/callers_listener.ts";

const BODY_BYTES = 32 * 1024 * 1024;
/** Of a response that the handler has ended itself. */
const ENDED_BODY_BYTES = 64 * 1024 * 1024;
const REQUEST = "GET / HTTP/1.1\r\nhost: entry\r\n\r\n";

/** A caller on one connection, which reads nothing until it is told to. */
class RawCaller {
  readonly socket: Socket;
  bytes = 0;
  readonly closed: Promise<unknown>;

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.on("error", () => {});
    this.socket.on("data", (chunk) => this.bytes += chunk.length);
    this.socket.pause();
    this.closed = new Promise((resolve) => this.socket.on("close", resolve));
  }
}

async function listen(app: Hono<gateway.GatewayEnv>) {
  const listener = new CallersListener(app);
  return { listener, port: await listener.listen("127.0.0.1", 0) };
}

const body = new Uint8Array(BODY_BYTES);
const largeApp = new Hono<gateway.GatewayEnv>()
  .get("/", (context) => context.body(body));

// Closing the server destroyed connections whose response had been written, but
// not sent yet.
test("the rest of a response is sent to a slow caller after the close", async (t) => {
  const { listener, port } = await listen(largeApp);
  const caller = new RawCaller(port);
  caller.socket.write(REQUEST);
  await core.sleep(200);
  const closed = listener.close(20_000, 20_000);
  await core.sleep(1_000);
  caller.socket.resume();
  await Promise.all([caller.closed, closed]);
  t.true(caller.bytes > BODY_BYTES, `${caller.bytes} of ${BODY_BYTES} bytes`);
});

// A connection whose caller sends its next request just after the server was
// closed was cut off.
test("a connection is kept for the next request for a while", async (t) => {
  const app = new Hono<gateway.GatewayEnv>()
    .get("/", (context) => context.text("here"));
  const { listener, port } = await listen(app);
  const caller = new RawCaller(port);
  caller.socket.resume();
  caller.socket.write(REQUEST);
  await testing.waitUntil("the first response", () => caller.bytes > 0);
  const { bytes } = caller;
  const closed = listener.close(20_000, 20_000);
  await core.sleep(100);
  caller.socket.write(REQUEST);
  await testing.waitUntil("the second response", () => caller.bytes > bytes);
  t.is(caller.bytes, 2 * bytes);
  await Promise.all([caller.closed, closed]);
});

// The responses to requests that had been read whole were cut off after the time
// in which callers are expected to close idle connections.
test("an owed response is waited for longer than an idle connection", async (t) => {
  const app = new Hono<gateway.GatewayEnv>().get("/", async (context) => {
    await core.sleep(1_000);
    return context.text("late");
  });
  const { listener, port } = await listen(app);
  const [caller, silent] = [new RawCaller(port), new RawCaller(port)];
  caller.socket.resume();
  silent.socket.resume();
  caller.socket.write(REQUEST);
  await core.sleep(200);
  const startedAtMs = core.monotonicMs();
  await listener.close(300, 20_000);
  await Promise.all([caller.closed, silent.closed]);
  t.true(caller.bytes > 0);
  t.true(core.monotonicMs() - startedAtMs < 5_000);
});

// A request whose body never arrives must not hold up the end of the process.
test("a request that is not read whole is not waited for", async (t) => {
  const app = new Hono<gateway.GatewayEnv>()
    .post("/", async (context) => context.text(await context.req.text()))
    .onError((_, context) => context.text("cut", 500));
  const { listener, port } = await listen(app);
  const caller = new RawCaller(port);
  caller.socket.resume();
  caller.socket.write(
    "POST / HTTP/1.1\r\nhost: entry\r\ncontent-length: 10\r\n\r\npart",
  );
  await core.sleep(200);
  const startedAtMs = core.monotonicMs();
  await listener.close(300, 20_000);
  t.true(core.monotonicMs() - startedAtMs < 5_000);
});

// Requests on connections that the kernel had accepted, but not yet the process,
// were cut off by the close of the listening socket.
test("requests on connections that wait to be accepted are answered", async (t) => {
  const app = new Hono<gateway.GatewayEnv>()
    .get("/", (context) => context.text("here"));
  const { listener, port } = await listen(app);
  const callers = Array.from({ length: 60 }, () => new RawCaller(port));
  await Promise.all(callers.map(async ({ socket }) => {
    socket.resume();
    await once(socket, "connect");
    socket.write(REQUEST);
  }));
  const closed = listener.close(20_000, 20_000);
  await Promise.all(callers.map((caller) => caller.closed));
  await closed;
  t.is(callers.filter(({ bytes }) => bytes === 0).length, 0);
});

// Guards against a planned stop that cuts off callers that read slowly.
test("closing waits until a slow caller has read its response", async (t) => {
  const app = new Hono<gateway.GatewayEnv>();
  let hasEnded = false;
  app.get("/", (context) => {
    const { outgoing } = context.env;
    outgoing.writeHead(200, { "content-length": ENDED_BODY_BYTES });
    outgoing.end(new Uint8Array(ENDED_BODY_BYTES));
    hasEnded = true;
    return RESPONSE_ALREADY_SENT;
  });
  const listener = new CallersListener(app);
  const port = await listener.listen("127.0.0.1", 0);
  const caller = connect(port, "127.0.0.1");
  await once(caller, "connect");
  caller.pause();
  caller.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  while (!hasEnded) await core.sleep(5);
  const closed = listener.close(1_000, 10_000);
  await core.sleep(200);
  let bytes = 0;
  caller.on("data", (chunk) => bytes += chunk.length);
  caller.on("error", () => undefined);
  caller.resume();
  await once(caller, "close");
  await closed;
  t.true(bytes > ENDED_BODY_BYTES, `${bytes} bytes`);
});
