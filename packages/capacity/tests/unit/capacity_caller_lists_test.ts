import test from "ava";
import fc from "fast-check";
import * as core from "../../../core/mod.ts";
import { CallerLists, LIST_LENGTH_MAX, type ListedNode } from "../../mod.ts";
import {
  callerShares,
  LARGE,
  makeEqualFleet,
  makeMixedFleet,
  toListed,
} from "../fleets.ts";

const healthy = () => 1;
const DOMAINS = [1, 2, 3, 4, 5, 8];

function membersOf(nodes: readonly ListedNode[], health = healthy) {
  const lists = new CallerLists(nodes);
  return new Map(
    lists.names.map((name) => [name, lists.nodesOf(name, health)]),
  );
}

/** Addresses that are in one answer and not in the other, over all lists. */
function countChanges(
  before: ReadonlyMap<string, readonly core.InstanceId[]>,
  after: ReadonlyMap<string, readonly core.InstanceId[]>,
  except?: core.InstanceId,
): number {
  let changes = 0;
  for (const [name, nodes] of before) {
    const others = after.get(name) ?? [];
    changes += nodes.filter((each) => each !== except && !others.includes(each))
      .length;
    changes += others.filter((each) => each !== except && !nodes.includes(each))
      .length;
  }
  return changes;
}

// Guards against equal shares: 58 machines with a seventh to a quarter of the
// processor of the others got as many callers as those.
for (const count of [25, 84, 390]) {
  test(`at ${count} nodes callers are in proportion to size within a third`, (t) => {
    for (const domains of DOMAINS) {
      const nodes = toListed(makeMixedFleet(count, domains));
      const shares = callerShares(new CallerLists(nodes));
      const weightSum = nodes.reduce((sum, { weight }) => sum + weight, 0);
      const bySize = new Map<number, { got: number; due: number }>();
      for (const { node, weight } of nodes) {
        const got = shares.get(node) ?? 0;
        const due = weight / weightSum;
        const size = bySize.get(weight) ?? { got: 0, due: 0 };
        bySize.set(weight, { got: size.got + got, due: size.due + due });
        const label = `${node} of ${count} in ${domains}: ${got / due}`;
        t.true(got / due > 0.33 && got / due < 2.5, label);
      }
      for (const [weight, { got, due }] of bySize) {
        const label = `weight ${weight} in ${domains} domains: ${got / due}`;
        t.true(got / due > 0.67 && got / due < 1.33, label);
      }
    }
  });
}

test("at 4 nodes each list has three, and a larger node no fewer callers", (t) => {
  for (const domains of [1, 2, 4]) {
    const nodes = toListed(makeMixedFleet(4, domains));
    const lists = new CallerLists(nodes);
    const shares = callerShares(lists);
    for (const name of lists.names) {
      t.true(lists.nodesOf(name, healthy).length >= 3);
    }
    const smallest = Math.min(...nodes.map(({ weight }) => weight));
    const most = Math.max(...shares.values());
    for (const { node, weight } of nodes) {
      if (weight > smallest) t.true(shares.get(node)! >= most - 1e-9);
      t.true(shares.get(node)! > 0);
    }
  }
});

test("lists hold three to 64 nodes, and each node is in one", (t) => {
  const machine = fc.record({
    processorCores: fc.constantFrom(0.243, 0.486, 0.81, 1.35),
    memoryMb: fc.constantFrom(160, 210, 490, 602),
  });
  const fleets = fc.tuple(
    fc.array(machine, { minLength: 1, maxLength: 120 }),
    fc.integer({ min: 1, max: 8 }),
  );
  fc.assert(
    fc.property(fleets, ([machines, domains]) => {
      const nodes = toListed(machines.map((each, index) => ({
        node: core.brandId<core.InstanceId>(`n${index}`),
        failureDomain: `z${index % domains}`,
        machine: each,
      })));
      const listed = new Set<core.InstanceId>();
      for (const members of membersOf(nodes).values()) {
        t.true(members.length >= Math.min(3, nodes.length));
        t.true(members.length <= LIST_LENGTH_MAX);
        t.is(new Set(members).size, members.length);
        for (const node of members) listed.add(node);
      }
      t.is(listed.size, nodes.length);
    }),
    { numRuns: 60 },
  );
});

test("390 equal nodes are all in a list, and none has three times its share", (t) => {
  for (const domains of DOMAINS) {
    const nodes = toListed(makeEqualFleet(390, domains));
    const shares = callerShares(new CallerLists(nodes));
    t.is(shares.size, 390);
    t.true(Math.max(...shares.values()) * 390 < 3);
  }
});

test("64 equal nodes are all in each list", (t) => {
  for (const members of membersOf(toListed(makeEqualFleet(64, 5))).values()) {
    t.is(members.length, 64);
  }
});

// Guards against callers that close their connections at a change that does
// not concern them.
test("a node that joins or leaves 84 changes one entry in a hundred at most", (t) => {
  const nodes = makeMixedFleet(84, 5);
  const before = membersOf(toListed(nodes));
  const entries = [...before.values()].flat().length;
  let changes = 0;
  for (const gone of nodes) {
    const rest = toListed(nodes.filter((each) => each !== gone));
    changes += countChanges(before, membersOf(rest), gone.node);
  }
  const perChange = changes / nodes.length;
  t.true(perChange <= entries / 100, `${perChange} of ${entries}`);
});

test("a large node that dies leaves the other entries, but for one a list", (t) => {
  const machines = makeMixedFleet(84, 5);
  const nodes = toListed(machines);
  const lists = new CallerLists(nodes);
  const dead = machines.find(({ machine }) => machine === LARGE)!.node;
  for (const name of lists.names) {
    const before = lists.nodesOf(name, healthy);
    t.true(before.includes(dead));
    const after = lists.nodesOf(name, (node) => node === dead ? 0 : 1);
    t.false(after.includes(dead));
    const changes = countChanges(
      new Map([[name, before]]),
      new Map([[name, after]]),
      dead,
    );
    t.true(changes <= 1, `${changes} changes`);
  }
});

test("callers of a domain whose 17 nodes are all lost get nodes of the others", (t) => {
  const nodes = toListed(makeMixedFleet(84, 5));
  const lists = new CallerLists(nodes);
  const lost = new Set(
    nodes.filter(({ failureDomain }) => failureDomain === "zone-0")
      .map(({ node }) => node),
  );
  const health = (node: core.InstanceId) => lost.has(node) ? 0 : 1;
  const place = { failureDomain: "zone-0", name: "c" };
  const members = lists.nodesOf(lists.nameFor(place), health);
  t.true(members.length >= 18, `${members.length} nodes`);
  t.false(members.some((node) => lost.has(node)));
});

test("three nodes that are left of 84 are in each list", (t) => {
  const nodes = toListed(makeMixedFleet(84, 5));
  const lists = new CallerLists(nodes);
  const left = new Set(nodes.slice(0, 3).map(({ node }) => node));
  for (const name of lists.names) {
    const members = lists.nodesOf(name, (node) => left.has(node) ? 1 : 0);
    t.deepEqual(members.sort(), [...left].sort());
  }
});

test("a slow node at a quarter of its weight loses callers, others gain few", (t) => {
  const nodes = toListed(makeMixedFleet(84, 5));
  const lists = new CallerLists(nodes);
  const before = callerShares(lists);
  const slow = nodes.filter((_, index) => index % 12 === 0)
    .map(({ node }) => node);
  const after = callerShares(lists, (node) => slow.includes(node) ? 0.25 : 1);
  const sum = (shares: ReadonlyMap<core.InstanceId, number>) =>
    slow.reduce((total, node) => total + (shares.get(node) ?? 0), 0);
  t.true(sum(after) < sum(before) * 0.6, `${sum(before)} to ${sum(after)}`);
  for (const [node, share] of after) {
    if (slow.includes(node)) continue;
    const factor = share / before.get(node)!;
    t.true(factor < 1.9, `${node} ${factor}`);
  }
});

// Guards against an overload of the whole fleet that leaves all callers to the
// few nodes that have not reported it yet.
test("reduced weights are ignored while two thirds of 84 nodes report overload", (t) => {
  const nodes = toListed(makeMixedFleet(84, 5));
  const lists = new CallerLists(nodes);
  const reduced = new Set(
    nodes.filter((_, index) => index % 3 > 0).map(({ node }) => node),
  );
  for (const name of lists.names) {
    t.deepEqual(
      lists.nodesOf(name, (node) => reduced.has(node) ? 0.1 : 1),
      lists.nodesOf(name, healthy),
    );
  }
});

test("a caller gets the same list each time, also from an unknown domain", (t) => {
  const nodes = toListed(makeMixedFleet(84, 5));
  const lists = new CallerLists(nodes);
  const same = new CallerLists([...nodes].reverse());
  for (const failureDomain of ["zone-3", "elsewhere", undefined]) {
    const place = { name: "c", ...(failureDomain ? { failureDomain } : {}) };
    const list = lists.nameFor(place);
    t.true(lists.names.includes(list));
    t.is(same.nameFor(place), list);
    t.deepEqual(same.nodesOf(list, healthy), lists.nodesOf(list, healthy));
  }
});
