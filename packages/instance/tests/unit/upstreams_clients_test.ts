/** Answers of upstreams that break off, as clients of the own interface see. */
import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import * as core from "../../../core/mod.ts";
import * as transport from "../../../transport/mod.ts";
import { HttpUpstreamClients } from "../../upstreams/upstreams_clients.ts";

const ATTEMPT_ID = core.brandId<core.AttemptId>("at-1");

/** How the server ends an answer of which it has sent a part. */
const ends: Record<string, (socket: Socket) => void> = {
  "a reset at once": (socket) => socket.resetAndDestroy(),
  "a reset later": (socket) => setTimeout(() => socket.resetAndDestroy(), 40),
};
const heads: Record<string, string> = {
  "a length": "content-length: 100\r\n\r\n",
  "chunks": "transfer-encoding: chunked\r\n\r\n5\r\n",
  "neither": "\r\n",
  "neither, as HTTP/1.0": "connection: close\r\n\r\n",
};

for (const [framing, head] of Object.entries(heads)) {
  for (const [end, breakOff] of Object.entries(ends)) {
    for (const body of ["", "short"]) {
      // Guards against an answer that was cut by a reset being returned, and
      // recorded for retries, as the service's whole answer.
      test(`service: an answer with ${framing} of ${body.length} bytes that is cut by ${end} is broke`, async (t) => {
        const version = framing.endsWith("1.0") ? "1.0" : "1.1";
        const server = createServer((socket) => {
          socket.on("error", () => {});
          socket.once("data", () => {
            socket.write(
              `HTTP/${version} 200 OK\r\nx-request-id: ${ATTEMPT_ID}\r\n` +
                head + body,
              () => breakOff(socket),
            );
          });
        }).listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const clients = new HttpUpstreamClients(
          1_000,
          new transport.SocketMeter(),
        );
        const response = await clients.service({
          id: "s",
          kind: "service",
          address: `http://127.0.0.1:${port}`,
          failureDomain: "d",
          state: "live",
        }).call({
          attemptId: ATTEMPT_ID,
          callerId: core.brandId<core.CallerId>("c"),
          path: "/",
          contentType: "text/plain",
          bodyText: "call",
          deadlineMs: 5_000,
          signal: new AbortController().signal,
        });
        await clients.close();
        server.close();
        t.is(response.isErr() && response.error.fault, "broke");
      });
    }
  }
}
