import test from "ava";
import { Agent } from "undici";
import * as core from "../../../core/mod.ts";
import * as fakes from "../../../fakes/mod.ts";
import * as upstream from "../../mod.ts";

const ARTIFACT = core.brandId<core.ArtifactId>("llama@1");
const dispatcher = new Agent();
/** Limit of calls that end on their own; generous for a busy machine. */
const CALL_TIMEOUT_MS = 10_000;
/** Limit of calls that end only by their limit. */
const SILENT_CALL_TIMEOUT_MS = 300;

test.after.always(() => dispatcher.destroy());

function makeEngine(origin: string): upstream.HttpEngine {
  return new upstream.HttpEngine({
    dispatcher,
    controlDispatcher: dispatcher,
    origin,
    controlTimeoutMs: CALL_TIMEOUT_MS,
    dropped: { foreign: 0, duplicate: 0 },
  });
}

function makeAttempt(
  change: Partial<upstream.CompletionAttempt> = {},
): upstream.CompletionAttempt {
  return {
    attemptId: core.randomId<core.AttemptId>("at"),
    artifactId: ARTIFACT,
    bodyText: JSON.stringify({
      model: ARTIFACT,
      messages: [{ role: "user", content: "x" }],
      max_tokens: 4,
    }),
    priority: 5,
    deadlineMs: CALL_TIMEOUT_MS,
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    ...change,
  };
}

async function withEngine(
  body: (engine: upstream.Engine, fake: fakes.FakeEngine) => Promise<void>,
): Promise<void> {
  const fake = new fakes.FakeEngine({
    upstreamId: "engine-1",
    slots: 4,
    waitingMax: 4,
    firstTokenMs: 1,
    tokenMs: 0,
    honoursFencing: true,
    loadMs: 1,
    reportLagMs: 0,
    capacityBytes: 100,
    kvReserveBytes: 10,
    roleOverheadBytes: 5,
    tellsLoad: true,
  });
  await fake.start();
  fake.memory.reserve(ARTIFACT, 20);
  fake.memory.markReady(ARTIFACT);
  try {
    await body(makeEngine(fake.origin), fake);
  } finally {
    await fake.stop();
  }
}

interface EngineFault {
  readonly fault: string;
  readonly match?: string;
  readonly expected: upstream.AttemptFault;
  readonly ran: core.Ran;
}

const engineFaults: EngineFault[] = [
  { fault: "outage", expected: "foreign", ran: "unknown" },
  { fault: "reset", expected: "broke", ran: "unknown" },
  { fault: "loseReply", expected: "broke", ran: "unknown" },
  { fault: "blackhole", expected: "late", ran: "unknown" },
  { fault: "foreignAnswer", expected: "foreign", ran: "unknown" },
];

function timeoutFor(expected: upstream.AttemptFault): number {
  return expected === "late" ? SILENT_CALL_TIMEOUT_MS : CALL_TIMEOUT_MS;
}

for (const { fault, expected, ran } of engineFaults) {
  test(`engine: ${fault} is ${expected}, ran ${ran}`, (t) =>
    withEngine(async (engine, fake) => {
      fake.faults.inject({ name: fault, count: 1 });
      const result = await engine.complete(
        makeAttempt({ signal: AbortSignal.timeout(timeoutFor(expected)) }),
      );
      const failure = result._unsafeUnwrapErr();
      t.is(failure.fault, expected, failure.detail);
      t.is(failure.ran, ran);
    }));
}

test("engine: a model that is not resident is refused, not run", (t) =>
  withEngine(async (engine, fake) => {
    const bodyText = JSON.stringify({
      model: "other@1",
      messages: [{ role: "user", content: "x" }],
    });
    const result = await engine.complete(makeAttempt({ bodyText }));
    t.like(result._unsafeUnwrapErr(), { fault: "refused", ran: "no" });
    t.is(fake.attempts.size, 0);
  }));

test("engine: a closed port is unreachable, not run", async (t) => {
  const result = await makeEngine("http://127.0.0.1:1").complete(makeAttempt());
  t.like(result._unsafeUnwrapErr(), { fault: "unreachable", ran: "no" });
});

test("engine: valid reports are decoded, invalid ones are an error", (t) =>
  withEngine(async (engine, fake) => {
    const report = (await engine.report())._unsafeUnwrap();
    t.is(String(report.upstreamId), "engine-1");
    t.deepEqual(report.residents, [{ artifactId: ARTIFACT, weightBytes: 20 }]);
    fake.role = "toaster";
    t.true((await engine.report()).isErr());
  }));

test("engine: the load in the response headers is passed to onLoad", (t) =>
  withEngine(async (engine) => {
    const loads: upstream.ResponseLoad[] = [];
    const onLoad = (load: upstream.ResponseLoad) => void loads.push(load);
    await engine.complete(makeAttempt({ onLoad }));
    t.deepEqual(loads, [{ running: 1, waiting: 0 }]);
  }));

test("engine: a stream yields each event once, in order, and ends complete", (t) =>
  withEngine(async (engine, fake) => {
    for (const name of ["doubleChunk", "foreignChunk", "swapChunks"]) {
      fake.faults.inject({ name });
    }
    const attempt = makeAttempt();
    const bodyText = JSON.stringify({
      ...JSON.parse(attempt.bodyText),
      stream: true,
    });
    const opened = await engine.stream({ ...attempt, bodyText });
    const { events } = opened._unsafeUnwrap();
    let text = "";
    for (;;) {
      const next = await events.next();
      if (next.done) {
        t.is(next.value, undefined);
        break;
      }
      for (const { contentText } of next.value) text += contentText;
    }
    t.is(text, fakes.expectedCompletion(ARTIFACT, "x", 4));
  }));

async function withService(
  body: (service: upstream.PlainService, fake: fakes.FakeService) => Promise<
    void
  >,
): Promise<void> {
  const fake = new fakes.FakeService({
    service: "orders",
    upstreamId: "orders-1",
    callMs: 1,
  });
  await fake.start();
  try {
    await body(new upstream.HttpPlainService(dispatcher, fake.origin), fake);
  } finally {
    await fake.stop();
  }
}

function makeCall(timeoutMs: number): upstream.ServiceAttempt {
  return {
    attemptId: core.randomId<core.AttemptId>("at"),
    callerId: core.brandId<core.CallerId>("kiosk"),
    path: "/dispense",
    contentType: "application/json",
    bodyText: "{}",
    key: core.brandId<core.IdempotencyKey>("k1"),
    deadlineMs: timeoutMs,
    signal: AbortSignal.timeout(timeoutMs),
  };
}

interface ServiceFault {
  readonly fault: string;
  readonly expected: upstream.AttemptFault;
  readonly ran: core.Ran;
  readonly runs: number;
}

const serviceFaults: ServiceFault[] = [
  { fault: "refuse", expected: "refused", ran: "no", runs: 0 },
  { fault: "reset", expected: "broke", ran: "unknown", runs: 0 },
  { fault: "cutAfterRun", expected: "broke", ran: "unknown", runs: 1 },
  { fault: "foreign", expected: "foreign", ran: "unknown", runs: 1 },
  { fault: "blackhole", expected: "late", ran: "unknown", runs: 0 },
];

for (const { fault, expected, ran, runs } of serviceFaults) {
  test(`service: ${fault} is ${expected}, ran ${ran}`, (t) =>
    withService(async (service, fake) => {
      fake.faults.inject({ name: fault, count: 1 });
      const result = await service.call(makeCall(timeoutFor(expected)));
      const failure = result._unsafeUnwrapErr();
      t.like(failure, { fault: expected, ran });
      t.is(fake.runs.get("kiosk/k1") ?? 0, runs);
    }));
}
