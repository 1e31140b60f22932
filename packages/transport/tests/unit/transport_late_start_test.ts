/** A process that was held up does not send what should have been sent before. */
import test from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent } from "undici";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as transport from "../../mod.ts";

test("a request is not sent once its time limit has passed", async (t) => {
  let received = 0;
  const server = createServer((request, response) => {
    received++;
    request.resume();
    response.end("{}");
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const dispatcher = new Agent();
  const request: transport.TransportRequest = {
    origin: `http://127.0.0.1:${port}`,
    path: "/order",
    method: "POST",
    bodyText: "{}",
    timeoutMs: 300,
  };
  // The kernel completes the connection while the process is held up.
  const late = await testing.startThenHoldUp(
    () => transport.send(dispatcher, request),
    600,
  );
  await core.sleep(100);
  t.is(received, 0);
  t.true(late.isErr());
  const next = await transport
    .send(dispatcher, { ...request, timeoutMs: 10_000 });
  t.is(next._unsafeUnwrap().status, 200);
  t.is(received, 1);
  await dispatcher.destroy();
  server.close();
});
