import test, { type ExecutionContext } from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

const MODELS = 12;
const ADAPTERS = 6;

/** More models than fit: two engines hold four models each. */
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

/** Asks for one row until it answers; returns how long it took. */
async function reach(
  world: testing.TestCluster,
  name: string,
  n: number,
): Promise<number> {
  const startedAtMs = core.monotonicMs();
  const call = { model: name, prompt: `reach ${name} ${n}`, deadlineMs: 6_000 };
  await testing.waitUntil(`${name} answers`, async () => {
    const live = world.entries.filter((entry) => !entry.hasExited);
    const entry = live[n % live.length];
    const origin = entry?.ready.callerAddress ?? "";
    const answer = await testing.complete(origin, call).catch(() => undefined);
    if (answer?.status === 200) {
      return testing.completionText(answer) === testing.expectedText(call);
    }
    await core.sleep(Number(answer?.body.retryAfterMs ?? 100));
    return false;
  }, 60_000);
  return Math.round(core.monotonicMs() - startedAtMs);
}

async function reachAll(
  t: ExecutionContext,
  world: testing.TestCluster,
  what: string,
): Promise<void> {
  const tookMs = await Promise.all(
    names.map((name, n) => reach(world, name, n)),
  );
  t.log(`${what}: worst row after ${Math.max(...tookMs)} ms`);
  for (const engine of world.engines) t.is(engine.memory.overcommits, 0);
}

/** Sends one model as much as the engines will take. */
class Burst {
  #stopped = false;
  answered = 0;
  readonly #done: Promise<void[]>;

  constructor(world: testing.TestCluster, model: string, callers: number) {
    this.#done = Promise.all(
      Array.from({ length: callers }, (_, n) => this.#run(world, model, n)),
    );
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#done;
  }

  async #run(
    world: testing.TestCluster,
    model: string,
    n: number,
  ): Promise<void> {
    while (!this.#stopped) {
      const live = world.entries.filter((entry) => !entry.hasExited);
      const origin = live[n % live.length]?.ready.callerAddress ?? "";
      const call = { model, prompt: `burst ${n}`, tokens: 40 };
      const answer = await testing.complete(origin, call)
        .catch(() => undefined);
      if (answer?.status === 200) this.answered++;
      else await core.sleep(20);
    }
  }
}

function makeWorld(
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

async function withWorld(
  world: testing.TestCluster,
  body: () => Promise<void>,
): Promise<void> {
  try {
    await world.start();
    await body();
  } finally {
    await world.stop();
  }
}

test("every row answers while one model bursts", async (t) => {
  const world = makeWorld(100);
  await withWorld(world, async () => {
    await reachAll(t, world, "quiet");
    const burst = new Burst(world, "model-1", 60);
    await reachAll(t, world, "bursting");
    await burst.stop();
    t.true(burst.answered > 0);
    t.true(world.weightStore.peakModels <= 3);
  });
});

test("every row answers while the weight store is slow", async (t) => {
  const world = makeWorld(600);
  await withWorld(world, async () => {
    await reachAll(t, world, "slow weight store");
    t.true(world.weightStore.peakModels <= 3);
  });
});

test("every row answers although orders are lost", async (t) => {
  const world = makeWorld(100);
  await withWorld(world, async () => {
    for (const { faults } of world.engines) {
      faults.inject({ name: "dropOrder", count: 2, match: "load" });
      faults.inject({ name: "dropOrder", count: 2, match: "unload" });
    }
    await reachAll(t, world, "orders lost");
    const lost = world.engines
      .reduce(
        (sum, { faults }) =>
          sum + (faults.consumedCounts.get("dropOrder") ?? 0),
        0,
      );
    t.true(lost >= 4, `${lost} orders lost`);
  });
});

test("a row is loaded where its load was lost, if nowhere else", async (t) => {
  const world = makeWorld(100, 1);
  await withWorld(world, async () => {
    const [engine] = world.engines;
    engine?.faults.inject({ name: "dropOrder", count: 2, match: "load" });
    const tookMs = await reach(world, "model-0", 0);
    t.is(engine?.faults.consumedCounts.get("dropOrder"), 2);
    t.log(`answered after ${tookMs} ms`);
    t.is(engine?.memory.overcommits, 0);
  });
});

test("every row answers while an engine and an entry die", async (t) => {
  const world = makeWorld(100, 3);
  await withWorld(world, async () => {
    await reachAll(t, world, "before");
    const [engine] = world.engines;
    await engine?.stop();
    const [entry] = world.entries;
    if (entry) await world.killEntry(entry);
    await reachAll(t, world, "after an engine and an entry died");
  });
});
