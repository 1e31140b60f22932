/** Quotas in the exchange of two nodes, without network. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import test from "ava";
import * as core from "../../../../core/mod.ts";
import type * as fleet from "../../../../fleet/mod.ts";
import * as peers from "../../../../peers/mod.ts";
import * as testing from "../../../../testing/mod.ts";
import { ExchangeHub } from "../../../entry_exchange.ts";
import { EntryState } from "../../../entry_state.ts";
import { TableNewsExchange } from "../../../entry_table_news.ts";
import { makeEntrySettings } from "../../../tests/entry_settings.ts";
import { SuspensionClock } from "../../entry_quota_clock.ts";

const KEY = core.brandId<core.KeyDigest>("digest-of-a-key");
const NODES = ["n1", "n2"];
/** Enough for 20 requests a second over both nodes. */
const TEAM: fleet.TeamSpec = {
  name: core.brandId<core.TeamName>("team"),
  keyDigests: [KEY],
  quota: {
    unit: "tokens",
    ratePerS: 20_000,
    burst: 20_000,
    plainTokens: 1_000,
  },
};
const CALLER: fleet.CallerRequest = {
  requestId: core.brandId<core.RequestId>("r"),
  promptTokens: 0,
  outputTokensMax: 0,
  promptParts: [],
  forwardedHeaders: {},
};
const NEVER = new AbortController().signal;

/** A node that knows both, as after its start. */
class TestNode {
  readonly lines: string[] = [];
  readonly state: EntryState;
  readonly hub: ExchangeHub;
  wakes = 0;

  constructor(name: string, teams?: readonly fleet.TeamSpec[]) {
    const logger = new core.Logger({}, (line) => this.lines.push(line));
    this.state = new EntryState(makeEntrySettings(name), logger);
    this.hub = new ExchangeHub(this.state, new TableNewsExchange([]));
    this.state.quotas.onWaiting = () => this.wakes++;
    this.state.hasReadMembers = true;
    for (const node of NODES) {
      this.state.members.setRow(core.brandId<core.InstanceId>(node), {
        callerAddress: "127.0.0.1:1",
        peerAddress: "127.0.0.1:1",
        failureDomain: "d",
        incarnation: node,
        isLeaving: false,
      });
    }
    this.state.applyConfig({
      version: 1,
      routes: [],
      services: new Map(),
      ...(teams ? { teams } : {}),
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
      bodyBytesMax: 1,
    });
    this.state.quotas.setConnected(2);
  }

  /** Sends a digest as bytes; returns the bytes of both messages. */
  exchange(parent: TestNode, isAnswered = true): number {
    const { quotas } = this.state;
    const { nodeName } = parent.state.settings;
    quotas.setConnected(2);
    const digest = toBinary(peers.NodeDigestSchema, {
      ...this.hub.digestForParent(nodeName, core.monotonicMs()),
      ...quotas.report(nodeName),
    });
    const view = toBinary(
      peers.FleetViewSchema,
      parent.hub.exchange(fromBinary(peers.NodeDigestSchema, digest)),
    );
    const answer = fromBinary(peers.FleetViewSchema, view);
    quotas.applyAnswer(nodeName, isAnswered ? answer : undefined);
    return digest.length + view.length;
  }

  admit(signal = NEVER) {
    return this.state.quotas.admit(TEAM, CALLER, signal);
  }

  /** Admits requests until one has to wait or is rejected; counts them. */
  async drain(): Promise<number> {
    for (let taken = 0;; taken++) {
      const decided = this.admit().then((result) => result.isOk());
      const waits = core.sleep(2).then(() => false);
      if (!await Promise.race([decided, waits])) return taken;
    }
  }
}

/** Two nodes for long enough to have tokens, most of them at the root. */
async function startNodes(): Promise<[TestNode, TestNode]> {
  const root = new TestNode("n1", [TEAM]);
  const leaf = new TestNode("n2", [TEAM]);
  const deadline = new core.Deadline(1_700);
  while (!deadline.isOver()) {
    root.state.quotas.becomeRoot();
    root.state.quotas.setConnected(2);
    leaf.exchange(root);
    await core.sleep(50);
  }
  return [root, leaf];
}

// Guards against tokens that do not reach the node that is asked, and against
// an exchange that is not woken for a waiting request.
test("a request at the leaf gets the tokens of the root in one exchange", async (t) => {
  const [root, leaf] = await startNodes();
  await leaf.drain();
  const { wakes } = leaf;
  t.true(wakes > 0);
  const waiting = leaf.admit();
  leaf.exchange(root);
  t.true((await waiting).isOk());
  t.true(leaf.state.metrics.counterValue("quota_waits") >= 2);
});

// Guards against a place that is kept for a client that has left.
test("a waiting request whose client leaves gives up its place at once", async (t) => {
  const node = new TestNode("n1", [TEAM]);
  node.state.quotas.answer(create(peers.NodeDigestSchema, {
    node: "n2",
    quotas: {},
  }));
  const aborter = new AbortController();
  const waiting = node.admit(aborter.signal);
  await core.sleep(1);
  t.is(node.state.quotas.pauseMs(1_000), 30);
  aborter.abort();
  await waiting;
  t.is(node.state.quotas.pauseMs(1_000), 1_000);
});

// Guards against a log that grows with the rejected requests, and that shows a
// key.
test("100 rejections make one line, and another when the team is served", async (t) => {
  const node = new TestNode("n1", [TEAM]);
  // The first two wait in vain, as this node refills nothing yet.
  const results = await Promise.all(
    Array.from({ length: 100 }, () => node.admit()),
  );
  for (const result of results) {
    t.true(result.isErr() && result.error.retryAfterMs > 0);
  }
  const quotaLines = () => node.lines.filter((line) => /quota_/.test(line));
  t.is(quotaLines().length, 1);
  t.regex(quotaLines()[0]!, /quota_exhausted.* team=team reason=exhausted/);
  t.is(node.state.metrics.counterValue("quota_rejections"), 100);
  t.is(node.state.quotas.exhaustedTeams, 1);
  await testing.waitUntil("the team is served again", () => {
    node.state.quotas.setConnected(1);
    return quotaLines().length === 2;
  });
  t.regex(quotaLines()[1]!, /quota_available.* rejections=100/);
  t.false(node.lines.some((line) => line.includes(KEY)));
});

// Guards against amounts of a lost answer that count at both nodes.
test("tokens whose message is lost are at neither node", async (t) => {
  const [root, leaf] = await startNodes();
  const waiting = leaf.admit();
  leaf.exchange(root, false);
  leaf.exchange(root);
  await waiting;
  const taken = await root.drain() + await leaf.drain();
  // Refilled since the nodes joined: 0.7 s and what the test has taken since.
  t.true(taken <= 40, `${taken} requests`);
});

// Guards against messages that grow where no team has a quota.
test("without quotas the messages between nodes are as before", (t) => {
  const sizes = [undefined, [{ ...TEAM, quota: undefined }]].map((teams) => {
    const [root, leaf] = [
      new TestNode("n1", teams as fleet.TeamSpec[] | undefined),
      new TestNode("n2", teams as fleet.TeamSpec[] | undefined),
    ];
    const digest = leaf.hub.digestForParent(
      root.state.settings.nodeName,
      core.monotonicMs(),
    );
    t.deepEqual(leaf.state.quotas.report(root.state.settings.nodeName), {});
    t.is(root.hub.exchange(digest).quotas, undefined);
    return leaf.exchange(root);
  });
  t.true(sizes[0]! > 0);
});

// Guards against tokens that seem young as the clock stood still with the
// machine, and against small corrections of the wall clock.
test("a suspended machine is detected, a corrected clock is not", (t) => {
  const clock = new SuspensionClock();
  t.false(clock.hasJumped(1_000, 50_000));
  t.false(clock.hasJumped(2_000, 51_300));
  t.true(clock.hasJumped(3_000, 52_501));
  t.false(clock.hasJumped(4_000, 53_501));
  t.false(clock.hasJumped(5_000, 50_000));
  t.true(clock.hasJumped(6_000, 51_600));
});
