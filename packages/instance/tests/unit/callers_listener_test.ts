import test from "ava";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import { once } from "node:events";
import { connect } from "node:net";
import * as core from "../../../core/mod.ts";
import type * as gateway from "../../../gateway/mod.ts";
import { CallersListener } from "../../callers/callers_listener.ts";

const BODY_BYTES = 64 * 1024 * 1024;

// Guards against a planned stop that cuts off callers that read slowly.
test("closing waits until a slow caller has read its response", async (t) => {
  const app = new Hono<gateway.GatewayEnv>();
  let hasEnded = false;
  app.get("/", (context) => {
    const { outgoing } = context.env;
    outgoing.writeHead(200, { "content-length": BODY_BYTES });
    outgoing.end(new Uint8Array(BODY_BYTES));
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
  const closed = listener.close(10_000, 1_000);
  await core.sleep(200);
  let bytes = 0;
  caller.on("data", (chunk) => bytes += chunk.length);
  caller.on("error", () => undefined);
  caller.resume();
  await once(caller, "close");
  await closed;
  t.true(bytes > BODY_BYTES, `${bytes} bytes`);
});
