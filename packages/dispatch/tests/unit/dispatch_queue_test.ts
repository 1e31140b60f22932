import test from "ava";
import * as core from "../../../core/mod.ts";
import * as fairness from "../../../fairness/mod.ts";
import * as dispatch from "../../mod.ts";

const [a, b] = ["a", "b"].map((name) => core.brandId<core.TeamName>(name));

function requestOf(team: core.TeamName, change = {}) {
  return {
    team,
    priority: 0,
    arrivedAtMs: 0,
    targetAtMs: Infinity,
    modelKey: "m",
    workMs: 100,
    ...change,
  };
}

// Guards against a team that takes every free place with requests that have
// just arrived, while requests of others wait.
test("a request that arrives lets those of other teams pass, but not its own", (t) => {
  const queue = new dispatch.RequestQueue(new fairness.TeamOrder());
  const tried: string[] = [];
  let places = 0;
  const trySelect = (name: string) => () => {
    tried.push(name);
    return places-- > 0 ? name : undefined;
  };
  const add = (name: string, team: core.TeamName) =>
    queue.add({
      ...requestOf(team),
      trySelect: () => trySelect(name)() !== undefined,
    });
  places = 1;
  t.is(queue.selectOnArrival(requestOf(a!), trySelect("a1")), "a1");
  places = 0;
  for (let n = 0; n < 50; n++) add(`b${n}`, b!);
  // It is charged for a1, so that those of b come first; of these one is tried.
  t.is(queue.selectOnArrival(requestOf(a!), trySelect("a2")), undefined);
  t.deepEqual(tried, ["a1", "b0", "a2"]);
  places = 1;
  t.is(queue.selectOnArrival(requestOf(a!), trySelect("a3")), undefined);
  t.deepEqual(tried.slice(3, 4), ["b0"]);
  t.is(queue.size, 49);
});

// Guards against places that are kept for callers who have left.
test("a request that leaves frees its place at once", async (t) => {
  const order = new fairness.TeamOrder();
  const queue = new dispatch.RequestQueue(order);
  const callers = [a!, a!, b!].map((team) => {
    const aborter = new AbortController();
    const wait = queue.wait<string>(requestOf(team), {
      trySelect: () => undefined,
      waitUntilMs: core.monotonicMs() + 60_000,
      signal: aborter.signal,
      giveUp: () => "left",
    });
    return { aborter, wait };
  });
  t.is(queue.ahead(requestOf(b!)).count, 3);
  for (const { aborter } of callers.slice(0, 2)) aborter.abort();
  t.is(queue.ahead(requestOf(b!)).count, 1);
  t.is(queue.size, 1);
  t.is(order.totals.gauges()['team_waiting{others="true"}'], 1);
  callers[2]!.aborter.abort();
  await Promise.all(callers.map(({ wait }) => wait));
  t.is(queue.size, 0);
  t.deepEqual(order.totals.gauges(), {});
});

// Guards against two engines for one request, whose wait was ended by what was
// selected for the one before it.
test("a request that left during a pass is not tried", (t) => {
  const queue = new dispatch.RequestQueue();
  const tried: string[] = [];
  queue.add({
    ...requestOf(a!),
    trySelect: () => {
      tried.push("first");
      leave();
      return true;
    },
  });
  const leave = queue.add({
    ...requestOf(a!, { arrivedAtMs: 1 }),
    trySelect: () => {
      tried.push("second");
      return true;
    },
  });
  queue.trySelectAll(0);
  t.deepEqual(tried, ["first"]);
  t.is(queue.size, 0);
});
