import test from "ava";
import * as core from "../../../core/mod.ts";
import * as placement from "../../mod.ts";

const model = (name: string) => core.brandId<core.ModelName>(name);

function plan(recency: placement.RequestRecency, nowMs: number) {
  const sizesMb = new Map([["busy", 50], ["quiet", 50], ["rare", 50]]
    .map(([name, mb]) => [model(name as string), mb as number]));
  const ready = { phase: "ready", drainMs: 0, ageMs: 60_000 } as const;
  const engine = (id: string, names: string[]): placement.ReplicaEngine => ({
    id: core.brandId<core.UpstreamId>(id),
    softwareVersion: core.brandId<core.SoftwareVersion>("v1"),
    isUsable: true,
    canOrder: true,
    freeMb: 0,
    models: new Map(names.map((name) => [model(name), ready])),
    loadMs: () => 1_400,
    needsStore: () => true,
  });
  return new placement.ReplicaPlanner({
    engines: [engine("e1", ["busy"]), engine("e2", ["quiet", "rare"])],
    sizesMb,
    demand: new Map([[model("busy"), {
      ratePerS: 1,
      waiting: 0,
      workMsPerS: 900,
      pinnedVersions: new Set(),
    }]]),
    idleMs: (name) => recency.idleMs(name, nowMs),
    unservedMs: () => 0,
    storeLoadsAvailable: 5,
  }).plan();
}

test("the first second of traffic evicts no model for a busier one", (t) => {
  const recency = new placement.RequestRecency();
  recency.record([model("busy")], 10_000);
  recency.record([model("busy")], 11_000);
  t.deepEqual(plan(recency, 11_000), []);
});

test("a model that stays without requests makes room in the end", (t) => {
  const recency = new placement.RequestRecency();
  recency.record([model("busy")], 10_000);
  recency.record([model("busy")], 40_000);
  t.like(plan(recency, 40_000), [{ kind: "drain", inFavourOf: "busy" }]);
});

test("idle times count from a model's own or the first request", (t) => {
  const recency = new placement.RequestRecency();
  t.is(recency.idleMs(model("rare"), 5), Infinity);
  recency.record([model("busy")], 100);
  recency.record([model("quiet")], 300);
  t.is(recency.idleMs(model("quiet"), 400), 100);
  t.is(recency.idleMs(model("rare"), 400), 300);
});
