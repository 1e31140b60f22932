import test from "ava";
import { Agent } from "undici";
import * as core from "../../../core/mod.ts";
import * as fakes from "../../../fakes/mod.ts";
import * as store from "../../mod.ts";

/**
 * Long enough for a loaded machine; only the tests without a response wait for
 * it.
 */
const TIMEOUT_MS = 2_000;
const CLOSED_ORIGIN = "http://127.0.0.1:1";
const dispatcher = new Agent();

test.after.always(() => dispatcher.destroy());

async function withStore(
  body: (
    client: store.HttpTableService,
    fake: fakes.FakeTableService,
  ) => Promise<void>,
): Promise<void> {
  const fake = new fakes.FakeTableService();
  await fake.start();
  try {
    const client = new store.HttpTableService(
      dispatcher,
      fake.origin,
      TIMEOUT_MS,
    );
    await body(client, fake);
  } finally {
    await fake.stop();
  }
}

const insert: store.Transaction = {
  checks: [{ key: "a", version: 0 }],
  writes: [{ key: "a", value: { n: 1 } }],
};

test("table service: commit, read, conflict with the current row", (t) =>
  withStore(async (client) => {
    const first = (await client.transact(insert))._unsafeUnwrap();
    t.is(first.outcome, "committed");
    const rows = (await client.read({ keys: ["a", "b"] }))._unsafeUnwrap();
    t.deepEqual(rows, [{ key: "a", version: 1, value: { n: 1 } }]);
    const second = (await client.transact(insert))._unsafeUnwrap();
    t.deepEqual(second, { outcome: "conflict", rows: [...rows] });
  }));

interface StoreFault {
  readonly fault: string;
  readonly effect: "none" | "unknown";
  readonly reached: boolean;
  /** Whether the write took effect despite the fault. */
  readonly written: boolean;
}

const storeFaults: StoreFault[] = [
  { fault: "outage", effect: "none", reached: true, written: false },
  { fault: "reset", effect: "unknown", reached: false, written: false },
  { fault: "blackhole", effect: "unknown", reached: false, written: false },
  { fault: "loseReply", effect: "unknown", reached: false, written: true },
  { fault: "slowReply", effect: "unknown", reached: false, written: true },
];

for (const { fault, effect, reached, written } of storeFaults) {
  test(`table service: ${fault} gives effect ${effect}`, (t) =>
    withStore(async (client, fake) => {
      const delayMs = 2 * TIMEOUT_MS;
      fake.faults.inject({ name: fault, count: 1, delayMs });
      const failure = (await client.transact(insert))._unsafeUnwrapErr();
      t.is(failure.effect, effect);
      t.is(failure.reached, reached);
      t.is(fake.rows.has("a"), written);
    }));
}

test("table service: a refused connection has no effect", async (t) => {
  const client = new store.HttpTableService(
    dispatcher,
    CLOSED_ORIGIN,
    TIMEOUT_MS,
  );
  const failure = (await client.transact(insert))._unsafeUnwrapErr();
  t.is(failure.effect, "none");
  t.false(failure.reached);
});

test("table service: an invalid response has an unknown effect", async (t) => {
  const server = new fakes.FakeObjectStore();
  server.app.post("/v1/transact", (c) => c.json({ outcome: "maybe" }));
  await server.start();
  const client = new store.HttpTableService(
    dispatcher,
    server.origin,
    TIMEOUT_MS,
  );
  const failure = (await client.transact(insert))._unsafeUnwrapErr();
  t.is(failure.effect, "unknown");
  await server.stop();
});

test("batcher: a conflict does not fail other transactions in the batch", (t) =>
  withStore(async (client, fake) => {
    await client.transact(insert);
    const batcher = new store.TransactBatcher(client, {
      batchMax: 10,
      writesInFlightMax: 1,
    });
    const keys = ["x", "a", "b", "a", "c"];
    const before = fake.writes;
    const results = await Promise.all(
      keys.map((key) =>
        batcher.transact({
          checks: [{ key, version: 0 }],
          writes: [{ key, value: 2 }],
        })
      ),
    );
    const outcomes = results.map((result) => result._unsafeUnwrap().outcome);
    t.deepEqual(outcomes, [
      "committed",
      "conflict",
      "committed",
      "conflict",
      "committed",
    ]);
    t.true(fake.writes - before < keys.length);
  }));

test("batcher: a lost reply is unknown to all in the batch", (t) =>
  withStore(async (client, fake) => {
    const batcher = new store.TransactBatcher(client, {
      batchMax: 10,
      writesInFlightMax: 1,
    });
    fake.faults.inject({ name: "loseReply", count: 2 });
    const results = await Promise.all(
      ["a", "b"].map((key) =>
        batcher.transact({
          checks: [{ key, version: 0 }],
          writes: [{ key, value: 1 }],
        })
      ),
    );
    for (const result of results) {
      t.is(result._unsafeUnwrapErr().effect, "unknown");
    }
  }));

test("object store, instance list and weight store", async (t) => {
  const objects = new fakes.FakeObjectStore();
  const list = new fakes.FakeInstanceList();
  const weights = new fakes.FakeWeightStore({
    modelLoadMs: 1,
    modelsAtOnceMax: 1,
    adapterLoadMs: 1,
    adaptersAtOnceMax: 1,
  });
  const servers = [objects, list, weights];
  await Promise.all(servers.map((server) => server.start()));
  const optionsFor = (origin: string) => ({
    dispatcher,
    origin,
    timeoutMs: TIMEOUT_MS,
  });
  const objectStore = new store.HttpObjectStore(optionsFor(objects.origin));
  t.true((await objectStore.get("a/b")).isErr());
  t.true((await objectStore.put("a/b", "text")).isOk());
  t.is((await objectStore.get("a/b"))._unsafeUnwrap(), "text");
  const instance: fakes.FakeListedInstance = {
    id: "engine-1",
    kind: "engine",
    address: "http://127.0.0.1:9000",
    failureDomain: "calama",
    state: "leaving",
  };
  list.put(instance);
  const instanceList = new store.HttpInstanceList(optionsFor(list.origin));
  const listed = (await instanceList.list())._unsafeUnwrap();
  t.like(listed[0], instance);
  list.put({ ...instance, kind: "toaster" });
  t.true((await instanceList.list()).isErr());
  const weightStore = new store.HttpWeightStore(optionsFor(weights.origin));
  const artifactId = core.brandId<core.ArtifactId>("llama@1");
  const manifest = (await weightStore.manifest(artifactId))._unsafeUnwrap();
  t.is(manifest.artifactId, artifactId);
  await Promise.all(servers.map((server) => server.stop()));
  t.true((await instanceList.list()).isErr());
});
