/** Requests at an entry whose table service does not answer. */
import test from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

const DEADLINE_MS = 1_000;
/** Far above the deadline, so that the two can be told apart. */
const STORE_TIMEOUT_MS = 8_000;
/** What a busy machine may add to a deadline. */
const MARGIN_MS = 3_000;

function originOf(cluster: testing.TestCluster): string {
  return cluster.entries[0]?.ready.callerAddress ?? "";
}

// The wait for a share of a row's limit was bounded by the store's time limit
// alone, so that callers heard nothing until long after their deadline.
test.serial("a request under a limit is refused by its deadline while the store is silent", async (t) => {
  const cluster = new testing.TestCluster({
    entries: 1,
    engines: 1,
    rows: [testing.makeRow("llama")],
    settings: { platform: { timeoutMs: STORE_TIMEOUT_MS } },
  });
  try {
    await cluster.start();
    const origin = originOf(cluster);
    await testing.complete(origin, { model: "llama", prompt: "warm" });
    await cluster.applyEdit([
      testing.makeRow("llama", { limits: { inProgressMax: 4 } }),
    ]);
    cluster.tableService.faults.inject({ name: "blackhole" });
    const startedAtMs = core.monotonicMs();
    const response = await testing.complete(origin, {
      model: "llama",
      prompt: "limited",
      deadlineMs: DEADLINE_MS,
    });
    const tookMs = core.monotonicMs() - startedAtMs;
    t.is(response.body.ran, "no");
    t.true(tookMs < DEADLINE_MS + MARGIN_MS, `refused after ${tookMs} ms`);
  } finally {
    await cluster.stop();
  }
});

// The write of a claim was bounded by the store's time limit alone, so that
// callers heard nothing until long after their deadline.
test.serial("a call is refused by its deadline while the store is silent", async (t) => {
  const cluster = new testing.TestCluster({
    entries: 1,
    engines: 0,
    services: { orders: 1 },
    settings: { platform: { timeoutMs: STORE_TIMEOUT_MS } },
  });
  try {
    await cluster.start();
    cluster.tableService.faults.inject({ name: "blackhole" });
    const startedAtMs = core.monotonicMs();
    const response = await testing.callService(originOf(cluster), {
      service: "orders",
      path: "dispense",
      body: {},
      key: "silent-store",
      deadlineMs: DEADLINE_MS,
    });
    const tookMs = core.monotonicMs() - startedAtMs;
    t.is(response.body.ran, "no");
    t.true(tookMs < DEADLINE_MS + MARGIN_MS, `refused after ${tookMs} ms`);
    cluster.tableService.faults.clear();
    await core.sleep(1_000);
    t.is(cluster.runCount("orders", "kiosk/silent-store"), 0);
  } finally {
    await cluster.stop();
  }
});
