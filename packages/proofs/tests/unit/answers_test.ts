import test from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

const CALLERS = 300;

const cluster = new testing.TestCluster({
  entries: 2,
  engines: 2,
  engine: { slots: 200, waitingMax: 1_000 },
  rows: [
    testing.makeRow("llama"),
    testing.makeRow("mistral"),
    testing.makeAdapter("llama-fit", "llama"),
  ],
});
const models = ["llama", "mistral", "llama-fit"];
let origins: string[] = [];

test.before(async () => {
  await cluster.start();
  origins = cluster.entries.map((entry) => entry.ready.callerAddress);
  for (const model of models) {
    await testing.complete(origins[0] ?? "", { model, prompt: "warm" });
  }
});

test.after.always(() => cluster.stop());

function injectFault(name: string, match: string, count?: number): void {
  for (const { faults } of cluster.engines) {
    faults.inject(
      count === undefined ? { name, match } : { name, match, count },
    );
  }
}

function clearFaults(): void {
  for (const { faults } of cluster.engines) faults.clear();
}

test.serial("hundreds of callers each get their own response", async (t) => {
  for (const fault of ["doubleChunk", "foreignChunk", "swapChunks"]) {
    injectFault(fault, "7");
  }
  const calls = Array.from({ length: CALLERS }, (_, n) => ({
    model: models[n % models.length] ?? "",
    prompt: `caller ${n}`,
    tokens: 10 + n % 40,
  }));
  const mismatches: string[] = [];
  await Promise.all(calls.map(async (call, n) => {
    const origin = origins[n % origins.length] ?? "";
    const expected = testing.expectedText(call);
    if (n % 2 === 0) {
      const result = await testing.stream(origin, call);
      if (!result.isComplete || result.text !== expected) {
        mismatches.push(`${call.prompt}: ${JSON.stringify(result)}`);
      }
      return;
    }
    const response = await testing.complete(origin, call);
    if (testing.completionText(response) !== expected) {
      mismatches.push(`${call.prompt}: ${JSON.stringify(response)}`);
    }
  }));
  clearFaults();
  t.deepEqual(mismatches, []);
});

const brokenStreams = [
  { name: "a stream cut midway", faults: ["cutStream"] },
  {
    name: "a stream with a false end marker",
    faults: ["cutStream", "falseDone"],
  },
];

for (const { name, faults } of brokenStreams) {
  test.serial(`${name} is never taken for complete`, async (t) => {
    for (const fault of faults) injectFault(fault, "cut me");
    const call = { model: "llama", prompt: "cut me", tokens: 20 };
    const result = await testing.stream(origins[0] ?? "", call);
    clearFaults();
    t.false(result.isComplete);
    t.is(result.error?.code, String(core.STREAM_BROKEN.code));
    t.is(result.error?.ran, "yes");
    t.true(testing.expectedText(call).startsWith(result.text));
  });
}

test.serial("a stream cut by its engine resumes on another engine", async (t) => {
  const busyCall = { model: "llama", prompt: "busy", tokens: 2_000 };
  const isLoadedOnBoth = () =>
    cluster.engines.every(({ memory }) => memory.isReady("llama@1"));
  const backgroundLoad = Array.from({ length: 220 }, async () => {
    while (!isLoadedOnBoth()) {
      await testing.complete(origins[0] ?? "", busyCall);
    }
  });
  await testing.waitUntil("both engines have loaded the model", isLoadedOnBoth);
  await Promise.all(backgroundLoad);
  await core.sleep(600);
  for (const round of [1, 2, 3]) {
    for (const { faults } of cluster.engines) faults.clear();
    cluster.engines[round % 2]?.faults.inject({
      name: "cutStream",
      match: "go",
    });
    const ids = new Set<unknown>();
    const call = { model: "llama", prompt: `go on ${round}`, tokens: 60 };
    const result = await testing.stream(
      origins[round % 2] ?? "",
      call,
      () => undefined,
      (event) => ids.add(event.id),
    );
    t.true(result.isComplete, JSON.stringify(result.error));
    t.is(result.text, testing.expectedText(call));
    t.is(ids.size, 1);
  }
  clearFaults();
});

test.serial("a stream cut before its first token gets a problem response", async (t) => {
  injectFault("cutStream", "early");
  const call = { model: "llama", prompt: "early", tokens: 1 };
  const result = await testing.stream(origins[0] ?? "", call);
  clearFaults();
  t.false(result.isComplete);
  t.is(result.error?.code, core.UPSTREAM_BROKE.code);
  t.not(result.error?.ran, "no");
});

test.serial("a response to another attempt is dropped", async (t) => {
  const call = { model: "llama", prompt: "foreign" };
  injectFault("foreignAnswer", "foreign", 1);
  const response = await testing.complete(origins[0] ?? "", call);
  clearFaults();
  if (response.status === 200) {
    t.is(testing.completionText(response), testing.expectedText(call));
  } else {
    t.is(response.body.code, core.ANSWER_FOREIGN.code);
    t.not(response.body.ran, "no");
  }
  injectFault("foreignAnswer", "foreign");
  const foreignOnly = await testing.complete(origins[0] ?? "", call);
  clearFaults();
  t.not(foreignOnly.status, 200);
  t.not(foreignOnly.body.ran, "no");
});

test.serial("a response past its deadline is cancelled upstream", async (t) => {
  for (const { faults } of cluster.engines) {
    faults.inject({ name: "slowTokens", match: "late", delayMs: 20 });
  }
  const before = cancelledCount();
  const result = await testing.stream(origins[0] ?? "", {
    model: "llama",
    prompt: "late",
    tokens: 400,
    deadlineMs: 700,
  });
  clearFaults();
  t.false(result.isComplete);
  t.is(result.error?.code, String(core.ANSWER_LATE.code));
  await testing.waitUntil(
    "the engine cancels the stream",
    () => cancelledCount() > before,
  );
});

function cancelledCount(): number {
  return cluster.engines.reduce((sum, { cancelled }) => sum + cancelled, 0);
}

test.serial("a run whose reply is lost is never reported as not run", async (t) => {
  for (const { faults } of cluster.engines) {
    faults.inject({ name: "loseReply", match: "completions" });
  }
  const before = attemptCount();
  const response = await testing.complete(origins[0] ?? "", {
    model: "llama",
    prompt: "lost",
  });
  clearFaults();
  t.true(attemptCount() > before);
  t.not(response.status, 200);
  t.is(response.body.ran, "unknown");
});

function attemptCount(): number {
  return cluster.engines.reduce((sum, { attempts }) => sum + attempts.size, 0);
}
