/** Plans of replicas for requests that have to run at a software version. */
import test from "ava";
import * as core from "../../../core/mod.ts";
import * as placement from "../../mod.ts";

const model = (name: string) => core.brandId<core.ModelName>(name);
const version = (name: string) => core.brandId<core.SoftwareVersion>(name);
const engineId = (name: string) => core.brandId<core.UpstreamId>(name);

const SIZE_MB = 60;
const PINNED = { waiting: 1, pinnedVersions: new Set([version("v1")]) };

/** An engine with room for two models. */
function makeEngine(
  id: string,
  softwareVersion: string,
  held: string,
  part: Partial<placement.ReplicaEngine> = {},
): placement.ReplicaEngine {
  return {
    id: engineId(id),
    softwareVersion: version(softwareVersion),
    isUsable: true,
    canOrder: true,
    freeMb: (2 - held.length) * SIZE_MB,
    models: new Map([...held].map((name) => [model(name), {
      phase: "ready" as const,
      drainMs: 0,
      ageMs: 60_000,
    }])),
    loadMs: () => 1_500,
    needsStore: () => true,
    ...part,
  };
}

/** Plans for engines and the demand for each of four models. */
function plan(
  engines: readonly placement.ReplicaEngine[],
  demand: Record<string, Partial<placement.ModelDemand>>,
  storeLoadsAvailable = 2,
): placement.ReplicaAction[] {
  return new placement.ReplicaPlanner({
    engines,
    sizesMb: new Map([..."abcd"].map((name) => [model(name), SIZE_MB])),
    demand: new Map(
      Object.entries(demand).map(([name, modelDemand]) => [model(name), {
        ratePerS: 0,
        waiting: 0,
        workMsPerS: 0,
        pinnedVersions: new Set(),
        ...modelDemand,
      }]),
    ),
    idleMs: () => Infinity,
    unservedMs: () => 0,
    storeLoadsAvailable,
  }).plan();
}

const forModel = (actions: readonly placement.ReplicaAction[], name: string) =>
  actions.filter(({ model: planned, inFavourOf }) =>
    (inFavourOf ?? planned) === model(name)
  );

// Guards against streams that are not continued, as only engines of another
// software version hold their model.
test("a model is loaded at the version at which its requests have to run", (t) => {
  const engines = [
    makeEngine("e1", "v1", "b"),
    makeEngine("e2", "v2", "a"),
    makeEngine("e3", "v2", "ac"),
  ];
  t.deepEqual(forModel(plan(engines, { a: PINNED }, 1), "a"), [
    { kind: "load", engine: engineId("e1"), model: model("a") },
  ]);
  // Without such requests, or without a load from the store, it is not.
  t.deepEqual(forModel(plan(engines, { a: { waiting: 1 } }, 1), "a"), []);
  t.deepEqual(forModel(plan(engines, { a: PINNED }, 0), "a"), []);
});

// Guards against a first replica at a version where no queued request can run.
test("a model that no engine holds is loaded once, at the version needed", (t) => {
  const engines = [makeEngine("e1", "v2", "b"), makeEngine("e2", "v1", "")];
  t.deepEqual(
    forModel(plan(engines, { a: PINNED }), "a").map(({ engine }) => engine),
    [engineId("e2")],
  );
});

// Guards against repeated loads for the same requests.
test("no second replica is planned at a version that loads or has reserved one", (t) => {
  const replica = { phase: "loading" as const, drainMs: 0, ageMs: 100 };
  const other = makeEngine("e2", "v2", "a");
  const spare = makeEngine("e3", "v1", "b");
  for (
    const busy of [
      makeEngine("e1", "v1", "c", { models: new Map([[model("a"), replica]]) }),
      makeEngine("e1", "v1", "bc", {
        reservedFor: model("a"),
        reservedMs: 100,
      }),
    ]
  ) {
    t.deepEqual(forModel(plan([busy, other, spare], { a: PINNED }), "a"), []);
  }
});

// Guards against loads that can't help: no engine of the version is in service.
test("a version without usable engines is not loaded for", (t) => {
  const engines = [
    makeEngine("e1", "v1", "b", { isUsable: false }),
    makeEngine("e2", "v2", "a"),
    makeEngine("e3", "v2", "b"),
  ];
  t.deepEqual(forModel(plan(engines, { a: PINNED }), "a"), []);
});

test("a model is evicted for a pinned request unless it serves more", (t) => {
  const engines = [makeEngine("e1", "v1", "bc"), makeEngine("e2", "v2", "ad")];
  const inUse = { ratePerS: 1 };
  t.deepEqual(plan(engines, { a: PINNED, b: inUse }), [{
    kind: "drain",
    engine: engineId("e1"),
    model: model("c"),
    inFavourOf: model("a"),
  }]);
  t.deepEqual(plan(engines, { a: PINNED, b: inUse, c: inUse }), []);
});

// Guards against the eviction of the only replica that queued requests can use.
test("the last replica at a version stays while requests are queued for it", (t) => {
  const engines = [makeEngine("e1", "v1", "ab"), makeEngine("e2", "v2", "ab")];
  const busy = { ratePerS: 3, workMsPerS: 300 };
  const demand = { b: busy, c: { waiting: 9 } };
  const victims = (pinned: Partial<placement.ModelDemand>) =>
    plan(engines, { a: pinned, ...demand })
      .filter(({ kind, engine }) => kind === "drain" && engine === "e1")
      .map(({ model: victim }) => victim);
  t.false(victims(PINNED).includes(model("a")));
  const [e1, e2] = engines;
  t.deepEqual(
    plan([e1!, { ...e2!, canOrder: false }], {
      a: { waiting: 1 },
      ...demand,
    }).map(({ model: victim }) => victim),
    [model("a")],
  );
});
