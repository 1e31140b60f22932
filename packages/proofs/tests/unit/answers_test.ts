import test from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

const CALLERS = 300;

const world = new testing.TestCluster({
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
  await world.start();
  origins = world.entries.map((entry) => entry.ready.callerAddress);
  for (const model of models) {
    await testing.complete(origins[0] ?? "", { model, prompt: "warm" });
  }
});

test.after.always(() => world.stop());

function setFault(name: string, match: string, count?: number): void {
  for (const { faults } of world.engines) {
    faults.inject(
      count === undefined ? { name, match } : { name, match, count },
    );
  }
}

function clearFaults(): void {
  for (const { faults } of world.engines) faults.clear();
}

test.serial("hundreds of callers each get their own answer", async (t) => {
  for (const fault of ["doubleChunk", "foreignChunk", "swapChunks"]) {
    setFault(fault, "7");
  }
  const calls = Array.from({ length: CALLERS }, (_, n) => ({
    model: models[n % models.length] ?? "",
    prompt: `caller ${n}`,
    tokens: 10 + n % 40,
  }));
  const wrong: string[] = [];
  await Promise.all(calls.map(async (call, n) => {
    const origin = origins[n % origins.length] ?? "";
    const expected = testing.expectedText(call);
    if (n % 2 === 0) {
      const end = await testing.stream(origin, call);
      if (!end.isComplete || end.text !== expected) {
        wrong.push(`${call.prompt}: ${JSON.stringify(end)}`);
      }
      return;
    }
    const answer = await testing.complete(origin, call);
    if (testing.completionText(answer) !== expected) {
      wrong.push(`${call.prompt}: ${JSON.stringify(answer)}`);
    }
  }));
  clearFaults();
  t.deepEqual(wrong, []);
});

const breaks = [
  { name: "a stream cut midway", faults: ["cutStream"] },
  {
    name: "a stream with a false end mark",
    faults: ["cutStream", "falseDone"],
  },
];

for (const { name, faults } of breaks) {
  test.serial(`${name} is never taken for whole`, async (t) => {
    for (const fault of faults) setFault(fault, "cut me");
    const call = { model: "llama", prompt: "cut me", tokens: 20 };
    const end = await testing.stream(origins[0] ?? "", call);
    clearFaults();
    t.false(end.isComplete);
    t.is(end.error?.code, String(core.STREAM_BROKEN.code));
    t.is(end.error?.ran, "yes");
    t.true(testing.expectedText(call).startsWith(end.text));
  });
}

test.serial("a stream whose engine breaks off goes on elsewhere", async (t) => {
  const busy = { model: "llama", prompt: "busy", tokens: 2_000 };
  const isHeldByBoth = () =>
    world.engines.every(({ memory }) => memory.isReady("llama@1"));
  const crowd = Array.from({ length: 220 }, async () => {
    while (!isHeldByBoth()) await testing.complete(origins[0] ?? "", busy);
  });
  await testing.waitUntil("both engines hold the model", isHeldByBoth);
  await Promise.all(crowd);
  await core.sleep(600);
  for (const stopped of [1, 2, 3]) {
    for (const { faults } of world.engines) faults.clear();
    world.engines[stopped % 2]?.faults.inject({
      name: "cutStream",
      match: "go",
    });
    const ids = new Set<unknown>();
    const call = { model: "llama", prompt: `go on ${stopped}`, tokens: 60 };
    const end = await testing.stream(
      origins[stopped % 2] ?? "",
      call,
      () => undefined,
      (event) => ids.add(event.id),
    );
    t.true(end.isComplete, JSON.stringify(end.error));
    t.is(end.text, testing.expectedText(call));
    t.is(ids.size, 1);
  }
  clearFaults();
});

test.serial("a stream cut before its first token is a problem", async (t) => {
  setFault("cutStream", "early");
  const call = { model: "llama", prompt: "early", tokens: 1 };
  const end = await testing.stream(origins[0] ?? "", call);
  clearFaults();
  t.false(end.isComplete);
  t.is(end.error?.code, core.UPSTREAM_BROKE.code);
  t.not(end.error?.ran, "no");
});

test.serial("an answer for another attempt is dropped", async (t) => {
  const call = { model: "llama", prompt: "foreign" };
  setFault("foreignAnswer", "foreign", 1);
  const answer = await testing.complete(origins[0] ?? "", call);
  clearFaults();
  if (answer.status === 200) {
    t.is(testing.completionText(answer), testing.expectedText(call));
  } else {
    t.is(answer.body.code, core.ANSWER_FOREIGN.code);
    t.not(answer.body.ran, "no");
  }
  setFault("foreignAnswer", "foreign");
  const never = await testing.complete(origins[0] ?? "", call);
  clearFaults();
  t.not(never.status, 200);
  t.not(never.body.ran, "no");
});

test.serial("an answer that comes too late is cancelled upstream", async (t) => {
  for (const { faults } of world.engines) {
    faults.inject({ name: "slowTokens", match: "late", delayMs: 20 });
  }
  const before = cancelled();
  const end = await testing.stream(origins[0] ?? "", {
    model: "llama",
    prompt: "late",
    tokens: 400,
    deadlineMs: 700,
  });
  clearFaults();
  t.false(end.isComplete);
  t.is(end.error?.code, String(core.ANSWER_LATE.code));
  await testing.waitUntil("the engine stops", () => cancelled() > before);
});

function cancelled(): number {
  return world.engines.reduce((sum, { cancelled }) => sum + cancelled, 0);
}

test.serial("a failed run is never called not run", async (t) => {
  for (const { faults } of world.engines) {
    faults.inject({ name: "loseReply", match: "completions" });
  }
  const before = attempts();
  const answer = await testing.complete(origins[0] ?? "", {
    model: "llama",
    prompt: "lost",
  });
  clearFaults();
  t.true(attempts() > before);
  t.not(answer.status, 200);
  t.is(answer.body.ran, "unknown");
});

function attempts(): number {
  return world.engines.reduce((sum, { attempts }) => sum + attempts.size, 0);
}
