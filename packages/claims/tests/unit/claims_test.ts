import test from "ava";
import fc from "fast-check";
import process from "node:process";
import { err, ok, type Result } from "neverthrow";
import * as core from "../../../core/mod.ts";
import type * as store from "../../../store/mod.ts";
import * as claims from "../../mod.ts";

type Fault = "none" | "refused" | "lostBefore" | "lostAfter" | "lateEffect";

const LATE_EFFECT_MS = 20;
const CONCURRENT_SEEDS = 8;
const RUNS_PER_SEED = 30;

/** An in-memory store whose writes fail according to a schedule. */
class FaultyStore implements claims.ClaimTransactor {
  readonly rows = new Map<string, store.StoredRow>();
  readonly #faults: Fault[];
  #version = 0;

  constructor(faults: readonly Fault[]) {
    this.#faults = [...faults];
  }

  /** The same rows without faults. */
  get faultless(): claims.ClaimTransactor {
    return { transact: async (change) => await ok(this.#apply(change)) };
  }

  async transact(
    transaction: store.Transaction,
  ): Promise<Result<store.TransactOutcome, store.StoreFailure>> {
    await core.sleep(1);
    const lost = { reached: false, detail: "lost", effect: "unknown" } as const;
    switch (this.#faults.shift() ?? "none") {
      case "refused":
        return err({ effect: "none", reached: true, detail: "refused" });
      case "lostBefore":
        return err(lost);
      case "lostAfter":
        this.#apply(transaction);
        return err(lost);
      case "lateEffect":
        setTimeout(() => this.#apply(transaction), LATE_EFFECT_MS);
        return err(lost);
      case "none":
        return ok(this.#apply(transaction));
    }
  }

  #apply({ checks, writes }: store.Transaction): store.TransactOutcome {
    const failed = checks.filter(({ key, version }) =>
      (this.rows.get(key)?.version ?? 0) !== version
    );
    if (failed.length > 0) {
      const rows = failed.map(({ key }) =>
        this.rows.get(key) ?? { key, version: 0, value: null }
      );
      return { outcome: "conflict", rows };
    }
    const version = ++this.#version;
    for (const { key, value } of writes) {
      this.rows.set(key, { key, version, value });
    }
    return { outcome: "committed", version };
  }
}

/** An in-memory object store that can be made unavailable. */
class LocalObjects implements claims.ClaimObjects {
  readonly texts = new Map<string, string>();
  isDown = false;

  put(
    name: string,
    text: string,
  ): Promise<Result<void, store.StoreFailure>> {
    if (this.isDown) return Promise.resolve(err(OUTAGE));
    this.texts.set(name, text);
    return Promise.resolve(ok(undefined));
  }

  get(name: string): Promise<Result<string, store.StoreFailure>> {
    const text = this.texts.get(name);
    const isFound = text !== undefined && !this.isDown;
    return Promise.resolve(isFound ? ok(text) : err(OUTAGE));
  }
}

const OUTAGE: store.StoreFailure = {
  effect: "none",
  reached: true,
  detail: "outage",
};

/** Runners that query each other in process; some may be unreachable. */
class Cluster extends claims.ClaimPeers {
  readonly objects = new LocalObjects();
  readonly runners: claims.ClaimRunner[] = [];
  readonly unreachable = new Set<number>();
  lostQueries = 0;

  constructor(store: FaultyStore, count: number, faultyCount = count) {
    super();
    for (let n = 0; n < count; n++) {
      this.runners.push(
        new claims.ClaimRunner({
          instanceId: core.brandId(`entry-${n}`),
          incarnation: core.brandId(`in-${n}`),
          store: new claims.ClaimStore(
            n < faultyCount ? store : store.faultless,
            this.objects,
          ),
          peers: this,
          unsettledMax: 100,
          settleWaitMs: 20,
        }),
      );
    }
  }

  override async queryFate(
    { owner, nonce, incarnation }: claims.ClaimQuery,
  ): Promise<claims.ClaimFate> {
    await core.sleep(1);
    const n = Number(owner.split("-")[1]);
    if (this.unreachable.has(n) || this.lostQueries-- > 0) {
      return { kind: "unreachable" };
    }
    const runner = this.runners[n];
    return runner?.fateOf(nonce, incarnation) ?? { kind: "unreachable" };
  }

  run(
    n: number,
    service: CountingService,
    bodyHash = "body",
    remainingMs = 1_000,
  ): Promise<Result<claims.ClaimOutcome, core.Failure>> {
    const runner = this.runners[n];
    if (!runner) throw new Error("no such runner");
    return runner.run({
      callerId: core.brandId("kiosk"),
      key: core.brandId("order-1"),
      bodyHash,
      deadline: new core.Deadline(remainingMs),
    }, () => service.dispatch());
  }
}

type Ending = claims.DispatchResult["kind"] | "hanging";

/** Counts runs of a call, which end according to a schedule. */
class CountingService {
  runs = 0;
  bodyText = "ok";
  readonly #endings: Ending[];

  constructor(endings: readonly Ending[] = []) {
    this.#endings = [...endings];
  }

  async dispatch(): Promise<claims.DispatchResult> {
    const kind = this.#endings.shift() ?? "answered";
    await core.sleep(2);
    if (kind === "notRun") {
      const failure = core.refuse(core.NO_UPSTREAM, "nobody");
      return { kind, failure };
    }
    this.runs++;
    if (kind === "hanging") return await new Promise(() => undefined);
    if (kind === "unknown") {
      const failure = core.fail(core.UPSTREAM_BROKE, "cut", "unknown");
      return { kind, failure };
    }
    const { bodyText } = this;
    const outcome = { status: 200, contentType: "text/plain", bodyText };
    return { kind, outcome };
  }
}

const faultSchedules = fc.array(
  fc.constantFrom<Fault>(
    "none",
    "none",
    "refused",
    "lostBefore",
    "lostAfter",
    "lateEffect",
  ),
  { maxLength: 12 },
);

const endingSchedules = fc.array(
  fc.constantFrom<Ending>("answered", "notRun", "unknown"),
  { maxLength: 3 },
);

test("a key runs at most once under store faults", async (t) => {
  const property = fc.asyncProperty(
    faultSchedules,
    endingSchedules,
    fc.array(fc.nat({ max: 2 }), { minLength: 1, maxLength: 6 }),
    fc.array(fc.boolean(), { minLength: 6, maxLength: 6 }),
    async (faults, endings, instances, isConcurrent) => {
      const store = new FaultyStore(faults);
      const cluster = new Cluster(store, 3);
      const service = new CountingService(endings);
      const results: Result<claims.ClaimOutcome, core.Failure>[] = [];
      let batch: Promise<void>[] = [];
      for (const [index, n] of instances.entries()) {
        batch.push(
          cluster.run(n, service).then((result) => void results.push(result)),
        );
        if (isConcurrent[index]) continue;
        await Promise.all(batch);
        batch = [];
      }
      await Promise.all(batch);
      await core.sleep(LATE_EFFECT_MS + 5);
      const allNo = results.every((result) =>
        result.isErr() && result.error.ran === "no"
      );
      if (service.runs > 1) throw new Error(`ran ${service.runs} times`);
      if (allNo && service.runs > 0) throw new Error("a run was not reported");
      if (results.some((result) => result.isOk()) && service.runs !== 1) {
        throw new Error("answered, but did not run exactly once");
      }
    },
  );
  const seed = Number(process.env.SEED ?? 20261204);
  t.log(`seed ${seed}`);
  const seeds = Array.from({ length: CONCURRENT_SEEDS }, (_, n) => seed + n);
  await Promise.all(
    seeds.map((seed) => fc.assert(property, { seed, numRuns: RUNS_PER_SEED })),
  );
  t.pass();
});

test("a call with a lost outcome is never run again", async (t) => {
  const cluster = new Cluster(new FaultyStore([]), 2);
  const service = new CountingService(["unknown"]);
  const first = await cluster.run(0, service);
  t.is(first._unsafeUnwrapErr().ran, "unknown");
  cluster.unreachable.add(0);
  const second = await cluster.run(1, service);
  t.is(second._unsafeUnwrapErr().ran, "unknown");
  t.is(service.runs, 1);
});

test("an in-flight claim is not taken over when its owner is unreachable", async (t) => {
  const cluster = new Cluster(new FaultyStore([]), 2);
  const service = new CountingService(["hanging"]);
  void cluster.run(0, service, "body", 100);
  await core.sleep(20);
  cluster.unreachable.add(0);
  const second = await cluster.run(1, service);
  t.is(second._unsafeUnwrapErr().ran, "unknown");
  t.is(service.runs, 1);
});

test("a lost query to a live owner is retried", async (t) => {
  const cluster = new Cluster(new FaultyStore([]), 2);
  const service = new CountingService();
  cluster.lostQueries = 2;
  const first = cluster.run(0, service);
  await core.sleep(2);
  const second = await cluster.run(1, service);
  t.true(second.isOk());
  t.deepEqual(second, await first);
  t.is(service.runs, 1);
});

test("a released claim is run by the next request", async (t) => {
  const cluster = new Cluster(new FaultyStore([]), 2);
  const service = new CountingService(["notRun"]);
  const first = await cluster.run(0, service);
  t.is(first._unsafeUnwrapErr().ran, "no");
  const second = await cluster.run(1, service);
  t.true(second.isOk());
  t.is(service.runs, 1);
});

test("an abandoned claim whose release is lost is taken over", async (t) => {
  const faults: Fault[] = ["none", ...Array<Fault>(9).fill("refused")];
  const cluster = new Cluster(new FaultyStore(faults), 2, 1);
  const service = new CountingService(["notRun"]);
  await cluster.run(0, service);
  const second = await cluster.run(1, service);
  t.true(second.isOk());
  t.is(service.runs, 1);
});

test("a claim write that takes effect late does not run the call", async (t) => {
  const late = Array<Fault>(4).fill("lateEffect");
  const cluster = new Cluster(new FaultyStore(late), 2);
  const service = new CountingService();
  const first = await cluster.run(0, service);
  t.is(first._unsafeUnwrapErr().ran, "no");
  t.is(service.runs, 0);
  await core.sleep(LATE_EFFECT_MS * 2);
  const second = await cluster.run(1, service);
  t.true(second.isOk());
  t.is(service.runs, 1);
});

test("the same key with another body is rejected", async (t) => {
  const cluster = new Cluster(new FaultyStore([]), 2);
  const service = new CountingService();
  await cluster.run(0, service);
  for (const n of [0, 1]) {
    const other = await cluster.run(n, service, "other body");
    t.is(other._unsafeUnwrapErr().result, core.KEY_REUSED);
  }
  t.is(service.runs, 1);
});

test("an outcome that could not be stored is returned by its owner", async (t) => {
  const faults: Fault[] = ["none", ...Array<Fault>(9).fill("refused")];
  const cluster = new Cluster(new FaultyStore(faults), 2, 1);
  const service = new CountingService();
  const [first, second] = await Promise.all([
    cluster.run(0, service),
    core.sleep(30).then(() => cluster.run(1, service)),
  ]);
  t.true(first.isOk());
  t.deepEqual(second, first);
  t.is(service.runs, 1);
});

test("a large outcome is replayed from the object store", async (t) => {
  const cluster = new Cluster(new FaultyStore([]), 2);
  const service = new CountingService();
  service.bodyText = "slab ".repeat(10_000);
  const first = await cluster.run(0, service);
  t.is(cluster.objects.texts.size, 1);
  t.deepEqual(await cluster.run(1, service), first);
  cluster.objects.isDown = true;
  const unreadable = (await cluster.run(1, service))._unsafeUnwrapErr();
  t.is(unreadable.ran, "yes");
  t.truthy(unreadable.retryAfterMs);
  t.is(service.runs, 1);
});

test("a large outcome that cannot be stored is returned by its owner", async (t) => {
  const cluster = new Cluster(new FaultyStore([]), 2);
  const service = new CountingService();
  service.bodyText = "slab ".repeat(10_000);
  cluster.objects.isDown = true;
  const first = await cluster.run(0, service);
  t.deepEqual(await cluster.run(1, service), first);
  cluster.objects.isDown = false;
  await core.sleep(300);
  t.is(cluster.runners[0]?.registry.size, 0);
  t.deepEqual(await cluster.run(1, service), first);
  t.is(service.runs, 1);
});
