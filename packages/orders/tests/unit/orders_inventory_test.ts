import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as orders from "../../mod.ts";

const model = (name: string) => core.brandId<core.ModelName>(name);

const spec: fleet.EngineSpec = {
  slots: 8,
  kvCacheTokens: 1_000,
  tokensPerEvent: 1,
  weightMemoryMb: 100,
  adapterSlots: 2,
  loadsPerS: 1,
  models: new Map(
    ["a", "b", "c"].map((name) => [model(name), {
      name: model(name),
      weightsMb: 40,
      loadMs: 1_000,
      loadFromMemoryMs: 100,
      loadFromDiskMs: 300,
      adapterMb: 1,
    }]),
  ),
};

function makeRecord(part: Partial<fleet.UpstreamRecord> = {}) {
  return testing.makeUpstreamRecord({
    id: core.brandId<core.UpstreamId>("e1"),
    service: core.brandId<core.ServiceName>("llm"),
    slots: 8,
    models: [{ model: model("a"), adapters: [] }],
    ...part,
  });
}

function makeReport(
  orderCount: number,
  models: string[],
  isBusy = false,
): fleet.EngineReport {
  return {
    startedAtMs: 1,
    models: models.map((name) => ({ model: model(name), adapters: [] })),
    modelsInMemory: [],
    modelsOnDisk: [],
    loadingAdapters: [],
    isBusy,
    orderCount,
  };
}

function makeOrder(
  kind: "load" | "unload",
  name: string,
  expectedOrderCount: number,
  adapter?: string,
): fleet.Order {
  return {
    kind,
    model: model(name),
    ...(adapter === undefined ? {} : { adapter }),
    expectedOrderCount,
    holder: core.brandId<core.InstanceId>("n1"),
    fencingToken: 1,
  };
}

test("an inventory has no order count before the first report", (t) => {
  const inventory = new orders.EngineInventory(makeRecord());
  t.is(inventory.orderCount, undefined);
  t.true(inventory.applyReport(makeReport(3, ["a"])));
  t.is(inventory.orderCount, 3);
});

test("a load takes memory once accepted, an unload frees it once reported", (t) => {
  const inventory = new orders.EngineInventory(makeRecord());
  inventory.applyReport(makeReport(0, ["a"]));
  inventory.applyAccepted(makeOrder("load", "b", 0), 1_000, 0);
  t.is(inventory.usedMb(spec), 80);
  t.true(inventory.isBusy);
  inventory.applyReport(makeReport(1, ["a", "b"]));
  inventory.applyAccepted(makeOrder("unload", "a", 1), 0, 0);
  t.is(inventory.usedMb(spec), 80);
  inventory.applyReport(makeReport(2, ["a", "b"], true));
  t.is(inventory.usedMb(spec), 80);
  inventory.applyReport(makeReport(2, ["b"]));
  t.is(inventory.usedMb(spec), 40);
});

test("a report that lags behind an accepted order is ignored", (t) => {
  const inventory = new orders.EngineInventory(makeRecord());
  inventory.applyReport(makeReport(0, ["a"]));
  inventory.applyAccepted(makeOrder("load", "b", 0), 1_000, 0);
  t.false(inventory.applyReport(makeReport(0, ["a"])));
  t.is(inventory.usedMb(spec), 80);
});

test("reports are not used until work of another holder has ended", (t) => {
  const inventory = new orders.EngineInventory(makeRecord());
  // The previous holder has ordered a load that no report lists yet.
  t.false(inventory.applyReport(makeReport(7, ["a"], true)));
  t.false(inventory.applyReport(makeReport(7, ["a"], true)));
  t.true(inventory.applyReport(makeReport(7, ["a", "b"])));
  t.is(inventory.usedMb(spec), 80);
});

test("adapters count once accepted, also those that are loading", (t) => {
  const inventory = new orders.EngineInventory(makeRecord());
  inventory.applyReport(makeReport(0, ["a"]));
  inventory.applyAccepted(makeOrder("load", "a", 0, "a1"), 20, 0);
  t.is(inventory.adapterCount, 1);
  t.false(inventory.isBusy);
  inventory.applyReport({
    ...makeReport(2, ["a"]),
    loadingAdapters: [[model("a"), "a1"], [model("a"), "a2"]],
  });
  t.is(inventory.adapterCount, 2);
  inventory.applyAccepted(makeOrder("unload", "a", 2, "a1"), 0, 0);
  t.is(inventory.adapterCount, 1);
});

test("an engine with a model unknown to the configuration is full", (t) => {
  const inventory = new orders.EngineInventory(
    makeRecord({ models: [{ model: model("old"), adapters: [] }] }),
  );
  t.is(inventory.usedMb(spec), spec.weightMemoryMb);
});

test("cached copies shorten loads and need no weight store", (t) => {
  const inventory = new orders.EngineInventory(
    makeRecord({ modelsInMemory: [model("a")], modelsOnDisk: [model("b")] }),
  );
  const timeOf = (name: string) =>
    inventory.loadTime(spec.models.get(model(name))!);
  t.deepEqual(timeOf("a"), { ms: 100, isFromStore: false });
  t.deepEqual(timeOf("b"), { ms: 300, isFromStore: false });
  t.deepEqual(timeOf("c"), { ms: 1_000, isFromStore: true });
});

test("a report that stays behind is used after the longest lag", (t) => {
  const inventory = new orders.EngineInventory(makeRecord());
  t.true(inventory.applyReport(makeReport(9, ["a"])));
  // The engine has counted only one of the two orders.
  inventory.applyAccepted(makeOrder("load", "b", 9), 10, 0);
  inventory.applyAccepted(makeOrder("unload", "b", 10), 0, 0);
  t.is(inventory.orderCount, 11);
  t.false(inventory.applyReport(makeReport(10, ["a", "b"])));
  t.true(inventory.applyReport(makeReport(10, ["a", "b"]), false));
  t.is(inventory.orderCount, 10);
  t.is(inventory.models.get(model("b"))?.phase, "ready");
});

test("only a replica that is being loaded has an expected time", (t) => {
  const inventory = new orders.EngineInventory(makeRecord());
  inventory.applyReport(makeReport(0, ["a"]));
  inventory.applyAccepted(makeOrder("load", "b", 0), 1_000, 500);
  inventory.models.get(model("a"))!.phase = "draining";
  const availability = inventory.availability(600);
  t.like(availability.get(model("b")), { isUsable: false, readyAtMs: 1_500 });
  t.deepEqual(availability.get(model("a")), {
    isUsable: false,
    adapters: new Set(),
  });
});
