import test, { type ExecutionContext } from "ava";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as relay from "../../mod.ts";

/** Runs `body` against an upstream that answers with raw bytes. */
async function withUpstream(
  respond: (socket: Socket) => void,
  body: (upstream: fleet.UpstreamRecord) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", () => respond(socket));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  try {
    await body(
      testing.makeUpstreamRecord({ address: `127.0.0.1:${port}` }),
    );
  } finally {
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

/** @param readAfterMs pause before the body is read. */
async function sendOnce(
  upstream: fleet.UpstreamRecord,
  readAfterMs = 0,
  method = "GET",
): Promise<{ status?: number; end: string; sent?: string; body: string }> {
  const pools = new relay.UpstreamPools();
  const attempt = relay.startAttempt(pools.get(upstream, 10, 1), {
    path: "/",
    method,
    headers: {},
    body: null,
  });
  try {
    const head = await attempt.head;
    if (head.isErr()) {
      return { end: "none", sent: head.error.sent, body: "" };
    }
    if (readAfterMs > 0) await core.sleep(readAfterMs);
    let body = "";
    for (;;) {
      const event = await attempt.next();
      if (event.kind === "data") body += event.data.toString();
      else return { status: head.value.status, end: event.kind, body };
    }
  } finally {
    await pools.close();
  }
}

interface Case {
  readonly name: string;
  readonly respond: (socket: Socket) => void;
  readonly expected: { status?: number; end: string; body: string };
}

const cases: Case[] = [
  {
    name: "a body of the announced length ends",
    respond: (socket) =>
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"),
    expected: { status: 200, end: "end", body: "whole" },
  },
  {
    name: "a body shorter than the announced length is broken",
    respond: (socket) =>
      socket.end("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort"),
    expected: { status: 200, end: "broken", body: "short" },
  },
  {
    name: "a body without a length ends when the connection closes",
    respond: (socket) => socket.end("HTTP/1.1 200 OK\r\n\r\nwhole"),
    expected: { status: 200, end: "end", body: "whole" },
  },
  {
    name: "a body without a length is broken by a reset",
    respond: (socket) =>
      socket.write(
        "HTTP/1.1 200 OK\r\n\r\nshort",
        () => setTimeout(() => socket.resetAndDestroy(), 30),
      ),
    expected: { status: 200, end: "broken", body: "short" },
  },
  {
    name:
      "a body without a length is broken by a reset directly after the data",
    respond: (socket) =>
      socket.write(
        "HTTP/1.1 200 OK\r\n\r\nshort",
        () => socket.resetAndDestroy(),
      ),
    expected: { status: 200, end: "broken", body: "short" },
  },
  {
    // Guards against an answer of which only the head arrived before a reset
    // reaching its caller as complete and empty.
    name:
      "a body without a length is broken by a reset directly after the head",
    respond: (socket) =>
      socket.write(
        "HTTP/1.1 200 OK\r\n\r\n",
        () => socket.resetAndDestroy(),
      ),
    expected: { status: 200, end: "broken", body: "" },
  },
  {
    // Guards against a transfer coding that marks no end being taken for chunks.
    name: "a body with a transfer coding but no chunks is broken by a reset",
    respond: (socket) =>
      socket.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nshort",
        () => socket.resetAndDestroy(),
      ),
    expected: { status: 200, end: "broken", body: "short" },
  },
  {
    name: "a body without a length that is closed after the head is empty",
    respond: (socket) => socket.end("HTTP/1.1 200 OK\r\n\r\n"),
    expected: { status: 200, end: "end", body: "" },
  },
  {
    name: "a chunked body without its last chunk is broken",
    respond: (socket) =>
      socket.end(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
      ),
    expected: { status: 200, end: "broken", body: "short" },
  },
  {
    name: "bytes that are not HTTP yield no response",
    respond: (socket) => socket.end("garbage\r\n\r\n"),
    expected: { end: "none", body: "" },
  },
];

for (const { name, respond, expected } of cases) {
  test(name, async (t: ExecutionContext) => {
    await withUpstream(respond, async (upstream) => {
      t.like(await sendOnce(upstream), expected);
    });
  });
}

test("after a reset before the head the request may have been sent", async (t) => {
  await withUpstream((socket) => socket.resetAndDestroy(), async (upstream) => {
    t.like(await sendOnce(upstream), { end: "none", sent: "maybe" });
  });
});

test("after a refused connection the request was not sent", async (t) => {
  let closedUpstream: fleet.UpstreamRecord | undefined;
  await withUpstream(() => {}, (upstream) => {
    closedUpstream = upstream;
    return Promise.resolve();
  });
  t.like(await sendOnce(closedUpstream!), { end: "none", sent: "no" });
});

test("an orderly close directly after the data is never taken for a reset", async (t) => {
  for (let n = 0; n < 200; n++) {
    const body = n % 2 === 0 ? "whole" : "";
    await withUpstream(
      (socket) => socket.end(`HTTP/1.1 200 OK\r\n\r\n${body}`),
      async (upstream) => {
        t.like(await sendOnce(upstream), { end: "end", body });
      },
    );
  }
});

// Guards against a response that has no body, and so no framing, being taken
// for one that was cut by a reset.
test("a response that cannot have a body is complete after its head", async (t) => {
  const heads = {
    GET: ["HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified"],
    HEAD: ["HTTP/1.1 200 OK"],
  };
  for (const [method, lines] of Object.entries(heads)) {
    for (const line of lines) {
      await withUpstream(
        (socket) => socket.write(`${line}\r\n\r\n`),
        async (upstream) => {
          const received = await sendOnce(upstream, 0, method);
          t.like(received, { end: "end", body: "" }, line);
        },
      );
    }
  }
});

// Guards against a large answer without framing whose slow reader made the
// relay pause it: its end threw outside of any request.
test("a body without a length that is read late is whole", async (t) => {
  const body = "x".repeat(600 * 1024);
  await withUpstream(
    (socket) => socket.end(`HTTP/1.1 200 OK\r\n\r\n${body}`),
    async (upstream) => {
      const received = await Promise.race([
        sendOnce(upstream, 60),
        core.sleep(3_000).then(() => undefined),
      ]);
      t.is(received?.end, "end");
      t.is(received?.body.length, body.length);
    },
  );
});

test("a request is not sent once its deadline has passed, also by a process that was held up", async (t) => {
  let received = 0;
  const respond = (socket: Socket) => {
    received++;
    socket.end("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
  };
  await withUpstream(respond, async (upstream) => {
    const pool = new relay.UpstreamPools().get(upstream, 10, 1);
    const startBeforeMs = core.monotonicMs() + 300;
    // The kernel completes the connection while the process is held up.
    const attempt = await testing.startThenHoldUp(
      () =>
        relay.startAttempt(pool, {
          path: "/",
          method: "GET",
          headers: {},
          body: null,
          startBeforeMs,
        }),
      600,
    );
    const head = await attempt.head;
    t.is(head._unsafeUnwrapErr().sent, "no");
    await core.sleep(100);
    t.is(received, 0);
  });
});
