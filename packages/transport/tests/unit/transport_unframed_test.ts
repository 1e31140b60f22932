import test from "ava";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import process from "node:process";
import { Agent } from "undici";
import * as core from "../../../core/mod.ts";
import * as transport from "../../mod.ts";

const BODY_BYTES_MAX = 2 * 1024 * 1024;

/** Runs `body` against a server that answers with bytes and closes. */
async function withUnframedServer(
  bytes: number,
  body: (origin: string) => Promise<void>,
): Promise<void> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      socket.end(Buffer.alloc(bytes, "x"));
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  try {
    await body(`http://127.0.0.1:${port}`);
  } finally {
    server.close();
  }
}

/** Requests a body and begins to read it only once it has been sent. */
async function readLate(origin: string): Promise<number> {
  const agent = new Agent();
  const dispatcher = transport.guardUnframedBodies(agent, BODY_BYTES_MAX);
  try {
    const { body } = await dispatcher
      .request({ origin, path: "/", method: "GET" });
    body.on("error", () => {});
    await core.sleep(60);
    let bytes = 0;
    for await (const chunk of body) bytes += (chunk as Buffer).length;
    return bytes;
  } finally {
    await agent.destroy();
  }
}

// Guards against an answer without framing that ends while its reader is slow:
// undici threw outside of any request, which ended the process.
test.serial("a body without framing that ends while its reader is slow is whole", async (t) => {
  const uncaught: unknown[] = [];
  const onUncaught = (thrown: unknown) => uncaught.push(thrown);
  process.on("uncaughtException", onUncaught);
  try {
    for (const kib of [1, 64, 200, 1_000]) {
      await withUnframedServer(kib * 1024, async (origin) => {
        const late = { value: -1, timedOut: core.sleep(3_000).then(() => -2) };
        late.value = await Promise.race([readLate(origin), late.timedOut]);
        t.is(late.value, kib * 1024);
      });
    }
  } finally {
    process.off("uncaughtException", onUncaught);
  }
  t.deepEqual(uncaught, []);
});

test("a body without framing that exceeds the limit is broken off", async (t) => {
  await withUnframedServer(2 * BODY_BYTES_MAX, async (origin) => {
    await t.throwsAsync(readLate(origin), {
      name: "UnframedBodyTooLargeError",
    });
  });
});
