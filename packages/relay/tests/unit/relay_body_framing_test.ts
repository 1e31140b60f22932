import test from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { BodyFramingError, readBody } from "../../relay_body.ts";

const BODY_BYTES_MAX = 4_194_304;
const HEAD = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Sends chunks; resolves to the length of the body, or its error. */
async function sendChunks(
  chunk: string,
  count: number,
): Promise<number | Error> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  try {
    socket.write(`${HEAD}${chunk.repeat(count)}0\r\n\r\n`);
    const [request] = await once(server, "request");
    return await readBody(request, BODY_BYTES_MAX, 60_000)
      .then(({ length }) => length, (error) => error);
  } finally {
    socket.destroy();
    server.close();
  }
}

// Guards against extensions that take the link and the kernel's memory.
test("a body whose framing is much larger than its bytes is given up", async (t) => {
  const result = await sendChunks(`1;${"e".repeat(1_000)}\r\nx\r\n`, 1_000);
  t.true(result instanceof BodyFramingError);
});

// Guards against a limit that rejects what clients may send.
test("a body of the largest size in chunks of one byte is read", async (t) => {
  t.is(await sendChunks("0001\r\nx\r\n", BODY_BYTES_MAX), BODY_BYTES_MAX);
});
