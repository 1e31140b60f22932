import test from "ava";
import { err, type Result } from "neverthrow";
import * as capacity from "../../../capacity/mod.ts";
import { makeEqualFleet } from "../../../capacity/tests/fleets.ts";
import * as core from "../../../core/mod.ts";
import * as relay from "../../../relay/mod.ts";
import * as testing from "../../../testing/mod.ts";
import { directoryAddresses } from "../../capacity/entry_directory.ts";
import { makeDigest } from "../../entry_digest.ts";
import { ExchangeHub } from "../../entry_exchange.ts";
import type { EntryState } from "../../entry_state.ts";
import { TableNewsExchange } from "../../entry_table_news.ts";
import { respondAfter, withListener } from "../listener_harness.ts";
import { makeSizedState } from "../sized_fleet.ts";

/** A load that a test sets. */
class GivenLoad extends capacity.LoadSource {
  override readonly kind = "memory";
  value = 2;
  override pressure(): number {
    return this.value;
  }
}

/** Makes no assignment; requests wait until they are ended. */
class WaitingSelector extends relay.UpstreamSelector {
  waiting = 0;
  override select(
    _request: relay.RelayedRequest,
    _history: relay.AttemptHistory,
    signal: AbortSignal,
  ): Promise<Result<relay.UpstreamAssignment, relay.Rejection>> {
    this.waiting++;
    return new Promise((resolve) =>
      signal.addEventListener("abort", () => {
        this.waiting--;
        resolve(err({ reason: "ended", retryAfterMs: 1 }));
      })
    );
  }
  override trySelectRetry(): undefined {}
  override trySpendRetry(): boolean {
    return false;
  }
}

/** Makes a node overloaded, with a limit of four requests in progress. */
function overload(state: EntryState): GivenLoad {
  const load = new GivenLoad();
  // Above that of the processor, whose timer these steps make late.
  load.value = 9;
  state.overload.setSource(load);
  const nowMs = core.monotonicMs();
  for (let step = 0; step < 20; step++) {
    state.overload.update(nowMs - 10_000 + step * 500);
  }
  return load;
}

function get(id: string): string {
  return `GET /a/ HTTP/1.1\r\nhost: h\r\nx-id: ${id}\r\n\r\n`;
}

function post(id: string, bytes: number): string {
  return `POST /a/ HTTP/1.1\r\nhost: h\r\nx-id: ${id}\r\n` +
    `content-length: ${bytes}\r\n\r\n`;
}

// Guards against a node that fails with all that it has begun, rather than to
// turn away what it has not.
test("with 4 of 4 requests at the upstream, a fifth is shed before its body is read", (t) =>
  withListener(respondAfter(1_000), async (harness) => {
    overload(harness.state);
    const first = Array.from({ length: 4 }, () => harness.connect());
    first.forEach((each, index) => each.socket.write(get(`a${index}`)));
    await harness.reached(4);
    const late = harness.connect();
    late.socket.write(post("late", 10));
    await late.has(/HTTP\/1\.1 503 /);
    t.regex(late.text, /retry-after: [1-5](\.\d+)?\r\n/i);
    for (const each of first) await each.has(/HTTP\/1\.1 200 /);
    t.deepEqual(harness.received.sort(), ["a0", "a1", "a2", "a3"]);
    t.is(harness.state.metrics.counterValue("requests_shed"), 1);
    await harness.idle();
    const again = harness.connect();
    again.socket.write(get("again"));
    await again.has(/HTTP\/1\.1 200 /);
  }));

test("of 20 requests that wait for an engine the newest 4 are shed, never a sent one", async (t) => {
  const selector = new WaitingSelector();
  await withListener(respondAfter(0), async (harness) => {
    const connections = [];
    for (let index = 0; index < 20; index++) {
      const connection = harness.connect();
      connection.socket.write(get(`w${index}`));
      connections.push(connection);
      await testing.waitUntil(
        "the request waits",
        () => selector.waiting === index + 1,
        10_000,
      );
    }
    harness.state.overload.setSource(new GivenLoad());
    harness.state.overload.update(core.monotonicMs());
    for (const each of connections.slice(16)) {
      await each.has(/HTTP\/1\.1 503 [^]*retry-after: 1\r\n/i);
    }
    t.is(selector.waiting, 16);
    t.is(harness.state.metrics.counterValue("requests_shed"), 4);
    const log = harness.log.filter((line) => line.includes("overload_began"));
    t.is(log.length, 1);
    t.regex(log[0]!, /cause=memory pressure=2.00 requests=20 limit=16/);
  }, { selector });
});

test("a node that is not overloaded sheds none of 12 requests at once", (t) =>
  withListener(respondAfter(200), async (harness) => {
    overload(harness.state).value = 0;
    const nowMs = core.monotonicMs();
    for (let ms = 0; ms < 11_000; ms += 100) {
      harness.state.overload.update(nowMs + ms);
    }
    const connections = Array.from({ length: 12 }, () => harness.connect());
    connections.forEach((each, index) => each.socket.write(get(`n${index}`)));
    for (const each of connections) await each.has(/HTTP\/1\.1 200 /);
    t.is(harness.state.metrics.counterValue("requests_shed"), 0);
  }));

test("an overloaded one of 25 equal nodes is in fewer answers, and only it", (t) => {
  const nodes = makeEqualFleet(25, 5);
  const state = makeSizedState(nodes);
  const slow = nodes[7]!.node;
  const answers = () =>
    ["zone-0", "zone-1", "zone-2", "zone-3", "zone-4"]
      .map((failureDomain) => directoryAddresses(state, { failureDomain }));
  t.true(answers().every(({ length }) => length === 25));
  state.members.recordContact(slow, 0, true, 75);
  const after = answers();
  const withSlow = after.filter((each) => each.includes(`${slow}:80`));
  t.true(withSlow.length <= 2, `${withSlow.length} of 5 answers`);
  t.true(after.every(({ length }) => length >= 24));
  t.deepEqual(answers(), after);
  state.members.recordContact(slow, 0, true, 0);
  t.true(answers().every(({ length }) => length === 25));
});

test("the digest of a node that is overloaded for 10 s says a quarter of its weight", (t) => {
  const state = makeSizedState(makeEqualFleet(4, 2));
  t.is(makeDigest(state, 0).weightReduction, 0);
  overload(state);
  t.is(makeDigest(state, 0).weightReduction, 75);
});

test("a leaf's overload reaches the other leaves of its leader and the root", (t) => {
  const nodes = makeEqualFleet(4, 2);
  const [root, leader, slow, other] = nodes.map((self) => {
    const state = makeSizedState(nodes, self);
    return { state, hub: new ExchangeHub(state, new TableNewsExchange([])) };
  }) as [Node, Node, Node, Node];
  const slowName = nodes[2]!.node;
  overload(slow.state);
  const nowMs = core.monotonicMs();
  const exchange = (child: Node, parent: Node) =>
    parent.hub.exchange(child.hub.digestForParent("parent", nowMs));
  exchange(slow, leader);
  exchange(leader, root);
  const view = exchange(other, leader);
  const stated = view.members.find(({ node }) => node === slowName);
  t.is(stated?.weightReduction, 75);
  for (const { state } of [root, leader]) {
    t.is(state.members.weightReduction(slowName), 75);
  }
  t.is(root.state.members.weightReduction(nodes[3]!.node), 0);
});

interface Node {
  readonly state: EntryState;
  readonly hub: ExchangeHub;
}
