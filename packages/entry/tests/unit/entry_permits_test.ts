import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as peers from "../../../peers/mod.ts";
import type * as rates from "../../../rates/mod.ts";
import * as testing from "../../../testing/mod.ts";
import { ExchangeHub } from "../../entry_exchange.ts";
import { EntryPermits } from "../../entry_permits.ts";
import { EntryState } from "../../entry_state.ts";
import { TableNewsExchange } from "../../entry_table_news.ts";
import { makeEntrySettings } from "../entry_settings.ts";

const upstreams = Array.from(
  { length: 20 },
  (_, n) =>
    testing.makeUpstreamRecord({ id: core.brandId<core.UpstreamId>(`u${n}`) }),
);

/** One of several nodes that call each other without network. */
class TestNode {
  readonly state: EntryState;
  readonly permits: EntryPermits;
  readonly hub: ExchangeHub;
  /** Nodes that were asked. */
  readonly asked: string[] = [];
  isDown = false;

  constructor(readonly name: string, nodes: ReadonlyMap<string, TestNode>) {
    this.state = new EntryState(
      makeEntrySettings(name),
      new core.Logger({}, () => {}),
    );
    this.state.hasReadMembers = true;
    this.hub = new ExchangeHub(this.state, new TableNewsExchange([]));
    const send = (address: string, request: peers.PermitRequest) => {
      this.asked.push(address);
      const node = nodes.get(address)!;
      return Promise.resolve(
        node.isDown ? undefined : node.permits.issue(request),
      );
    };
    this.permits = new EntryPermits(this.state, send);
  }

  know({ name }: TestNode, isLeaving = false): void {
    this.state.members.setRow(core.brandId<core.InstanceId>(name), {
      callerAddress: "",
      peerAddress: name,
      failureDomain: "d",
      incarnation: name,
      isLeaving,
    });
  }

  setLimit(upstream: rates.Incarnation, perS: number | undefined): void {
    const nowMs = core.monotonicMs();
    this.state.recordRateLimit(
      { ...upstreams[0]!, ...upstream },
      perS,
      nowMs,
      nowMs,
    );
  }

  ask(upstream: rates.Incarnation) {
    const nowMs = core.monotonicMs();
    const { namedRates } = this.state.upstreams;
    return this.permits.request(namedRates.statement(upstream, nowMs)!, 1);
  }
}

function makeNodes(names: readonly string[]): TestNode[] {
  const nodes = new Map<string, TestNode>();
  for (const name of names) nodes.set(name, new TestNode(name, nodes));
  for (const node of nodes.values()) {
    for (const other of nodes.values()) node.know(other);
  }
  return [...nodes.values()];
}

// Guards against two nodes that issue permits for one upstream.
test("one node issues the permits for an upstream to all nodes", async (t) => {
  const nodes = makeNodes(["a", "b", "c"]);
  const issuers = new Set<string>();
  for (const upstream of upstreams) {
    const ofUpstream = new Set<string>();
    for (const node of nodes) {
      node.setLimit(upstream, 5);
      node.asked.length = 0;
      const reply = await node.ask(upstream);
      t.is(reply?.granted, 0);
      ofUpstream.add(node.asked[0] ?? node.name);
    }
    t.is(ofUpstream.size, 1);
    for (const name of ofUpstream) issuers.add(name);
  }
  t.is(issuers.size, 3);
});

test("a node that is not the issuer, or knows no members, issues none", async (t) => {
  const [a, b] = makeNodes(["a", "b"]) as [TestNode, TestNode];
  const ofB = upstreams.find((upstream) => {
    const [first] = core.rendezvous(
      `${upstream.id}@${upstream.startedAtMs}`,
      ["a", "b"],
    );
    return first === "b";
  })!;
  a.setLimit(ofB, 1_000);
  t.truthy(await a.ask(ofB));
  b.state.hasReadMembers = false;
  t.is(await a.ask(ofB), undefined);
  b.state.hasReadMembers = true;
  b.isDown = true;
  t.is(await a.ask(ofB), undefined);
  b.isDown = false;
  // A node that leaves hands its upstreams on; the next one begins with none.
  a.know(b, true);
  b.know(b, true);
  t.is((await a.ask(ofB))?.granted, 0);
  a.asked.length = 0;
  await core.sleep(10);
  t.is((await a.ask(ofB))?.granted, 1);
  t.deepEqual(a.asked, []);
});

// Guards against a node that keeps to a limit which others know to be lifted.
test("the reply tells what the issuer knows of the limit", async (t) => {
  const nodes = makeNodes(["a", "b"]);
  for (const [asking, issuing] of [nodes, [...nodes].reverse()]) {
    for (const upstream of upstreams) {
      asking!.setLimit(upstream, 1);
      await core.sleep(2);
      issuing!.setLimit(upstream, undefined);
      issuing!.state.recordRateLimit(
        { ...upstreams[0]!, ...upstream },
        7,
        0,
        core.monotonicMs(),
      );
      asking!.asked.length = 0;
      await asking!.ask(upstream);
      if (asking!.asked.length === 0) continue;
      t.is(asking!.state.upstreams.namedRates.perS(upstream), 7);
    }
  }
});

test("limits, and that they are lifted, are passed on in exchanges", async (t) => {
  const [root, left, right] = makeNodes(["root", "left", "right"]);
  const [upstream] = upstreams;
  const exchange = async () => {
    await core.sleep(5);
    for (const leaf of [left!, right!]) {
      const nowMs = core.monotonicMs();
      const digest = leaf.hub.digestForParent("root", nowMs);
      const view = root!.hub.exchange(digest);
      leaf.hub.applyParentView(core.brandId("root"), view, nowMs);
    }
  };
  left!.setLimit(upstream!, 2.5);
  await exchange();
  const perS = (node: TestNode) =>
    node.state.upstreams.namedRates.perS(upstream!);
  t.deepEqual([root!, left!, right!].map(perS), [2.5, 2.5, 2.5]);
  await core.sleep(5);
  right!.setLimit(upstream!, undefined);
  t.is(perS(right!), undefined);
  await exchange();
  await exchange();
  t.deepEqual([root!, left!, right!].map(perS), [
    undefined,
    undefined,
    undefined,
  ]);
});
