import test from "ava";
import * as core from "../../../core/mod.ts";
import { history, makeNode, makeRequest, never } from "../selector_node.ts";

// Guards against an engine that gets more requests than the rate that it names.
test("an engine is selected no more often than it allows", async (t) => {
  const { state, selector } = makeNode(["e1"], [], 1_000);
  state.hasReadMembers = true;
  const [engine] = state.upstreams.all();
  const nowMs = core.monotonicMs();
  state.recordRateLimit(engine!.record, 4, nowMs, nowMs);
  let selected = 0;
  const selections: Promise<void>[] = [];
  const deadline = new core.Deadline(4_000);
  for (let n = 0; !deadline.isOver(); n++) {
    const request = { ...makeRequest(`r${n}`), deadlineAtMs: nowMs + 4_000 };
    const { signal } = new AbortController();
    selections.push(
      selector.select(request, history(false), signal).then((assigned) => {
        if (assigned.isErr()) return;
        selected++;
        assigned.value.onEnd("served");
      }),
    );
    await core.sleep(25);
    selector.selectForQueued();
  }
  await Promise.all(selections);
  t.true(selected <= 4 * 4 + 5, `${selected} selected in 4 s`);
  t.true(selected >= 4 * 4 * 0.7, `${selected} selected in 4 s`);
});

// Guards against requests that wait for an engine at its limit, though another
// one could run them.
test("requests go to the engines that have no limit", async (t) => {
  const { state, selector } = makeNode(["e1", "e2"], [], 100);
  state.hasReadMembers = true;
  const nowMs = core.monotonicMs();
  const engine = state.upstreams.get(core.brandId<core.UpstreamId>("e1"))!;
  state.recordRateLimit(engine.record, 0, nowMs, nowMs);
  for (let n = 0; n < 50; n++) {
    const selected = await selector
      .select(makeRequest(`r${n}`), history(false), never);
    const { upstream } = selected._unsafeUnwrap();
    t.is(upstream.id, core.brandId<core.UpstreamId>("e2"));
  }
  // Neither does a retry that only the limited one could take.
  const retry = selector
    .trySelectRetry(makeRequest("x"), history(false, ["e2"]));
  t.is(retry, undefined);
});

// Guards against requests that were selected before a limit was known, and
// reach the engine long after.
test("a request that was not sent when a limit is named needs a permit", async (t) => {
  const { state, selector } = makeNode(["e1"], [], 100);
  state.hasReadMembers = true;
  const selected = await selector
    .select(makeRequest("a"), history(false), never);
  const assignment = selected._unsafeUnwrap();
  t.false(assignment.isWithdrawn());
  assignment.onRateLimit(5, core.monotonicMs());
  t.true(assignment.isWithdrawn());
  assignment.onEnd("cancelled");
  const permitted = await selector
    .select(makeRequest("b"), history(false), never);
  t.false(permitted._unsafeUnwrap().isWithdrawn());
});

// Guards against a request that is held until it is too late, and against one
// that is rejected though it could be sent in time.
test("a request waits for its permit only if it has the time", async (t) => {
  const { state, selector } = makeNode(["e1"], [], 100);
  state.hasReadMembers = true;
  const [engine] = state.upstreams.all();
  const nowMs = core.monotonicMs();
  state.recordRateLimit(engine!.record, 1, nowMs, nowMs);
  const selecting = Array.from(
    { length: 6 },
    (_, n) => selector.select(makeRequest(`r${n}`), history(false), never),
  );
  await core.sleep(50);
  const rejected = await selector
    .select(makeRequest("late"), history(false), never);
  const { reason, retryAfterMs } = rejected._unsafeUnwrapErr();
  t.is(reason, "all engines with the model are at their rate limits");
  // Its turn is behind those that are queued, a second each.
  t.true(retryAfterMs > 2_100, `${retryAfterMs}`);
  t.true((await selecting[0]!).isOk());
  const tookMs = core.monotonicMs() - nowMs;
  t.true(tookMs > 900 && tookMs < 1_500, `${tookMs}`);
  // A stream that has begun cannot be rejected any more.
  const caller = new AbortController();
  const started = selector
    .select(makeRequest("c"), history(true), caller.signal);
  await core.sleep(10);
  t.true(state.queue.size > 0);
  caller.abort();
  t.true((await started).isErr());
  await Promise.all(selecting);
});
