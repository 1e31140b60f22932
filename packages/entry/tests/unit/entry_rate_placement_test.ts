import { create } from "@bufbuild/protobuf";
import test, { type ExecutionContext } from "ava";
import { ok } from "neverthrow";
import * as core from "../../../core/mod.ts";
import * as fleet from "../../../fleet/mod.ts";
import * as orders from "../../../orders/mod.ts";
import * as peers from "../../../peers/mod.ts";
import * as testing from "../../../testing/mod.ts";
import type { ExchangeHub } from "../../entry_exchange.ts";
import { OrdersTask } from "../../entry_orders_task.ts";
import { EntryState } from "../../entry_state.ts";
import { makeEntrySettings } from "../entry_settings.ts";
import { MemoryTable } from "../memory_table.ts";

const SERVICE = core.brandId<core.ServiceName>("s");
const MODEL = core.brandId<core.ModelName>("m");
const RATE_PER_S = 1.5;
const spec = testing.makeEngineSpec({ m: 70_000 });

/** Engines that carry out each order at once. */
class TwoEngines extends fleet.EngineControl {
  readonly engines = new Map(
    ["e1", "e2"].map((id) => [
      core.brandId<core.UpstreamId>(id),
      new testing.OrderedEngine(spec, true),
    ]),
  );

  records(): fleet.UpstreamRecord[] {
    return [...this.engines].map(([id, { record }]) => ({ ...record, id }));
  }

  override sendOrder({ id }: fleet.UpstreamRecord, order: fleet.Order) {
    const engine = this.engines.get(id)!;
    const reply = engine.accept(order);
    engine.finishOrder();
    return Promise.resolve(reply);
  }

  override fetchReport({ id }: fleet.UpstreamRecord) {
    return Promise.resolve(ok(this.engines.get(id)!.report));
  }
}

/** Holds the order lease over two engines, with a demand from the nodes. */
async function startOrders(
  t: ExecutionContext,
  control: TwoEngines,
  demand: readonly ReturnType<typeof demandFor>[],
): Promise<EntryState> {
  const state = new EntryState(
    makeEntrySettings("n"),
    new core.Logger({}, () => {}),
  );
  state.applyConfig({
    version: 1,
    routes: [],
    services: new Map([[SERVICE, {
      name: SERVICE,
      connectionsMax: 1,
      engine: spec,
    }]]),
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
    bodyBytesMax: 1,
  });
  for (const record of control.records()) state.setUpstream(record);
  const digest = create(peers.NodeDigestSchema, { demand: [...demand] });
  const hub = { digests: () => [digest] } as unknown as ExchangeHub;
  const lease = new orders.OrderLease(new MemoryTable(), {
    key: "orders/holder",
    self: state.settings.nodeName,
    incarnation: "n-1",
    leaseMs: 3_000,
    enginesCheckFences: true,
    isEligible: () => true,
    rank: () => 0,
    followers: () => 0,
  }, state.logger);
  const task = new OrdersTask(state, hub, lease, control);
  const stopped = new AbortController();
  const done = [lease.run(stopped.signal), task.run(stopped.signal)];
  t.teardown(async () => {
    stopped.abort();
    await Promise.all(done);
  });
  await testing.waitUntil("the lease", () => lease.isHeld);
  await core.sleep(500);
  return state;
}

const demandFor = (part: { adapter?: string; waiting?: number }) => ({
  model: MODEL,
  ratePerS: RATE_PER_S,
  waiting: 0,
  workMsPerS: 100,
  ...part,
});

// Guards against a model that only an engine holds which takes few requests of
// it, though another one has room.
test("a model of an engine with a low limit gets another replica", async (t) => {
  const control = new TwoEngines();
  const [first, second] = [...control.engines.values()];
  first!.held.set(MODEL, new Set());
  const state = await startOrders(t, control, [demandFor({})]);
  t.false(second!.held.has(MODEL));
  const nowMs = core.monotonicMs();
  const { record } = [...state.upstreams.all()][0]!;
  state.recordRateLimit(record, RATE_PER_S, nowMs, nowMs);
  await core.sleep(500);
  t.false(second!.held.has(MODEL));
  state.recordRateLimit(record, RATE_PER_S / 3, nowMs, nowMs);
  await testing.waitUntil("a replica", () => second!.held.has(MODEL));
  t.true(first!.held.has(MODEL));
});

// Guards against requests for an adapter that wait for an engine at its limit,
// though another one with the model could load it.
test("an adapter of an engine with a low limit gets another replica", async (t) => {
  const control = new TwoEngines();
  const [first, second] = [...control.engines.values()];
  first!.held.set(MODEL, new Set(["a1"]));
  second!.held.set(MODEL, new Set());
  const demand = [demandFor({}), demandFor({ adapter: "a1", waiting: 1 })];
  const state = await startOrders(t, control, demand);
  t.deepEqual([...second!.held.get(MODEL)!], []);
  const nowMs = core.monotonicMs();
  const { record } = [...state.upstreams.all()][0]!;
  state.recordRateLimit(record, RATE_PER_S / 3, nowMs, nowMs);
  await testing.waitUntil(
    "the adapter",
    () => second!.held.get(MODEL)!.has("a1"),
  );
  t.deepEqual([...first!.held.get(MODEL)!], ["a1"]);
});
