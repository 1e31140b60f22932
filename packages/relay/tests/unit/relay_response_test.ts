import test from "ava";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import * as core from "../../../core/mod.ts";
import * as relay from "../../mod.ts";

/** Begins a response, aborts it, and returns how the caller's connection ends. */
async function abortedConnectionEnd(
  version: string,
  headers: Record<string, string>,
): Promise<"reset" | "closed"> {
  const server = createServer((_request, response) => {
    const reply = new relay.CallerResponse(response, () => true);
    reply.start(200, headers, core.monotonicMs());
    reply.write(Buffer.from("short")).then(() => core.sleep(30))
      .then(() => reply.abort());
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  let end: "reset" | "closed" = "closed";
  socket.on("error", () => {
    end = "reset";
  });
  socket.resume().write(`GET / HTTP/${version}\r\nHost: h\r\n\r\n`);
  await new Promise((resolve) => socket.once("close", resolve));
  server.close();
  return end;
}

// Guards against a caller without chunks, whose response ends with the
// connection, taking an aborted response for a whole one.
test("an aborted response that only the connection frames ends with a reset", async (t) => {
  t.is(await abortedConnectionEnd("1.0", {}), "reset");
});

test("an aborted response with chunks or a length ends with a close", async (t) => {
  t.is(await abortedConnectionEnd("1.1", {}), "closed");
  t.is(
    await abortedConnectionEnd("1.0", { "content-length": "50" }),
    "closed",
  );
});
