import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as dispatch from "../../mod.ts";

const model = core.brandId<core.ModelName>("m");

const spec: fleet.EngineSpec = {
  slots: 4,
  kvCacheTokens: 10_000,
  tokensPerEvent: 3,
  weightMemoryMb: 100,
  adapterSlots: 2,
  loadsPerS: 1,
  models: new Map(),
};

function makeEngine(id: string, part: Partial<fleet.UpstreamRecord> = {}) {
  const record = testing.makeUpstreamRecord({
    id: core.brandId<core.UpstreamId>(id),
    slots: 4,
    models: [{ model, adapters: ["a1"] }],
    ...part,
  });
  return new dispatch.UpstreamState(record, 10_000);
}

function makeRequest(prefillMs: number): dispatch.InFlightRequest {
  return {
    modelKey: model,
    reservedTokens: 100,
    outputTokensMax: 10,
    prefillMs,
    sentAtMs: 0,
    hasOutput: false,
  };
}

const needs: dispatch.RequestNeeds = {
  model,
  promptTokens: 1_000,
  outputTokensMax: 100,
  promptParts: [{ id: "x", tokens: 800 }, { id: "y", tokens: 200 }],
  eventGapMaxMs: 300,
};

function choose(
  engines: readonly dispatch.UpstreamState[],
  part: Partial<dispatch.RequestNeeds> = {},
  nowMs = 0,
) {
  return dispatch.chooseEngine(engines, { ...needs, ...part }, {
    stepTimes: new dispatch.StepTimeEstimator(),
    spec,
    nowMs,
    excluded: new Set(),
  })?.engine.record.id;
}

test("the engine with the smaller prefill backlog is chosen", (t) => {
  const [busy, idle] = [makeEngine("busy"), makeEngine("idle")];
  busy.trackRequest(makeRequest(100));
  t.is(choose([busy, idle]), idle.record.id);
});

test("an engine with the prompt in its prefix cache is preferred", (t) => {
  const [cold, warm] = [makeEngine("cold"), makeEngine("warm")];
  warm.prefixCache.recordPrompt(model, needs.promptParts);
  t.is(choose([cold, warm]), warm.record.id);
});

test("a cached prompt does not outweigh a long prefill backlog", (t) => {
  const [cold, warm] = [makeEngine("cold"), makeEngine("warm")];
  warm.prefixCache.recordPrompt(model, needs.promptParts);
  warm.trackRequest(makeRequest(150));
  t.is(choose([cold, warm]), cold.record.id);
});

test("a prompt part counts as cached only if all parts before it are", (t) => {
  const cache = new dispatch.PrefixCacheTracker(1_000);
  cache.recordPrompt("m", [{ id: "y", tokens: 200 }]);
  t.is(cache.cachedTokens("m", needs.promptParts), 0);
  cache.recordPrompt("m", needs.promptParts);
  t.is(cache.cachedTokens("m", needs.promptParts), 1_000);
  t.is(cache.cachedTokens("m/a1", needs.promptParts), 0);
});

test("least recently used prompt parts are evicted, and all of an unloaded model", (t) => {
  const cache = new dispatch.PrefixCacheTracker(1_000);
  cache.recordPrompt("m", [{ id: "old", tokens: 600 }]);
  cache.recordPrompt("m", [{ id: "new", tokens: 600 }]);
  t.is(cache.cachedTokens("m", [{ id: "old", tokens: 600 }]), 0);
  cache.recordPrompt("m/a1", [{ id: "new", tokens: 100 }]);
  cache.dropModel("m");
  t.is(cache.cachedTokens("m", [{ id: "new", tokens: 600 }]), 0);
  t.is(cache.cachedTokens("m/a1", [{ id: "new", tokens: 100 }]), 0);
});

test("a prompt that would stall running streams in a burst is not admitted", (t) => {
  const engine = makeEngine("e");
  engine.trackRequest(makeRequest(150));
  t.is(choose([engine]), undefined);
  t.is(choose([engine], { promptTokens: 100 }), engine.record.id);
});

test("slots and memory limit what an engine may start in a burst", (t) => {
  const full = makeEngine("full");
  for (let n = 0; n < spec.slots; n++) full.trackRequest(makeRequest(0));
  t.is(choose([full]), undefined);
  const reserved = makeEngine("reserved");
  reserved.trackRequest({
    ...makeRequest(0),
    reservedTokens: 8_500,
    hasOutput: true,
  });
  t.is(choose([reserved]), undefined);
  t.is(choose([makeEngine("e")], { promptTokens: 20_000 }) !== undefined, true);
});

test("load received from other nodes counts until it is stale", (t) => {
  const engine = makeEngine("e");
  engine.setPeerLoad({ inFlight: 4, prefillMs: 0, tokens: 0 }, false, 0);
  t.is(choose([engine]), undefined);
  engine.expirePeerLoad(1_000);
  t.is(choose([engine]), undefined);
  engine.expirePeerLoad(2_000);
  t.is(choose([engine]), engine.record.id);
});

test("a leaving engine gets no requests", (t) => {
  t.is(choose([makeEngine("e", { isLeaving: true })]), undefined);
});

test("gray failures divert requests from an engine, and decay", (t) => {
  const [failing, slow] = [makeEngine("failing"), makeEngine("slow")];
  slow.trackRequest(makeRequest(100));
  for (let n = 0; n < 4; n++) failing.health.recordOutcome("failed", 0);
  t.is(choose([failing, slow]), slow.record.id);
  t.is(choose([failing, slow], {}, 20_000), failing.record.id);
});

test("an unresponsive engine is avoided", (t) => {
  const [unresponsive, busy] = [makeEngine("unresponsive"), makeEngine("busy")];
  unresponsive.trackRequest(makeRequest(0));
  busy.trackRequest(makeRequest(100));
  busy.health.recordBytesReceived(1_900);
  t.is(choose([unresponsive, busy], {}, 2_000), busy.record.id);
  unresponsive.health.recordBytesReceived(1_900);
  t.is(choose([unresponsive, busy], {}, 2_000), unresponsive.record.id);
});

test("an unreachable engine gets no requests during its back-off", (t) => {
  const engine = makeEngine("e");
  engine.health.recordOutcome("unreachable", 0);
  t.is(choose([engine], {}, 100), undefined);
  t.is(choose([engine], {}, 400), engine.record.id);
});

test("an engine that reports a missing model is skipped for a while", (t) => {
  const engine = makeEngine("e");
  engine.recordRejection(model, true, 0);
  t.is(choose([engine], {}, 100), undefined);
  t.is(choose([engine], {}, 500), engine.record.id);
});

test("a request with an adapter goes only to an engine that has loaded it", (t) => {
  const engine = makeEngine("e");
  t.is(choose([engine], { adapter: "a1" }), engine.record.id);
  t.is(choose([engine], { adapter: "a2" }), undefined);
});

test("a new incarnation with the same id starts with fresh state", (t) => {
  const registry = new dispatch.UpstreamRegistry();
  const first = makeEngine("e");
  registry.upsert(first.record, 10);
  const known = registry.get(first.record.id)!;
  known.trackRequest(makeRequest(50));
  t.is(registry.upsert(first.record, 10), known);
  const next = registry.upsert(
    { ...first.record, startedAtMs: 2, models: [] },
    10,
  );
  t.is(next.inFlight, 0);
  t.is(next.replicas.size, 0);
  t.is(registry.ofService(first.record.service).size, 1);
});

test("retry storm: all nodes together stay within the budget", (t) => {
  const nodes = 4;
  const options = { ratio: 0.2, windowMs: 10_000, slack: 56 };
  const budgets = Array.from(
    { length: nodes },
    () => new dispatch.SharedRetryBudget(options),
  );
  let spent = 0;
  for (const budget of budgets) {
    for (let n = 0; n < 100; n++) budget.recordRequest(n);
    for (let n = 0; n < 500; n++) if (budget.trySpend(nodes, 100)) spent++;
  }
  t.true(spent > 0);
  t.true(spent <= 0.2 * 400 + 56);
});

test("mass kill: one node does not spend the slack of all nodes", (t) => {
  const options = { ratio: 0.2, windowMs: 10_000, slack: 56 };
  const budget = new dispatch.SharedRetryBudget(options);
  let spent = 0;
  while (budget.trySpend(4, 0)) spent++;
  t.true(spent <= 56 / 4);
  t.false(budget.trySpend(4, 5_000));
  t.true(budget.trySpend(4, 10_001));
});

test("the queue orders by priority, then by whether the target can be met", (t) => {
  const queue = new dispatch.RequestQueue();
  const selected: string[] = [];
  const add = (
    name: string,
    priority: number,
    arrivedAtMs: number,
    targetAtMs: number,
  ) =>
    queue.add({
      priority,
      arrivedAtMs,
      targetAtMs,
      modelKey: "m",
      workMs: 100,
      trySelect: () => {
        selected.push(name);
        return true;
      },
    });
  add("late", 1, 0, 500);
  add("first", 1, 100, 1_500);
  add("second", 1, 200, 1_500);
  add("urgent", 0, 300, 1_500);
  const remove = add("removed", 0, 0, 1_500);
  remove();
  const aheadOf = (modelKey: string, priority: number) =>
    queue.ahead({ modelKey, priority });
  t.deepEqual(aheadOf("m", 0), { count: 1, workMs: 100 });
  t.deepEqual(aheadOf("m", 1), { count: 4, workMs: 400 });
  t.deepEqual(aheadOf("other", 1), { count: 0, workMs: 0 });
  t.is(queue.queuedWorkMs("m"), 400);
  queue.trySelectAll(1_000);
  t.deepEqual(selected, ["urgent", "first", "second", "late"]);
  t.is(queue.size, 0);
});

// Guards against a stream whose caller has a part of it already, and that ends
// because new streams get the places before it.
test("the queue takes continued responses before new ones of their priority", (t) => {
  const queue = new dispatch.RequestQueue();
  const selected: string[] = [];
  const add = (
    name: string,
    priority: number,
    arrivedAtMs: number,
    targetAtMs: number,
    isContinuation: boolean,
  ) =>
    queue.add({
      priority,
      isContinuation,
      arrivedAtMs,
      targetAtMs,
      modelKey: "m",
      workMs: 100,
      trySelect: () => {
        selected.push(name);
        return true;
      },
    });
  add("new", 1, 0, 1_500, false);
  add("late", 1, 100, 500, true);
  add("second", 1, 300, 1_500, true);
  add("first", 1, 200, 1_500, true);
  add("urgent", 0, 400, 1_500, false);
  queue.trySelectAll(1_000);
  t.deepEqual(selected, ["urgent", "first", "second", "late", "new"]);
});

test("demand decays, and queued requests keep an entry alive", (t) => {
  const tracker = new dispatch.DemandTracker();
  tracker.recordArrival(model, undefined, 100, 0);
  const [entry] = tracker.snapshot(0);
  t.is(entry?.ratePerS, 0.5);
  t.true((tracker.snapshot(2_000)[0]?.ratePerS ?? 0) < 0.2);
  const dequeue = tracker.trackQueued(model, undefined, 2_000);
  t.is(tracker.snapshot(60_000)[0]?.waiting, 1);
  dequeue();
  t.deepEqual(tracker.snapshot(60_000), []);
});

test("demand tells the software versions at which queued requests have to run", (t) => {
  const tracker = new dispatch.DemandTracker();
  const version = core.brandId<core.SoftwareVersion>("v1");
  const dequeue = [version, version, undefined].map((pinned) =>
    tracker.trackQueued(model, "a1", 0, pinned)
  );
  t.deepEqual(tracker.snapshot(0)[0]?.pinnedVersions, [version]);
  dequeue[0]!();
  t.deepEqual(tracker.snapshot(0)[0]?.pinnedVersions, [version]);
  dequeue[1]!();
  t.like(tracker.snapshot(0)[0], { waiting: 1, pinnedVersions: [] });
});

test("a model's decode step time follows the shortest gaps", (t) => {
  const stepTimes = new dispatch.StepTimeEstimator();
  for (let n = 0; n < 30; n++) stepTimes.recordEventGap(model, 30, 3);
  for (let n = 0; n < 3; n++) stepTimes.recordEventGap(model, 300, 3);
  t.true(stepTimes.stepMs(model) < 20);
  t.true(
    Math.abs(stepTimes.prefillMs(model, 200) - stepTimes.stepMs(model)) < 1e-9,
  );
});

// With a third of the engines gone, requests must not be planned on an engine
// that is merely between two connection attempts.
test("an unreachable engine stays suspect between two attempts", (t) => {
  const health = new dispatch.UpstreamHealth();
  health.recordOutcome("unreachable", 0);
  t.true(health.isInBackoff(100));
  // The back-off is over, so it may be tried again, but it is still suspect.
  t.false(health.isInBackoff(400));
  t.true(health.isSuspect(400));
  t.false(health.isSuspect(2_100));
  health.markUnreachable(500);
  health.markReachable();
  t.false(health.isSuspect(501));
});

test("long decode steps of full engines do not inflate prefill estimates", (t) => {
  const stepTimes = new dispatch.StepTimeEstimator();
  for (let n = 0; n < 20; n++) stepTimes.recordEventGap(model, 21, 2);
  const before = stepTimes.prefillMs(model, 1_000);
  // Two seconds of forty streams with decode steps three times as long.
  for (let n = 0; n < 150; n++) stepTimes.recordEventGap(model, 63, 2);
  t.true(stepTimes.prefillMs(model, 1_000) < before * 1.35);
});

test("expected output length follows past responses, not the maximum allowed", (t) => {
  const lengths = new dispatch.OutputLengthEstimator();
  for (let n = 0; n < 300; n++) lengths.record(n % 2 === 0 ? 20 : 180, 500);
  const expected = lengths.expected(500);
  t.true(expected > 80 && expected < 120, `${expected}`);
  // One long response occupies memory, so the high estimate counts.
  t.is(lengths.likelyRemainingMax(500, 50), 2 * expected - 50);
  t.true(lengths.likelyRemainingMax(500, 300) >= 60);
  t.is(lengths.likelyRemainingMax(500, 500), 0);
});

test("the remaining time of a request follows the expected output length", (t) => {
  const stepTimes = new dispatch.StepTimeEstimator();
  const lengths = new dispatch.OutputLengthEstimator();
  for (let n = 0; n < 300; n++) lengths.record(100, 500);
  const request: dispatch.InFlightRequest = {
    ...makeRequest(60),
    model,
    outputTokensMax: 500,
  };
  const atOnce = dispatch.estimateRemainingMs(stepTimes, lengths, request, 0);
  t.true(atOnce > 2_000 && atOnce < 5_000, `${atOnce}`);
  const later = dispatch.estimateRemainingMs(
    stepTimes,
    lengths,
    request,
    1_000,
  );
  t.true(later < atOnce - 800);
});

test("a loading replica takes requests from its expected time, a draining one never", (t) => {
  const engine = makeEngine("e", { models: [] });
  const adapters = new Set<string>();
  engine.setReplicas(
    new Map([[model, { isUsable: false, adapters, readyAtMs: 500 }]]),
  );
  t.is(choose([engine], {}, 499), undefined);
  t.truthy(choose([engine], {}, 500));
  engine.setReplicas(new Map([[model, { isUsable: false, adapters }]]));
  t.is(choose([engine], {}, 10_000), undefined);
});
