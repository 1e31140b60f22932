/** Bursts that an engine can serve in time, although not all at once. */
import test from "ava";
import * as testing from "../../../testing/mod.ts";

const BURST_SIZE = 300;

for (const entries of [1, 2]) {
  test.serial(`a burst of ${BURST_SIZE} on ${entries} entries is served where the deadline allows`, async (t) => {
    const cluster = new testing.TestCluster({
      entries,
      engines: 1,
      rows: [testing.makeRow("llama")],
    });
    try {
      await cluster.start();
      const origins = cluster.entries.map(({ ready }) => ready.callerAddress);
      await testing.complete(origins[0] ?? "", {
        model: "llama",
        prompt: "warm",
      });
      const startedAtMs = Date.now();
      const responses = await Promise.all(
        Array.from(
          { length: BURST_SIZE },
          (_, n) =>
            testing.complete(origins[n % entries] ?? "", {
              model: "llama",
              prompt: `burst ${n}`,
              tokens: 20,
              deadlineMs: 25_000,
            }),
        ),
      );
      t.log(`${Date.now() - startedAtMs} ms`);
      const failed = responses.filter(({ status }) => status !== 200);
      t.is(failed.length, 0, JSON.stringify(failed[0]?.body));
    } finally {
      await cluster.stop();
    }
  });
}

test.serial("what cannot be served in time is rejected at once, with a time to return", async (t) => {
  const cluster = new testing.TestCluster({
    entries: 1,
    engines: 1,
    engine: { slots: 2, waitingMax: 2, tokenMs: 20 },
    rows: [testing.makeRow("llama")],
  });
  try {
    await cluster.start();
    const origin = cluster.entries[0]?.ready.callerAddress ?? "";
    const call = { model: "llama", prompt: "warm", tokens: 40 };
    for (let n = 0; n < 4; n++) await testing.complete(origin, call);
    const startedAtMs = Date.now();
    const responses = await Promise.all(
      Array.from({ length: 60 }, async (_, n) => {
        const response = await testing.complete(origin, {
          ...call,
          prompt: `burst ${n}`,
          deadlineMs: 5_000,
        });
        return { ...response, afterMs: Date.now() - startedAtMs };
      }),
    );
    const served = responses.filter(({ status }) => status === 200);
    const rejected = responses.filter(({ status }) => status === 503);
    t.log(`${served.length} served, ${rejected.length} rejected`);
    t.is(served.length + rejected.length, responses.length);
    // 2 slots, some 0.8 s a request, 5 s: at least half of the 12 that fit.
    t.true(served.length >= 6);
    t.true(rejected.length > 0);
    t.true(rejected.every(({ body }) => body.ran === "no"));
    const early = rejected.filter(({ afterMs }) => afterMs < 3_000);
    t.true(early.length >= rejected.length * 0.8);
  } finally {
    await cluster.stop();
  }
});
