/** Streams that break off while engines run several software versions. */
import test, { type ExecutionContext } from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

const TOKENS = 60;
/** Time in which all entries learn of an engine's changed report. */
const REPORTED_MS = 1_000;

const cluster = new testing.TestCluster({
  entries: 2,
  engines: 2,
  engine: { slots: 200, waitingMax: 1_000, tokenMs: 5 },
  rows: [testing.makeRow("llama")],
});
let origins: string[] = [];

test.before(async () => {
  await cluster.start();
  origins = cluster.entries.map((entry) => entry.ready.callerAddress);
  const isLoadedOnAll = () =>
    cluster.engines.every(({ memory }) => memory.isReady("llama@1"));
  const call = { model: "llama", prompt: "busy", tokens: 2_000 };
  await Promise.all(Array.from({ length: 220 }, async () => {
    while (!isLoadedOnAll()) await testing.complete(origins[0] ?? "", call);
  }));
  await testing.waitUntil("all engines have loaded the model", isLoadedOnAll);
});

test.after.always(() => cluster.stop());

/** Gives the engines these versions, and waits until all entries know. */
async function setVersions(
  ...versions: (string | undefined)[]
): Promise<void> {
  for (const [n, engine] of cluster.engines.entries()) {
    engine.softwareVersion = versions[n];
  }
  await core.sleep(REPORTED_MS);
}

/** Sends a stream that whichever engine begins it breaks off halfway. */
async function streamBroken(origin: string, prompt: string) {
  for (const { faults } of cluster.engines) {
    faults.inject({ name: "cutStream", match: prompt });
  }
  const call = { model: "llama", prompt, tokens: TOKENS };
  const begun = testing.stream(origin, call, () => {
    // Only the engine that began it breaks off.
    for (const { faults } of cluster.engines) faults.clear();
  });
  return { call, result: await begun };
}

/** Attempts that ran on any engine so far. */
function countRuns(): number {
  return cluster.engines.reduce((sum, { attempts }) => sum + attempts.size, 0);
}

/** Checks that streams are continued by the other engine, or by none. */
async function checkStreams(
  t: ExecutionContext,
  name: string,
  isContinued: boolean,
): Promise<void> {
  for (const [n, origin] of origins.entries()) {
    const runsBefore = countRuns();
    const { call, result } = await streamBroken(origin, `${name} ${n}`);
    t.is(result.isComplete, isContinued, JSON.stringify(result.error));
    t.is(countRuns() - runsBefore, isContinued ? 2 : 1);
    t.true(testing.expectedText(call).startsWith(result.text));
    if (isContinued) t.is(result.text, testing.expectedText(call));
    else t.is(result.error?.code, String(core.STREAM_BROKEN.code));
  }
}

test.serial("a stream is continued by another engine of its software version", async (t) => {
  await setVersions("v1", "v1");
  await checkStreams(t, "same", true);
});

// Guards against a stream with events of two software versions.
test.serial("a stream is not continued by an engine of another software version", async (t) => {
  await setVersions("v1", "v2");
  await checkStreams(t, "other", false);
});

// Guards against an absent version that is taken for any.
test.serial("a stream is not continued between engines with and without a version", async (t) => {
  await setVersions("v1", undefined);
  await checkStreams(t, "one", false);
  await setVersions(undefined, "v1");
  await checkStreams(t, "two", false);
});
