import { create } from "@bufbuild/protobuf";
import test from "ava";
import * as core from "../../../core/mod.ts";
import * as orders from "../../../orders/mod.ts";
import * as mirror from "../../../mirror/mod.ts";
import * as peers from "../../../peers/mod.ts";
import type * as store from "../../../store/mod.ts";
import { ExchangeHub } from "../../entry_exchange.ts";
import { EntryState } from "../../entry_state.ts";
import * as testing from "../../../testing/mod.ts";
import {
  mergeNews,
  TableNewsExchange,
  type TableOffer,
} from "../../entry_table_news.ts";
import { sumDigests } from "../../entry_totals.ts";
import { makeEntrySettings } from "../entry_settings.ts";
import { NoListener } from "../no_listener.ts";

const silentLogger = new core.Logger({}, () => {});
const upstreamId = core.brandId<core.UpstreamId>("u-1");
const model = core.brandId<core.ModelName>("m");

const record = testing.makeUpstreamRecord({
  id: upstreamId,
  failureDomain: "d",
  slots: 16,
});

/** One node of the tree, without network. */
class TestNode {
  readonly state: EntryState;
  readonly hub: ExchangeHub;
  readonly copy = new mirror.TableMirror({
    name: "t",
    listener: new NoListener(),
  });
  readonly offers: TableOffer[] = [];

  constructor(readonly name: string) {
    this.state = new EntryState(makeEntrySettings(name), silentLogger);
    this.state.upstreams.upsert(record, 1_000);
    const news = new TableNewsExchange([{
      copy: this.copy,
      requestRead: (offer) => this.offers.push(offer),
    }]);
    this.hub = new ExchangeHub(this.state, news);
  }

  get upstream() {
    return this.state.upstreams.get(upstreamId)!;
  }

  /** Starts requests that stay in flight. */
  startRequests(count: number): void {
    for (let n = 0; n < count; n++) {
      this.upstream.trackRequest({
        modelKey: model,
        model,
        reservedTokens: 10,
        outputTokensMax: 10,
        prefillMs: 5,
        sentAtMs: core.monotonicMs(),
        hasOutput: false,
      });
    }
  }

  /** Reads the table from another node. */
  readFrom({ hub }: TestNode): void {
    const position = this.copy.cursor;
    const { news } = hub.readTable(
      create(peers.ReadTableRequestSchema, {
        table: "t",
        ...(position ? { position } : {}),
      }),
    );
    mergeNews(this.copy, news!, core.monotonicMs());
  }

  exchangeWith(parent: TestNode) {
    const nowMs = core.monotonicMs();
    const digest = this.hub.digestForParent(parent.name, nowMs);
    const view = parent.hub.exchange(digest);
    const states = this.hub.applyParentView(
      core.brandId(parent.name),
      view,
      nowMs,
    );
    this.hub.applyLoad(nowMs);
    return { digest, view, states };
  }
}

/** Outlasts the time for which a node uses its sums again. */
const waitForSums = () => core.sleep(25);

async function exchangeRounds(
  links: readonly (readonly [TestNode, TestNode])[],
  rounds = 3,
): Promise<void> {
  for (let round = 0; round < rounds; round++) {
    for (const [child, parent] of links) {
      child.exchangeWith(parent);
      await waitForSums();
    }
  }
}

test("every node sees the load of all others once, over two levels", async (t) => {
  const root = new TestNode("root");
  const leaders = [new TestNode("leader-a"), new TestNode("leader-b")];
  const leaves = [0, 1, 2, 3].map((n) => new TestNode(`leaf-${n}`));
  const nodes = [root, ...leaders, ...leaves];
  for (const [index, node] of nodes.entries()) node.startRequests(index + 1);
  const links = [
    [leaves[0]!, leaders[0]!],
    [leaves[1]!, leaders[0]!],
    [leaves[2]!, leaders[1]!],
    [leaves[3]!, leaders[1]!],
    [leaders[0]!, root],
    [leaders[1]!, root],
  ] as const;
  await exchangeRounds(links);
  root.hub.applyLoad(core.monotonicMs());
  const total = 1 + 2 + 3 + 4 + 5 + 6 + 7;
  for (const node of nodes) t.is(node.upstream.inFlight, total, node.name);
  t.is(root.hub.followers(), 6);
  const sums = root.hub.digests(core.monotonicMs())
    .flatMap(({ uses }) => uses.flatMap(({ models }) => models));
  t.is(sums.reduce((sum, { inFlight }) => sum + inFlight, 0), total);
});

test("nodes that take each other for the parent count nothing twice", async (t) => {
  const a = new TestNode("a");
  const b = new TestNode("b");
  const leaf = new TestNode("leaf");
  a.startRequests(2);
  b.startRequests(3);
  leaf.startRequests(1);
  const links = [[leaf, a], [a, b], [b, a]] as const;
  await exchangeRounds(links, 6);
  for (const node of [a, b, leaf]) {
    t.true(node.upstream.inFlight <= 12, `${node.upstream.inFlight}`);
  }
  const before = a.upstream.inFlight;
  await exchangeRounds(links, 6);
  t.true(a.upstream.inFlight <= before, "the load grows by exchanging it");
});

test("engine states are passed on once, and again when they change", async (t) => {
  const root = new TestNode("root");
  const leader = new TestNode("leader");
  const leaf = new TestNode("leaf");
  const inventory = new orders.EngineInventory({
    ...record,
    models: [{ model, adapters: ["a1"] }],
  });
  root.hub.connect({
    engineStates: () => [{ record, inventory, lastOrderAtMs: undefined }],
    lastRenewal: () => ({
      holder: root.state.settings.nodeName,
      generation: 2,
      version: 7,
      ageMs: 10,
    }),
    onQueued: () => {},
  });
  const first = leader.exchangeWith(root);
  t.is(first.states?.engines.length, 1);
  t.like(first.view, {
    leaseHolder: "root",
    leaseGeneration: 2,
    leaseVersion: 7,
  });
  t.is(leaf.exchangeWith(leader).states?.engines[0]?.models[0]?.model, model);
  t.is(leader.exchangeWith(root).view.engines.length, 0);
  t.is(leaf.exchangeWith(leader).view.engines.length, 0);
  inventory.models.get(model)!.adapters.set("a2", 0);
  await waitForSums();
  const changed = leader.exchangeWith(root).states;
  t.deepEqual(changed?.engines[0]?.models[0]?.adapters, ["a1", "a2"]);
  t.is(leaf.exchangeWith(leader).view.engines.length, 1);
  // An unchanged state is known still, for an engine that is listed anew.
  const again = leaf.exchangeWith(leader);
  t.is(again.view.engines.length, 0);
  t.is(again.states?.engines.length, 1);
});

test("the states of members are sent to a child at intervals", (t) => {
  const root = new TestNode("root");
  const leaf = new TestNode("leaf");
  t.is(leaf.exchangeWith(root).view.members.length, 1);
  t.is(leaf.exchangeWith(root).view.members.length, 0);
});

function rows(version: number, ...keys: string[]): store.TableSnapshot {
  return {
    generation: 1,
    version,
    rows: keys.map((key) => ({ key, version, value: key })),
  };
}

test("changes of a table reach every node from whichever one reads them", (t) => {
  const root = new TestNode("root");
  const leader = new TestNode("leader");
  const [reader, leaf] = [new TestNode("reader"), new TestNode("leaf")];
  const nodes = [root, leader, reader, leaf];
  for (const node of nodes) node.copy.applySnapshot(rows(1, "x"));
  reader.copy.applyChanges({ generation: 1, version: 1 }, 2, [
    { key: "y", version: 2, value: "y" },
  ]);
  reader.copy.confirm(reader.copy.cursor, core.monotonicMs());
  for (let round = 0; round < 2; round++) {
    reader.exchangeWith(leader);
    leader.exchangeWith(root);
    leaf.exchangeWith(leader);
  }
  for (const node of nodes) {
    t.is(node.copy.cursor?.version, 2, node.name);
    t.deepEqual(node.offers, []);
    t.true(core.monotonicMs() - node.copy.confirmedAtMs < 1_000, node.name);
  }
});

/** A root with a change that is too large for a message, and a leaf without. */
function nodesWithLargeChange() {
  const root = new TestNode("root");
  const leaf = new TestNode("leaf");
  leaf.copy.applySnapshot(rows(1));
  root.copy.applySnapshot({
    generation: 1,
    version: 2,
    rows: [{ key: "x", version: 2, value: "x".repeat(100_000) }],
  });
  return { root, leaf };
}

test("a table that is too large for a message is offered, and read apart", (t) => {
  const { root, leaf } = nodesWithLargeChange();
  leaf.exchangeWith(root);
  t.deepEqual(leaf.offers, [
    {
      holder: core.brandId<core.InstanceId>("root"),
      position: { generation: 1, version: 2 },
    },
  ]);
  t.is(leaf.copy.cursor?.version, 1);
  leaf.readFrom(root);
  t.is(leaf.copy.cursor?.version, 2);
  leaf.exchangeWith(root);
  t.is(leaf.offers.length, 1);
});

// Guards against a node that reads again, at each exchange, what it has read
// while the exchange was on its way.
test("an offer that has been overtaken by a read is no reason to read", (t) => {
  const { root, leaf } = nodesWithLargeChange();
  const nowMs = core.monotonicMs();
  const digest = leaf.hub.digestForParent(root.name, nowMs);
  const view = root.hub.exchange(digest);
  leaf.readFrom(root);
  leaf.hub.applyParentView(core.brandId(root.name), view, nowMs);
  t.deepEqual(leaf.offers, []);
});

test("a node that has read nothing gets its tables from its parent", (t) => {
  const root = new TestNode("root");
  const fresh = new TestNode("fresh");
  root.copy.applySnapshot(rows(3, "x", "y"));
  fresh.exchangeWith(root);
  t.is(fresh.copy.cursor?.version, 3);
});

test("a quarantined prompt part reaches every node over two levels, and is sent once", async (t) => {
  const root = new TestNode("root");
  const leaders = [new TestNode("leader-a"), new TestNode("leader-b")];
  const leaves = [0, 1, 2].map((n) => new TestNode(`leaf-${n}`));
  const links = [
    [leaves[0]!, leaders[0]!],
    [leaves[1]!, leaders[0]!],
    [leaves[2]!, leaders[1]!],
    [leaders[0]!, root],
    [leaders[1]!, root],
  ] as const;
  const part = core.brandId<core.PromptPartKey>("ec");
  // Each leaf sees the end of one engine; only together they tell the cause.
  for (const [n, leaf] of leaves.entries()) {
    const run = core.brandId<core.UpstreamRunKey>(`e${n}@1`);
    const atMs = core.monotonicMs() - 1_000 + n * 100;
    leaf.state.quarantine.recordBroken(run, [part], atMs);
    leaf.state.quarantine.recordEnded(run, atMs + 10);
  }
  await exchangeRounds(links, 3);
  await core.sleep(520);
  const nodes = [root, ...leaders, ...leaves];
  for (const { name, state } of nodes) {
    t.is(state.quarantine.find([part], core.monotonicMs()), part, name);
  }
  await exchangeRounds(links, 2);
  for (const [child, parent] of links) {
    const { digest, view } = child.exchangeWith(parent);
    t.is(digest.quarantine, undefined);
    t.is(view.quarantine, undefined);
  }
});

// Guards against a lease holder that does not know which software versions lack
// an adapter, as its demand comes from other nodes.
test("the versions at which requests have to run reach the root, each once", (t) => {
  const root = new TestNode("root");
  const leader = new TestNode("leader");
  const leaves = [0, 1, 2].map((n) => new TestNode(`leaf-${n}`));
  const versions = ["v1", "v2", "v1"].map((name) =>
    core.brandId<core.SoftwareVersion>(name)
  );
  for (const [n, leaf] of leaves.entries()) {
    const nowMs = core.monotonicMs();
    leaf.state.demand.trackQueued(model, "a1", nowMs, versions[n]);
    leaf.exchangeWith(leader);
  }
  leader.state.demand.trackQueued(model, "a1", core.monotonicMs());
  leader.exchangeWith(root);
  const { adapterDemand } = sumDigests(root.hub.digests(core.monotonicMs()));
  const [demand, ...others] = adapterDemand.values();
  t.is(others.length, 0);
  t.is(demand?.waiting, 4);
  t.deepEqual([...demand?.pinnedVersions ?? []].sort(), versions.slice(0, 2));
});

// Guards against nodes that go on sending to an upstream that has told another
// node that it is leaving, and against news that never age as they go round.
test("an upstream that says it is leaving is left by all nodes, for a while", async (t) => {
  const root = new TestNode("root");
  const leader = new TestNode("leader");
  const leaves = [new TestNode("a"), new TestNode("b")] as const;
  const links = [
    [leaves[0], leader],
    [leader, root],
    [leaves[1], leader],
  ] as const;
  const nowMs = core.monotonicMs();
  leaves[0].state.recordLeaving(record, false, nowMs);
  await exchangeRounds(links);
  const later = { ...record, startedAtMs: record.startedAtMs + 1 };
  for (const { name, state, upstream } of [root, leader, ...leaves]) {
    t.true(upstream.isLeaving(core.monotonicMs()), name);
    t.false(upstream.isLeaving(nowMs + 30_500), name);
    t.false(state.upstreams.leaving.has(later, core.monotonicMs()), name);
  }
});
