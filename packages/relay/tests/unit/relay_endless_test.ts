import test from "ava";
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import process from "node:process";
import type * as fleet from "../../../fleet/mod.ts";
import {
  type Behaviour,
  type RelayResult,
  relayTo,
  respondOk,
} from "../relay_harness.ts";

const MIB = 1024 * 1024;
const DEADLINE_MS = 1_500;
/** Above what the limits allow, far below what an endless response sends. */
const MEMORY_GROWTH_MAX_MB = 120;

const HEAD = "HTTP/1.1 200 OK\r\nx-id: id-1\r\nx-seal: seal\r\n";
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";

/** What an endless upstream has seen. */
interface Poured {
  bytes: number;
  closed: boolean;
}

/** Writes `start`, then `more` again and again until the connection closes. */
function pour(
  request: IncomingMessage,
  start: string,
  more: string | Buffer,
  poured: Poured,
): void {
  const { socket } = request;
  socket.on("error", () => {});
  socket.on("close", () => {
    poured.closed = true;
  });
  socket.write(start);
  const write = () => {
    if (socket.destroyed) return;
    poured.bytes += more.length;
    if (socket.write(more)) setImmediate(write);
    else socket.once("drain", write);
  };
  write();
}

const chunk = (bytes: number) =>
  `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

interface EndlessCase {
  readonly name: string;
  readonly start: string;
  readonly more: string | Buffer;
  readonly route?: Partial<fleet.RouteSpec>;
  readonly expected: Partial<RelayResult>;
}

const stream: Partial<fleet.RouteSpec> = { kind: "stream", attemptsMax: 1 };
const resumable: Partial<fleet.RouteSpec> = {
  kind: "stream",
  isResumable: true,
  attemptsMax: 1,
};
const unsafe: Partial<fleet.RouteSpec> = { kind: "unsafe", attemptsMax: 1 };

const endless: EndlessCase[] = [
  {
    name: "header lines without end",
    start: HEAD,
    more: `x-more: ${"y".repeat(1_000)}\r\n`,
    route: unsafe,
    expected: { status: 502 },
  },
  {
    name: "one header that never ends",
    start: `${HEAD}x-more: `,
    more: "y".repeat(10_000),
    route: unsafe,
    expected: { status: 502 },
  },
  {
    name: "status lines without end",
    start: "",
    more: "HTTP/1.1 200 OK\r\n",
    route: unsafe,
    expected: { status: 502 },
  },
  {
    name: "bytes that are no HTTP",
    start: "",
    more: Buffer.alloc(10_000, 7),
    route: unsafe,
    expected: { status: 502 },
  },
  {
    name: "informational responses again and again",
    start: "",
    more: "HTTP/1.1 103 Early Hints\r\n\r\n",
    route: unsafe,
    expected: { status: 502 },
  },
  {
    name: "a body without end in chunks",
    start: HEAD + CHUNKED,
    more: chunk(60_000),
    route: unsafe,
    expected: { status: 502 },
  },
  {
    name: "a body without end in chunks of one byte",
    start: HEAD + CHUNKED,
    more: chunk(1).repeat(10_000),
    route: unsafe,
    // The time is over before the limit of bytes is reached.
    expected: { status: 504 },
  },
  {
    name: "a body without length or end",
    start: `${HEAD}\r\n`,
    more: "x".repeat(60_000),
    route: unsafe,
    expected: { status: 502 },
  },
  {
    name: "trailers without end",
    start: HEAD + CHUNKED + chunk(5) + "0\r\n",
    more: `x-more: ${"y".repeat(1_000)}\r\n`,
    route: unsafe,
    expected: { status: 502 },
  },
  {
    name: "chunks after the whole response",
    start: HEAD + CHUNKED + chunk(5) + "0\r\n\r\n",
    more: chunk(60_000),
    route: unsafe,
    expected: { status: 200, body: "xxxxx", isComplete: true },
  },
  {
    name: "a stream of comments",
    start: HEAD + CHUNKED,
    more: `a\r\n: comment\n\r\n`,
    route: stream,
    expected: { isComplete: false },
  },
  {
    name: "an event that never ends",
    start: `${HEAD}\r\nid: 1\ndata: `,
    more: "x".repeat(60_000),
    route: resumable,
    expected: { status: 502 },
  },
];

for (const { name, start, more, route, expected } of endless) {
  test.serial(`endless: ${name}`, async (t) => {
    const poured: Poured = { bytes: 0, closed: false };
    const respond: Behaviour = (request) => pour(request, start, more, poured);
    const memoryBefore = process.memoryUsage().rss;
    let memoryMax = memoryBefore;
    const watching = setInterval(() => {
      memoryMax = Math.max(memoryMax, process.memoryUsage().rss);
    }, 20);
    const startedAtMs = performance.now();
    const [result, other] = await Promise.all([
      relayTo([respond], route ?? {}, { deadlineMs: DEADLINE_MS }),
      // Another request of the same process, sent while the bytes pour in.
      new Promise((resolve) => setTimeout(resolve, 100)).then(() => {
        const sentAtMs = performance.now();
        return relayTo([respondOk], {}).then((answer) => ({
          ...answer,
          tookMs: performance.now() - sentAtMs,
        }));
      }),
    ]);
    clearInterval(watching);
    t.like(result, expected);
    t.not(result.status, 503, "a response that may have run was refused");
    t.true(performance.now() - startedAtMs < DEADLINE_MS + 1_500);
    t.like(other, { status: 200, body: "whole" });
    t.true(other.tookMs < 1_000, `another request took ${other.tookMs} ms`);
    t.true(poured.closed, "the connection is still open");
    const grownMb = (memoryMax - memoryBefore) / MIB;
    t.true(grownMb < MEMORY_GROWTH_MAX_MB, `memory grew by ${grownMb} MB`);
  });
}
