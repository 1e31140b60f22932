import test from "ava";
import * as fc from "fast-check";
import {
  ArrivalOrder,
  type OrderedRequest,
  type ServiceOrder,
  TeamOrder,
  type UnderservedTeam,
} from "../../mod.ts";
import { makeRequest, SharedEngines, teamName } from "../shared_engines.ts";

const anyRequest = fc.record({
  priority: fc.nat(2),
  isContinuation: fc.boolean(),
  arrivedAtMs: fc.nat(50),
  targetAtMs: fc.nat(100),
  modelKey: fc.constantFrom("a", "b", "c"),
  workMs: fc.constantFrom(0, 10, 100),
});

function triedBy(
  order: ServiceOrder,
  requests: readonly OrderedRequest[],
  granted: readonly OrderedRequest[],
): OrderedRequest[] {
  const tried: OrderedRequest[] = [];
  for (const request of requests) order.onQueued(request, 0);
  order.serve(requests, 50, (request) => {
    tried.push(request);
    return granted.includes(request);
  });
  return tried;
}

// Guards against another order in deployments without teams, and among the
// requests of one team.
test("requests of one team, or of none, are tried in the order without teams", (t) => {
  const scenario = fc.record({
    requests: fc.array(anyRequest, { maxLength: 40 }),
    grantedEvery: fc.integer({ min: 1, max: 5 }),
    team: fc.constantFrom(teamName("a"), undefined),
  });
  fc.assert(fc.property(scenario, ({ requests, grantedEvery, team }) => {
    const own = requests.map((request) =>
      team ? { ...request, team } : request
    );
    const granted = own.filter((_, n) => n % grantedEvery === 0);
    const expected = triedBy(new ArrivalOrder(), own, granted);
    t.deepEqual(triedBy(new TeamOrder(), own, granted), expected);
  }));
});

// Guards against memory that grows with the names of teams and of models, which
// callers choose.
test("thousands of teams and models leave a bounded state", (t) => {
  const order = new TeamOrder();
  for (let n = 0; n < 5_000; n++) {
    const team = teamName(n);
    const request = makeRequest({ team, modelKey: `m${n}` });
    order.recordArrival(request, 1, n);
    order.recordGrant(request);
    order.recordGrant(makeRequest({ team }));
    const waiting = makeRequest({ team });
    order.onQueued(waiting, n);
    order.onDequeued(waiting);
  }
  t.true(order.pools <= 129, `${order.pools} pools`);
  t.true(order.teamsOf({ priority: 0, modelKey: "m" }) <= 65);
  t.true(Object.keys(order.totals.gauges()).length <= 70);
});

// Guards against teams that pay for engines that refuse, or for the estimates
// of others.
test("a team is charged what its requests took", (t) => {
  const order = new TeamOrder();
  const shared = new SharedEngines(order);
  const [a, b] = ["a", "b"].map((name) =>
    makeRequest({ team: teamName(name) })
  );
  const next = () => {
    shared.add(a!);
    shared.add(b!);
    const first = shared.serveOne();
    shared.remove(a!);
    shared.remove(b!);
    return first;
  };
  t.is(next(), a);
  order.correctGrant(a!, 0);
  t.is(next(), a, "it did not run");
  order.correctGrant(a!, 190);
  t.is(next(), b);
  t.is(next(), b, "it took about two of the other's");
  t.is(next(), a);
});

// Guards against a team that gets more because its streams are longer than those
// that the estimate was made from.
test("a team whose requests take twice the estimate gets no more than others", (t) => {
  const shared = new SharedEngines(new TeamOrder());
  const running: OrderedRequest[] = [];
  const tookMs = new Map<unknown, number>();
  for (let n = 0; n < 300; n++) {
    for (const name of ["long", "usual"]) {
      shared.add(makeRequest({ team: teamName(name), arrivedAtMs: n }));
    }
    const request = shared.serveOne()!;
    const workMs = request.team === teamName("long") ? 200 : 100;
    tookMs.set(request.team, (tookMs.get(request.team) ?? 0) + workMs);
    running.push(request);
    const ended = running.length > 5 ? running.shift()! : undefined;
    const isLong = ended?.team === teamName("long");
    if (isLong) shared.order.correctGrant(ended!, 200);
  }
  const gapMs = tookMs.get("long")! - tookMs.get("usual")!;
  t.true(Math.abs(gapMs) <= 800, `${gapMs} ms`);
});

// Guards against a client that leaves and comes back to be served sooner than
// those of its team that stay.
test("who comes back waits behind its team, and leaves the team's charge", (t) => {
  const order = new TeamOrder();
  const shared = new SharedEngines(order);
  const a = teamName("a");
  const other = makeRequest({ team: teamName("b"), arrivedAtMs: 9 });
  const [first, stays] = [0, 1].map((arrivedAtMs) =>
    makeRequest({ team: a, arrivedAtMs })
  );
  shared.add(first!);
  shared.add(stays!);
  t.is(shared.serveOne(), first);
  for (let n = 2; n < 50; n++) {
    const repeated = makeRequest({ team: a, arrivedAtMs: n });
    shared.add(repeated);
    if (n < 49) shared.remove(repeated);
  }
  t.is(order.ahead(shared.queued, other).count, 0);
  shared.add(other);
  t.is(shared.serveOne(), other);
  t.is(shared.serveOne(), stays);
});

// Guards against an operator who does not learn that a team is starved.
test("a team that waits and is served less than half of its share is reported once", (t) => {
  const reports: UnderservedTeam[] = [];
  const order = new TeamOrder({ onUnderserved: (team) => reports.push(team) });
  const shared = new SharedEngines(order);
  for (let nowMs = 0; nowMs < 8_000; nowMs += 100) {
    for (const name of ["served", "starved"]) {
      shared.add(makeRequest({ team: teamName(name) }));
    }
    shared.serveOne(({ team }) => team === teamName("served"), nowMs);
  }
  t.is(reports.length, 1);
  const { team, waitedMs, grantedMs, dueMs } = reports[0]!;
  t.is(team, teamName("starved"));
  t.deepEqual([waitedMs, grantedMs], [1_000, 0]);
  t.true(dueMs > 400 && dueMs < 600);
});

test("teams that are served fairly are not reported", (t) => {
  const reports: UnderservedTeam[] = [];
  const order = new TeamOrder({ onUnderserved: (team) => reports.push(team) });
  const shared = new SharedEngines(order);
  for (let nowMs = 0; nowMs < 8_000; nowMs += 100) {
    for (let n = 0; n < 16; n++) {
      shared.add(
        makeRequest({ team: teamName(n), workMs: n === 0 ? 1_000 : 100 }),
      );
    }
    shared.serveOne(undefined, nowMs);
  }
  t.deepEqual(reports, []);
});
