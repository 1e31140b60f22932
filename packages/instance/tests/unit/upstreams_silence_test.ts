/** Sound upstreams that are silent for long within the caller's deadline. */
import test from "ava";
import { EventEmitter, once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { createRequire } from "node:module";
import type { AddressInfo } from "node:net";
import * as core from "../../../core/mod.ts";
import * as routing from "../../../routing/mod.ts";
import type * as store from "../../../store/mod.ts";
import * as transport from "../../../transport/mod.ts";
import * as upstream from "../../../upstream/mod.ts";
import { HttpUpstreamClients } from "../../upstreams/upstreams_clients.ts";

const DEADLINE_MS = 3_600_000;
const ATTEMPT_ID = core.brandId<core.AttemptId>("at-1");
const TOKEN_EVENT = JSON.stringify({
  id: upstream.completionIdOf(ATTEMPT_ID),
  choices: [{ delta: { content: "whole" }, finish_reason: "stop" }],
});

/** undici's clock for its timeouts, which tests can advance. */
const undiciTimers = createRequire(import.meta.url)(
  "undici/lib/util/timers.js",
) as { tick(delayMs: number): void };

/** Lets the time limits of undici pass that are shorter than the deadline. */
async function passSilence(): Promise<void> {
  for (let n = 0; n < 3; n++) {
    undiciTimers.tick(DEADLINE_MS / 4);
    await core.sleep(20);
  }
}

type Respond = (
  request: IncomingMessage,
  response: ServerResponse,
  silence: () => Promise<unknown>,
) => Promise<void>;

/** How an upstream responds, and where it is silent. */
const silences: Record<string, Respond> = {
  "before its response": async (_, response, silence) => {
    await silence();
    response.writeHead(200, { "x-request-id": ATTEMPT_ID });
    response.end(`data: ${TOKEN_EVENT}\n\ndata: [DONE]\n\n`);
  },
  "inside its response": async (_, response, silence) => {
    response.writeHead(200, { "x-request-id": ATTEMPT_ID });
    response.write(`data: ${TOKEN_EVENT}\n\n`);
    await silence();
    response.end("data: [DONE]\n\n");
  },
};

async function withSilentUpstream(
  respond: Respond,
  call: (clients: HttpUpstreamClients, address: string) => Promise<void>,
): Promise<void> {
  const events = new EventEmitter();
  const server = createServer((request, response) => {
    void respond(request, response, () => {
      events.emit("silent");
      return once(events, "go on");
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const clients = new HttpUpstreamClients(1_000, new transport.SocketMeter());
  const isSilent = once(events, "silent");
  const called = call(clients, `http://127.0.0.1:${port}`);
  await isSilent;
  await passSilence();
  events.emit("go on");
  await called;
  await clients.close();
  server.closeAllConnections();
  server.close();
}

function listedAt(address: string): store.ListedInstance {
  return {
    id: "up-1",
    kind: "engine",
    address,
    failureDomain: "calama",
    state: "live",
  };
}

for (const [place, respond] of Object.entries(silences)) {
  // An engine's silence of 300 s ended a stream whose caller had more time.
  test.serial(`a stream of an engine that is silent ${place} is whole`, async (t) => {
    await withSilentUpstream(respond, async (clients, address) => {
      const view = new routing.EngineView(listedAt(address));
      const stream = await clients.engine(view).stream({
        attemptId: ATTEMPT_ID,
        artifactId: core.brandId("llama@1"),
        bodyText: "{}",
        priority: 1,
        deadlineMs: DEADLINE_MS,
        signal: transport.timeoutSignal(DEADLINE_MS),
      });
      if (stream.isErr()) return t.fail(stream.error.detail);
      let text = "";
      let next = await stream.value.events.next();
      for (; !next.done; next = await stream.value.events.next()) {
        text += next.value.map(({ contentText }) => contentText).join("");
      }
      t.is(next.value, undefined);
      t.is(text, "whole");
    });
  });

  // A service's silence of 300 s ended a call whose caller had more time, and
  // left the outcome of one that may not be repeated unknown.
  test.serial(`a call of a service that is silent ${place} is answered`, async (t) => {
    await withSilentUpstream(respond, async (clients, address) => {
      const response = await clients.service(listedAt(address)).call({
        attemptId: ATTEMPT_ID,
        callerId: core.brandId("kiosk"),
        path: "/",
        contentType: "text/plain",
        bodyText: "call",
        deadlineMs: DEADLINE_MS,
        signal: transport.timeoutSignal(DEADLINE_MS),
      });
      t.true(response.isOk(), response.isErr() ? response.error.detail : "");
    });
  });
}
