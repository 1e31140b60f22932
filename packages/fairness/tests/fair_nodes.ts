/**
 * Nodes with a queue each that send to the same engines, without network. Each
 * node knows the others' load with a delay, as from the exchange.
 */
import * as core from "../../core/mod.ts";
import { ArrivalOrder, type OrderedRequest, TeamOrder } from "../mod.ts";
import { makeRequest, SharedEngines, teamName } from "./shared_engines.ts";

const STEP_MS = 5;
const EXCHANGE_MS = 100;
const PATIENCE_MS = 2_400;
/** Slot time of one unit of engine time: decoding requests share a step. */
const SLOT_MS_PER_WORK_MS = 12;

export interface Scenario {
  readonly nodes: number;
  readonly engines: number;
  readonly slots: number;
  readonly teams: number;
  /** Engine time of a request of each team, in ms. */
  readonly workMs: (team: number) => number;
  /** Offered load of all teams, without the flood, relative to the capacity. */
  readonly load: number;
  /** Factor of the load of team 0 during the measured time. */
  readonly flood: number;
  /** Nodes that a team's requests arrive at; all if it is the number of nodes. */
  readonly nodesOfTeam: number;
  readonly order: "arrival" | "local" | "sums";
  readonly seed: number;
}

interface Job extends OrderedRequest {
  readonly node: number;
}

interface Running {
  readonly job: Job;
  endsAtMs: number;
}

interface Engine {
  readonly running: Set<Running>;
  readonly accepted: Running[];
  readonly byNode: number[];
  known: number[][];
}

/**
 * Returns what the worst-served team got of its due while team 0 floods: of the
 * max-min fair share of the capacity, or of its demand if that is less.
 */
export function simulate(scenario: Scenario): number {
  const { nodes, engines, slots, teams, load, flood, order, seed } = scenario;
  const warmUpMs = 4_000;
  const endMs = 14_000;
  let draws = 0;
  const random = () => core.hash32(`${seed} ${draws++}`) / 2 ** 32;
  const queues = Array.from(
    { length: nodes },
    () =>
      new SharedEngines(
        order === "arrival" ? new ArrivalOrder() : new TeamOrder(),
      ),
  );
  const fleet: Engine[] = Array.from({ length: engines }, () => ({
    running: new Set<Running>(),
    accepted: [],
    byNode: Array(nodes).fill(0),
    known: [],
  }));
  const snapshots: number[][][] = [];
  const remote: { atMs: number; job: Job }[] = [];
  const servedMs: number[] = Array(teams).fill(0);
  const demandMs: number[] = Array(teams).fill(0);
  const capacityPerMs = engines * slots / SLOT_MS_PER_WORK_MS;
  const send = (engine: Engine, job: Job, nowMs: number) => {
    engine.byNode[job.node]!++;
    engine.accepted.push({ job, endsAtMs: 0 });
    if (nowMs >= warmUpMs) servedMs[Number(job.team)]! += job.workMs;
    if (order === "sums") remote.push({ atMs: nowMs + EXCHANGE_MS, job });
  };
  const chooseEngine = (node: number, delayed: number[][]) => {
    let best: Engine | undefined;
    let bestFree = 0;
    for (const [index, engine] of fleet.entries()) {
      const others = delayed[index]!
        .reduce((sum, count, other) => other === node ? sum : sum + count, 0);
      const free = slots - others - engine.byNode[node]!;
      if (free > bestFree) [best, bestFree] = [engine, free];
    }
    return best;
  };
  for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    snapshots.push(fleet.map(({ byNode }) => [...byNode]));
    if (snapshots.length > EXCHANGE_MS / STEP_MS) snapshots.shift();
    const delayed = snapshots[0]!;
    while (remote.length > 0 && remote[0]!.atMs <= nowMs) {
      const { job } = remote.shift()!;
      for (const [node, { order }] of queues.entries()) {
        if (node !== job.node) order.recordGrant(job);
      }
    }
    for (let team = 0; team < teams; team++) {
      const workMs = scenario.workMs(team);
      const factor = team === 0 && nowMs >= warmUpMs ? flood : 1;
      const expected = load * factor * capacityPerMs * STEP_MS / teams / workMs;
      for (let left = expected; left > 0; left--) {
        if (random() >= left) continue;
        const place = Math.floor(random() * scenario.nodesOfTeam);
        const node = (team * scenario.nodesOfTeam + place) % nodes;
        const job = {
          ...makeRequest({ team: teamName(team), workMs, arrivedAtMs: nowMs }),
          node,
        };
        if (nowMs >= warmUpMs) demandMs[team]! += workMs;
        queues[node]!.add(job);
      }
    }
    for (const engine of fleet) {
      for (const entry of engine.running) {
        if (entry.endsAtMs > nowMs) continue;
        engine.running.delete(entry);
        engine.byNode[entry.job.node]!--;
      }
      while (engine.running.size < slots && engine.accepted.length > 0) {
        const entry = engine.accepted.shift()!;
        const spread = 0.5 + random();
        entry.endsAtMs = nowMs +
          entry.job.workMs * SLOT_MS_PER_WORK_MS * spread;
        engine.running.add(entry);
      }
    }
    for (const [node, queue] of queues.entries()) {
      for (const job of queue.queued) {
        if (nowMs - job.arrivedAtMs > PATIENCE_MS) queue.remove(job);
      }
      for (;;) {
        const engine = chooseEngine(node, delayed);
        const served = engine && queue.serveOne(undefined, nowMs);
        if (!engine || !served) break;
        send(engine, served as Job, nowMs);
      }
    }
  }
  return worstShare(servedMs, demandMs, capacityPerMs * (endMs - warmUpMs));
}

function worstShare(
  servedMs: readonly number[],
  demandMs: readonly number[],
  capacityMs: number,
): number {
  // Max-min: teams that want less than an equal share leave the rest to others.
  let leftMs = Math.min(capacityMs, servedMs.reduce((a, b) => a + b, 0));
  let worst = Infinity;
  const byDemand = demandMs.map((demand, team) => ({ demand, team }))
    .sort((a, b) => a.demand - b.demand);
  for (const [n, { demand, team }] of byDemand.entries()) {
    const dueMs = Math.min(demand, leftMs / (byDemand.length - n));
    leftMs -= dueMs;
    if (dueMs > 0) worst = Math.min(worst, servedMs[team]! / dueMs);
  }
  return worst;
}
