import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
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
  return new dispatch.EngineState({
    id: core.brandId<core.UpstreamId>(id),
    startedAtMs: 1,
    service: core.brandId<core.ServiceName>("s"),
    address: "127.0.0.1:1",
    failureDomain: "z",
    slots: 4,
    isLeaving: false,
    models: [{ model, adapters: ["a1"] }],
    modelsInMemory: [],
    modelsOnDisk: [],
    ...part,
  }, 10_000);
}

function makeWork(prefillMs: number): dispatch.EngineWork {
  return {
    weights: model,
    tokens: 100,
    outputTokensMax: 10,
    prefillMs,
    sentAtMs: 0,
    hasAnswer: false,
  };
}

const needs: dispatch.RequestNeeds = {
  model,
  promptTokens: 1_000,
  outputTokensMax: 100,
  parts: [{ id: "x", tokens: 800 }, { id: "y", tokens: 200 }],
  pauseMaxMs: 300,
};

function choose(
  engines: readonly dispatch.EngineState[],
  part: Partial<dispatch.RequestNeeds> = {},
  nowMs = 0,
) {
  return dispatch.chooseEngine(engines, { ...needs, ...part }, {
    pace: new dispatch.ModelPace(),
    spec,
    nowMs,
    excluded: new Set(),
  })?.engine.record.id;
}

test("quiet: the engine with less to read is chosen", (t) => {
  const [busy, idle] = [makeEngine("busy"), makeEngine("idle")];
  busy.start(makeWork(100));
  t.is(choose([busy, idle]), idle.record.id);
});

test("shared prompts: an engine that keeps the prompt is preferred", (t) => {
  const [cold, warm] = [makeEngine("cold"), makeEngine("warm")];
  warm.prefixes.remember(model, needs.parts);
  t.is(choose([cold, warm]), warm.record.id);
});

test("shared prompts: a kept prompt does not outweigh a long backlog", (t) => {
  const [cold, warm] = [makeEngine("cold"), makeEngine("warm")];
  warm.prefixes.remember(model, needs.parts);
  warm.start(makeWork(150));
  t.is(choose([cold, warm]), cold.record.id);
});

test("a part counts as kept only after all parts before it", (t) => {
  const memory = new dispatch.PrefixMemory(1_000);
  memory.remember("m", [{ id: "y", tokens: 200 }]);
  t.is(memory.cachedTokens("m", needs.parts), 0);
  memory.remember("m", needs.parts);
  t.is(memory.cachedTokens("m", needs.parts), 1_000);
  t.is(memory.cachedTokens("m/a1", needs.parts), 0);
});

test("parts used least recently yield; an unloaded model keeps none", (t) => {
  const memory = new dispatch.PrefixMemory(1_000);
  memory.remember("m", [{ id: "old", tokens: 600 }]);
  memory.remember("m", [{ id: "new", tokens: 600 }]);
  t.is(memory.cachedTokens("m", [{ id: "old", tokens: 600 }]), 0);
  memory.remember("m/a1", [{ id: "new", tokens: 100 }]);
  memory.forget("m");
  t.is(memory.cachedTokens("m", [{ id: "new", tokens: 600 }]), 0);
  t.is(memory.cachedTokens("m/a1", [{ id: "new", tokens: 100 }]), 0);
});

test("burst: prompts that would hold up running streams are not admitted", (t) => {
  const engine = makeEngine("e");
  engine.start(makeWork(150));
  t.is(choose([engine]), undefined);
  t.is(choose([engine], { promptTokens: 100 }), engine.record.id);
});

test("burst: slots and memory bound what an engine may begin", (t) => {
  const full = makeEngine("full");
  for (let n = 0; n < spec.slots; n++) full.start(makeWork(0));
  t.is(choose([full]), undefined);
  const filled = makeEngine("filled");
  filled.start({ ...makeWork(0), tokens: 8_500, hasAnswer: true });
  t.is(choose([filled]), undefined);
  t.is(choose([makeEngine("e")], { promptTokens: 20_000 }) !== undefined, true);
});

test("work that other nodes told of counts until it is stale", (t) => {
  const engine = makeEngine("e");
  engine.setOthers({ inFlight: 4, prefillMs: 0, tokens: 0 }, false, 0);
  t.is(choose([engine]), undefined);
  engine.expireOthers(1_000);
  t.is(choose([engine]), undefined);
  engine.expireOthers(2_000);
  t.is(choose([engine]), engine.record.id);
});

test("leaving: an engine that leaves gets nothing", (t) => {
  t.is(choose([makeEngine("e", { isLeaving: true })]), undefined);
});

test("gray: failures move requests away, and fade", (t) => {
  const [gray, slow] = [makeEngine("gray"), makeEngine("slow")];
  slow.start(makeWork(100));
  for (let n = 0; n < 4; n++) gray.health.note("failed", 0);
  t.is(choose([gray, slow]), slow.record.id);
  t.is(choose([gray, slow], {}, 20_000), gray.record.id);
});

test("dark: an engine that answers nothing is passed over", (t) => {
  const [dark, busy] = [makeEngine("dark"), makeEngine("busy")];
  dark.start(makeWork(0));
  busy.start(makeWork(100));
  busy.health.heard(1_900);
  t.is(choose([dark, busy], {}, 2_000), busy.record.id);
  dark.health.heard(1_900);
  t.is(choose([dark, busy], {}, 2_000), dark.record.id);
});

test("crashed: no request goes where connections are refused", (t) => {
  const engine = makeEngine("e");
  engine.health.note("unreachable", 0);
  t.is(choose([engine], {}, 100), undefined);
  t.is(choose([engine], {}, 400), engine.record.id);
});

test("an engine's word that it lacks the model holds for a while", (t) => {
  const engine = makeEngine("e");
  engine.noteRefused(model, true, 0);
  t.is(choose([engine], {}, 100), undefined);
  t.is(choose([engine], {}, 500), engine.record.id);
});

test("an adapter is needed where it is loaded", (t) => {
  const engine = makeEngine("e");
  t.is(choose([engine], { adapter: "a1" }), engine.record.id);
  t.is(choose([engine], { adapter: "a2" }), undefined);
});

test("a new incarnation under the same id starts from nothing", (t) => {
  const board = new dispatch.EngineBoard();
  const first = makeEngine("e");
  board.set(first.record, 10);
  const before = board.get(first.record.id)!;
  before.start(makeWork(50));
  t.is(board.set(first.record, 10), before);
  const reborn = board.set({ ...first.record, startedAtMs: 2, models: [] }, 10);
  t.is(reborn.inFlight, 0);
  t.is(reborn.held.size, 0);
  t.is(board.ofService(first.record.service).size, 1);
});

test("retry storm: nodes together keep the budget", (t) => {
  const nodes = 4;
  const options = { ratio: 0.2, windowMs: 10_000, slack: 56 };
  const budgets = Array.from(
    { length: nodes },
    () => new dispatch.SharedRetryBudget(options),
  );
  let spent = 0;
  for (const budget of budgets) {
    for (let n = 0; n < 100; n++) budget.noteRequest(n);
    for (let n = 0; n < 500; n++) if (budget.trySpend(nodes, 100)) spent++;
  }
  t.true(spent > 0);
  t.true(spent <= 0.2 * 400 + 56);
});

test("mass kill: a lone node does not spend everybody's slack", (t) => {
  const options = { ratio: 0.2, windowMs: 10_000, slack: 56 };
  const budget = new dispatch.SharedRetryBudget(options);
  let spent = 0;
  while (budget.trySpend(4, 0)) spent++;
  t.true(spent <= 56 / 4);
  t.false(budget.trySpend(4, 5_000));
  t.true(budget.trySpend(4, 10_001));
});

test("the queue lets ranks go first, then who can still be in time", (t) => {
  const queue = new dispatch.WaitingQueue();
  const placed: string[] = [];
  const add = (
    name: string,
    priority: number,
    arrivedAtMs: number,
    aimAtMs: number,
  ) =>
    queue.add({
      priority,
      arrivedAtMs,
      aimAtMs,
      weights: "m",
      workMs: 100,
      tryPlace: () => {
        placed.push(name);
        return true;
      },
    });
  add("late", 1, 0, 500);
  add("first", 1, 100, 1_500);
  add("second", 1, 200, 1_500);
  add("urgent", 0, 300, 1_500);
  const leave = add("gone", 0, 0, 1_500);
  leave();
  t.is(queue.workAheadMs("m", 0), 100);
  t.is(queue.workAheadMs("m", 1), 400);
  t.is(queue.workAheadMs("other", 1), 0);
  queue.drain(1_000);
  t.deepEqual(placed, ["urgent", "first", "second", "late"]);
  t.is(queue.size, 0);
});

test("demand fades, and waiting requests keep a line alive", (t) => {
  const meter = new dispatch.DemandMeter();
  meter.arrive(model, undefined, 100, 0);
  const [line] = meter.lines(0);
  t.is(line?.ratePerS, 0.5);
  t.true((meter.lines(2_000)[0]?.ratePerS ?? 0) < 0.2);
  const waited = meter.wait(model, undefined, 2_000);
  t.is(meter.lines(60_000)[0]?.waiting, 1);
  waited();
  t.deepEqual(meter.lines(60_000), []);
});

test("a model's pace is learned from the shortest gaps", (t) => {
  const pace = new dispatch.ModelPace();
  for (let n = 0; n < 30; n++) pace.noteGap(model, 30, 3);
  for (let n = 0; n < 3; n++) pace.noteGap(model, 300, 3);
  t.true(pace.stepMs(model) < 20);
  t.true(Math.abs(pace.prefillMs(model, 200) - pace.stepMs(model)) < 1e-9);
});

test("a third of the engines gone: none is counted on between two tries", (t) => {
  const health = new dispatch.UpstreamHealth();
  health.note("unreachable", 0);
  t.true(health.isUnreachable(100));
  // It may be tried again, and is still not counted on.
  t.false(health.isUnreachable(400));
  t.true(health.isSuspect(400));
  t.false(health.isSuspect(2_100));
  health.noteUnreachable(500);
  health.noteReached();
  t.false(health.isSuspect(501));
});

test("full engines' long steps do not slow the estimate of reading prompts", (t) => {
  const pace = new dispatch.ModelPace();
  for (let n = 0; n < 20; n++) pace.noteGap(model, 21, 2);
  const before = pace.prefillMs(model, 1_000);
  // Two seconds of forty streams at steps three times as long.
  for (let n = 0; n < 150; n++) pace.noteGap(model, 63, 2);
  t.true(pace.prefillMs(model, 1_000) < before * 1.35);
});

test("answers are expected to be as long as they have been, not as allowed", (t) => {
  const output = new dispatch.OutputLength();
  for (let n = 0; n < 300; n++) output.note(n % 2 === 0 ? 20 : 180, 500);
  const expected = output.expected(500);
  t.true(expected > 80 && expected < 120, `${expected}`);
  // One long answer holds room up, so the likely longest counts.
  t.is(output.left(500, 50), 2 * expected - 50);
  t.true(output.left(500, 300) >= 60);
  t.is(output.left(500, 500), 0);
});

test("a run's time left follows the length expected", (t) => {
  const pace = new dispatch.ModelPace();
  const output = new dispatch.OutputLength();
  for (let n = 0; n < 300; n++) output.note(100, 500);
  const work: dispatch.EngineWork = {
    ...makeWork(60),
    model,
    outputTokensMax: 500,
  };
  const atOnce = dispatch.estimateLeftMs(pace, output, work, 0);
  t.true(atOnce > 2_000 && atOnce < 5_000, `${atOnce}`);
  const later = dispatch.estimateLeftMs(pace, output, work, 1_000);
  t.true(later < atOnce - 800);
});
