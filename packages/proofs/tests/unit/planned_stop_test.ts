/**
 * Requests that an entry has read whole when it is told to stop: each ends with
 * a whole answer or a refusal.
 */
import test from "ava";
import { request } from "undici";
import * as testing from "../../../testing/mod.ts";

function originOf(cluster: testing.TestCluster): string {
  return cluster.entries[0]?.ready.callerAddress ?? "";
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
