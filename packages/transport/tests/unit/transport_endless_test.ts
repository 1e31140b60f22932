import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import * as undici from "undici";
import * as transport from "../../mod.ts";

/** Serves responses that start as given and go on until they are closed. */
async function withEndlessServer(
  start: string,
  more: string,
  everyMs: number,
  run: (origin: string, open: ReadonlySet<Socket>) => Promise<void>,
): Promise<void> {
  const open = new Set<Socket>();
  const server = createServer((socket) => {
    open.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => open.delete(socket));
    socket.once("data", () => {
      socket.write(start);
      const write = () => {
        if (socket.destroyed) return;
        const isWritable = socket.write(more);
        if (everyMs > 0) setTimeout(write, everyMs);
        else if (isWritable) setImmediate(write);
        else socket.once("drain", write);
      };
      write();
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  try {
    await run(`http://127.0.0.1:${port}`, open);
  } finally {
    server.close();
    for (const socket of open) socket.destroy();
  }
}

const cases: [name: string, start: string, more: string, everyMs?: number][] = [
  ["a head", "HTTP/1.1 200 OK\r\n", "x-more: y\r\n"],
  [
    "a body",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    `fff0\r\n${"x".repeat(0xfff0)}\r\n`,
  ],
  [
    "a body in single bytes",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "1\r\nx\r\n",
  ],
  [
    "a body of one byte a second",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "1\r\nx\r\n",
    1_000,
  ],
  [
    "a list of trailers",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "x-more: y\r\n",
    50,
  ],
  ["a body without framing", "HTTP/1.1 200 OK\r\n\r\n", "x", 50],
];

const skipped: [name: string, start: string, more: string][] = [
  ["empty lines before a head", "", "\r\n"],
  ["a status line", "HTTP/1.1 200 ", "OK"],
  ["spaces in a header", "HTTP/1.1 200 OK\r\nx-more:", " "],
  [
    "a chunk extension",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;a=",
    "x",
  ],
  [
    "zeros of a chunk's size",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "0",
  ],
];

for (const [name, start, more] of skipped) {
  // Guards against a node that parses bytes that it skips until the deadline.
  test.serial(`a connection that sends only ${name} is closed`, async (t) => {
    await withEndlessServer(
      start,
      more.repeat(10_000),
      0,
      async (origin, open) => {
        const agent = new undici.Agent({ connect: transport.connector(1_000) });
        const startedAtMs = performance.now();
        const result = await transport.send(agent, {
          origin,
          path: "/",
          method: "GET",
          timeoutMs: 5_000,
        });
        t.is(result._unsafeUnwrapErr().sent, "maybe");
        t.true(performance.now() - startedAtMs < 2_500);
        await new Promise((resolve) => setTimeout(resolve, 100));
        t.is(open.size, 0, "the connection is still open");
        await agent.destroy();
      },
    );
  });
}

// Guards against a limit that ends long bodies which are passed on.
test("a long body in small chunks is whole", async (t) => {
  const chunk = `64;ext=1\r\n${"x".repeat(100)}\r\n`;
  const body = `${chunk.repeat(20_000)}0\r\n\r\n`;
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.end(
        `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${body}`,
      );
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const agent = new undici.Agent({ connect: transport.connector(1_000) });
  const result = await transport.send(agent, {
    origin: `http://127.0.0.1:${port}`,
    path: "/",
    method: "GET",
    timeoutMs: 10_000,
  });
  t.is(result._unsafeUnwrap().bodyText.length, 2_000_000);
  await agent.destroy();
  server.close();
});

for (const [name, start, more, everyMs = 0] of cases) {
  test.serial(`an exchange ends when ${name} does not`, async (t) => {
    await withEndlessServer(start, more, everyMs, async (origin, open) => {
      const agent = new undici.Agent();
      const startedAtMs = performance.now();
      const result = await transport.send(agent, {
        origin,
        path: "/",
        method: "GET",
        timeoutMs: 1_000,
      });
      t.true(result.isErr());
      t.is(result._unsafeUnwrapErr().sent, "maybe");
      t.true(performance.now() - startedAtMs < 2_000);
      await new Promise((resolve) => setTimeout(resolve, 100));
      t.is(open.size, 0, "the connection is still open");
      await agent.destroy();
    });
  });
}
