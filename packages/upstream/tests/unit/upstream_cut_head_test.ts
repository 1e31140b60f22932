/** Engines and services that stop in the middle of an answer's head. */
import test from "ava";
import { Agent } from "undici";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as transport from "../../../transport/mod.ts";
import * as upstream from "../../mod.ts";

const ATTEMPT = core.brandId<core.AttemptId>("at-1");
const TIMEOUT_MS = 10_000;
const COMPLETION_ID = upstream.completionIdOf(ATTEMPT);

const answerWith = (body: string, status = "200 OK") =>
  `HTTP/1.1 ${status}\r\n${upstream.ATTEMPT_ID_HEADER}: ${ATTEMPT}\r\n` +
  `connection: close\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

/** Heads of answers: a whole one, and two that state that nothing ran. */
const ANSWERS = [
  answerWith(JSON.stringify({ id: COMPLETION_ID })),
  answerWith("", "503 Full"),
  answerWith("", "503 Full").replace(
    "connection:",
    `${upstream.NOT_RUN_HEADER}: 1\r\nconnection:`,
  ),
];

/** Calls of a client; each reports what it believes of the answer. */
type Ask = (
  origin: string,
  dispatcher: Agent,
) => Promise<{ readonly ran: core.Ran } | "answered">;

const completion = {
  attemptId: ATTEMPT,
  artifactId: core.brandId<core.ArtifactId>("llama@1"),
  bodyText: "{}",
  priority: 5,
  deadlineMs: TIMEOUT_MS,
};

const engineAt = (origin: string, dispatcher: Agent) =>
  new upstream.HttpEngine({
    dispatcher,
    controlDispatcher: dispatcher,
    origin,
    controlTimeoutMs: TIMEOUT_MS,
    dropped: { foreign: 0, duplicate: 0 },
  });

const ASKS: Readonly<Record<string, Ask>> = {
  "a completion": async (origin, dispatcher) => {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const result = await engineAt(origin, dispatcher)
      .complete({ ...completion, signal });
    return result.isOk() ? "answered" : result.error;
  },
  "a stream": async (origin, dispatcher) => {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const result = await engineAt(origin, dispatcher)
      .stream({ ...completion, signal });
    return result.isOk() ? "answered" : result.error;
  },
  "a report": async (origin, dispatcher) => {
    const result = await engineAt(origin, dispatcher).report();
    if (result.isOk()) return "answered";
    return { ran: result.error.sent === "no" ? "no" : "unknown" };
  },
  "a call of a service": async (origin, dispatcher) => {
    const result = await new upstream.HttpPlainService(dispatcher, origin)
      .call({
        attemptId: ATTEMPT,
        callerId: core.brandId<core.CallerId>("kiosk"),
        path: "/dispense",
        contentType: "application/json",
        bodyText: "{}",
        deadlineMs: TIMEOUT_MS,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
    return result.isOk() ? "answered" : result.error;
  },
};

// Guards against an answer taken for whole, or for "not run", where the upstream
// stopped in the middle of its head.
for (const [name, ask] of Object.entries(ASKS)) {
  test(`a head that is cut off is no answer to ${name}`, async (t) => {
    const server = await testing.CutServer.start();
    const connect = transport.connector(TIMEOUT_MS);
    const dispatcher = new Agent({ connect });
    t.teardown(async () => {
      await dispatcher.destroy();
      server.stop();
    });
    for (const answer of ANSWERS) {
      for (const { bytes, cut } of testing.cutHeads(answer)) {
        Object.assign(server, { answer: bytes, cut });
        const believed = await ask(server.origin, dispatcher);
        t.like(believed, { ran: "unknown" }, JSON.stringify({ bytes, cut }));
      }
    }
  });
}
