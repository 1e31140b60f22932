import { setMaxListeners } from "node:events";
import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import type * as relay from "../../../relay/mod.ts";
import type { SelectionResult } from "../../entry_engine_queue.ts";
import { history, makeNode, makeRequest, never } from "../selector_node.ts";

/** Requests that are more than callers wait for. */
const BACKLOG = 200;

function teamOf(name: string, priority?: number): fleet.TeamSpec {
  return {
    name: core.brandId<core.TeamName>(name),
    keyDigests: [],
    ...(priority === undefined ? {} : { priority }),
  };
}

function requestOf(id: string, team: fleet.TeamSpec): relay.RelayedRequest {
  const request = makeRequest(id);
  return { ...request, caller: { ...request.caller, promptTokens: 400 }, team };
}

/** A node with one place, for which a team has a backlog. */
async function makeBusyNode(team: fleet.TeamSpec) {
  const { state, selector } = makeNode(["e1"]);
  const ended: { readonly id: string; readonly result: SelectionResult }[] = [];
  const select = (id: string, by: fleet.TeamSpec, signal = never) =>
    selector.select(requestOf(id, by), history(false), signal)
      .then((result) => {
        ended.push({ id, result });
        return result;
      });
  const leave = new AbortController();
  setMaxListeners(BACKLOG, leave.signal);
  const running = (await select("running", team))._unsafeUnwrap();
  for (let n = 0; n < BACKLOG; n++) {
    void select(`flood${n}`, team, leave.signal);
  }
  await core.sleep(1);
  return { state, select, ended, running, leave };
}

// Guards against fifteen teams that are rejected because of the sixteenth.
test("a team's backlog gets its own requests rejected, not those of others", async (t) => {
  const { state, select, ended, running } = await makeBusyNode(teamOf("flood"));
  const rejected = ended.filter(({ result }) => result.isErr());
  t.true(rejected.length > 0, "the backlog is longer than callers wait");
  const small = select("small", teamOf("small"));
  await core.sleep(1);
  const waiting = state.queue.size;
  t.is(ended.filter(({ id }) => id === "small").length, 0, "it waits");
  running.onEnd("served");
  const served = await small;
  t.true(served.isOk());
  t.is(state.queue.size, waiting - 1, "it got the first place");
});

// Guards against callers who return too early, or later than they need to.
test("Retry-After is by what goes before the requests of the team", async (t) => {
  const { state, select, ended } = await makeBusyNode(teamOf("flood"));
  const own = ended.find(({ result }) => result.isErr())!.result;
  const aborter = new AbortController();
  const small = select("small", teamOf("small"), aborter.signal);
  await core.sleep(1);
  aborter.abort();
  const [ofFlood, ofSmall] = [own, await small].map((result) =>
    result._unsafeUnwrapErr().retryAfterMs
  );
  t.is(ofFlood, 2_000);
  t.true(ofSmall! < 1_000, `${ofSmall} ms`);
  t.false(state.teamOrder.totals.gauges()['team_waiting{team="flood"}'] === 0);
});

// Guards against other nodes' backlog of one team that gets others rejected.
test("what other nodes queue counts by what each team sends", async (t) => {
  const { state, select, ended, leave } = await makeBusyNode(teamOf("flood"));
  leave.abort();
  state.fleetQueues = new Map([["m", 100]]);
  void select("other", teamOf("other"));
  const own = await select("own", teamOf("flood"));
  t.true(own.isErr());
  t.is(ended.filter(({ id }) => id === "other").length, 0, "it waits");
});

// Guards against a team whose priority has no effect where requests wait.
test("a team's priority takes precedence over its route's", async (t) => {
  const { select, running } = await makeBusyNode(teamOf("flood", 2));
  const less = await select("less", teamOf("less", 3));
  // All that waits goes before it.
  t.regex(less._unsafeUnwrapErr().reason, /^queue is/);
  const urgent = select("urgent", teamOf("urgent", 1));
  running.onEnd("served");
  t.true((await urgent).isOk());
});

// Guards against teams that pay twice for a request that an engine refuses.
test("a team is not charged for a request that was not run", async (t) => {
  const { state, selector } = makeNode(["e1"]);
  const selected = await selector
    .select(requestOf("r", teamOf("a")), history(false), never);
  const grantedMs = () =>
    state.teamOrder.totals.gauges()['team_granted_ms{team="a"}']!;
  t.true(grantedMs() > 0);
  selected._unsafeUnwrap().onEnd("shed");
  t.is(grantedMs(), 0);
});
