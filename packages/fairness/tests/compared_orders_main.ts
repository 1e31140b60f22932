/** Prints how far published orders let teams drift apart before one queue. */
import process from "node:process";
import { ArrivalOrder, type ServiceOrder, TeamOrder } from "../mod.ts";
import { DeficitOrder, VirtualCounterOrder } from "./compared_orders.ts";
import { makeRequest, SharedEngines, teamName } from "./shared_engines.ts";

const TEAMS = 16;
const STEPS = 2_000;
const WORK_MS = 40;
const LONG_WORK_MS = 400;

const orders: Record<string, () => ServiceOrder> = {
  "first come first served": () => new ArrivalOrder(),
  "deficit round robin": () => new DeficitOrder(LONG_WORK_MS),
  "virtual token counter": () => new VirtualCounterOrder(),
  "TeamOrder": () => new TeamOrder(),
};

function refill(shared: SharedEngines, teams: number, atMs: number): void {
  const waiting = new Map<string, number>();
  for (const { team } of shared.queued) {
    waiting.set(team!, (waiting.get(team!) ?? 0) + 1);
  }
  for (let n = 0; n < teams; n++) {
    const team = teamName(n);
    const workMs = n === 0 ? LONG_WORK_MS : WORK_MS;
    for (let count = waiting.get(team) ?? 0; count < 3; count++) {
      shared.add(makeRequest({ team, workMs, arrivedAtMs: atMs }));
    }
  }
}

/** Largest difference of what two teams that always wait were granted. */
function gapMs(order: ServiceOrder): number {
  const shared = new SharedEngines(order);
  let largest = 0;
  for (let step = 0; step < STEPS; step++) {
    refill(shared, TEAMS, step);
    shared.serveOne();
    const granted = Array.from(
      { length: TEAMS },
      (_, n) => shared.granted(`${n}`),
    );
    largest = Math.max(largest, Math.max(...granted) - Math.min(...granted));
  }
  return largest;
}

/** Work that is served before the first request of a team that comes back. */
function returnMs(order: ServiceOrder): number {
  const shared = new SharedEngines(order);
  let largest = 0;
  for (let step = 0; step < STEPS; step++) {
    refill(shared, TEAMS - 1, step);
    shared.serveOne();
    if (step % 100 !== 99) continue;
    const back = teamName("back");
    shared.add(makeRequest({ team: back, workMs: WORK_MS, arrivedAtMs: step }));
    let workMs = 0;
    for (;;) {
      const served = shared.serveOne()!;
      if (served.team === back) break;
      workMs += served.workMs;
    }
    largest = Math.max(largest, workMs);
  }
  return largest;
}

/** Work for which all others stop after a team's model has been loaded. */
function catchUpMs(order: ServiceOrder): number {
  const shared = new SharedEngines(order);
  const stuck = teamName(TEAMS - 1);
  for (let step = 0; step < STEPS; step++) {
    refill(shared, TEAMS, step);
    shared.serveOne(({ team }) => team !== stuck);
  }
  let workMs = 0;
  for (;;) {
    refill(shared, TEAMS, STEPS);
    const served = shared.serveOne()!;
    if (served.team !== stuck) return workMs;
    workMs += served.workMs;
  }
}

for (const [name, make] of Object.entries(orders)) {
  process.stdout.write(
    `${name}: gap=${gapMs(make())}ms return=${returnMs(make())}ms ` +
      `catchUp=${catchUpMs(make())}ms\n`,
  );
}
