import test from "ava";
import * as fc from "fast-check";
import { type OrderedRequest, TeamOrder } from "../../mod.ts";
import { makeRequest, SharedEngines, teamName } from "../shared_engines.ts";

const SEED = process.env["SEED"];
const RUNS = {
  numRuns: 100,
  ...(SEED === undefined ? {} : { seed: Number(SEED) }),
};

/** A team that always waits, but for the steps in which it is away. */
const anyTeam = fc.record({
  weight: fc.integer({ min: 1, max: 4 }),
  workMs: fc.constantFrom(10, 30, 100, 1_000),
  models: fc.subarray(["a", "b"], { minLength: 1 }),
  awayFrom: fc.nat(200),
  awaySteps: fc.nat(100),
});
/** Models that the engine which becomes free at a step can run. */
const anyEngine = fc.subarray(["a", "b"], { minLength: 1 });

/** The largest change of a difference since both teams began to wait. */
class Range {
  #min = 0;
  #max = 0;
  #baseline: number | undefined;

  add(value: number): void {
    this.#baseline ??= value;
    this.#min = Math.min(this.#min, value - this.#baseline);
    this.#max = Math.max(this.#max, value - this.#baseline);
  }

  restart(): void {
    this.#min = this.#max = 0;
    this.#baseline = undefined;
  }

  get size(): number {
    return this.#max - this.#min;
  }
}

// Guards against a team that gets less than its share because another one has a
// backlog, longer requests, or comes back: in any time in which two teams wait
// for a model, what they are granted of it, by weight, differs by at most the
// longest request of each, whatever is granted of other models meanwhile.
test("two waiting teams differ by one request of each at most", (t) => {
  const scenario = fc.record({
    teams: fc.array(anyTeam, { minLength: 2, maxLength: 16 }),
    engines: fc.array(anyEngine, { minLength: 250, maxLength: 250 }),
  });
  fc.assert(
    fc.property(scenario, ({ teams, engines }) => {
      const weights = new Map(
        teams.map(({ weight }, n) => [teamName(n), weight]),
      );
      const order = new TeamOrder({ weightOf: (team) => weights.get(team!)! });
      const shared = new SharedEngines(order);
      const ranges = new Map<string, Range>();
      const isHere = (
        { awayFrom, awaySteps }: typeof teams[number],
        n: number,
      ) => n < awayFrom || n >= awayFrom + awaySteps;
      for (const [step, models] of engines.entries()) {
        for (const [n, team] of teams.entries()) {
          refill(shared, n, isHere(team, step) ? team.models : [], team.workMs);
        }
        shared.serveOne(({ modelKey }) => models.includes(modelKey));
        for (const [f, a] of teams.entries()) {
          for (const [g, b] of teams.entries()) {
            if (g <= f) continue;
            for (const model of ["a", "b"]) {
              const key = `${f} ${g} ${model}`;
              const range = ranges.get(key) ?? new Range();
              ranges.set(key, range);
              const bothWait = isHere(a, step) && isHere(b, step) &&
                a.models.includes(model) && b.models.includes(model);
              if (!bothWait) {
                range.restart();
                continue;
              }
              range.add(
                shared.granted(`${f} ${model}`) / a.weight -
                  shared.granted(`${g} ${model}`) / b.weight,
              );
              const boundMs = a.workMs / a.weight + b.workMs / b.weight;
              if (range.size > boundMs + 1e-6) return false;
            }
          }
        }
      }
      return true;
    }),
    RUNS,
  );
  t.pass();
});

/** Lets a team have two requests in the queue for each of its models. */
function refill(
  shared: SharedEngines,
  n: number,
  models: readonly string[],
  workMs: number,
): void {
  const team = teamName(n);
  const own = [...shared.queued].filter((request) => request.team === team);
  if (models.length === 0) {
    for (const request of own) {
      shared.remove(request);
    }
  }
  for (const modelKey of models) {
    const waiting = own.filter((request) => request.modelKey === modelKey);
    for (let count = waiting.length; count < 2; count++) {
      shared.add(makeRequest({ team, modelKey, workMs }));
    }
  }
}

// Guards against a backlog that starves the teams of other models which only
// the same engines can run.
test("teams that wait for two models of the same engines get equal shares", (t) => {
  const shared = new SharedEngines(new TeamOrder());
  for (let n = 0; n < 200; n++) {
    shared.add(makeRequest({ team: teamName("flood"), modelKey: "a" }));
  }
  for (let n = 0; n < 60; n++) {
    refill(shared, 1, ["b"], 50);
    shared.serveOne();
    const gapMs = shared.granted("flood") - shared.granted("1");
    t.true(Math.abs(gapMs) <= 150, `${gapMs} ms after ${n}`);
  }
});

// Guards against rejections and long waits of fifteen teams because of one.
test("a new request waits for one of each other team, however long its backlog", (t) => {
  const order = new TeamOrder();
  const shared = new SharedEngines(order);
  for (let n = 0; n < 16; n++) {
    const team = teamName(n);
    for (let count = n === 0 ? 500 : 5; count > 0; count--) {
      shared.add(makeRequest({ team }));
    }
  }
  for (let n = 0; n < 64; n++) shared.serveOne();
  const team = teamName("back");
  const expected = order.ahead(shared.queued, {
    team,
    priority: 0,
    modelKey: "m",
  });
  shared.add(makeRequest({ team }));
  let served = 0;
  while (shared.serveOne()?.team !== team) served++;
  t.true(served <= 16, `${served} were served before`);
  t.true(Math.abs(expected.count - served) <= 1, `${expected.count} expected`);
});

// Guards against credit for idle time, by which one team would stop the others.
test("a team that was idle does not catch up, and one that waited for a load little", (t) => {
  const isOf = (name: string) => ({ team }: OrderedRequest) =>
    team === teamName(name);
  for (const wasWaiting of [false, true]) {
    const shared = new SharedEngines(new TeamOrder());
    const add = (name: string) => {
      shared.add(makeRequest({ team: teamName(name) }));
    };
    for (let n = 0; n < 200; n++) add("busy");
    if (wasWaiting) { for (let n = 0; n < 200; n++) add("other"); }
    for (let n = 0; n < 100; n++) shared.serveOne(isOf("busy"));
    if (!wasWaiting) { for (let n = 0; n < 200; n++) add("other"); }
    for (let n = 0; n < 80; n++) shared.serveOne();
    const caughtUpMs = shared.granted("other") - 4_000;
    t.true(caughtUpMs <= (wasWaiting ? 1_100 : 100), `${caughtUpMs} ms`);
  }
});

// Guards against fairness that undoes priorities or cuts off begun responses.
test("priority and continuations go before shares", (t) => {
  const order = new TeamOrder();
  const shared = new SharedEngines(order);
  const urgent = makeRequest({ team: teamName("a"), priority: 0 });
  const begun = makeRequest({
    team: teamName("a"),
    priority: 1,
    isContinuation: true,
  });
  const fresh = makeRequest({ team: teamName("a"), priority: 1 });
  const other = makeRequest({ team: teamName("b"), priority: 1 });
  for (const request of [fresh, begun, urgent, other]) shared.add(request);
  const place = { team: teamName("b"), modelKey: "m", priority: 1 };
  t.is(order.ahead(shared.queued, place).count, 4);
  const served = [1, 2, 3, 4].map(() => shared.serveOne());
  // The continuation counted for its team.
  t.deepEqual(served, [urgent, begun, other, fresh]);
});
