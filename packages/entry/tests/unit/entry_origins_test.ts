/** Origins of streams on their way between the nodes of a tree. */
import { toBinary } from "@bufbuild/protobuf";
import test from "ava";
import * as core from "../../../core/mod.ts";
import * as origins from "../../../origins/mod.ts";
import * as peers from "../../../peers/mod.ts";
import { ExchangeHub } from "../../entry_exchange.ts";
import { EntryState } from "../../entry_state.ts";
import { TableNewsExchange } from "../../entry_table_news.ts";
import { makeEntrySettings } from "../entry_settings.ts";

const service = core.brandId<core.ServiceName>("chat");
const v1 = core.brandId<core.SoftwareVersion>("v1");
const TTL_MS = 15_000;

function stream(name: string): core.StreamKey {
  return origins.toStreamKey(core.brandId<core.RequestId>(name));
}

/** One node of the tree, without network. */
class TreeNode {
  readonly state: EntryState;
  readonly hub: ExchangeHub;

  constructor(readonly name: string) {
    this.state = new EntryState(
      makeEntrySettings(name),
      new core.Logger({}, () => {}),
    );
    this.hub = new ExchangeHub(this.state, new TableNewsExchange([]));
  }

  /** Records the origins of streams that began here. */
  begin(...names: string[]): void {
    for (const name of names) {
      this.state.origins.record({
        stream: stream(name),
        service,
        softwareVersion: v1,
        ttlMs: TTL_MS,
      }, core.monotonicMs());
    }
  }

  knows(name: string): boolean {
    const nowMs = core.monotonicMs();
    return this.state.origins.find(stream(name), nowMs) !== undefined;
  }

  /** Exchanges with a parent; returns the digest as it is sent. */
  exchangeWith(parent: TreeNode): peers.NodeDigest {
    const nowMs = core.monotonicMs();
    const digest = this.hub.digestForParent(parent.name, nowMs);
    toBinary(peers.NodeDigestSchema, digest);
    const view = parent.hub.exchange(digest);
    toBinary(peers.FleetViewSchema, view);
    this.hub.applyParentView(core.brandId(parent.name), view, nowMs);
    return digest;
  }
}

/** Two leaves of different groups, their leaders, and the root. */
function makeTree() {
  const [root, leaderA, leaderB, leafA, leafB] = [
    "root",
    "leader-a",
    "leader-b",
    "leaf-a",
    "leaf-b",
  ].map((name) => new TreeNode(name));
  return {
    root: root!,
    leaderA: leaderA!,
    leaderB: leaderB!,
    leafA: leafA!,
    leafB: leafB!,
  };
}

test("a leaf finds the origin of a stream that began at a leaf of another group", (t) => {
  const { root, leaderA, leaderB, leafA, leafB } = makeTree();
  leafA.begin("a");
  leafA.exchangeWith(leaderA);
  leaderA.exchangeWith(root);
  leafB.state.wantedStreams.add(stream("a"), core.monotonicMs());
  // Its leader has to ask the root first.
  leafB.exchangeWith(leaderB);
  t.false(leafB.knows("a"));
  leaderB.exchangeWith(root);
  leafB.exchangeWith(leaderB);
  t.true(leafB.knows("a"));
  t.false(leafA.exchangeWith(leaderA).wantedStreams.length > 0);
  t.deepEqual(leafB.exchangeWith(leaderB).wantedStreams, []);
});

test("an origin is sent to a parent once, and to each new parent", (t) => {
  const { root, leaderA, leaderB, leafA } = makeTree();
  leafA.begin("a");
  t.is(leafA.exchangeWith(leaderA).origins.length, 1);
  t.is(leafA.exchangeWith(leaderA).origins.length, 0);
  leaderA.exchangeWith(root);
  t.true(root.knows("a"));
  t.is(leafA.exchangeWith(leaderB).origins.length, 1);
  t.true(leaderB.knows("a"));
});

// Guards against a parent that starts anew under its name without the origins.
test("a parent that did not answer gets all origins again", (t) => {
  const { leafA } = makeTree();
  leafA.begin("a", "b");
  leafA.exchangeWith(new TreeNode("leader-a"));
  const restarted = new TreeNode("leader-a");
  leafA.hub.digestForParent("leader-a", core.monotonicMs());
  leafA.hub.forgetParent();
  t.is(leafA.exchangeWith(restarted).origins.length, 2);
  t.true(restarted.knows("a") && restarted.knows("b"));
});

// Guards against a node that was held up while its parent started anew, and saw
// no exchange fail.
test("a parent that started anew between two exchanges gets all origins again", (t) => {
  const { leafA } = makeTree();
  leafA.begin("a", "b");
  leafA.exchangeWith(new TreeNode("leader-a"));
  const restarted = new TreeNode("leader-a");
  leafA.exchangeWith(restarted);
  t.is(leafA.exchangeWith(restarted).origins.length, 2);
  t.true(restarted.knows("a") && restarted.knows("b"));
  t.is(leafA.exchangeWith(restarted).origins.length, 0);
});

// Guards against origins that are lost with the message that carried them.
test("origins of a message without an answer are sent again", (t) => {
  const { leaderA, leafA } = makeTree();
  leafA.begin("a");
  leafA.hub.digestForParent(leaderA.name, core.monotonicMs());
  t.is(leafA.exchangeWith(leaderA).origins.length, 1);
  t.true(leaderA.knows("a"));
});

test("many origins reach the parent in batches", (t) => {
  const { leaderA, leafA } = makeTree();
  const names = Array.from({ length: 1_201 }, (_, n) => `s${n}`);
  leafA.begin(...names);
  const sizes = [1, 2, 3, 4].map(() =>
    leafA.exchangeWith(leaderA).origins.length
  );
  t.deepEqual(sizes, [500, 500, 201, 0]);
  t.true(names.every((name) => leaderA.knows(name)));
});

// Guards against a caller's deadline that no message can carry, after which the
// node exchanges nothing any more.
test("an origin of a caller with a very long deadline can be sent", (t) => {
  const { leaderA, leafA } = makeTree();
  leafA.state.origins.record({
    stream: stream("a"),
    service,
    softwareVersion: v1,
    ttlMs: 1e13,
  }, core.monotonicMs());
  t.notThrows(() => leafA.exchangeWith(leaderA));
  t.true(leaderA.knows("a"));
});

// Guards against nodes that all take themselves for the root when they start,
// and each read and write the rows of the whole fleet.
test("a node that does not know the members yet is not the root", (t) => {
  const { hub, state } = makeTree().root;
  hub.becomeRoot();
  t.false(hub.isRoot);
  state.hasReadMembers = true;
  t.false(hub.isRoot);
  hub.becomeRoot();
  t.true(hub.isRoot);
});

test("a node asks for a limited number of streams, each for a while", (t) => {
  const { state } = makeTree().leafA;
  for (let n = 0; n < 2_000; n++) state.wantedStreams.add(stream(`s${n}`), 0);
  t.is(state.wantedStreams.list(499).length, 500);
  t.deepEqual(state.wantedStreams.list(500), []);
  for (let n = 0; n < 500; n++) state.wantedStreams.add(stream(`s${n}`), 600);
  // Expired ones make room for others.
  state.wantedStreams.add(stream("late"), 1_100);
  t.deepEqual(state.wantedStreams.list(1_100), [stream("late")]);
});
