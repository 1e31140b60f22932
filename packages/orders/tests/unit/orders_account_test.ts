import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
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
  return {
    id: core.brandId<core.UpstreamId>("e1"),
    startedAtMs: 1,
    service: core.brandId<core.ServiceName>("llm"),
    address: "127.0.0.1:1",
    failureDomain: "z",
    slots: 8,
    isLeaving: false,
    models: [{ model: model("a"), adapters: [] }],
    modelsInMemory: [],
    modelsOnDisk: [],
    ...part,
  };
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

test("an account knows no order count before the first report", (t) => {
  const account = new orders.EngineAccount(makeRecord());
  t.is(account.orderCount, undefined);
  t.true(account.reported(makeReport(3, ["a"])));
  t.is(account.orderCount, 3);
});

test("a load counts from its acceptance, an unload until it is gone", (t) => {
  const account = new orders.EngineAccount(makeRecord());
  account.reported(makeReport(0, ["a"]));
  account.accepted(makeOrder("load", "b", 0), 1_000, 0);
  t.is(account.usedMb(spec), 80);
  t.true(account.isBusy);
  account.reported(makeReport(1, ["a", "b"]));
  account.accepted(makeOrder("unload", "a", 1), 0, 0);
  t.is(account.usedMb(spec), 80);
  account.reported(makeReport(2, ["a", "b"], true));
  t.is(account.usedMb(spec), 80);
  account.reported(makeReport(2, ["b"]));
  t.is(account.usedMb(spec), 40);
});

test("a report from before an accepted order is of no use", (t) => {
  const account = new orders.EngineAccount(makeRecord());
  account.reported(makeReport(0, ["a"]));
  account.accepted(makeOrder("load", "b", 0), 1_000, 0);
  t.false(account.reported(makeReport(0, ["a"])));
  t.is(account.usedMb(spec), 80);
});

test("work of another holder keeps the account in doubt until it ends", (t) => {
  const account = new orders.EngineAccount(makeRecord());
  // The holder before has ordered a load that no report lists yet.
  t.false(account.reported(makeReport(7, ["a"], true)));
  t.false(account.reported(makeReport(7, ["a"], true)));
  t.true(account.reported(makeReport(7, ["a", "b"])));
  t.is(account.usedMb(spec), 80);
});

test("adapters count from their acceptance, coming ones too", (t) => {
  const account = new orders.EngineAccount(makeRecord());
  account.reported(makeReport(0, ["a"]));
  account.accepted(makeOrder("load", "a", 0, "a1"), 20, 0);
  t.is(account.adapterCount, 1);
  t.false(account.isBusy);
  account.reported({
    ...makeReport(2, ["a"]),
    loadingAdapters: [[model("a"), "a1"], [model("a"), "a2"]],
  });
  t.is(account.adapterCount, 2);
  account.accepted(makeOrder("unload", "a", 2, "a1"), 0, 0);
  t.is(account.adapterCount, 1);
});

test("an engine with a model unknown to the configuration is full", (t) => {
  const account = new orders.EngineAccount(
    makeRecord({ models: [{ model: model("old"), adapters: [] }] }),
  );
  t.is(account.usedMb(spec), spec.weightMemoryMb);
});

test("kept copies make loads shorter and spare the weight store", (t) => {
  const account = new orders.EngineAccount(
    makeRecord({ modelsInMemory: [model("a")], modelsOnDisk: [model("b")] }),
  );
  const timeOf = (name: string) =>
    account.loadTime(spec.models.get(model(name))!);
  t.deepEqual(timeOf("a"), { ms: 100, isFromStore: false });
  t.deepEqual(timeOf("b"), { ms: 300, isFromStore: false });
  t.deepEqual(timeOf("c"), { ms: 1_000, isFromStore: true });
});

test("a report that stays behind is believed in the end", (t) => {
  const account = new orders.EngineAccount(makeRecord());
  t.true(account.reported(makeReport(9, ["a"])));
  // The engine counted one of two orders less than was thought.
  account.accepted(makeOrder("load", "b", 9), 10, 0);
  account.accepted(makeOrder("unload", "b", 10), 0, 0);
  t.is(account.orderCount, 11);
  t.false(account.reported(makeReport(10, ["a", "b"])));
  t.true(account.reported(makeReport(10, ["a", "b"]), false));
  t.is(account.orderCount, 10);
  t.is(account.models.get(model("b"))?.phase, "ready");
});
