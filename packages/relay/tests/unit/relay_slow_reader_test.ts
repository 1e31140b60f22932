/** Load: an engine streams a response to a caller that reads nothing. */
import test from "ava";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as relay from "../../mod.ts";

const EVENT = `data: ${"x".repeat(90)}\n\n`;
const CHUNK = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;
const EVENT_INTERVAL_MS = 4;

/** Time for the last bytes to arrive. */
const ARRIVAL_MS = 200;

/** Reads nothing of a stream until its engine has sent it, then all of it. */
async function readLate(events: number, isCut: boolean) {
  let noteSent = () => {};
  const isSent = new Promise<void>((resolve) => noteSent = resolve);
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", async () => {
      socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
      for (let sent = 0; sent < events; sent++) {
        socket.write(CHUNK);
        await core.sleep(EVENT_INTERVAL_MS);
      }
      if (isCut) socket.resetAndDestroy();
      else socket.end("0\r\n\r\n");
      noteSent();
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const pools = new relay.UpstreamPools();
  const upstream = testing.makeUpstreamRecord({
    address: `127.0.0.1:${port}`,
  });
  const attempt = relay.startAttempt(pools.get(upstream, 10, 1), {
    path: "/",
    method: "GET",
    headers: {},
    body: null,
  });
  try {
    await attempt.head;
    await isSent;
    await core.sleep(ARRIVAL_MS);
    const readAtMs = core.monotonicMs();
    let bytes = 0;
    let receivedAtMs = 0;
    for (;;) {
      const event = await attempt.next();
      if (event.kind !== "data") {
        return { end: event.kind, bytes, receivedAtMs, readAtMs };
      }
      bytes += event.data.length;
      receivedAtMs = event.atMs;
    }
  } finally {
    await pools.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

// Guards against engines whose memory fills with responses of slow callers: a
// response of some hundred tokens is read although nobody takes it.
test("a response of 300 events leaves its engine while its caller reads nothing", async (t) => {
  const events = 300;
  const read = await readLate(events, false);
  t.is(read.end, "end");
  t.is(read.bytes, events * EVENT.length);
  t.true(read.receivedAtMs < read.readAtMs, "it was left in the engine");
});

// What happens beyond the node's budget for one response: it stays with the
// engine, which cuts it off, and what was read is passed on before the failure.
test("a response of 900 unread events is left in the engine, and broken off when that cuts it", async (t) => {
  const events = 900;
  const read = await readLate(events, true);
  t.is(read.end, "broken");
  t.true(read.bytes > 300 * EVENT.length, `${read.bytes} bytes were read`);
  t.true(read.bytes < events * EVENT.length);
  t.is(read.bytes % EVENT.length, 0);
});
