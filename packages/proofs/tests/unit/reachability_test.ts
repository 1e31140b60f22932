import test, { type ExecutionContext } from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

const MODELS = 12;
const ADAPTERS = 6;

/** More models than fit: two engines have memory for four models each. */
const rows = [
  ...Array.from(
    { length: MODELS },
    (_, n) => testing.makeRow(`model-${n}`),
  ),
  ...Array.from(
    { length: ADAPTERS },
    (_, n) => testing.makeAdapter(`adapter-${n}`, `model-${n * 2}`),
  ),
];

const names = rows.map(({ name }) => String(name));

/** Requests one row until it is served; returns the duration in ms. */
async function requestUntilServed(
  cluster: testing.TestCluster,
  name: string,
  n: number,
): Promise<number> {
  const startedAtMs = core.monotonicMs();
  const call = { model: name, prompt: `reach ${name} ${n}`, deadlineMs: 6_000 };
  await testing.waitUntil(`${name} is served`, async () => {
    const live = cluster.entries.filter((entry) => !entry.hasExited);
    const entry = live[n % live.length];
    const origin = entry?.ready.callerAddress ?? "";
    const response = await testing.complete(origin, call).catch(() =>
      undefined
    );
    if (response?.status === 200) {
      return testing.completionText(response) === testing.expectedText(call);
    }
    await core.sleep(Number(response?.body.retryAfterMs ?? 100));
    return false;
  }, 60_000);
  return Math.round(core.monotonicMs() - startedAtMs);
}

async function requestAllRows(
  t: ExecutionContext,
  cluster: testing.TestCluster,
  phase: string,
): Promise<void> {
  const durationsMs = await Promise.all(
    names.map((name, n) => requestUntilServed(cluster, name, n)),
  );
  t.log(`${phase}: worst row after ${Math.max(...durationsMs)} ms`);
  for (const engine of cluster.engines) t.is(engine.memory.overcommits, 0);
}

/** Sends continuous requests for one model from many concurrent callers. */
class Burst {
  #stopped = false;
  servedCount = 0;
  readonly #done: Promise<void[]>;

  constructor(cluster: testing.TestCluster, model: string, callers: number) {
    this.#done = Promise.all(
      Array.from({ length: callers }, (_, n) => this.#run(cluster, model, n)),
    );
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#done;
  }

  async #run(
    cluster: testing.TestCluster,
    model: string,
    n: number,
  ): Promise<void> {
    while (!this.#stopped) {
      const live = cluster.entries.filter((entry) => !entry.hasExited);
      const origin = live[n % live.length]?.ready.callerAddress ?? "";
      const call = { model, prompt: `burst ${n}`, tokens: 40 };
      const response = await testing.complete(origin, call)
        .catch(() => undefined);
      if (response?.status === 200) this.servedCount++;
      else await core.sleep(20);
    }
  }
}

function makeCluster(
  modelLoadMs: number,
  engines = 2,
): testing.TestCluster {
  return new testing.TestCluster({
    entries: 3,
    engines,
    engine: { slots: 16 },
    weightStore: { modelLoadMs, modelsAtOnceMax: 3, adaptersAtOnceMax: 24 },
    settings: {
      engines: {
        orderDelayMaxMs: 100,
        reportIntervalMs: 200,
        silentAfterMs: 2_500,
      },
      placement: {
        residentMinMs: 500,
        orderMaxMs: 2_000,
        intervalMs: 100,
        loadsAtOnceMax: 3,
        adapterLoadsAtOnceMax: 24,
        attainmentWeight: 0.7,
      },
    },
    rows,
  });
}

async function withCluster(
  cluster: testing.TestCluster,
  body: () => Promise<void>,
): Promise<void> {
  try {
    await cluster.start();
    await body();
  } finally {
    await cluster.stop();
  }
}

test("every row is served during a burst on one model", async (t) => {
  const cluster = makeCluster(100);
  await withCluster(cluster, async () => {
    await requestAllRows(t, cluster, "without load");
    const burst = new Burst(cluster, "model-1", 60);
    await requestAllRows(t, cluster, "during the burst");
    await burst.stop();
    t.true(burst.servedCount > 0);
    t.true(cluster.weightStore.peakModels <= 3);
  });
});

test("every row is served while the weight store is slow", async (t) => {
  const cluster = makeCluster(600);
  await withCluster(cluster, async () => {
    await requestAllRows(t, cluster, "slow weight store");
    t.true(cluster.weightStore.peakModels <= 3);
  });
});

test("every row is served although orders are lost", async (t) => {
  const cluster = makeCluster(100);
  await withCluster(cluster, async () => {
    for (const { faults } of cluster.engines) {
      faults.inject({ name: "dropOrder", count: 2, match: "load" });
      faults.inject({ name: "dropOrder", count: 2, match: "unload" });
    }
    await requestAllRows(t, cluster, "orders lost");
    const lost = cluster.engines
      .reduce(
        (sum, { faults }) =>
          sum + (faults.consumedCounts.get("dropOrder") ?? 0),
        0,
      );
    t.true(lost >= 4, `${lost} orders lost`);
  });
});

test("a lost load is retried on its engine if there is no other", async (t) => {
  const cluster = makeCluster(100, 1);
  await withCluster(cluster, async () => {
    const [engine] = cluster.engines;
    engine?.faults.inject({ name: "dropOrder", count: 2, match: "load" });
    const durationMs = await requestUntilServed(cluster, "model-0", 0);
    t.is(engine?.faults.consumedCounts.get("dropOrder"), 2);
    t.log(`served after ${durationMs} ms`);
    t.is(engine?.memory.overcommits, 0);
  });
});

test("every row is served after an engine and an entry fail", async (t) => {
  const cluster = makeCluster(100, 3);
  await withCluster(cluster, async () => {
    await requestAllRows(t, cluster, "before");
    const [engine] = cluster.engines;
    await engine?.stop();
    const [entry] = cluster.entries;
    if (entry) await cluster.killEntry(entry);
    await requestAllRows(t, cluster, "after an engine and an entry failed");
  });
});
