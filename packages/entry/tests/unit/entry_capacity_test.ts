import test from "ava";
import * as core from "../../../core/mod.ts";
import * as mirror from "../../../mirror/mod.ts";
import {
  LARGE,
  makeEqualFleet,
  makeMixedFleet,
  SMALL,
} from "../../../capacity/tests/fleets.ts";
import type { SizedNode } from "../../../capacity/mod.ts";
import { directoryAddresses } from "../../capacity/entry_directory.ts";
import { MemberRowCodec } from "../../entry_members.ts";
import { findTreePlace } from "../../entry_topology.ts";
import { makeSizedState } from "../sized_fleet.ts";

/** Calls a second of a node in a group while requests are queued. */
const LEAF_CALLS_PER_S = 10;
const LEADER_CALLS_PER_S = 20;

/** Calls a second that each node answers. */
function countCalls(nodes: readonly SizedNode[]): Map<core.InstanceId, number> {
  const { capacity, members } = makeSizedState(nodes);
  const alive = nodes.map((each) => ({
    ...each,
    isLarge: capacity.sizes.isLarge(each.node),
  }));
  const root = capacity.sizes.largeFirst(members.alive())[0]!;
  const calls = new Map<core.InstanceId, number>();
  for (const self of alive) {
    const { role, parent } = findTreePlace(self, root, alive, () => false);
    if (role === "root") continue;
    const perS = role === "leader" ? LEADER_CALLS_PER_S : LEAF_CALLS_PER_S;
    calls.set(parent, (calls.get(parent) ?? 0) + perS);
  }
  return calls;
}

// Guards against a node with 0.243 of a core that answers the exchanges of the
// 20 to 40 nodes of its group.
test("of 84 and 390 nodes no small one answers a hundred exchanges a second", (t) => {
  for (const [count, domains] of [[84, 5], [84, 3], [390, 5]] as const) {
    const fleets = [
      makeMixedFleet(count, domains),
      // All large machines in one domain.
      makeMixedFleet(count, domains).map((each) => ({
        ...each,
        failureDomain: each.machine === SMALL ? each.failureDomain : "zone-0",
      })),
      // One large machine for ten small ones.
      makeMixedFleet(count, domains).map((each, index) => ({
        ...each,
        machine: index % 11 === 7 ? LARGE : SMALL,
      })),
      // One large machine for all.
      makeMixedFleet(84, domains).map((each, index) => ({
        ...each,
        machine: index === 7 ? LARGE : SMALL,
      })),
    ];
    for (const nodes of fleets) {
      const bySize = new Map(nodes.map(({ node, machine }) => [node, machine]));
      for (const [node, perS] of countCalls(nodes)) {
        const limit = bySize.get(node) === SMALL ? 100 : 600;
        t.true(perS < limit, `${node} of ${count}: ${perS} calls a second`);
      }
    }
  }
});

test("a leader that dies is replaced by another large node", (t) => {
  const nodes = makeMixedFleet(84, 5);
  const before = countCalls(nodes);
  const [dead] = [...before.keys()].slice(-1);
  const after = countCalls(nodes.filter(({ node }) => node !== dead));
  for (const node of after.keys()) {
    t.not(nodes.find((each) => each.node === node)!.machine, SMALL);
  }
});

test("large nodes of 84 are first to hold the lease and to read the store", (t) => {
  const nodes = makeMixedFleet(84, 5);
  const { capacity, members } = makeSizedState(nodes);
  const alive = members.alive();
  const isSmall = (node: core.InstanceId) =>
    nodes.find((each) => each.node === node)!.machine === SMALL;
  const readers = alive.filter((node) =>
    mirror.isReader(
      mirror.rankReader(
        node,
        alive,
        (each) => capacity.sizes.largeFirst(each),
      ),
    )
  );
  t.is(readers.length, 3);
  t.false(readers.some(isSmall));
  for (const each of nodes) {
    const rank = makeSizedState(nodes, each).capacity.rank();
    t.is(rank >= 26, each.machine === SMALL);
  }
});

test("the small holder of the lease leaves it to a large node after 5 s in contact", (t) => {
  const nodes = makeMixedFleet(84, 5);
  const { capacity, members } = makeSizedState(nodes);
  const large = nodes.at(-1)!;
  const nowMs = core.monotonicMs();
  t.false(capacity.yieldsLease(nowMs));
  const contactAt = (ms: number) =>
    members.recordContact(large.node, nowMs - ms, true);
  contactAt(nowMs);
  t.false(capacity.yieldsLease(nowMs));
  t.true(capacity.yieldsLease(nowMs + 5_000) === false);
  members.recordContact(large.node, -5_000, true);
  t.false(capacity.yieldsLease(nowMs + 5_000));
  members.recordContact(large.node, -10_000, true);
  t.true(capacity.yieldsLease(nowMs + 10_000));
  const ofLarge = makeSizedState(nodes, large);
  ofLarge.members.recordContact(nodes.at(-2)!.node, 0, true);
  t.false(ofLarge.capacity.yieldsLease(nowMs));
  t.false(ofLarge.capacity.yieldsLease(nowMs + 6_000));
});

test("with equal machines 4, 25 and 64 nodes are all offered, in today's order", (t) => {
  for (const count of [4, 25, 64]) {
    const nodes = makeEqualFleet(count, 3);
    const state = makeSizedState(nodes, nodes[1]);
    const { members } = state;
    t.deepEqual(
      directoryAddresses(state, { failureDomain: "zone-2", name: "c" }),
      ["127.0.0.1:1", ...members.callerAddresses()],
    );
    t.is(members.callerAddresses().length, count - 1);
    t.is(
      mirror.rankReader(
        nodes[1]!.node,
        members.alive(),
        (each) => state.capacity.sizes.largeFirst(each),
      ).rank,
      mirror.rankReader(nodes[1]!.node, members.alive()).rank,
    );
    t.is(state.capacity.rank(), members.alive().indexOf(nodes[1]!.node));
    t.is(state.capacity.connectionShare(320, 4), undefined);
  }
});

// Guards against answers that callers reject as too long.
test("of 84 and 390 equal nodes an answer names 64 at most", (t) => {
  for (const count of [84, 390]) {
    const state = makeSizedState(makeEqualFleet(count, 5));
    const addresses = directoryAddresses(state, { failureDomain: "zone-1" });
    t.true(addresses.length <= 64 && addresses.length > 40);
  }
});

test("all directory nodes of 84 offer the same nodes to callers of one domain", (t) => {
  const nodes = makeMixedFleet(84, 5);
  const answer = (self: SizedNode) =>
    directoryAddresses(makeSizedState(nodes, self), {
      failureDomain: "zone-2",
      name: "c",
    }).filter((address) => address !== "127.0.0.1:1")
      .filter((address) => address !== `${nodes[3]!.node}:80`)
      .filter((address) => address !== `${nodes[80]!.node}:80`);
  t.deepEqual(answer(nodes[3]!), answer(nodes[80]!));
  t.true(answer(nodes[3]!).length < 40);
});

test("a directory node that knows 3 of 84 members offers these and itself", (t) => {
  const nodes = makeMixedFleet(84, 5);
  const state = makeSizedState([nodes[0]!, nodes[1]!, nodes[80]!]);
  const addresses = directoryAddresses(state, { failureDomain: "zone-2" });
  t.deepEqual(
    addresses.sort(),
    ["127.0.0.1:1", `${nodes[1]!.node}:80`, `${nodes[80]!.node}:80`],
  );
});

test("nodes without a size in their row are offered like the median one", (t) => {
  const nodes = makeMixedFleet(84, 5)
    .map(({ machine, ...each }, index) =>
      index < 20 || machine === undefined ? each : { ...each, machine }
    );
  const { capacity } = makeSizedState(nodes, nodes.at(-1));
  t.true(capacity.sizes.differ);
  t.is(
    capacity.sizes.weight(nodes[0]!.node),
    capacity.sizes.weight(nodes[30]!.node),
  );
});

test("rows of earlier versions, without a size, can be read", (t) => {
  const row = {
    callerAddress: "a:1",
    peerAddress: "a:2",
    failureDomain: "d",
    incarnation: "i",
    isLeaving: false,
  };
  t.true(MemberRowCodec.decode(row).isRight());
  const machine = { memoryMb: 210 };
  const decoded = MemberRowCodec.decode({ ...row, machine });
  t.is(decoded.unsafeCoerce().machine?.memoryMb, 210);
});
