import test from "ava";
import * as core from "../../../core/mod.ts";
import * as table from "../../../table/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as placement from "../../mod.ts";

const editId = core.brandId<core.EditId>("ed-1");
const operatorId = core.brandId<core.OperatorId>("ana");

const rows = ["a", "b", "c", "d"].map((name) => testing.makeRow(name));
const fitAdapter = testing.makeAdapter("a-fit", "a");
const tableRows = table.makeSnapshot(
  1,
  [...rows, fitAdapter].map((row) => ({
    revision: 1,
    row,
    editId,
    operatorId,
  })),
).rows;

interface Held {
  readonly name: string;
  readonly residentMs?: number;
  readonly state?: "resident" | "changing";
}

function engine(
  id: string,
  held: readonly Held[],
  change: Partial<placement.PlacedEngine> = {},
): placement.PlacedEngine {
  const artifacts = held.map((
    { name, residentMs = 60_000, state = "resident" },
  ): placement.PlacedArtifact => {
    const row = tableRows.get(core.brandId(name))?.row;
    if (!row) throw new Error(`No row ${name}`);
    return {
      artifactId: table.artifactIdOf(row),
      rowName: row.name,
      weightBytes: row.weightBytes,
      state,
      residentMs,
    };
  });
  const usedBytes = artifacts.reduce((sum, one) => sum + one.weightBytes, 0);
  return {
    upstreamId: core.brandId(id),
    freeBytes: 45 - usedBytes,
    slots: 4,
    slotUsage: 0,
    artifacts,
    isOrderingPaused: false,
    ...change,
  };
}

interface RowLoad {
  readonly ratePerS?: number;
  readonly waiting?: number;
  readonly inProgress?: number;
  readonly waitedMs?: number;
}

function view(
  engines: readonly placement.PlacedEngine[],
  loads: Readonly<Record<string, RowLoad>>,
  change: Partial<placement.PlacementView> = {},
): placement.PlacementView {
  const demand = new Map(
    Object.entries(loads).map(([name, one]) => {
      const { ratePerS = 0, waiting = 0, inProgress = 0 } = one;
      const rowName = core.brandId<core.RowName>(name);
      const serviceMs = 500;
      return [rowName, {
        rowName,
        ratePerS,
        waiting,
        serviceMs,
        inProgress,
      }] as const;
    }),
  );
  return {
    rows: tableRows,
    engines,
    demand,
    waitedMs: (name) => loads[name]?.waitedMs ?? 0,
    lastUsedAtMs: (name) => loads[name] ? core.monotonicMs() : -Infinity,
    modelLoadSlotsFree: 3,
    adapterLoadSlotsFree: 24,
    ...change,
  };
}

function render(actions: readonly placement.PlacementAction[]): string[] {
  return actions.map((action) =>
    action.kind === "load"
      ? `load ${action.row.name} on ${action.upstreamId}`
      : `unload ${action.artifactId} on ${action.upstreamId}`
  );
}

const demandPolicy = new placement.DemandPlacement({
  attainmentWeight: 0.5,
  residentMinMs: 10_000,
});

/** A view in which an engine holds only the previous version of a row. */
function viewWithNewVersion(): placement.PlacementView {
  const held = view([engine("e1", [{ name: "a" }])], {});
  const row = testing.makeRow("a", { version: "2" });
  const next = new Map(tableRows);
  next.set(row.name, { revision: 2, row, editId, operatorId });
  return { ...held, rows: next };
}

interface PlanCase {
  readonly name: string;
  readonly view: placement.PlacementView;
  readonly plan: readonly string[];
}

const cases: PlanCase[] = [
  {
    name: "nothing is loaded or unloaded while no request waits",
    view: view([engine("e1", [{ name: "a" }])], { a: { ratePerS: 1 } }),
    plan: [],
  },
  {
    name: "a row on a cold start is loaded where memory is free",
    view: view(
      [engine("e1", [{ name: "a" }, { name: "b" }]), engine("e2", [])],
      { c: { waiting: 1 } },
    ),
    plan: ["load c on e2"],
  },
  {
    name: "an idle artifact is evicted",
    view: view([engine("e1", [{ name: "a" }, { name: "b" }])], {
      a: { ratePerS: 2 },
      c: { waiting: 1 },
    }),
    plan: ["unload b@1 on e1"],
  },
  {
    name: "an artifact in use that was just loaded is not evicted",
    view: view(
      [engine("e1", [
        { name: "a", residentMs: 100 },
        { name: "b", residentMs: 100 },
      ])],
      { a: { ratePerS: 2 }, b: { ratePerS: 2 }, c: { waiting: 1 } },
    ),
    plan: [],
  },
  {
    name: "an artifact resident for less than 1 s stays even for a starved row",
    view: view(
      [engine("e1", [
        { name: "a", residentMs: 900 },
        { name: "b", residentMs: 900 },
      ])],
      {
        a: { ratePerS: 9 },
        b: { ratePerS: 2 },
        c: { waiting: 1, waitedMs: 5_000 },
      },
    ),
    plan: [],
  },
  {
    name:
      "of rows with the same demand, the one resident for longest is evicted",
    view: view(
      [engine("e1", [
        { name: "a", residentMs: 3_000 },
        { name: "b", residentMs: 4_000 },
      ])],
      {
        a: { waiting: 1 },
        b: { waiting: 1 },
        c: { waiting: 1, waitedMs: 5_000 },
      },
    ),
    plan: ["unload b@1 on e1"],
  },
  {
    name: "a starved row evicts one that has been resident for more than 1 s",
    view: view(
      [engine("e1", [
        { name: "a", residentMs: 2_000 },
        { name: "b", residentMs: 2_000 },
      ])],
      {
        a: { ratePerS: 9 },
        b: { ratePerS: 2 },
        c: { waiting: 1, waitedMs: 5_000 },
      },
    ),
    plan: ["unload b@1 on e1"],
  },
  {
    name: "an adapter's base model is loaded first",
    view: view([engine("e1", [])], { "a-fit": { waiting: 1 } }),
    plan: ["load a on e1"],
  },
  {
    name: "an adapter is loaded where its base model is",
    view: view([engine("e1", []), engine("e2", [{ name: "a" }])], {
      "a-fit": { waiting: 1 },
    }),
    plan: ["load a-fit on e2"],
  },
  {
    name: "an adapter's base model is not evicted to make room for it",
    view: view([engine("e1", [{ name: "a" }, { name: "b" }], {
      freeBytes: 0,
    })], { "a-fit": { waiting: 1 } }),
    plan: ["unload b@1 on e1"],
  },
  {
    name: "nothing is evicted while no load slot is free",
    view: view(
      [engine("e1", [{ name: "a" }, { name: "b" }])],
      { c: { waiting: 1 } },
      { modelLoadSlotsFree: 0 },
    ),
    plan: [],
  },
  {
    name: "a row that is being loaded is not loaded twice",
    view: view(
      [engine("e1", [{ name: "c", state: "changing" }]), engine("e2", [])],
      { c: { waiting: 1 } },
    ),
    plan: [],
  },
  {
    name: "an engine whose ordering is paused gets no orders",
    view: view([engine("e1", [], { isOrderingPaused: true })], {
      c: { waiting: 1 },
    }),
    plan: [],
  },
  {
    name: "a busy row gets a replica in free memory",
    view: view(
      [engine("e1", [{ name: "a" }], { slotUsage: 1 }), engine("e2", [])],
      { a: { ratePerS: 10 } },
    ),
    plan: ["load a on e2"],
  },
  {
    name: "requests in progress count as demand before any has been served",
    view: view(
      [engine("e1", [{ name: "a" }], { slotUsage: 1 }), engine("e2", [])],
      { a: { inProgress: 4 } },
    ),
    plan: ["load a on e2"],
  },
  {
    name: "a busy row gets no replica in place of a row in use",
    view: view(
      [
        engine("e1", [{ name: "a" }], { slotUsage: 1 }),
        engine("e2", [{ name: "b" }, { name: "c" }]),
      ],
      { a: { ratePerS: 10 }, b: { ratePerS: 1 }, c: { ratePerS: 1 } },
    ),
    plan: [],
  },
  {
    name: "a new version is loaded before requests wait for it",
    view: viewWithNewVersion(),
    plan: ["load a on e1"],
  },
  {
    name: "rows are loaded by priority, then by waiting time",
    view: view([engine("e1", []), engine("e2", [])], {
      b: { waiting: 1, waitedMs: 10 },
      c: { waiting: 1, waitedMs: 900 },
    }, { modelLoadSlotsFree: 1 }),
    plan: ["load c on e1"],
  },
];

for (const { name, view: given, plan } of cases) {
  test(name, (t) => t.deepEqual(render(demandPolicy.plan(given)), [...plan]));
}

test("lru evicts the least recently used row", (t) => {
  const given = view([engine("e1", [{ name: "a" }, { name: "b" }])], {
    c: { waiting: 1 },
  }, { lastUsedAtMs: (name) => name === "a" ? 100 : 50 });
  const plan = render(new placement.LruPlacement().plan(given));
  t.deepEqual(plan, ["unload b@1 on e1"]);
});

test("demand is summed over instances and dropped when they report none", (t) => {
  const aggregator = new placement.DemandAggregator();
  const rowName = core.brandId<core.RowName>("a");
  const demand = {
    rowName,
    ratePerS: 2,
    waiting: 1,
    serviceMs: 100,
    inProgress: 1,
  };
  aggregator.setReport(core.brandId("entry-1"), [demand]);
  aggregator.setReport(core.brandId("entry-2"), [{
    ...demand,
    serviceMs: 300,
  }]);
  t.deepEqual(aggregator.totals().get(rowName), {
    rowName,
    ratePerS: 4,
    waiting: 2,
    serviceMs: 300,
    inProgress: 2,
  });
  t.true(aggregator.waitedMs(rowName) >= 0);
  aggregator.setReport(core.brandId("entry-1"), []);
  aggregator.setReport(core.brandId("entry-2"), []);
  t.is(aggregator.totals().size, 0);
  t.is(aggregator.waitedMs(rowName), 0);
});

test("a rejected request counts as waiting until its row can be served", (t) => {
  const demand = new placement.LocalDemand();
  const rowName = core.brandId<core.RowName>("a");
  demand.recordRejection(rowName);
  t.is(demand.collect()[0]?.waiting, 1);
  demand.clearRejections(rowName);
  t.is(demand.collect()[0]?.waiting ?? 0, 0);
});
