/** Which errors prove that a request was not sent. */
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { Agent, buildConnector } from "undici";
import * as testing from "../../../testing/mod.ts";
import * as transport from "../../mod.ts";

const TIMEOUT_MS = 10_000;

/** Starts a server that answers nothing; returns its origin. */
async function startServer(
  t: ExecutionContext,
  onRequest: () => void,
): Promise<string> {
  const server = createServer(() => onRequest()).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return `http://127.0.0.1:${port}`;
}

function sendOrder(dispatcher: Agent, origin: string) {
  return transport.send(dispatcher, {
    origin,
    path: "/order",
    method: "POST",
    bodyText: "{}",
    timeoutMs: TIMEOUT_MS,
  });
}

// Guards against a request that is repeated, or refused as not run, though it was
// received: the network became unreachable while its answer was awaited.
for (const code of ["EHOSTUNREACH", "ENETUNREACH", "ECONNREFUSED"]) {
  test(`a request may have been received if its open connection ends with ${code}`, async (t) => {
    const sockets: Socket[] = [];
    const openConnection = buildConnector({});
    const dispatcher = new Agent({
      connect: (options, callback) =>
        openConnection(options, (...result) => {
          if (result[1]) sockets.push(result[1]);
          callback(...result);
        }),
    });
    t.teardown(() => dispatcher.destroy());
    const origin = await startServer(t, () => {
      const error = Object.assign(new Error(`read ${code}`), {
        code,
        syscall: "read",
      });
      for (const socket of sockets) socket.destroy(error);
    });
    const result = await sendOrder(dispatcher, origin);
    t.is(result._unsafeUnwrapErr().sent, "maybe");
  });
}

for (const host of ["127.0.0.1", "localhost"]) {
  test(`a request is not sent if nothing listens on ${host}`, async (t) => {
    const [port] = await testing.findFreePorts(1);
    const dispatcher = new Agent();
    t.teardown(() => dispatcher.destroy());
    const result = await sendOrder(dispatcher, `http://${host}:${port}`);
    t.is(result._unsafeUnwrapErr().sent, "no");
  });
}
