/** Reads bodies in any framing from connections without a network. */
import test from "ava";
import * as fc from "fast-check";
import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import { Duplex } from "node:stream";
import * as memory from "../../../memory/mod.ts";
import * as relay from "../../mod.ts";

const BYTES_MAX = 100_000;
const TIMEOUT_MS = 20_000;

/** A client's connection; what the server writes is dropped. */
class FakeConnection extends Duplex {
  override _read(): void {}
  override _write(_: Buffer, __: string, callback: () => void): void {
    callback();
  }
}

type Outcome = Buffer | Error;

/** Sends pieces to a server; resolves to what it read of the first body. */
async function readPieces(
  pieces: readonly Buffer[],
  hold: memory.RequestHold,
): Promise<Outcome | undefined> {
  let server: Server | undefined;
  const connection = new FakeConnection();
  const outcome = new Promise<Outcome | undefined>((resolve) => {
    server = createServer((request, response) => {
      relay.readBody(request, BYTES_MAX, TIMEOUT_MS, hold)
        .then(resolve, resolve)
        .finally(() => response.end());
    });
    server.on("clientError", (error) => {
      connection.destroy();
      resolve(error);
    });
    server.emit("connection", connection);
  });
  for (const piece of pieces) {
    connection.push(piece);
    await new Promise(setImmediate);
  }
  connection.push(null);
  const result = await outcome;
  connection.destroy();
  server?.close();
  return result;
}

function cut(bytes: Buffer, cuts: readonly number[]): Buffer[] {
  const at = [...cuts].map((n) => n % (bytes.length + 1))
    .sort((a, b) => a - b);
  return [0, ...at].map((start, n) => bytes.subarray(start, at[n]))
    .filter(({ length }) => length > 0);
}

const HEAD = "POST / HTTP/1.1\r\nHost: x\r\n";
const chunkSize = fc.oneof(
  fc.integer({ min: 1, max: 20 }),
  fc.integer({ min: 1, max: 30_000 }),
);

/** A body in chunks with extensions and trailers, and its content. */
const chunked = fc.record({
  sizes: fc.array(chunkSize, { maxLength: 12 }),
  extension: fc.constantFrom("", ";a", ";a=b", `;a="${"x".repeat(50)}"`),
  trailers: fc.constantFrom("", "T: 1\r\n", "T: 1\r\nU: 2\r\n"),
}).map(({ sizes, extension, trailers }) => {
  const contents = sizes.map((size, n) => String(n % 10).repeat(size));
  const chunks = contents
    .map((text) => `${text.length.toString(16)}${extension}\r\n${text}\r\n`);
  return {
    content: contents.join(""),
    sent: `${HEAD}Transfer-Encoding: chunked\r\n\r\n${chunks.join("")}0\r\n` +
      `${trailers}\r\n`,
  };
});

const declared = chunkSize.map((size) => {
  const content = "d".repeat(size);
  return {
    content,
    sent: `${HEAD}Content-Length: ${size}\r\n\r\n${content}`,
  };
});

const cuts = fc.array(fc.nat(), { maxLength: 10 });
const REQUEST_COUNT = 150;

// Guards against framing by which bytes of a body are lost, or kept for ever.
test("bodies are read whole, whatever their framing", (t) =>
  fc.assert(
    fc.asyncProperty(
      fc.oneof(chunked, declared),
      cuts,
      async ({ content, sent }, at) => {
        const node = new memory.NodeMemory();
        const hold = node.openRequest()!;
        const outcome = await readPieces(cut(Buffer.from(sent), at), hold);
        if (content.length > BYTES_MAX) {
          t.true(outcome instanceof relay.BodyTooLargeError);
        } else {
          t.true(Buffer.isBuffer(outcome), String(outcome));
          t.is(String(outcome), content);
        }
        hold.close();
        t.is(node.heldBytes, 0);
      },
    ),
    { numRuns: REQUEST_COUNT },
  ));

// Guards against bodies that end early and are taken for whole ones.
test("bodies that are cut off or broken are never taken for whole", (t) =>
  fc.assert(
    fc.asyncProperty(
      fc.oneof(chunked, declared),
      cuts,
      fc.integer({ min: 1, max: 200 }),
      async ({ content, sent }, at, lost) => {
        const bodyStart = sent.indexOf("\r\n\r\n") + 4;
        const end = Math.max(bodyStart, sent.length - lost);
        const bytes = Buffer.from(sent.slice(0, end));
        const node = new memory.NodeMemory();
        const hold = node.openRequest()!;
        const outcome = await readPieces(cut(bytes, at), hold);
        t.false(Buffer.isBuffer(outcome) && String(outcome) !== content);
        t.true(outcome instanceof Error || content.length === 0);
        hold.close();
        t.is(node.heldBytes, 0);
      },
    ),
    { numRuns: REQUEST_COUNT },
  ));

// Guards against a shed body whose memory or place is kept.
test("a body that is shed ends at once and holds nothing", async (t) => {
  const node = new memory.NodeMemory();
  const hold = node.openRequest()!;
  const head = `${HEAD}Content-Length: 50000\r\n\r\n${"x".repeat(40_000)}`;
  const shed = setTimeout(() => node.shedReading(), 50);
  const connection = new FakeConnection();
  const server = createServer();
  const body = new Promise((resolve) => {
    server.on("request", (request) => {
      resolve(relay.readBody(request, BYTES_MAX, TIMEOUT_MS, hold));
    });
  });
  server.emit("connection", connection);
  connection.push(Buffer.from(head));
  await t.throwsAsync(body as Promise<Buffer>, {
    instanceOf: relay.BodyShedError,
  });
  t.is(node.heldBytes, 0);
  clearTimeout(shed);
  connection.destroy();
});
