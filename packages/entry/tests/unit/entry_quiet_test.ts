import test from "ava";
import * as core from "../../../core/mod.ts";
import * as dispatch from "../../../dispatch/mod.ts";
import { makeDigest } from "../../entry_digest.ts";
import { history, makeNode, makeRequest, never } from "../selector_node.ts";

// Guards against requests that wait for an engine which has asked for quiet,
// though another one could run them.
test("requests go to the engines that have not asked for quiet", async (t) => {
  const { state, selector } = makeNode(["e1", "e2"], [], 4);
  const first = await selector
    .select(makeRequest("a"), history(false, ["e2"]), never);
  const assignment = first._unsafeUnwrap();
  assignment.onQuiet(300, core.monotonicMs());
  assignment.onEnd("shed");
  t.true(assignment.isWithdrawn());
  for (let n = 0; n < 4; n++) {
    const next = await selector
      .select(makeRequest(`b${n}`), history(false), never);
    t.is(next._unsafeUnwrap().upstream.id, "e2" as core.UpstreamId);
  }
  // The other nodes are told to avoid it.
  const { uses } = makeDigest(state, core.monotonicMs());
  const told = uses.find(({ upstreamId }) => upstreamId === "e1");
  t.is(told?.suspectingNodes, 1);
});

// Guards against a request that waits for the end of a quiet which comes too
// late for it, and against one that is rejected though it comes in time.
test("a request waits for the end of the quiet only if it has the time", async (t) => {
  const { state, selector } = makeNode(["e1"], [], 4);
  const [engine] = state.upstreams.all();
  state.recordQuiet(engine!, 200, core.monotonicMs());
  const selecting = selector.select(makeRequest("a"), history(false), never);
  await core.sleep(50);
  selector.selectForQueued();
  t.is(state.queue.size, 1);
  await core.sleep(200);
  selector.selectForQueued();
  t.true((await selecting).isOk());

  state.recordQuiet(engine!, 60_000, core.monotonicMs());
  const rejected = await selector
    .select(makeRequest("b"), history(false), never);
  t.is(
    rejected.isErr() ? rejected.error.reason : "selected",
    "all engines with the model ask for quiet",
  );
  t.is(state.queue.size, 0);
  // A stream that has begun cannot be rejected any more.
  const caller = new AbortController();
  const started = selector
    .select(makeRequest("c"), history(true), caller.signal);
  await core.sleep(10);
  t.is(state.queue.size, 1);
  caller.abort();
  t.true((await started).isErr());
});

// Guards against all that waited going to an engine at the end of its quiet.
test("requests resume one for each that was answered", (t) => {
  const quiet = new dispatch.QuietTime();
  const endBefore = quiet.countSent(0);
  t.true(quiet.maySend(0));
  quiet.start(100, 0);
  quiet.start(50, 10);
  t.false(quiet.maySend(99));
  t.true(quiet.maySend(100));
  const end = quiet.countSent(100);
  t.false(quiet.maySend(100));
  endBefore();
  t.false(quiet.maySend(100));
  quiet.recordAnswer(3, 110);
  t.true(quiet.maySend(110));
  end();
  quiet.countSent(120);
  t.true(quiet.maySend(120));
  quiet.countSent(120);
  t.false(quiet.maySend(120));
  quiet.recordAnswer(3, 130);
  quiet.recordAnswer(3, 130);
  for (let n = 0; n < 10; n++) quiet.countSent(140);
  t.true(quiet.maySend(140));
});
