import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as store from "../../../store/mod.ts";
import * as routing from "../../mod.ts";

const STALE_AFTER_MS = 5_000;
const ARTIFACT = core.brandId<core.ArtifactId>("llama@1");

function listed(
  id: string,
  change: Partial<store.ListedInstance> = {},
): store.ListedInstance {
  return {
    id,
    kind: "engine",
    address: `http://127.0.0.1/${id}`,
    failureDomain: "calama",
    state: "live",
    ...change,
  };
}

function load(
  id: string,
  change: Partial<routing.EngineLoad> = {},
): routing.EngineLoad {
  return {
    upstreamId: core.brandId<core.UpstreamId>(id),
    incarnation: core.brandId<core.Incarnation>("in-1"),
    sequence: 1,
    artifacts: [ARTIFACT],
    running: 0,
    waiting: 0,
    slots: 4,
    firstTokenMs: 100,
    tokenMs: 10,
    capacityBytes: 100,
    usedBytes: 50,
    leaving: false,
    silent: false,
    ...change,
  };
}

function makeFleet(...ids: string[]): routing.Fleet {
  const fleet = new routing.Fleet(STALE_AFTER_MS);
  fleet.mergeList(ids.map((id) => listed(id)));
  for (const id of ids) fleet.mergeLoad(load(id), 0);
  return fleet;
}

function usableIds(fleet: routing.Fleet): string[] {
  return fleet.usableEngines().map(({ upstreamId }) => String(upstreamId));
}

interface LeavingCase {
  readonly source: string;
  readonly report: (fleet: routing.Fleet) => void;
}

const leavingCases: LeavingCase[] = [
  {
    source: "the list",
    report: (fleet) =>
      fleet.mergeList([listed("a", { state: "leaving" }), listed("b")]),
  },
  {
    source: "its own report",
    report: (fleet) =>
      fleet.mergeLoad(load("a", { sequence: 2, leaving: true }), 0),
  },
  { source: "a peer", report: (fleet) => fleet.markLeaving("a") },
];

for (const { source, report } of leavingCases) {
  test(`an engine stays unused once ${source} says that it is leaving`, (t) => {
    const fleet = makeFleet("a", "b");
    report(fleet);
    t.deepEqual(usableIds(fleet), ["b"]);
    fleet.mergeLoad(load("a", { sequence: 3 }), 0);
    t.deepEqual(usableIds(fleet), ["b"]);
    t.true(fleet.leavingIds().includes("a") || source === "its own report");
  });
}

test("a restarted engine is used again", (t) => {
  const fleet = makeFleet("a");
  fleet.mergeLoad(load("a", { sequence: 2, leaving: true }), 0);
  t.deepEqual(usableIds(fleet), []);
  fleet.mergeLoad(
    load("a", { incarnation: core.brandId<core.Incarnation>("in-2") }),
    0,
  );
  t.deepEqual(usableIds(fleet), ["a"]);
});

test("a service instance that a peer reports as leaving is not used", (t) => {
  const fleet = new routing.Fleet(STALE_AFTER_MS);
  const change = { kind: "service", service: "orders" } as const;
  fleet.mergeList([listed("s1", change), listed("s2", change)]);
  fleet.markLeaving("s1");
  t.deepEqual(fleet.usableServiceInstances("orders").map(({ id }) => id), [
    "s2",
  ]);
  fleet.avoidServiceInstance("s2", 10_000);
  t.deepEqual(fleet.usableServiceInstances("orders"), []);
});

test("older, repeated and late reports are not merged", (t) => {
  const fleet = makeFleet("a");
  t.false(fleet.mergeLoad(load("a"), 0));
  t.true(fleet.mergeLoad(load("a", { sequence: 5 }), 0));
  t.false(fleet.mergeLoad(load("a", { sequence: 4 }), 0));
  const old = load("a", {
    incarnation: core.brandId<core.Incarnation>("in-0"),
    sequence: 9,
  });
  t.false(fleet.mergeLoad(old, 60_000));
  t.is(fleet.engine(core.brandId("a"))?.load?.sequence, 5);
});

test("an unresponsive engine is not used until a newer report arrives", (t) => {
  const fleet = makeFleet("a", "b");
  fleet.mergeLoad(load("a", { sequence: 5 }), 0);
  fleet.mergeLoad(load("a", { sequence: 4, silent: true }), 0);
  t.deepEqual(usableIds(fleet), ["a", "b"]);
  t.true(fleet.mergeLoad(load("a", { sequence: 5, silent: true }), 0));
  t.deepEqual(usableIds(fleet), ["b"]);
  t.false(fleet.mergeLoad(load("a", { sequence: 5 }), 0));
  fleet.mergeLoad(load("a", { sequence: 6 }), 0);
  t.deepEqual(usableIds(fleet), ["a", "b"]);
});

test("an engine whose last report is stale is not used", (t) => {
  const fleet = new routing.Fleet(STALE_AFTER_MS);
  fleet.mergeList([listed("a")]);
  fleet.mergeLoad(load("a"), STALE_AFTER_MS + 1);
  t.deepEqual(usableIds(fleet), []);
});

test("local requests sent since a report are added to it", (t) => {
  const fleet = makeFleet("a");
  const view = fleet.engine(core.brandId("a"));
  if (!view) throw new Error("No view");
  fleet.mergeLoad(load("a", { sequence: 2, running: 3 }), 0);
  view.localInFlight += 2;
  t.is(view.inFlight, 5);
  fleet.mergeLoad(load("a", { sequence: 3, running: 5 }), 0);
  t.is(view.inFlight, 5);
  view.localInFlight -= 2;
  t.is(view.inFlight, 3);
});

function request(
  prefixHash = 1,
  remainingMs = 1_000,
): routing.RoutedRequest {
  return {
    artifactId: ARTIFACT,
    tokensMax: 10,
    prefixHash,
    priority: 5,
    remainingMs,
  };
}

test("the estimate includes the wait for a slot", (t) => {
  const fleet = makeFleet("a");
  fleet.mergeLoad(load("a", { sequence: 2, running: 4, waiting: 3 }), 0);
  const view = fleet.engine(core.brandId("a"));
  if (!view) throw new Error("No view");
  view.serviceMs = 400;
  const { firstTokenInMs, completionInMs } = routing
    .estimateCompletion(view, request());
  t.is(firstTokenInMs, 100 + 4 / 4 * 400);
  t.is(completionInMs, firstTokenInMs + 100);
});

test("estimated routing prefers the engine of a cached prefix within a bound", (t) => {
  const policy = new routing.EstimatedRouting({
    affinityMaxMs: 50,
    prefixesMax: 2,
  });
  const fleet = makeFleet("a", "b");
  const views = fleet.usableEngines();
  const first = policy.choose(views, request());
  for (let n = 0; n < 20; n++) t.is(policy.choose(views, request()), first);
  if (!first) throw new Error("Nothing chosen");
  first.localInFlight = 40;
  const other = policy.choose(views, request());
  t.truthy(other);
  t.not(other, first);
});

test("prefix affinity gives way when the response would miss its deadline", (t) => {
  const policy = new routing.EstimatedRouting({
    affinityMaxMs: 10_000,
    prefixesMax: 2,
  });
  const views = makeFleet("a", "b").usableEngines();
  const first = policy.choose(views, request());
  if (!first) throw new Error("Nothing chosen");
  first.localInFlight = 8;
  t.is(policy.choose(views, request(1, 60_000)), first);
  t.not(policy.choose(views, request(1, 400)), first);
});

test("policies choose nothing without candidates", (t) => {
  const policies = [
    new routing.RoundRobinRouting(),
    new routing.LeastReportedRouting(),
    new routing.EstimatedRouting({ affinityMaxMs: 1, prefixesMax: 1 }),
  ];
  for (const policy of policies) t.is(policy.choose([], request()), undefined);
});

test("retries are limited to a share of requests", (t) => {
  const budget = new routing.RetryBudget({
    retriesPerRequest: 0.1,
    balanceMax: 2,
  });
  t.true(budget.trySpend());
  t.true(budget.trySpend());
  t.false(budget.trySpend());
  for (let n = 0; n < 11; n++) budget.recordRequest();
  t.true(budget.trySpend());
  t.false(budget.trySpend());
});
