/**
 * Requests that an entry has read whole when it is told to stop: each ends with
 * a whole answer or a refusal.
 */
import test from "ava";
import { request } from "undici";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

function originOf(cluster: testing.TestCluster, index = 0): string {
  return cluster.entries[index]?.ready.callerAddress ?? "";
}

// An edit that waited for a slow store when a planned stop began was cut off
// 6 s after the last completion, without saying whether it was accepted.
test.serial("a planned stop waits for the answer to an edit", async (t) => {
  const cluster = new testing.TestCluster({
    entries: 1,
    engines: 0,
    settings: { platform: { timeoutMs: 20_000 } },
  });
  try {
    await cluster.start();
    const [entry] = cluster.entries;
    cluster.tableService.faults.inject({
      name: "slow",
      match: "transact",
      delayMs: 9_000,
    });
    const edit = request(`${originOf(cluster)}/v1/table/edits`, {
      method: "POST",
      headers: { authorization: `Bearer ${testing.OPERATOR_TOKENS.ana}` },
      body: JSON.stringify({
        editId: "ed-stop",
        changes: [{ name: "llama", row: testing.makeRow("llama") }],
      }),
    }).then(
      async ({ statusCode, body }) => `${statusCode} ${await body.text()}`,
      (thrown) => String(thrown),
    );
    await testing.waitUntil(
      "the store has the edit",
      () => (cluster.tableService.faults.consumedCounts.get("slow") ?? 0) > 0,
    );
    entry?.signal("SIGTERM");
    t.is(await edit, '200 {"revision":1}');
    t.is(await entry?.exited(), 0);
  } finally {
    await cluster.stop();
  }
});

// A call that outlasted its caller's deadline was cut off by a planned stop, so
// that the caller, told to come back for the outcome, never learned of it.
test.serial("a planned stop waits for the outcome of a call that may not be repeated", async (t) => {
  const cluster = new testing.TestCluster({
    entries: 2,
    engines: 0,
    services: { orders: 1 },
    settings: { drain: { entriesMaxAgeMs: 100 } },
  });
  try {
    await cluster.start();
    const [entry] = cluster.entries;
    cluster.services.get("orders")?.[0]?.faults.inject({
      name: "slowRun",
      delayMs: 5_000,
      count: 1,
    });
    const call = {
      service: "orders",
      path: "dispense",
      body: {},
      key: "outlived",
    };
    const first = await testing.callService(originOf(cluster), {
      ...call,
      deadlineMs: 300,
    });
    t.is(first.body.code, core.CLAIM_IN_FLIGHT.code);
    entry?.signal("SIGTERM");
    t.is(await entry?.exited(), 0);
    const second = await testing.callService(originOf(cluster, 1), call);
    t.is(second.status, 200, JSON.stringify(second.body));
    t.is(cluster.runCount("orders", "kiosk/outlived"), 1);
  } finally {
    await cluster.stop();
  }
});

// When the time of a planned stop was over, requests in progress were cut off
// without an answer.
test.serial("requests that outlast a planned stop end with a failure", async (t) => {
  const cluster = new testing.TestCluster({
    entries: 1,
    engines: 1,
    services: { orders: 1, stock: 1 },
    rows: [testing.makeRow("llama")],
    settings: { drain: { entriesMaxAgeMs: 100, finishMaxMs: 500 } },
  });
  try {
    await cluster.start();
    const [entry] = cluster.entries;
    const origin = originOf(cluster);
    await testing.complete(origin, { model: "llama", prompt: "warm" });
    cluster.engines[0]?.faults.inject({ name: "slowTokens", delayMs: 500 });
    for (const [service] of cluster.services.values()) {
      service?.faults.inject({ name: "slowRun", delayMs: 15_000 });
    }
    const describe = (
      { status, body }: { status: number; body?: Record<string, unknown> },
    ) => `${status} ${body?.code} ${body?.ran}`;
    const endOf = (result: Promise<testing.CallerResponse>) =>
      result.then(describe, (thrown) => `cut: ${thrown}`);
    const call = {
      model: "llama",
      prompt: "outlasts",
      tokens: 8_000,
      deadlineMs: 60_000,
    };
    let hasStarted = false;
    const stream = testing.stream(origin, call, () => hasStarted = true);
    const ends = [
      endOf(testing.complete(origin, call)),
      endOf(testing.callService(origin, {
        service: "orders",
        path: "dispense",
        body: {},
        key: "outlasts",
      })),
      endOf(testing.callService(origin, {
        service: "stock",
        path: "count",
        body: {},
      })),
    ];
    await testing.waitUntil("the stream has started", () => hasStarted);
    entry?.signal("SIGTERM");
    const stopped = core.INSTANCE_STOPPED;
    t.deepEqual(await Promise.all(ends), [
      `${stopped.httpStatus} ${stopped.code} unknown`,
      `${core.CLAIM_IN_FLIGHT.httpStatus} ${core.CLAIM_IN_FLIGHT.code} unknown`,
      `${stopped.httpStatus} ${stopped.code} unknown`,
    ]);
    const { error } = await stream;
    t.is(error?.code, String(stopped.code), JSON.stringify(error));
    t.is(await entry?.exited(), 0);
  } finally {
    await cluster.stop();
  }
});

// If its peers could not be told, here because of a report of an engine that no
// digest can carry, an entry that was told to stop ended at once.
test.serial("a planned stop cuts off no request if peers cannot be told", async (t) => {
  const cluster = new testing.TestCluster({
    entries: 2,
    engines: 1,
    rows: [testing.makeRow("llama")],
  });
  try {
    await cluster.start();
    const [entry] = cluster.entries;
    const [engine] = cluster.engines;
    if (!entry || !engine) throw new Error("No entry or no engine");
    const origin = originOf(cluster);
    await testing.complete(origin, { model: "llama", prompt: "warm" });
    const report = engine.report.bind(engine);
    engine.report = () => ({ ...report(), capacityBytes: 100.5 });
    await testing.waitUntil(
      "no digest can be built",
      () => entry.stderrLines.some((line) => line.includes("exchange-digests")),
    );
    const call = { model: "llama", prompt: "whole", tokens: 1_500 };
    let hasStarted = false;
    const result = await testing.stream(origin, call, () => {
      if (!hasStarted) entry.signal("SIGTERM");
      hasStarted = true;
    });
    t.true(result.isComplete, JSON.stringify(result.error));
    t.is(result.text, testing.expectedText(call));
    t.is(await entry.exited(), 0);
  } finally {
    await cluster.stop();
  }
});
