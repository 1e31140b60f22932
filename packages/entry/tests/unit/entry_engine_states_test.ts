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
