import test from "ava";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import * as undici from "undici";
import * as transport from "../../mod.ts";

const CONNECTIONS = 60;
const PIECE = Buffer.alloc(256 * 1024, "x");
const HEADS = {
  "without framing": "HTTP/1.1 200 OK\r\n\r\n",
  "with a length": `HTTP/1.1 200 OK\r\ncontent-length: ${2 ** 40}\r\n\r\n`,
};
/** Read of all connections in a turn: twice the limit, and what is never held back. */
const TURN_BYTES_MAX = 2 * 256 * 1024 + CONNECTIONS * 16 * 1024;
const BODY_BYTES_MAX = 1024 * 1024 * 1024;

/** Serves each connection as given; answers a request with the dispatcher. */
async function withServer(
  respond: (socket: Socket) => void,
  run: (agent: undici.Dispatcher, origin: string) => Promise<void>,
): Promise<void> {
  const open = new Set<Socket>();
  const server = createServer((socket) => {
    open.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => open.delete(socket));
    socket.once("data", () => respond(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const agent = new undici.Agent({ connect: transport.connector(5_000) });
  try {
    await run(agent, `http://127.0.0.1:${port}`);
  } finally {
    server.close();
    for (const socket of open) socket.destroy();
    await agent.destroy();
  }
}

function pour(socket: Socket): void {
  const write = () => {
    if (socket.destroyed) return;
    if (socket.write(PIECE)) setImmediate(write);
    else socket.once("drain", write);
  };
  write();
}

/** Requests a body; resolves to its end, which is "end" or the error. */
function read(
  agent: undici.Dispatcher,
  origin: string,
  onBytes: (bytes: number) => void,
): Promise<string> {
  return new Promise((resolve) => {
    const handler: undici.Dispatcher.DispatchHandler = {
      onRequestStart: () => {},
      onResponseStart: () => {},
      onResponseData: (_controller, data) => onBytes(data.length),
      onResponseEnd: () => resolve("end"),
      onResponseError: (_controller, error) => resolve(error.name),
    };
    agent.dispatch(
      { origin, path: "/", method: "GET" },
      transport.guardUnframedBody(handler, "GET", BODY_BYTES_MAX),
    );
  });
}

for (const [name, head] of Object.entries(HEADS)) {
  // Guards against turns of the event loop that grow with the number of endless
  // responses: one connection of a caller is accepted in each.
  test.serial(`endless bodies ${name} are read in short turns, all alike`, async (t) => {
    await withServer((socket) => {
      socket.write(head);
      pour(socket);
    }, async (agent, origin) => {
      const bytes = Array<number>(CONNECTIONS).fill(0);
      let turnBytes = 0;
      let turnBytesMax = 0;
      for (const n of bytes.keys()) {
        read(agent, origin, (length) => {
          bytes[n]! += length;
          turnBytes += length;
        });
      }
      while (Math.min(...bytes) < PIECE.length) {
        await new Promise((resolve) => setImmediate(resolve));
        turnBytesMax = Math.max(turnBytesMax, turnBytes);
        turnBytes = 0;
      }
      const [least, most] = [Math.min(...bytes), Math.max(...bytes)];
      t.log(`${turnBytesMax} bytes in a turn, ${least} to ${most} in all`);
      t.true(turnBytesMax <= TURN_BYTES_MAX, `${turnBytesMax} in a turn`);
      t.true(most <= 8 * least, `${least} to ${most}`);
    });
  });
}

// Guards against a body that loses its end, or whose close passes for a reset,
// because it was held back until a later turn.
test.serial("many long bodies at once that a close ends are whole", async (t) => {
  const tail = 10_000;
  await withServer((socket) => {
    socket.write(HEADS["without framing"]);
    for (let n = 0; n < 8; n++) socket.write(PIECE);
    socket.end(PIECE.subarray(0, tail));
  }, async (agent, origin) => {
    const bytes = Array<number>(CONNECTIONS).fill(0);
    const ends = await Promise.all(
      Array.from(
        bytes.keys(),
        (n) =>
          read(agent, origin, (length) => {
            bytes[n]! += length;
          }),
      ),
    );
    t.deepEqual(ends, Array<string>(CONNECTIONS).fill("end"));
    t.deepEqual(
      bytes,
      Array<number>(CONNECTIONS).fill(8 * PIECE.length + tail),
    );
  });
});

// Guards against a reset that passes for an orderly close for the same reason.
test.serial("none of many long bodies at once that a reset cuts off looks whole", async (t) => {
  await withServer((socket) => {
    socket.write(HEADS["without framing"]);
    for (let n = 0; n < 8; n++) socket.write(PIECE);
    socket.write("tail", () => socket.resetAndDestroy());
  }, async (agent, origin) => {
    const ends = await Promise.all(
      Array.from({ length: CONNECTIONS }, () => read(agent, origin, () => {})),
    );
    t.false(ends.includes("end"), ends.join(" "));
  });
});
