import test from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

const rows = [testing.makeRow("llama"), testing.makeRow("mistral")];
const MAX_AGE_MS = 600;

/** A caller that keeps the answer of `/v1/entries` as long as it may. */
class CachingCaller {
  readonly faults: string[] = [];
  calls = 0;
  #stopped = false;
  readonly #done: Promise<void>;

  constructor(world: testing.TestCluster, name: string) {
    this.#done = this.#run(world, name);
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#done;
  }

  async #run(world: testing.TestCluster, name: string): Promise<void> {
    let origins: string[] = [];
    let freshUntilMs = 0;
    while (!this.#stopped) {
      if (core.monotonicMs() > freshUntilMs) {
        freshUntilMs = core.monotonicMs() + MAX_AGE_MS;
        origins = await this.#ask(world);
      }
      const origin = origins[this.calls % origins.length] ?? "";
      await this.#call(origin, `${name} ${this.calls++}`);
    }
  }

  async #ask(world: testing.TestCluster): Promise<string[]> {
    for (const entry of world.entries) {
      const list = await world.listEntries(entry).catch(() => []);
      if (list.length > 0) return list;
    }
    return [];
  }

  async #call(origin: string, prompt: string): Promise<void> {
    const tokens = this.calls % 5 === 0 ? 700 : 20;
    const call = { model: "llama", prompt, tokens };
    const end = await testing.stream(origin, call).catch((thrown) => ({
      isComplete: false,
      text: "",
      error: { cut: String(thrown) },
    }));
    if (end.isComplete && end.text === testing.expectedText(call)) return;
    this.faults.push(`${origin} ${prompt}: ${JSON.stringify(end.error)}`);
  }
}

test("a planned stop of each entry in turn cuts off nobody", async (t) => {
  const world = new testing.TestCluster({
    entries: 3,
    engines: 2,
    engine: { slots: 64 },
    settings: { drain: { entriesMaxAgeMs: MAX_AGE_MS } },
    rows,
  });
  try {
    await world.start();
    const origin = world.entries[0]?.ready.callerAddress ?? "";
    await testing.complete(origin, { model: "llama", prompt: "warm" });
    const callers = Array.from(
      { length: 8 },
      (_, n) => new CachingCaller(world, `caller ${n}`),
    );
    await core.sleep(300);
    for (const [n, entry] of [...world.entries].entries()) {
      entry.signal("SIGTERM");
      t.is(await entry.exited(), 0);
      world.instanceList.remove(entry.name);
      world.entries.splice(world.entries.indexOf(entry), 1);
      await world.startEntry(`next-${n}`);
      await world.waitUntilReady();
    }
    for (const caller of callers) await caller.stop();
    const calls = callers.reduce((sum, caller) => sum + caller.calls, 0);
    t.log(`${calls} calls`);
    t.deepEqual(callers.flatMap(({ faults }) => faults), []);
    t.true(calls > 50);
  } finally {
    await world.stop();
  }
});

test("after the grace a leaving entry refuses, and finishes streams", async (t) => {
  const world = new testing.TestCluster({ entries: 1, engines: 1, rows });
  try {
    await world.start();
    const [entry] = world.entries;
    const origin = entry?.ready.callerAddress ?? "";
    await testing.complete(origin, { model: "llama", prompt: "warm" });
    const call = { model: "llama", prompt: "long", tokens: 2_500 };
    let begun = false;
    const long = testing.stream(origin, call, () => begun = true);
    await testing.waitUntil("the stream has begun", () => begun);
    entry?.signal("SIGTERM");
    let refusal: testing.CallerResponse | undefined;
    await testing.waitUntil("the entry refuses", async () => {
      const short = { model: "llama", prompt: "short" };
      refusal = await testing.complete(origin, short);
      return refusal.status !== 200;
    });
    t.is(refusal?.body.code, core.INSTANCE_LEAVING.code);
    t.is(refusal?.body.ran, "no");
    const end = await long;
    t.true(end.isComplete);
    t.is(end.text, testing.expectedText(call));
    t.is(await entry?.exited(), 0);
  } finally {
    await world.stop();
  }
});

/** The sources from which news of a leaving upstream may come. */
const sources = ["the engine's own report", "the instance list"] as const;

for (const source of sources) {
  test(`a leaving engine gets no new work; ${source} says so`, async (t) => {
    const world = new testing.TestCluster({
      entries: 3,
      engines: 2,
      engine: { slots: 64 },
      instanceListLagMs: source === "the instance list" ? 200 : 60_000_000,
      rows: [testing.makeRow("llama")],
    });
    // A list that lags for hours shows the engines, and never their leaving.
    try {
      if (source !== "the instance list") {
        world.instanceList.hideEntryChanges();
      }
      await world.start();
      const origins = world.entries.map(({ ready }) => ready.callerAddress);
      await testing.complete(origins[0] ?? "", { model: "llama", prompt: "x" });
      const leaving = world.engines.find(({ loads }) => loads > 0);
      if (!leaving) throw new Error("Nothing was loaded");
      if (source === "the instance list") {
        const id = leaving.options.upstreamId;
        const listed = world.instanceList.instances.get(id);
        if (listed) world.instanceList.put({ ...listed, state: "leaving" });
      } else {
        leaving.leave();
      }
      const others = world.engines.filter((engine) => engine !== leaving);
      const served = () =>
        others.reduce((sum, { attempts }) => sum + attempts.size, 0);
      await testing.waitUntil("every entry uses another engine", async () => {
        const before = served();
        const answers = await Promise.all(
          origins.map((origin) =>
            testing.complete(origin, { model: "llama", prompt: "y" })
          ),
        );
        const isServed = answers.every(({ status }) => status === 200);
        return isServed && served() === before + origins.length;
      });
      const settled = leaving.attempts.size;
      for (let n = 0; n < 30; n++) {
        await testing.complete(origins[n % 3] ?? "", {
          model: "llama",
          prompt: `after ${n}`,
        });
      }
      t.is(leaving.attempts.size, settled);
    } finally {
      await world.stop();
    }
  });
}

test("a leaving service gets no new calls", async (t) => {
  const world = new testing.TestCluster({
    entries: 2,
    engines: 0,
    services: { orders: 2 },
  });
  try {
    await world.start();
    const origins = world.entries.map(({ ready }) => ready.callerAddress);
    const [leaving, staying] = world.services.get("orders") ?? [];
    if (!leaving || !staying) throw new Error("No services");
    let calls = 0;
    const refusals: string[] = [];
    const callAll = () =>
      Promise.all(origins.map(async (origin) => {
        const key = `leaving-${calls++}`;
        const answer = await testing.callService(origin, {
          service: "orders",
          path: "dispense",
          body: {},
          key,
        });
        if (answer.status === 200) return;
        refusals.push(`${origin} ${key}: ${JSON.stringify(answer)}`);
      }));
    const listed = world.instanceList.instances.get("orders-1");
    if (listed) world.instanceList.put({ ...listed, state: "leaving" });
    await testing.waitUntil("four rounds go elsewhere", async () => {
      const before = leaving.attempts.size;
      for (let round = 0; round < 4; round++) await callAll();
      return leaving.attempts.size === before;
    });
    const settled = leaving.attempts.size;
    for (let round = 0; round < 20; round++) await callAll();
    t.deepEqual(refusals, []);
    t.is(leaving.attempts.size, settled);
    t.is(leaving.attempts.size + staying.attempts.size, calls);
  } finally {
    await world.stop();
  }
});

test("callers are sent to no entry that knows no upstream yet", async (t) => {
  const world = new testing.TestCluster({
    entries: 2,
    engines: 0,
    services: { orders: 2 },
  });
  try {
    // The first looks at the list fail: one entry hears of the other first.
    world.instanceList.faults.inject({ name: "outage", count: 1 });
    await world.start();
    const answers = await Promise.all(
      world.entries.map(({ ready }, n) =>
        testing.callService(ready.callerAddress, {
          service: "orders",
          path: "dispense",
          body: {},
          key: `young-${n}`,
        })
      ),
    );
    t.deepEqual(answers.map(({ status }) => status), [200, 200]);
  } finally {
    await world.stop();
  }
});
