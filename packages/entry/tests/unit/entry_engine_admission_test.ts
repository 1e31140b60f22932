/** Load: requests that an engine's memory, not its slots, keeps waiting. */
import { create } from "@bufbuild/protobuf";
import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import * as peers from "../../../peers/mod.ts";
import type * as relay from "../../../relay/mod.ts";
import * as testing from "../../../testing/mod.ts";
import { makeDigest, sumUses, usesWithout } from "../../entry_digest.ts";
import { EntryState } from "../../entry_state.ts";
import { EntryUpstreamSelector } from "../../entry_selector.ts";
import { fleetAgeMs, groupAge } from "../../memory/entry_memory_sums.ts";
import { makeEntrySettings } from "../entry_settings.ts";
import { makeConfig, makeRequest, MODEL, SERVICE } from "../selector_node.ts";

const LARGE_TOKENS = 60_000;

/** A node with one engine of 100,000 tokens, and another node in the fleet. */
function makeNode(
  name: string,
  settings: Partial<fleet.EntrySettings> = { engineAdmission: "shares" },
) {
  const lines: string[] = [];
  const state = new EntryState(
    { ...makeEntrySettings(name), ...settings },
    new core.Logger({}, (line) => lines.push(String(line))),
  );
  state.applyConfig(makeConfig(1, [SERVICE], 8));
  state.setUpstream(testing.makeUpstreamRecord({
    id: core.brandId<core.UpstreamId>("e1"),
    service: SERVICE,
    slots: 8,
    models: [{ model: MODEL, adapters: [] }],
  }));
  for (const member of ["n1", "n2"]) {
    state.members.setRow(core.brandId(member), {
      callerAddress: `${member}:1`,
      peerAddress: `${member}:2`,
      failureDomain: "d",
      incarnation: member,
      isLeaving: false,
    });
  }
  const [engine] = [...state.upstreams.all()];
  const selector = new EntryUpstreamSelector(state);
  return { state, selector, engine: engine!, lines };
}

function makeLarge(id: string): relay.RelayedRequest {
  const request = makeRequest(id);
  return {
    ...request,
    caller: { ...request.caller, promptTokens: LARGE_TOKENS },
  };
}

const history: relay.AttemptHistory = {
  failed: new Set(),
  hasStarted: false,
  avoidsSuspects: false,
};

function hearNothing({ engine }: ReturnType<typeof makeNode>): void {
  const none = { inFlight: 0, prefillMs: 0, tokens: 0 };
  engine.setPeerLoad(none, false, core.monotonicMs());
}

test("a large request claims an idle engine, waits, and is counted and logged once", async (t) => {
  const node = makeNode("n1");
  const { state, selector, engine, lines } = node;
  hearNothing(node);
  const ended = new AbortController();
  const selected = selector.select(makeLarge("r1"), history, ended.signal);
  selector.selectForQueued();
  await core.sleep(1);
  selector.selectForQueued();
  t.is(state.metrics.counterValue("memory_waits"), 1);
  t.is(lines.filter((line) => line.includes("waits_for_memory")).length, 1);
  t.truthy(engine.memory.claim(core.monotonicMs()));
  ended.abort();
  t.true((await selected).isErr());
  t.is(engine.memory.claim(core.monotonicMs()), undefined);
});

test("other nodes hear of a claim with its ticket, and its node knows its own", async (t) => {
  const node = makeNode("n1");
  hearNothing(node);
  const ended = new AbortController();
  const selected = node.selector
    .select(makeLarge("r1"), history, ended.signal);
  const nowMs = core.monotonicMs();
  const digest = makeDigest(node.state, nowMs);
  const sums = sumUses([digest, makeDigest(makeNode("n2").state, nowMs)]);
  const [forOthers] = usesWithout(sums, undefined);
  t.true(forOthers!.claimedTokens >= LARGE_TOKENS);
  const [forItself] = usesWithout(sums, digest);
  t.is(forItself!.claimedTokens, 0);
  const ticket = node.engine.memory.claim(nowMs)!.ticket;
  t.deepEqual(forItself!.firstClaims.map((claim) => claim.ticket), [ticket]);
  ended.abort();
  await selected;
});

// Guards against another rule in deployments whose engines do not end when they
// are overrun.
test("where the settings do not call for shares an idle engine takes a request of any size at once", async (t) => {
  const calledFor = [
    { engineAdmission: "sums" } as const,
    { machine: {} },
    { machine: { memoryMb: 210 } },
  ];
  for (const settings of calledFor) {
    const node = makeNode("n1", settings);
    hearNothing(node);
    const selected = await node.selector
      .select(makeLarge("r1"), history, new AbortController().signal);
    t.true(selected.isOk());
    t.is(node.engine.memory.claim(core.monotonicMs()), undefined);
  }
});

test("a refusal by a full engine is counted with the time that it cost", async (t) => {
  const { state, selector } = makeNode("n1", { engineAdmission: "sums" });
  const selected = await selector
    .select(makeRequest("r1"), history, new AbortController().signal);
  const assignment = selected._unsafeUnwrap();
  assignment.onNotRun(false, core.monotonicMs() + 5);
  assignment.onEnd("shed");
  t.true(state.metrics.render({}).includes("shed_wait_ms_count 1"));
});

// Guards against nodes that take a tree's sums for as new as their last answer.
test("the age of sums counts the way through a leader and the root", (t) => {
  const child = (ageMs: number, receivedAtMs: number, children = 0) => ({
    digest: create(peers.NodeDigestSchema, {
      usesAgeMs: ageMs,
      children: Array.from(
        { length: children },
        () => create(peers.MemberStateSchema, {}),
      ),
    }),
    receivedAtMs,
  });
  t.deepEqual(groupAge([], 1_000), { nodes: 1, ageMs: 0 });
  const group = groupAge([child(0, 900), child(100, 900, 1)], 1_000);
  t.deepEqual(group, { nodes: 4, ageMs: (100 + 2 * 200) / 4 });
  t.is(fleetAgeMs(group, 4, undefined), group.ageMs);
  t.is(fleetAgeMs(group, 8, 300), (4 * group.ageMs + 4 * 300) / 8);
});
