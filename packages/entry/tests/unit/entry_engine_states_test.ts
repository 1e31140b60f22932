import test from "ava";
import { create, toBinary } from "@bufbuild/protobuf";
import * as peers from "../../../peers/mod.ts";
import * as core from "../../../core/mod.ts";
import * as orders from "../../../orders/mod.ts";
import * as testing from "../../../testing/mod.ts";
import {
  ageEngineStates,
  applyEngineStates,
  tagEngineStates,
} from "../../entry_engine_states.ts";
import { EntryState } from "../../entry_state.ts";
import { makeEntrySettings } from "../entry_settings.ts";

const models = [
  { model: "loading", isUsable: false, adapters: [], readyInMs: 100 },
  { model: "draining", isUsable: false, adapters: [], readyInMs: 0 },
];

test("a load whose expected time has passed is not passed on as a drained replica", (t) => {
  const engine = create(peers.EngineStateSchema, {
    upstreamId: "e",
    bornMs: 1,
    models,
  });
  const states = { tag: "t", engines: [engine], atMs: 1_000 };
  const readyAfter = (ageMs: number) =>
    ageEngineStates(states, 1_000 + ageMs)[0]?.models
      .map(({ readyInMs }) => readyInMs);
  t.deepEqual(readyAfter(40), [60, 0]);
  t.deepEqual(readyAfter(250), [1, 0]);
});

// Guards against a new lease holder that knows nothing of the late orders of
// the one before it.
test("late orders are passed on, also those to an earlier incarnation", (t) => {
  const record = testing.makeUpstreamRecord({ startedAtMs: 1 });
  const inventory = new orders.EngineInventory(record);
  const late = new orders.LateOrders();
  const holder = { record, inventory, lastOrderAtMs: undefined, late };
  const before = tagEngineStates("in", [holder], 1_000);
  late.record({
    kind: "load",
    model: core.brandId<core.ModelName>("m"),
    adapter: "a",
    expectedOrderCount: 3,
    fencingToken: 2 ** 41 + 7,
  }, 400);
  const states = tagEngineStates("in", [holder], 1_000);
  t.not(states.tag, before.tag);

  const logger = new core.Logger({}, () => {});
  const node = new EntryState(makeEntrySettings("n"), logger);
  node.setUpstream({ ...record, startedAtMs: 2 });
  applyEngineStates(node, ageEngineStates(states, 1_200), 50_200);
  const [known] = node.lateOrders.get(record.id)?.all(50_200) ?? [];
  t.deepEqual(known, {
    order: {
      kind: "load",
      model: core.brandId<core.ModelName>("m"),
      adapter: "a",
      expectedOrderCount: 3,
      fencingToken: 2 ** 41 + 7,
    },
    sentAtMs: 49_400,
  });
});

// Guards against a lease holder whose answers cannot be written any more, some
// weeks after its last order to an engine.
test("ages beyond what a message holds are passed on as very old", (t) => {
  const record = testing.makeUpstreamRecord({ startedAtMs: 1 });
  const inventory = new orders.EngineInventory(record);
  const weeksMs = 2 ** 33;
  const holder = { record, inventory, lastOrderAtMs: 0 };
  const states = tagEngineStates("in", [holder], weeksMs);
  const [engine] = ageEngineStates(states, weeksMs + 1_000);
  t.true(toBinary(peers.EngineStateSchema, engine!).length > 0);
  t.is(engine!.lastOrderAgeMs, 2 ** 32 - 1);
});

const m = core.brandId<core.ModelName>("m");

/** Changes after which other nodes have to be sent the states again. */
const CHANGES: Readonly<
  Record<
    string,
    (inventory: orders.EngineInventory, late: orders.LateOrders) => void
  >
> = {
  "an accepted order": (inventory) =>
    inventory.applyAccepted(
      {
        kind: "load",
        model: core.brandId<core.ModelName>("other"),
        expectedOrderCount: 4,
        holder: core.brandId<core.InstanceId>("n"),
        fencingToken: 7,
      },
      500,
      1_000,
    ),
  "a model that drains": (inventory) => {
    inventory.models.get(m)!.phase = "draining";
  },
  "an adapter that is gone": (inventory) => {
    inventory.models.get(m)!.adapters.delete("a");
  },
  "an order without a reply": (_inventory, late) => {
    late.record({
      kind: "unload",
      model: m,
      expectedOrderCount: 4,
      fencingToken: 7,
    }, 1_000);
  },
};

// Guards against a lease holder that spends its time on encoding states that
// have not changed, and against changes that other nodes are not told of.
test("states are encoded again only when they have changed", (t) => {
  for (const [name, change] of Object.entries(CHANGES)) {
    const record = testing.makeUpstreamRecord({ startedAtMs: 1 });
    const inventory = new orders.EngineInventory(record);
    const late = new orders.LateOrders();
    inventory.applyReport({
      startedAtMs: 1,
      models: [{ model: m, adapters: ["a"] }],
      modelsInMemory: [],
      modelsOnDisk: [],
      loadingAdapters: [],
      isBusy: false,
      orderCount: 4,
    });
    const holder = { record, inventory, lastOrderAtMs: 900, late };
    const first = tagEngineStates("in", [holder], 1_000);
    t.is(tagEngineStates("in", [holder], 1_200, first), first, name);
    change(inventory, late);
    const changed = tagEngineStates("in", [holder], 1_200, first);
    t.not(changed.tag, first.tag, name);
    t.notDeepEqual(changed.engines, first.engines, name);
  }
});

// Guards against a load whose end, which nothing reports, is not passed on.
test("states change when the expected time of a load has passed", (t) => {
  const record = testing.makeUpstreamRecord({ startedAtMs: 1 });
  const inventory = new orders.EngineInventory(record);
  inventory.applyAccepted(
    {
      kind: "load",
      model: m,
      expectedOrderCount: 0,
      holder: core.brandId<core.InstanceId>("n"),
      fencingToken: 7,
    },
    500,
    1_000,
  );
  const holder = { record, inventory, lastOrderAtMs: 1_000 };
  const loading = tagEngineStates("in", [holder], 1_000);
  t.is(tagEngineStates("in", [holder], 1_499, loading), loading);
  const usable = tagEngineStates("in", [holder], 1_500, loading);
  t.not(usable.tag, loading.tag);
  t.true(usable.engines[0]?.models[0]?.isUsable);
});
