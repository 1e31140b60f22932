import test, { type ExecutionContext } from "ava";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import * as relay from "../../mod.ts";

/** Starts an upstream that writes raw bytes to each request. */
async function withUpstream(
  answer: (socket: Socket) => void,
  body: (upstream: fleet.UpstreamRecord) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  try {
    await body({
      id: core.brandId<core.UpstreamId>("u1"),
      startedAtMs: 1,
      service: core.brandId<core.ServiceName>("s"),
      address: `127.0.0.1:${port}`,
      failureDomain: "z",
      slots: 1,
      isLeaving: false,
      models: [],
      modelsInMemory: [],
      modelsOnDisk: [],
    });
  } finally {
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

async function ask(
  upstream: fleet.UpstreamRecord,
): Promise<{ status?: number; end: string; sent?: string; body: string }> {
  const pools = new relay.UpstreamPools();
  const attempt = relay.startAttempt(pools.get(upstream, 10, 1), {
    path: "/",
    method: "GET",
    headers: {},
    body: null,
  });
  try {
    const head = await attempt.head;
    if (head.isErr()) {
      return { end: "none", sent: head.error.sent, body: "" };
    }
    let body = "";
    for (;;) {
      const piece = await attempt.next();
      if (piece.kind === "data") body += piece.data.toString();
      else return { status: head.value.status, end: piece.kind, body };
    }
  } finally {
    await pools.close();
  }
}

interface Case {
  readonly name: string;
  readonly answer: (socket: Socket) => void;
  readonly expected: { status?: number; end: string; body: string };
}

const cases: Case[] = [
  {
    name: "a body with its whole length ends",
    answer: (socket) =>
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"),
    expected: { status: 200, end: "end", body: "whole" },
  },
  {
    name: "a body shorter than its length is broken",
    answer: (socket) =>
      socket.end("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort"),
    expected: { status: 200, end: "broken", body: "short" },
  },
  {
    name: "a body without a length ends with its connection",
    answer: (socket) => socket.end("HTTP/1.1 200 OK\r\n\r\nwhole"),
    expected: { status: 200, end: "end", body: "whole" },
  },
  {
    name: "a body without a length is broken by a reset",
    answer: (socket) =>
      socket.write(
        "HTTP/1.1 200 OK\r\n\r\nshort",
        () => setTimeout(() => socket.resetAndDestroy(), 30),
      ),
    expected: { status: 200, end: "broken", body: "short" },
  },
  {
    name: "a body without a length is broken by a reset close behind it",
    answer: (socket) =>
      socket.write(
        "HTTP/1.1 200 OK\r\n\r\nshort",
        () => socket.resetAndDestroy(),
      ),
    expected: { status: 200, end: "broken", body: "short" },
  },
  {
    name: "chunks that break off are broken",
    answer: (socket) =>
      socket.end(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
      ),
    expected: { status: 200, end: "broken", body: "short" },
  },
  {
    name: "bytes that are no answer give none",
    answer: (socket) => socket.end("garbage\r\n\r\n"),
    expected: { end: "none", body: "" },
  },
];

for (const { name, answer, expected } of cases) {
  test(name, async (t: ExecutionContext) => {
    await withUpstream(answer, async (upstream) => {
      t.like(await ask(upstream), expected);
    });
  });
}

test("a reset before the head leaves open whether the request ran", async (t) => {
  await withUpstream((socket) => socket.resetAndDestroy(), async (upstream) => {
    t.like(await ask(upstream), { end: "none", sent: "maybe" });
  });
});

test("a refused connection proves that nothing was sent", async (t) => {
  let gone: fleet.UpstreamRecord | undefined;
  await withUpstream(() => {}, (upstream) => {
    gone = upstream;
    return Promise.resolve();
  });
  t.like(await ask(gone!), { end: "none", sent: "no" });
});

test("an orderly end right behind the data is never taken for a reset", async (t) => {
  for (let n = 0; n < 200; n++) {
    await withUpstream(
      (socket) => socket.end("HTTP/1.1 200 OK\r\n\r\nwhole"),
      async (upstream) => {
        t.like(await ask(upstream), { end: "end", body: "whole" });
      },
    );
  }
});
