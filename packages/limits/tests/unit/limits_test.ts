import test from "ava";
import fc from "fast-check";
import { err, ok, type Result } from "neverthrow";
import process from "node:process";
import * as core from "../../../core/mod.ts";
import * as fakes from "../../../fakes/mod.ts";
import * as store from "../../../store/mod.ts";
import * as limits from "../../mod.ts";

const ROW = core.brandId<core.RowName>("llama");
const LIMIT = 5;

function inTime(): core.Deadline {
  return new core.Deadline(60_000);
}

/** In-memory table service that loses the replies given by a schedule. */
class LossyTableService extends store.TableService {
  readonly fake = new fakes.FakeTableService();
  readonly #lost: boolean[];

  constructor(lost: readonly boolean[]) {
    super();
    this.#lost = [...lost];
  }

  override async read(
    { keys = [] }: store.ReadRequest,
  ): Promise<Result<readonly store.StoredRow[], store.StoreFailure>> {
    await core.sleep(0);
    const rows = this.fake.read({ keys: [...keys] });
    return ok(structuredClone(rows) as store.StoredRow[]);
  }

  override async transact(
    transaction: store.Transaction,
  ): Promise<Result<store.TransactOutcome, store.StoreFailure>> {
    await core.sleep(0);
    const outcome = this.fake.transact(
      structuredClone(transaction) as Parameters<
        fakes.FakeTableService["transact"]
      >[0],
    );
    if (this.#lost.shift()) {
      return err({ effect: "unknown", reached: false, detail: "lost" });
    }
    return ok(outcome as store.TransactOutcome);
  }
}

function makeShares(
  service: store.TableService,
  n: number,
  removed: ReadonlySet<string> = new Set(),
): limits.LimitShares {
  return new limits.LimitShares({
    instanceId: core.brandId(`entry-${n}`),
    incarnation: core.brandId(`in-${n}`),
    service,
    isRemoved: (id) => removed.has(id),
  });
}

const steps = fc.array(
  fc.record({
    instance: fc.nat({ max: 2 }),
    kind: fc.constantFrom("admit", "admit", "admit", "end", "releaseUnused"),
    waits: fc.boolean(),
  }),
  { maxLength: 40 },
);

test("requests of all instances never exceed the limit", async (t) => {
  const property = fc.asyncProperty(
    steps,
    fc.array(fc.boolean(), { maxLength: 20 }),
    async (plan, lost) => {
      const service = new LossyTableService(lost);
      const instances = [0, 1, 2].map((n) => makeShares(service, n));
      const admitted: core.Cleanup[][] = [[], [], []];
      let running: Promise<void>[] = [];
      const check = () => {
        const sum = admitted.reduce((total, list) => total + list.length, 0);
        if (sum > LIMIT) throw new Error(`${sum} in progress`);
      };
      for (const { instance, kind, waits } of plan) {
        const own = instances[instance];
        const list = admitted[instance];
        if (!own || !list) continue;
        if (kind === "end") await list.pop()?.();
        if (kind === "releaseUnused") running.push(own.releaseUnused());
        if (kind === "admit") {
          running.push(
            own.admit(ROW, LIMIT, inTime()).then((release) => {
              if (release) list.push(release);
              check();
            }),
          );
        }
        if (!waits) continue;
        await Promise.all(running);
        running = [];
      }
      await Promise.all(running);
      check();
    },
  );
  const seed = Number(process.env.SEED ?? 20261204);
  t.log(`seed ${seed}`);
  await fc.assert(property, { seed, numRuns: 200 });
  t.pass();
});

test("one instance may use the whole limit and releases it when idle", async (t) => {
  const service = new LossyTableService([]);
  const first = makeShares(service, 1);
  const second = makeShares(service, 2);
  const releases: core.Cleanup[] = [];
  for (let n = 0; n < LIMIT; n++) {
    const release = await first.admit(ROW, LIMIT, inTime());
    t.truthy(release);
    if (release) releases.push(release);
  }
  t.is(await second.admit(ROW, LIMIT, inTime()), undefined);
  for (const release of releases) await release();
  await first.releaseUnused();
  await first.releaseUnused();
  t.truthy(await second.admit(ROW, LIMIT, inTime()));
});

test("a share is reclaimed only from an instance that was removed", async (t) => {
  const service = new LossyTableService([]);
  const removed = new Set<string>();
  const first = makeShares(service, 1);
  const second = makeShares(service, 2, removed);
  for (let n = 0; n < LIMIT; n++) await first.admit(ROW, LIMIT, inTime());
  t.is(await second.admit(ROW, LIMIT, inTime()), undefined);
  removed.add("entry-1");
  t.truthy(await second.admit(ROW, LIMIT, inTime()));
});

test("during a store outage shares stay usable but do not grow", async (t) => {
  const service = new LossyTableService([]);
  const own = makeShares(service, 1);
  const release = await own.admit(ROW, LIMIT, inTime());
  t.truthy(release);
  service.read = () =>
    Promise.resolve(err({ effect: "none", reached: false, detail: "down" }));
  const results: unknown[] = [];
  for (let n = 0; n < LIMIT; n++) {
    results.push(await own.admit(ROW, LIMIT, inTime()));
  }
  const admittedCount =
    results.filter((release) => release !== undefined).length;
  t.true(admittedCount >= 1 && admittedCount < LIMIT);
});

// After a write of a share whose reply was lost, the share counted as used, so
// that a row with a limit of one refused every request for good.
test("a share whose write lost its reply is not lost", async (t) => {
  const service = new LossyTableService([true]);
  const own = makeShares(service, 1);
  let release: core.Cleanup | undefined;
  for (let n = 0; n < 3 && !release; n++) {
    release = await own.admit(ROW, 1, inTime());
  }
  t.truthy(release);
});

// A release that was lost was not repeated, so that other instances refused
// requests for as long as this one lived.
test("a release that is lost is repeated", async (t) => {
  const service = new LossyTableService([]);
  const first = makeShares(service, 1);
  const release = await first.admit(ROW, 1, inTime());
  await release?.();
  await first.releaseUnused();
  const { transact } = service;
  service.transact = () =>
    Promise.resolve(
      err({ effect: "unknown", reached: false, detail: "lost" }),
    );
  await first.releaseUnused();
  service.transact = transact;
  await first.releaseUnused();
  t.truthy(await makeShares(service, 2).admit(ROW, 1, inTime()));
});

// A share that was enlarged while unused shares were released was forgotten, and
// stayed taken for good.
test("a share that grows during a release is kept", async (t) => {
  const service = new LossyTableService([]);
  const own = makeShares(service, 1);
  const growing = own.admit(ROW, 1, inTime());
  await own.releaseUnused();
  const release = await growing;
  t.truthy(release);
  await release?.();
  const again = await own.admit(ROW, 1, inTime());
  t.truthy(again);
});
