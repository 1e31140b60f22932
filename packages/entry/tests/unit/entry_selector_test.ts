/** Selections for requests whose response has begun, or that were abandoned. */
import test from "ava";
import * as core from "../../../core/mod.ts";
import * as dispatch from "../../../dispatch/mod.ts";
import * as quarantine from "../../../quarantine/mod.ts";
import type * as relay from "../../../relay/mod.ts";
import type { EntryUpstreamSelector } from "../../entry_selector.ts";
import {
  history,
  makeConfig,
  makeNode,
  makeRequest,
  MODEL,
  never,
  SERVICE,
  version,
} from "../selector_node.ts";

/** How late a queued request may be rejected, beside the machine's own delay. */
const REJECTION_SLACK_MS = 150;

// Guards against a stream that is cut off because no engine is free at the
// moment at which it has to be continued, long after it was received.
test("a stream that has begun is queued until an engine is free", async (t) => {
  const { state, selector } = makeNode(["e1"]);
  const first = await selector.select(makeRequest("a"), history(false), never);
  const selecting = selector
    .select(makeRequest("b", 10_000), history(true), never);
  await core.sleep(50);
  t.is(state.queue.size, 1);
  first._unsafeUnwrap().onEnd("served");
  const second = await selecting;
  t.is(second._unsafeUnwrap().upstream.id, "e1" as core.UpstreamId);
});

test("a stream that has not begun is rejected at once after its caller's patience", async (t) => {
  const { state, selector } = makeNode(["e1"]);
  await selector.select(makeRequest("a"), history(false), never);
  const rejected = await selector
    .select(makeRequest("b", 10_000), history(false), never);
  t.true(rejected.isErr());
  t.is(state.queue.size, 0);
});

test("a stream that has begun leaves the queue with its caller", async (t) => {
  const { state, selector } = makeNode(["e1"]);
  await selector.select(makeRequest("a"), history(false), never);
  const caller = new AbortController();
  const selecting = selector
    .select(makeRequest("b", 10_000), history(true), caller.signal);
  await core.sleep(20);
  caller.abort();
  t.true((await selecting).isErr());
  t.is(state.queue.size, 0);
});

/** Selects an engine by excluding the others; the request stays in flight. */
async function startOn(
  selector: EntryUpstreamSelector,
  engine: string,
  others: readonly string[],
) {
  const request = makeRequest(engine);
  const selected = await selector.select(
    request,
    history(false, others),
    never,
  );
  const assignment = selected._unsafeUnwrap();
  const nowMs = core.monotonicMs();
  assignment.onBytesReceived(nowMs);
  assignment.onFirstEvent(nowMs);
  return { request, assignment };
}

// Guards against a stream that is taken off a silent engine for another one whose
// streams all stand still.
test("only an engine that responds is selected for a stream whose engine is silent", async (t) => {
  const { selector } = makeNode(["e1", "e2"], [], 4);
  const other = await startOn(selector, "e1", ["e2"]);
  const { request } = await startOn(selector, "e2", ["e1"]);
  const retry = () => selector.trySelectRetry(request, history(true, ["e2"]));
  t.is(retry()?.upstream.id, "e1" as core.UpstreamId);
  await core.sleep(700);
  t.is(retry(), undefined);
  other.assignment.onBytesReceived(core.monotonicMs());
  t.is(retry()?.upstream.id, "e1" as core.UpstreamId);
});

// Guards against a silent engine that counts as sound as soon as it was left.
test("an engine that was left as silent is suspect until it sends something", async (t) => {
  const { state, selector } = makeNode(["e1", "e2"], [], 4);
  const left = await startOn(selector, "e1", ["e2"]);
  left.assignment.onEnd("silent");
  const retry = () =>
    selector.trySelectRetry(makeRequest("b"), {
      ...history(true, ["e2"]),
      avoidsSuspects: true,
    });
  t.is(retry(), undefined);
  const [engine] = state.upstreams.all();
  engine!.health.recordBytesReceived(core.monotonicMs());
  t.is(retry()?.upstream.id, "e1" as core.UpstreamId);
});

// Guards against a stream that waits for ever beside the engine that it was taken
// off, which has gone on.
test("a stream returns to the engine that it was taken off, once that responds", async (t) => {
  const { state, selector } = makeNode(["e1", "e2"]);
  const left = await startOn(selector, "e1", ["e2"]);
  await startOn(selector, "e2", ["e1"]);
  left.assignment.onEnd("silent");
  const selecting = selector.select(makeRequest("b", 3_000), {
    ...history(true),
    avoidsSuspects: true,
  }, never);
  await core.sleep(20);
  t.is(state.queue.size, 1);
  const [engine] = state.upstreams.all();
  engine!.health.recordBytesReceived(core.monotonicMs());
  selector.selectForQueued();
  t.is((await selecting)._unsafeUnwrap().upstream.id, "e1" as core.UpstreamId);
});

// Guards against a prompt that ends engines, and is sent on to the next one as
// its engine sends nothing.
test("a silent prompt goes on elsewhere only if it is known not to be quarantined", (t) => {
  const { state, selector } = makeNode(["e1", "e2"]);
  const request = makeRequest("a");
  const { caller } = request;
  const shared = {
    ...request,
    caller: {
      ...caller,
      promptParts: [{ id: "p", tokens: 1 }, { id: "own", tokens: 1 }],
    },
  };
  const retry = () => {
    const selected = selector.trySelectRetry(shared, history(true, ["e1"]));
    selected?.onEnd("cancelled");
    return selected?.upstream.id;
  };
  t.is(retry(), undefined, "without a recent exchange");
  state.exchangedAtMs = core.monotonicMs();
  t.is(retry(), "e2" as core.UpstreamId);
  const [part] = quarantine.sharedPartKeys(shared.caller.promptParts);
  state.quarantine.applyRow(part!, core.monotonicMs());
  t.is(retry(), undefined, "quarantined");
});

// Guards against a plain service's instance that is full, and declines what is
// taken off a silent one.
test("a full instance is not selected for a request whose instance is silent", async (t) => {
  const { selector } = makeNode(["e1", "e2"]);
  const request = makeRequest("a");
  const { model: _model, ...caller } = request.caller;
  const plain = { ...request, caller };
  const first = await selector.select(plain, history(false, ["e1"]), never);
  const retry = () => selector.trySelectRetry(plain, history(false, ["e1"]));
  t.is(retry(), undefined);
  first._unsafeUnwrap().onEnd("served");
  t.is(retry()?.upstream.id, "e2" as core.UpstreamId);
});

// Guards against a stream that has begun and waits behind requests that are late
// for their first event anyway.
test("a stream that has begun goes before requests that are late", async (t) => {
  const { selector } = makeNode(["e1"]);
  const first = await selector.select(makeRequest("a"), history(false), never);
  const order: string[] = [];
  const queue = (name: string, ageMs: number, hasStarted: boolean) =>
    selector.select(makeRequest(name, ageMs), history(hasStarted), never)
      .then((selected) => {
        order.push(name);
        selected._unsafeUnwrap().onEnd("served");
      });
  const waiting = [queue("late", 1_500, false), queue("begun", 1_000, true)];
  first._unsafeUnwrap().onEnd("served");
  await Promise.all(waiting);
  t.deepEqual(order, ["begun", "late"]);
});

// Guards against a take-up that waits behind new streams, whose callers have
// nothing yet.
test("a stream that is taken up goes before new streams", async (t) => {
  const { selector } = makeNode(["e1"]);
  const first = await selector.select(makeRequest("a"), history(false), never);
  const order: string[] = [];
  const queue = (name: string, part: Partial<relay.AttemptHistory>) =>
    selector
      .select(makeRequest(name), { ...history(false), ...part }, never)
      .then((selected) => {
        order.push(name);
        selected._unsafeUnwrap().onEnd("served");
      });
  const waiting = [
    queue("new", {}),
    queue("takenUp", { softwareVersion: version("v1") }),
  ];
  first._unsafeUnwrap().onEnd("served");
  await Promise.all(waiting);
  t.deepEqual(order, ["takenUp", "new"]);
});

// Guards against a stream that is cut off because many requests wait before it.
test("a stream that has begun is queued however long the queue is", async (t) => {
  const { state, selector } = makeNode(["e1"]);
  await selector.select(makeRequest("a"), history(false), never);
  const modelKey = dispatch.toModelKey(MODEL, undefined);
  state.fleetQueues = new Map([[modelKey, 1_000_000]]);
  const rejected = await selector.select(
    makeRequest("b"),
    history(false),
    never,
  );
  t.true(rejected.isErr());
  const caller = new AbortController();
  const selecting = selector
    .select(makeRequest("c"), history(true), caller.signal);
  await core.sleep(20);
  t.is(state.queue.size, 1);
  caller.abort();
  await selecting;
});

test("no retry is taken from the budget if there is no other engine", async (t) => {
  const { state, selector } = makeNode(["e1"]);
  const request = makeRequest("a");
  await selector.select(request, history(false), never);
  for (let n = 0; n < 1_000; n++) {
    t.is(selector.trySelectRetry(request, history(true, ["e1"])), undefined);
  }
  t.true(state.retryBudget(SERVICE).canSpend(1, core.monotonicMs()));
});

// Guards against a stream that goes on at another software version, whose events
// do not fit.
test("a stream goes on at its software version only", async (t) => {
  const { state, selector } = makeNode(["e1", "e2", "e3"], ["v1", "v1", "v2"]);
  const pinned = { ...history(true), softwareVersion: version("v1") };
  const ids: string[] = [];
  for (const name of ["a", "b"]) {
    const selected = await selector.select(makeRequest(name), pinned, never);
    ids.push(selected._unsafeUnwrap().upstream.id);
  }
  t.deepEqual(ids.sort(), ["e1", "e2"]);
  t.is(selector.trySelectRetry(makeRequest("c"), pinned), undefined);
  state.removeUpstream(core.brandId<core.UpstreamId>("e1"), "row deleted");
  state.removeUpstream(core.brandId<core.UpstreamId>("e2"), "row deleted");
  const rejected = await selector.select(makeRequest("d"), pinned, never);
  t.true(rejected.isErr());
  t.is(state.queue.size, 0);
});

// Guards against a take-up that is rejected at once although an engine of its
// version could load the model in time.
test("a stream whose model only other software versions hold waits for a load", async (t) => {
  const { state, selector } = makeNode(["e1", "e2"], ["v1", "v2"]);
  const pinned = { ...history(false), softwareVersion: version("v1") };
  const [engine] = state.upstreams.all();
  engine!.setReplicas(new Map());
  const selecting = selector.select(makeRequest("a"), pinned, never);
  await core.sleep(20);
  t.is(state.queue.size, 1);
  t.like(state.demand.snapshot(core.monotonicMs())[0], {
    model: MODEL,
    waiting: 1,
    pinnedVersions: [version("v1")],
  });
  engine!.setListedReplicas();
  selector.selectForQueued();
  const selected = await selecting;
  t.is(selected._unsafeUnwrap().upstream.id, "e1" as core.UpstreamId);
});

// Guards against a take-up that goes on at another version or is rejected early,
// as its model was loaded there first.
test("a queued stream waits its time when another version loads its model", async (t) => {
  const { state, selector } = makeNode(["e1", "e2"], ["v1", "v2"]);
  const pinned = { ...history(false), softwareVersion: version("v1") };
  const [, other] = state.upstreams.all();
  for (const each of state.upstreams.all()) each.setReplicas(new Map());
  const request = makeRequest("a");
  const untilMs = dispatch
    .queueUntilMs(request.route, request.receivedAtMs, request.deadlineAtMs);
  const selecting = selector.select(request, pinned, never);
  await core.sleep(20);
  other!.setListedReplicas();
  selector.selectForQueued();
  const waited = selecting.then(() => core.monotonicMs());
  // A timer that is due later than the wait's ends later, however late both are.
  const reference = core
    .sleep(untilMs + REJECTION_SLACK_MS - core.monotonicMs());
  const isFirst = await Promise.race([
    selecting.then(() => true),
    reference.then(() => false),
  ]);
  t.true(isFirst, "rejected late");
  t.true(await waited > untilMs - 5, "rejected early");
  const rejected = await selecting;
  t.is(
    rejected.isErr() ? rejected.error.reason : "selected",
    "no engine in time",
  );
  t.is(state.queue.size, 0);
});

// Guards against a take-up that waits on after its version has left the service.
test("a queued stream is rejected once its software version is gone", async (t) => {
  const { state, selector } = makeNode(["e1", "e2"], ["v1", "v2"]);
  const pinned = { ...history(true), softwareVersion: version("v1") };
  const [engine] = state.upstreams.all();
  engine!.setReplicas(new Map());
  const selecting = selector.select(makeRequest("a"), pinned, never);
  await core.sleep(20);
  t.is(state.queue.size, 1);
  state.removeUpstream(core.brandId<core.UpstreamId>("e1"), "row deleted");
  selector.selectForQueued();
  // At once: no timer runs before the next poll.
  const next = core.nextPoll().then(() => undefined);
  const rejected = await Promise.race([selecting, next]);
  if (!rejected) return t.fail("not rejected at once");
  t.is(
    rejected.isErr() ? rejected.error.reason : "selected",
    "no upstream of software version v1",
  );
  t.is(state.queue.size, 0);
});

// Guards against a stream that waits to its end, while the engine that broke it
// off is the only one that could go on with it.
test("a stream returns to the engine that broke it off, if no other of its version can run it", async (t) => {
  const { selector } = makeNode(["e1", "e2"], ["v1", "v2"]);
  const selected = await selector.select(makeRequest("a"), {
    ...history(true, ["e1"]),
    softwareVersion: version("v1"),
  }, never);
  t.is(selected._unsafeUnwrap().upstream.id, "e1" as core.UpstreamId);
});

// Guards against a request in flight that ends because a configuration drops
// its service, while the engines still serve.
test("a request goes on at its service when a new configuration drops it", async (t) => {
  const { state, selector } = makeNode(["e1", "e2"]);
  const request = makeRequest("a");
  const first = await selector.select(request, history(false), never);
  const { id } = first._unsafeUnwrap().upstream;
  state.applyConfig(makeConfig(2, []));
  const silent = selector.trySelectRetry(request, history(true, [id]));
  t.not(silent, undefined);
  silent?.onEnd("cancelled");
  const broken = await selector.select(request, history(true, [id]), never);
  t.true(broken.isOk());
  const late = await selector
    .select(makeRequest("b"), history(false), never);
  t.true(late.isErr());
});
