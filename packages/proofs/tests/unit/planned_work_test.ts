/**
 * Requests that an entry has read whole, beside signals and while it leaves:
 * each ends with a whole answer or a refusal.
 */
import test from "ava";
import process from "node:process";
import * as testing from "../../../testing/mod.ts";

const rows = [testing.makeRow("llama")];

function originOf(cluster: testing.TestCluster): string {
  return cluster.entries[0]?.ready.callerAddress ?? "";
}

// A hang-up signal, as for a reload of the settings, ended the process and cut
// off every request.
test.serial("SIGHUP cuts off no request and names faults of the settings file", async (t) => {
  const cluster = new testing.TestCluster({ entries: 1, engines: 1, rows });
  try {
    await cluster.start();
    const [entry] = cluster.entries;
    const call = { model: "llama", prompt: "go on", tokens: 400 };
    let hasStarted = false;
    const result = testing.stream(originOf(cluster), call, () => {
      if (!hasStarted) entry?.signal("SIGHUP");
      hasStarted = true;
    });
    const { isComplete, text, error } = await result;
    t.true(isComplete, JSON.stringify(error));
    t.is(text, testing.expectedText(call));
    await cluster.writeSettings("entry-1", {
      drain: { finishMaxMs: "soon" as unknown as number },
    });
    entry?.signal("SIGHUP");
    await testing.waitUntil(
      "the fault is logged",
      () =>
        entry?.stderrLines.some((line) =>
          line.includes("event=settings_fault") && line.includes("finishMaxMs")
        ) ?? false,
    );
    const after = { model: "llama", prompt: "after" };
    const response = await testing.complete(originOf(cluster), after);
    t.is(testing.completionText(response), testing.expectedText(after));
  } finally {
    await cluster.stop();
  }
});

// An exception outside of any request ended the process and cut off every
// request in progress.
test.serial("an uncaught exception cuts off no request", async (t) => {
  const throwOnSignal = "process.on('SIGUSR2',()=>{throw(Error('stray'))})";
  const flags = process.env.CARAWAYWIND_NODE_FLAGS;
  process.env.CARAWAYWIND_NODE_FLAGS =
    `--import data:text/javascript,${throwOnSignal}`;
  const cluster = new testing.TestCluster({ entries: 1, engines: 1, rows });
  try {
    await cluster.start();
    const [entry] = cluster.entries;
    const call = { model: "llama", prompt: "go on", tokens: 400 };
    let hasStarted = false;
    const result = await testing.stream(originOf(cluster), call, () => {
      if (!hasStarted) entry?.signal("SIGUSR2");
      hasStarted = true;
    });
    t.true(result.isComplete, JSON.stringify(result.error));
    t.is(result.text, testing.expectedText(call));
    t.true(entry?.stderrLines.some((line) => line.includes("stray")));
  } finally {
    if (flags === undefined) delete process.env.CARAWAYWIND_NODE_FLAGS;
    else process.env.CARAWAYWIND_NODE_FLAGS = flags;
    await cluster.stop();
  }
});
