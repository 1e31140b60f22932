/** Selections for requests whose response has begun, or that were abandoned. */
import { Buffer } from "node:buffer";
import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import type * as relay from "../../../relay/mod.ts";
import * as testing from "../../../testing/mod.ts";
import { EntryUpstreamSelector } from "../../entry_selector.ts";
import { EntryState } from "../../entry_state.ts";
import { makeEntrySettings } from "../entry_settings.ts";

const SERVICE = core.brandId<core.ServiceName>("s");
const MODEL = core.brandId<core.ModelName>("m");
const SLOTS = 1;
const TIMEOUT_MS = 30_000;
const never = new AbortController().signal;

function makeConfig(
  version: number,
  services: readonly core.ServiceName[],
): fleet.FleetConfig {
  return {
    version,
    routes: [],
    services: new Map(services.map((name) => [name, {
      name,
      connectionsMax: 10,
      engine: {
        slots: SLOTS,
        kvCacheTokens: 100_000,
        tokensPerEvent: 1,
        weightMemoryMb: 1,
        adapterSlots: 1,
        loadsPerS: 1,
        models: new Map(),
      },
    }])),
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
    bodyBytesMax: 1_000,
  };
}

function version(name: string): core.SoftwareVersion {
  return core.brandId<core.SoftwareVersion>(name);
}

/** A node that knows some engines, each with place for one request. */
function makeNode(
  engines: readonly string[],
  versions: readonly string[] = [],
) {
  const state = new EntryState(
    makeEntrySettings("n1"),
    new core.Logger({}, () => {}),
  );
  state.applyConfig(makeConfig(1, [SERVICE]));
  for (const [n, id] of engines.entries()) {
    state.setUpstream(testing.makeUpstreamRecord({
      id: core.brandId<core.UpstreamId>(id),
      service: SERVICE,
      softwareVersion: version(versions[n] ?? "v1"),
      address: `127.0.0.1:${1_000 + state.upstreams.listings}`,
      slots: SLOTS,
      models: [{ model: MODEL, adapters: [] }],
    }));
  }
  return { state, selector: new EntryUpstreamSelector(state) };
}

/** @param ageMs time since the request was received. */
function makeRequest(id: string, ageMs = 0): relay.RelayedRequest {
  const receivedAtMs = core.monotonicMs() - ageMs;
  return {
    caller: {
      requestId: core.brandId<core.RequestId>(id),
      model: MODEL,
      promptTokens: 10,
      outputTokensMax: 10,
      promptParts: [],
      forwardedHeaders: {},
    },
    route: {
      name: "r",
      host: "h",
      pathPrefix: "/",
      kind: "stream",
      timeoutMs: TIMEOUT_MS,
      latencyTargetMs: 600,
      eventGapTargetMs: 300,
      priority: 0,
      targets: [],
      attemptsMax: 2,
      isResumable: true,
    },
    service: SERVICE,
    method: "POST",
    path: "/",
    body: Buffer.alloc(0),
    receivedAtMs,
    deadlineAtMs: receivedAtMs + TIMEOUT_MS,
  };
}

function history(
  hasStarted: boolean,
  failed: readonly string[] = [],
): relay.AttemptHistory {
  return {
    hasStarted,
    failed: new Set(failed.map((id) => core.brandId<core.UpstreamId>(id))),
  };
}

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

// Guards against a stream that is taken off a silent engine for another silent
// one.
test("only an engine that responds is selected for a stream whose engine is silent", async (t) => {
  const { state, selector } = makeNode(["e1", "e2"]);
  const request = makeRequest("a");
  const first = await selector.select(request, history(false), never);
  const { id } = first._unsafeUnwrap().upstream;
  const other = [...state.upstreams.all()]
    .find(({ record }) => record.id !== id)!;
  const retry = () => selector.trySelectRetry(request, history(true, [id]));
  other.health.markUnreachable(core.monotonicMs());
  t.is(retry(), undefined);
  other.health.markReachable();
  t.is(retry()?.upstream.id, other.record.id);
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

// Guards against a take-up that waits although no engine that could continue it
// will get its model.
test("a stream whose model only other software versions hold is rejected at once", async (t) => {
  const { state, selector } = makeNode(["e1", "e2"], ["v1", "v2"]);
  const pinned = { ...history(true), softwareVersion: version("v1") };
  const [engine] = state.upstreams.all();
  engine!.setReplicas(new Map());
  const rejected = await selector.select(makeRequest("a"), pinned, never);
  t.true(rejected.isErr());
  // If no engine holds the model, it may be loaded on one of the version.
  for (const each of state.upstreams.all()) each.setReplicas(new Map());
  const selecting = selector.select(makeRequest("b"), pinned, never);
  await core.sleep(20);
  t.is(state.queue.size, 1);
  engine!.setListedReplicas();
  selector.selectForQueued();
  t.true((await selecting).isOk());
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
