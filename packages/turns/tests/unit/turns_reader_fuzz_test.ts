import test from "ava";
import * as assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import fc from "fast-check";
import * as turns from "../../mod.ts";

/** Time of a turn that is over after one piece, and none for light ones. */
const TURN_MS = 0.001;
const RUNS = 300;

/** A connection without a network; each write of its peer is one read. */
class WireSocket extends Duplex {
  /** What was written to it. */
  written = "";
  #reads: Buffer[] = [];
  bytesRead = 0;

  override _read(): void {
    // As from a socket, reads arrive in later turns.
    setImmediate(() => this.#deliver());
  }

  override _write(chunk: Buffer, _: BufferEncoding, done: () => void): void {
    this.written += chunk.toString("latin1");
    done();
  }

  setTimeout(): this {
    return this;
  }

  destroySoon(): void {
    this.end(() => this.destroy());
  }

  feed(reads: readonly Buffer[]): void {
    this.#reads.push(...reads);
    this.#deliver();
  }

  #deliver(): void {
    for (;;) {
      const chunk = this.#reads.shift();
      if (!chunk || this.destroyed) return;
      this.bytesRead += chunk.length;
      if (!this.push(chunk)) return;
    }
  }
}

/** A request with a chunked body. */
interface SentRequest {
  readonly body: string;
  readonly chunkBytes: readonly number[];
  readonly extension: string;
}

const arbitraryRequest: fc.Arbitrary<SentRequest> = fc.record({
  body: fc.string({
    maxLength: 3_000,
    unit: fc.constantFrom("a", "1", "\r", "\n"),
  }),
  chunkBytes: fc.array(
    fc.oneof(fc.constant(1), fc.integer({ min: 1, max: 1_000 })),
    { minLength: 1, maxLength: 20 },
  ),
  extension: fc.constantFrom("", ";a", ";a=b", `;${"e".repeat(200)}`),
});

function encode({ body, chunkBytes, extension }: SentRequest): string {
  let wire = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (let at = 0, index = 0; at < body.length; index++) {
    const data = body.slice(at, at + chunkBytes[index % chunkBytes.length]!);
    wire += `${data.length.toString(16)}${extension}\r\n${data}\r\n`;
    at += data.length;
  }
  return `${wire}0\r\n\r\n`;
}

function split(wire: string, sizes: readonly number[]): Buffer[] {
  const reads: Buffer[] = [];
  for (let at = 0; at < wire.length;) {
    const bytes = sizes[reads.length % sizes.length]!;
    reads.push(Buffer.from(wire.slice(at, at + bytes), "latin1"));
    at += bytes;
  }
  return reads;
}

async function readBody(request: IncomingMessage): Promise<string> {
  let body = "";
  for await (const chunk of request) {
    body += (chunk as Buffer).toString("latin1");
  }
  return body;
}

/** Serves what is read from one connection; resolves to the bodies. */
async function serve(
  reads: readonly Buffer[],
  requests: number,
): Promise<string[]> {
  const bodies: string[] = [];
  let begun = 0;
  let ended = 0;
  const server = createServer();
  const socket = new WireSocket();
  const finished = new Promise<void>((resolve) => {
    server.on("request", (request, response) => {
      const index = begun++;
      readBody(request).then((body) => {
        bodies[index] = body;
        response.end("ok", () => {
          if (++ended === requests) resolve();
        });
      }, () => {});
    });
    socket.once("close", resolve);
  });
  server.emit("connection", socket);
  turns.shareReads(socket as unknown as Socket, {
    turns: new turns.ReadTurns(TURN_MS, 0),
  });
  socket.feed(reads);
  await finished;
  socket.destroy();
  return bodies;
}

// Guards against bytes that are lost, repeated or moved between pieces.
test("bodies arrive whole, however their chunks and reads are cut", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(arbitraryRequest, { minLength: 1, maxLength: 4 }),
      fc.array(fc.integer({ min: 1, max: 9_000 }), {
        minLength: 1,
        maxLength: 9,
      }),
      async (requests, sizes) => {
        const reads = split(requests.map(encode).join(""), sizes);
        const bodies = await serve(reads, requests.length);
        assert.deepEqual(bodies, requests.map(({ body }) => body));
      },
    ),
    { numRuns: RUNS },
  );
  t.pass();
});

// Guards against bytes that end the process, or a connection without an end.
test("damaged framing ends in an answer or a closed connection", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      arbitraryRequest,
      fc.array(fc.integer({ min: 1, max: 9_000 }), {
        minLength: 1,
        maxLength: 9,
      }),
      fc.nat(),
      fc.integer({ min: 0, max: 255 }),
      async (request, sizes, at, byte) => {
        const wire = Buffer.from(encode(request), "latin1");
        wire[at % wire.length] = byte;
        const reads = split(wire.toString("latin1"), sizes);
        const server = createServer((incoming, response) => {
          readBody(incoming).then(() => response.end(), () => {});
        });
        const socket = new WireSocket();
        socket.on("error", () => {});
        server.emit("connection", socket);
        turns.shareReads(socket as unknown as Socket, {
          turns: new turns.ReadTurns(TURN_MS, 0),
        });
        socket.feed(reads);
        // A body whose end was damaged waits for more until its client leaves.
        setImmediate(() => socket.push(null));
        await new Promise((resolve) => socket.once("close", resolve));
        assert.match(socket.written, /^(HTTP\/1\.1 (200|400|413|431) |$)/);
      },
    ),
    { numRuns: RUNS },
  );
  t.pass();
});
