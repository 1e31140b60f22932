import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as store from "../../../store/mod.ts";
import * as peers from "../../mod.ts";

function member(
  id: string,
  change: Partial<peers.PeerMember> = {},
): peers.PeerMember {
  return {
    instanceId: core.brandId<core.InstanceId>(id),
    incarnation: core.brandId<core.Incarnation>(`in-${id}`),
    callerAddress: `http://127.0.0.1/${id}`,
    peerAddress: `http://127.0.0.1/peer-${id}`,
    failureDomain: "calama",
    heartbeat: 5,
    leaving: false,
    joining: false,
    load: 0,
    ...change,
  };
}

function makeDirectory(...ids: string[]): peers.PeerDirectory {
  const directory = new peers.PeerDirectory(member("self"), {
    retentionMs: 0,
  });
  for (const id of ids) directory.mergeMember(member(id));
  return directory;
}

function liveIds(directory: peers.PeerDirectory): string[] {
  return directory.liveMembers().map(({ instanceId }) => String(instanceId));
}

function addressOf(id: string): string {
  return member(id).peerAddress;
}

test("a member is suspected after two unanswered exchanges in a row", (t) => {
  const directory = makeDirectory("a", "b");
  directory.recordFailedExchange(addressOf("a"), false);
  t.deepEqual(liveIds(directory), ["self", "a", "b"]);
  t.deepEqual(directory.failingAddresses(), [addressOf("a")]);
  directory.recordContact(member("a").instanceId);
  directory.recordFailedExchange(addressOf("a"), false);
  t.deepEqual(liveIds(directory), ["self", "a", "b"]);
  directory.recordFailedExchange(addressOf("a"), false);
  t.deepEqual(liveIds(directory), ["self", "b"]);
});

test("a member is suspected after one refused connection", (t) => {
  const directory = makeDirectory("a");
  directory.recordFailedExchange(addressOf("a"), true);
  t.deepEqual(liveIds(directory), ["self"]);
});

test("a newer heartbeat clears a suspicion, an equal one does not", (t) => {
  const directory = makeDirectory("a");
  directory.recordFailedExchange(addressOf("a"), true);
  directory.mergeMember(member("a"));
  t.deepEqual(liveIds(directory), ["self"]);
  directory.mergeMember(member("a", { heartbeat: 6 }));
  t.deepEqual(liveIds(directory), ["self", "a"]);
});

interface SuspicionCase {
  readonly name: string;
  readonly change: Partial<peers.PeerSuspicion>;
  readonly isLive: boolean;
}

const suspicions: SuspicionCase[] = [
  { name: "at the known heartbeat", change: {}, isLive: false },
  { name: "at a newer heartbeat", change: { heartbeat: 9 }, isLive: false },
  { name: "at an older heartbeat", change: { heartbeat: 4 }, isLive: true },
  {
    name: "of another incarnation",
    change: { incarnation: core.brandId<core.Incarnation>("in-old") },
    isLive: true,
  },
];

for (const { name, change, isLive } of suspicions) {
  test(`a suspicion ${name} ${isLive ? "is ignored" : "applies"}`, (t) => {
    const directory = makeDirectory("a");
    const { instanceId, incarnation, heartbeat } = member("a");
    directory.mergeSuspicion({ instanceId, incarnation, heartbeat, ...change });
    t.is(liveIds(directory).includes("a"), isLive);
  });
}

test("state of a replaced incarnation is ignored", (t) => {
  const directory = makeDirectory("a");
  const incarnation = core.brandId<core.Incarnation>("in-a2");
  directory.mergeMember(member("a", { incarnation, heartbeat: 1 }));
  directory.mergeMember(member("a", { heartbeat: 99 }));
  t.is(directory.find(member("a").instanceId)?.incarnation, incarnation);
});

test("an update is sent a bounded number of times", (t) => {
  const directory = makeDirectory("a", "b", "c");
  let sends = 0;
  while (directory.takeUpdates(16).members.length > 0) sends++;
  t.true(sends > 2 && sends < 20, `${sends}`);
  directory.mergeMember(member("a", { heartbeat: 6 }));
  t.is(directory.takeUpdates(16).members.length, 0);
  directory.mergeMember(member("a", { heartbeat: 7, leaving: true }));
  t.is(directory.takeUpdates(16).members.length, 1);
  directory.recordFailedExchange(addressOf("b"), true);
  const { suspicions } = directory.takeUpdates(16);
  t.is(suspicions.length, 1);
  t.is(suspicions[0]?.instanceId, member("b").instanceId);
});

test("leaving members are live, but not active", (t) => {
  const directory = makeDirectory("a", "b");
  directory.mergeMember(member("a", { heartbeat: 6, leaving: true }));
  const listed: store.ListedInstance = {
    id: "b",
    kind: "entry",
    address: "http://127.0.0.1/b",
    failureDomain: "calama",
    state: "leaving",
  };
  directory.mergeList([listed]);
  t.is(directory.liveMembers().length, 3);
  t.is(directory.activeMembers().length, 1);
});

test("a member neither listed nor known counts as removed once a list was read", (t) => {
  const directory = makeDirectory("a");
  const [a, b] = [member("a").instanceId, member("b").instanceId];
  t.false(directory.isRemoved(b));
  directory.mergeList([]);
  t.true(directory.isRemoved(b));
  t.false(directory.isRemoved(a));
  directory.recordFailedExchange(addressOf("a"), true);
  t.false(directory.isRemoved(a));
});
