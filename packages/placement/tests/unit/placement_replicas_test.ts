import test from "ava";
import * as core from "../../../core/mod.ts";
import * as placement from "../../mod.ts";

const model = (name: string) => core.brandId<core.ModelName>(name);
const version = (name: string) => core.brandId<core.SoftwareVersion>(name);
const engineId = (name: string) => core.brandId<core.UpstreamId>(name);

const SIZE_MB = 60;
const ENGINE_MB = 200;

interface Held {
  readonly name: string;
  readonly inFlight?: number;
  readonly drainMs?: number;
  readonly ageMs?: number;
}

/** Time until in-flight requests end, where a test gives none. */
const DRAIN_MS = 1_000;

function makeEngine(
  id: string,
  held: readonly Held[],
  part: Partial<placement.ReplicaEngine> = {},
): placement.ReplicaEngine {
  return {
    id: engineId(id),
    softwareVersion: version("v1"),
    isUsable: true,
    canOrder: true,
    freeMb: ENGINE_MB - held.length * SIZE_MB,
    models: new Map(
      held.map(({ name, inFlight, drainMs, ageMs }) => [model(name), {
        phase: "ready" as const,
        drainMs: drainMs ?? (inFlight ? DRAIN_MS : 0),
        ageMs: ageMs ?? 60_000,
      }]),
    ),
    loadMs: () => 1_500,
    needsStore: () => true,
    ...part,
  };
}

function makeView(
  engines: readonly placement.ReplicaEngine[],
  demand: Record<string, Partial<placement.ModelDemand>>,
  part: Partial<placement.ReplicaView> & { names?: string } = {},
): placement.ReplicaView {
  const names = [...(part.names ?? "abcdef")];
  return {
    engines,
    sizesMb: new Map(names.map((name) => [model(name), SIZE_MB])),
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
    storeLoadsAvailable: 3,
    ...part,
  };
}

const plan = (view: placement.ReplicaView) =>
  new placement.ReplicaPlanner(view).plan();

test("without demand, models are loaded into free memory only", (t) => {
  const actions = plan(makeView([
    makeEngine("e1", [{ name: "a" }, { name: "b" }]),
    makeEngine("e2", [{ name: "a" }, { name: "c" }, { name: "d" }]),
    makeEngine("e3", [{ name: "a" }]),
  ], {}));
  t.deepEqual(actions.map(({ kind, engine }) => [kind, engine]).sort(), [
    ["load", engineId("e1")],
    ["load", engineId("e3")],
  ]);
});

test("long-tail models requested at once each evict the least used replica", (t) => {
  const actions = plan(makeView(
    [
      makeEngine("e1", [{ name: "a", inFlight: 9 }, { name: "b" }, {
        name: "c",
      }]),
      makeEngine("e2", [{ name: "a" }, { name: "b", inFlight: 9 }, {
        name: "d",
      }]),
    ],
    {
      a: { ratePerS: 9, workMsPerS: 700 },
      b: { ratePerS: 9, workMsPerS: 700 },
      e: { waiting: 2 },
      f: { waiting: 1 },
    },
    {
      idleMs: (name) => name === model("c") || name === model("d") ? 60_000 : 0,
    },
  ));
  t.true(actions.every(({ kind }) => kind === "drain"));
  const victims = actions.map(({ model: name }) => name).sort();
  t.deepEqual(victims, [model("c"), model("d")]);
  const beneficiaries = actions.map(({ inFavourOf }) => inFavourOf).sort();
  t.deepEqual(beneficiaries, [model("e"), model("f")]);
});

test("freed memory is reserved for the model it was freed for", (t) => {
  const reserved = makeEngine("e1", [{ name: "a" }, { name: "b" }], {
    reservedFor: model("e"),
  });
  const view = makeView([
    reserved,
    makeEngine("e2", [
      { name: "a" },
      { name: "c" },
      { name: "d" },
    ]),
  ], { e: { waiting: 3 }, f: { waiting: 5 } });
  const actions = plan(view);
  t.like(actions[0], {
    kind: "load",
    model: model("e"),
    engine: engineId("e1"),
  });
  t.false(
    actions.some(({ model: name, inFavourOf }) =>
      name === model("f") && inFavourOf === undefined
    ),
  );
});

test("no second eviction is planned while memory is being freed", (t) => {
  const draining = makeEngine("e1", [{ name: "a" }, { name: "b" }], {
    freeMb: 20,
    canOrder: false,
    reservedFor: model("e"),
  });
  const other = makeEngine("e2", [{ name: "b" }, { name: "c" }, { name: "d" }]);
  const actions = plan(makeView([draining, other], { e: { waiting: 3 } }, {
    names: "abcde",
  }));
  t.deepEqual(actions, []);
});

test("a model whose demand rises evicts replicas of models without demand", (t) => {
  const actions = plan(makeView(
    [
      makeEngine("e1", [{ name: "a" }, { name: "a" }, { name: "c" }]),
      makeEngine("e2", [{ name: "a" }, { name: "d" }, { name: "f" }]),
      makeEngine("e3", [{ name: "b", inFlight: 9 }, { name: "e" }, {
        name: "c",
      }]),
    ].map((engine) => ({ ...engine, freeMb: 20 })),
    { b: { ratePerS: 20, workMsPerS: 2_000 } },
    { idleMs: () => 100 },
  ));
  t.true(actions.length > 0);
  for (const { kind, model: name, inFavourOf } of actions) {
    t.is(kind, "drain");
    t.is(inFavourOf, model("b"));
    t.not(name, model("b"));
  }
});

test("after the loss of engines, models left without a replica come first", (t) => {
  const actions = plan(makeView(
    [
      makeEngine("e1", [{ name: "a" }, { name: "b" }]),
      makeEngine("e2", [{ name: "a" }, { name: "c" }]),
      makeEngine("e3", [{ name: "d" }], { isUsable: false }),
    ],
    { d: { waiting: 4, ratePerS: 3 }, a: { ratePerS: 9, workMsPerS: 2_000 } },
  ));
  t.like(actions[0], { kind: "load", model: model("d") });
});

test("the weight store's rate limits loads, except those of cached copies", (t) => {
  const engines = ["e1", "e2", "e3"].map((id) => makeEngine(id, []));
  const demand = { a: { waiting: 1 }, b: { waiting: 1 }, c: { waiting: 1 } };
  const storeLoadsAvailable = 1;
  t.is(plan(makeView(engines, demand, { storeLoadsAvailable })).length, 1);
  const cached = engines.map((engine) => ({
    ...engine,
    needsStore: () => false,
  }));
  t.is(plan(makeView(cached, demand, { storeLoadsAvailable: 0 })).length, 3);
});

test("the only serving replica is not evicted while another one loads", (t) => {
  const loading = makeEngine("e1", [{ name: "a" }, { name: "b" }], {
    freeMb: 20,
    canOrder: false,
    models: new Map([[model("a"), {
      phase: "loading",
      drainMs: 0,
      ageMs: 100,
    }]]),
  });
  const serving = makeEngine("e2", [{ name: "a" }, { name: "a" }, {
    name: "a",
  }], { freeMb: 20 });
  const actions = plan(makeView([loading, serving], {
    a: { ratePerS: 1, workMsPerS: 100, waiting: 1 },
    e: { waiting: 5 },
  }, { names: "ae", idleMs: () => 0 }));
  t.deepEqual(actions, []);
});

test("a replica in use is evicted only if no idle one can be", (t) => {
  const actions = plan(makeView(
    [
      makeEngine("e1", [{ name: "a", inFlight: 3 }, { name: "c" }, {
        name: "b",
        inFlight: 2,
      }]),
      makeEngine("e2", [{ name: "a", inFlight: 3 }, { name: "c" }, {
        name: "d",
        inFlight: 1,
      }]),
    ].map((engine) => ({ ...engine, freeMb: 20 })),
    { a: { ratePerS: 1 }, e: { waiting: 1 } },
    { names: "abcde", idleMs: () => 0 },
  ));
  t.deepEqual(actions.map(({ kind, model: name }) => [kind, name]), [
    ["drain", model("c")],
  ]);
});

test("a replica that requests wait for is never drained", (t) => {
  const actions = plan(makeView(
    [makeEngine("e1", [{ name: "a" }, { name: "b" }, { name: "c" }])],
    {
      a: { waiting: 1 },
      b: { waiting: 1 },
      c: { waiting: 1 },
      e: { waiting: 9 },
    },
    { names: "abce" },
  ));
  t.deepEqual(actions, []);
});

test("a model without a replica evicts the one that drains soonest", (t) => {
  const actions = plan(makeView(
    [
      makeEngine("e1", [
        { name: "a", inFlight: 9, drainMs: 5_500 },
        { name: "b", inFlight: 4, drainMs: 4_000 },
        { name: "c", inFlight: 2, drainMs: 3_000 },
      ]),
      makeEngine("e2", [
        { name: "a", inFlight: 9, drainMs: 5_000 },
        { name: "b", inFlight: 9, drainMs: 5_000 },
        { name: "d" },
      ]),
    ],
    {
      a: { ratePerS: 2, workMsPerS: 100 },
      b: { ratePerS: 8, workMsPerS: 700 },
      d: { ratePerS: 0.2, workMsPerS: 20 },
      e: { ratePerS: 6, waiting: 10 },
    },
    { names: "abcde", idleMs: () => 2_000 },
  ));
  t.deepEqual(actions[0], {
    kind: "drain",
    engine: engineId("e2"),
    model: model("d"),
    inFavourOf: model("e"),
  });
});

test("with few engines, a model without a replica evicts one of two of a busy model", (t) => {
  const actions = plan(makeView(
    [
      makeEngine("e1", [
        { name: "a", inFlight: 9, drainMs: 900 },
        { name: "b", inFlight: 9, drainMs: 900 },
        { name: "c" },
      ]),
      makeEngine("e2", [
        { name: "a", inFlight: 9, drainMs: 900 },
        { name: "b", inFlight: 9, drainMs: 900 },
        { name: "d" },
      ]),
    ],
    {
      a: { ratePerS: 12, workMsPerS: 1_500 },
      b: { ratePerS: 10, workMsPerS: 1_000 },
      c: { waiting: 2 },
      d: { waiting: 2 },
      e: { ratePerS: 15, waiting: 20, workMsPerS: 1_500 },
    },
    { names: "abcde", idleMs: () => 0 },
  ));
  t.like(actions[0], {
    kind: "drain",
    model: model("b"),
    inFavourOf: model("e"),
  });
});

test("a long-tail model evicts no replica that a busy model needs", (t) => {
  const actions = plan(makeView(
    [
      makeEngine("e1", [{ name: "a" }, { name: "b" }, { name: "c" }]),
      makeEngine("e2", [{ name: "a" }, { name: "b" }, { name: "d" }]),
    ],
    {
      a: { ratePerS: 12, workMsPerS: 1_500 },
      b: { ratePerS: 10, workMsPerS: 1_500 },
      c: { ratePerS: 0.4 },
      d: { ratePerS: 0.4 },
      e: { waiting: 1, ratePerS: 0.3 },
    },
    { names: "abcde", idleMs: () => 500 },
  ));
  t.deepEqual(actions, []);
});

test("long-tail models with similar demand do not evict each other in turn", (t) => {
  const held = makeEngine("e1", [{ name: "a" }, { name: "b" }, { name: "c" }]);
  const demand = {
    a: { ratePerS: 0.3 },
    b: { ratePerS: 0.3 },
    c: { ratePerS: 0.3 },
    e: { ratePerS: 0.3, waiting: 1 },
  };
  const names = "abce";
  t.deepEqual(plan(makeView([held], demand, { names, idleMs: () => 900 })), []);
  const lowered = { ...demand, b: { ratePerS: 0.02 } };
  const later = plan(makeView([held], lowered, {
    names,
    idleMs: (name) => name === model("b") ? 20_000 : 900,
  }));
  t.deepEqual(later.map(({ model: name }) => name), [model("b")]);
  const starved = plan(makeView([held], demand, {
    names,
    idleMs: () => 900,
    unservedMs: (name) => name === model("e") ? 8_000 : 0,
  }));
  t.is(starved.length, 1);
});

test("a draining replica is unloaded once idle or after the time limit", (t) => {
  const draining = { sinceMs: 1_000, inFlight: 2 };
  t.false(placement.mayUnload(draining));
  t.true(placement.mayUnload({ ...draining, inFlight: 0 }));
  t.false(placement.mayUnload({ sinceMs: 20, inFlight: 0 }));
  t.true(placement.mayUnload({ sinceMs: 60_000, inFlight: 2 }));
});

test("a late reservation with a backlog leads to a second eviction", (t) => {
  const late = makeEngine("e1", [{ name: "a" }, { name: "b" }], {
    freeMb: 20,
    reservedFor: model("e"),
    reservedMs: 1_500,
  });
  const other = makeEngine("e2", [{ name: "c" }, { name: "d" }, { name: "f" }]);
  const planFor = (engine: placement.ReplicaEngine, waiting: number) => {
    const inUse = { ratePerS: 1 };
    const demand = { c: inUse, d: inUse, f: inUse, e: { waiting } };
    return plan(makeView([engine, other], demand));
  };
  t.deepEqual(planFor(late, 2), []);
  t.deepEqual(planFor({ ...late, reservedMs: 200 }, 20), []);
  t.deepEqual(planFor({ ...late, freeMb: 80, canOrder: false }, 20), []);
  t.like(planFor(late, 20)[0], {
    kind: "drain",
    engine: engineId("e2"),
    inFavourOf: model("e"),
  });
});
