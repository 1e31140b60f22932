import test from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { Agent } from "undici";
import * as core from "../../../core/mod.ts";
import * as upstream from "../../mod.ts";

const DEADLINE_MS = 10_000;
const ATTEMPT_ID_HEADER = "x-request-id";

const endings: [name: string, chunk: string, everyMs: number][] = [
  ["without end", "x".repeat(9_000), 1],
  ["of single bytes", "x", 1],
  ["of one byte a second", "x", 1_000],
];
const drops: [name: string, status: number, isOwn: boolean][] = [
  ["a refusal", 503, true],
  ["a failure", 500, true],
  ["an answer to another attempt", 200, false],
];

// Guards against a dropped answer that goes on until the deadline, with an engine
// at work, a connection taken and bytes kept.
for (const [drop, status, isOwn] of drops) {
  for (const [ending, chunk, everyMs] of endings) {
    test(`${drop} with a body ${ending} ends soon`, async (t) => {
      const open = new Set<Socket>();
      const server = createServer((request, response) => {
        const id = String(request.headers[ATTEMPT_ID_HEADER]);
        response.writeHead(status, {
          [ATTEMPT_ID_HEADER]: isOwn ? id : "other",
        });
        const timer = setInterval(() => response.write(chunk), everyMs);
        response.write(chunk);
        response.on("close", () => clearInterval(timer));
      });
      server.on("connection", (socket) => {
        open.add(socket);
        socket.on("close", () => open.delete(socket));
      });
      server.listen(0, "127.0.0.1");
      await once(server, "listening");
      const { port } = server.address() as AddressInfo;
      const dispatcher = new Agent();
      const engine = new upstream.HttpEngine({
        dispatcher,
        controlDispatcher: dispatcher,
        origin: `http://127.0.0.1:${port}`,
        controlTimeoutMs: DEADLINE_MS,
        dropped: { foreign: 0, duplicate: 0 },
      });
      const startedAtMs = core.monotonicMs();
      const result = await engine.complete({
        attemptId: core.randomId<core.AttemptId>("at"),
        artifactId: core.brandId<core.ArtifactId>("llama@1"),
        bodyText: "{}",
        priority: 5,
        deadlineMs: DEADLINE_MS,
        signal: AbortSignal.timeout(DEADLINE_MS),
      });
      // The head alone states whether the attempt has run.
      const { ran } = result._unsafeUnwrapErr();
      t.is(ran, status === 503 ? "no" : "unknown");
      t.true(core.monotonicMs() - startedAtMs < 2_000);
      for (let n = 0; n < 100 && open.size > 0; n++) await core.sleep(10);
      t.is(open.size, 0, "the connection is still open");
      await dispatcher.destroy();
      server.close();
    });
  }
}
