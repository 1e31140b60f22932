import test from "ava";
import { once } from "node:events";
import { Worker } from "node:worker_threads";

/** Heap in which the body is read. */
const HEAP_MB = 48;
const BODY_BYTES = 1024 * 1024;

/** Reads a body that arrives in pieces of one byte, and reports its length. */
const READ_PIECES = `
  const { EventEmitter } = require("node:events");
  const { parentPort, workerData } = require("node:worker_threads");
  import(workerData.module).then(async (relay) => {
    const request = new EventEmitter();
    request.socket = Object.assign(new EventEmitter(), { bytesRead: 0 });
    const body = relay.readBody(request, workerData.bytes, 60_000);
    const received = Buffer.alloc(workerData.bytes, "x");
    for (let n = 0; n < received.length; n++) {
      request.emit("data", received.subarray(n, n + 1));
    }
    request.emit("end");
    parentPort.postMessage((await body).equals(received));
  });
`;

// Guards against a caller whose small pieces end a process by its heap limit.
test("a body in chunks of one byte takes little more memory than its bytes", async (t) => {
  const worker = new Worker(READ_PIECES, {
    eval: true,
    resourceLimits: { maxOldGenerationSizeMb: HEAP_MB },
    workerData: {
      module: new URL("../../mod.js", import.meta.url).href,
      bytes: BODY_BYTES,
    },
  });
  const [isSame] = await once(worker, "message");
  t.true(isSame);
  await worker.terminate();
});
