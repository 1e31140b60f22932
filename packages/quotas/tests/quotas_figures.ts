/**
 * Prints figures of quotas in simulated fleets:
 * `node dist/packages/quotas/tests/quotas_figures.js [designs|sizes|cost]`.
 */
import { toBinary } from "@bufbuild/protobuf";
import process from "node:process";
import * as core from "../../core/mod.ts";
import {
  toAnswerMessage,
  toReportMessage,
} from "../../entry/quotas/entry_quota_messages.ts";
import * as peers from "../../peers/mod.ts";
import * as quotas from "../mod.ts";
import {
  boundOf,
  BOUNDS,
  makeTeam,
  MovingTokens,
  TEAM,
} from "./quotas_sim_design.ts";
import { DemandShares, FixedShares, OneLender } from "./quotas_sim_others.ts";
import {
  type SimEvent,
  type SimLimiter,
  type SimOptions,
  Simulation,
} from "./quotas_sim.ts";

const SEED = Number(process.env.SEED ?? 1);
const SETTLED_MS = 4_000;
const END_MS = 24_000;
const FAULT_MS = 8_000;
const FAULT_END_MS = 18_000;
/** The largest, a small and the smallest team. */
const RATES_PER_S = [300_000, 11_000, 2_700];
/** Length prefix and tag of a submessage. */
const FIELD_BYTES = 3;

type Make = (ratePerS: number) => SimLimiter<unknown, unknown>;

const DESIGNS: Record<string, Make> = {
  "moving tokens": (rate) =>
    new MovingTokens([makeTeam(rate)]) as SimLimiter<unknown, unknown>,
  "fixed shares": (rate) =>
    new FixedShares(makeTeam(rate)) as SimLimiter<unknown, unknown>,
  "shares by demand": (rate) =>
    new DemandShares(makeTeam(rate)) as SimLimiter<unknown, unknown>,
  "one lender": (rate) =>
    new OneLender(makeTeam(rate)) as SimLimiter<unknown, unknown>,
};

function eachOfPart(
  part: number,
  act: (sim: Simulation<unknown, unknown>, index: number) => void,
  atMs: number,
): SimEvent {
  return [atMs, (sim) => {
    for (const { index } of [...sim.nodes].slice(0, sim.nodes.length * part)) {
      act(sim, index);
    }
  }];
}

/** What goes wrong between `FAULT_MS` and `FAULT_END_MS`. */
const FAULTS: Record<string, Partial<SimOptions>> = {
  "none, 1:1": {},
  "none, 1:10": { skew: 10 },
  "none, 1:100": { skew: 100 },
  "one node asked": { asked: (index) => index === 1 },
  "a quarter cut off": {
    events: [
      eachOfPart(0.25, (sim, n) => sim.nodes[n]!.isCutOff = true, FAULT_MS),
      eachOfPart(0.25, (sim, n) => {
        sim.nodes[n]!.isCutOff = false;
      }, FAULT_END_MS),
    ],
  },
  "a quarter killed": {
    events: [
      eachOfPart(0.25, (sim, n) => sim.kill(n), FAULT_MS),
      eachOfPart(0.25, (sim, n) => sim.restart(n), FAULT_END_MS),
    ],
  },
  "a quarter frozen": {
    events: [
      eachOfPart(0.25, (sim, n) => {
        sim.nodes[n]!.frozenUntilMs = FAULT_END_MS;
      }, FAULT_MS),
    ],
  },
  "a quarter added": {
    events: [eachOfPart(0.25, (sim) => sim.addNode(), FAULT_MS)],
  },
  "a tenth of messages lost": { lossPart: 0.1 },
};

function bytesOf(message: unknown): number {
  if (message === undefined) return 0;
  if (typeof message === "number") return 3 + 5 + FIELD_BYTES;
  if (
    (message as object) instanceof Object && "offers" in (message as object)
  ) {
    const report = toReportMessage(message as quotas.QuotaReport);
    return toBinary(peers.QuotaReportSchema, report).length + FIELD_BYTES;
  }
  const answer = toAnswerMessage(message as quotas.QuotaAnswer);
  return toBinary(peers.QuotaAnswerSchema, answer).length + FIELD_BYTES;
}

function printRow(cells: readonly (string | number)[]): void {
  process.stdout.write(`| ${cells.join(" | ")} |\n`);
}

/** Runs one load at twice the rate; prints one line. */
function measure(
  design: string,
  nodes: number,
  ratePerS: number,
  fault: string,
): void {
  const sim = new Simulation({
    seed: SEED,
    nodes,
    durationMs: END_MS,
    demandPerS: () => 2 * ratePerS,
    bytesOf,
    ...FAULTS[fault],
  }, () => DESIGNS[design]!(ratePerS)).run();
  const quota = ratePerS * (BOUNDS.windowMs + 1_000) / 1_000;
  const most = sim.most(BOUNDS.windowMs);
  const used = (fromMs: number, untilMs: number) =>
    (sim.sum(fromMs, untilMs) / ratePerS / (untilMs - fromMs) * 1_000)
      .toFixed(2);
  const seconds = sim.nodes.length * END_MS / 1_000;
  printRow([
    design,
    nodes,
    ratePerS,
    fault,
    (most / quota).toFixed(2),
    (most / boundOf(ratePerS)).toFixed(2),
    used(SETTLED_MS, END_MS),
    used(FAULT_MS, FAULT_END_MS),
    (sim.messages / seconds).toFixed(0),
    (sim.bytes / seconds).toFixed(0),
  ]);
}

function printHeader(): void {
  printRow([
    "design",
    "nodes",
    "tokens/s",
    "fault",
    "most / quota",
    "most / bound",
    "used",
    "used in the fault",
    "messages/node/s",
    "bytes/node/s",
  ]);
  printRow(Array.from({ length: 10 }, () => "---"));
}

/** All designs at one size, under every fault. */
function compareDesigns(): void {
  printHeader();
  for (const design of Object.keys(DESIGNS)) {
    for (const ratePerS of [300_000, 11_000]) {
      for (const fault of Object.keys(FAULTS)) {
        measure(design, 32, ratePerS, fault);
      }
    }
  }
}

/** The design in use at all sizes. */
function compareSizes(): void {
  printHeader();
  for (const nodes of [4, 25, 32, 84, 390]) {
    for (const ratePerS of RATES_PER_S) {
      for (const fault of Object.keys(FAULTS)) {
        measure("moving tokens", nodes, ratePerS, fault);
      }
    }
  }
}

/** Time of a decision, and of an exchange, with 16 teams. */
function measureCost(): void {
  const count = 200_000;
  const names = Array.from(
    { length: 16 },
    (_, n) => core.brandId<core.TeamName>(n === 0 ? TEAM : `${TEAM}-${n}`),
  );
  const teams = names.map((name, n) => makeTeam(n === 0 ? 1e9 : 11_000, name));
  const node = new quotas.QuotaNode(1);
  node.configure(teams, BOUNDS, 0);
  const membership = {
    nodes: 32,
    connected: 32,
    isRegistered: true,
    isLeaving: false,
  };
  node.setMembership(membership, 0);
  node.setMembership(membership, 1_000);
  const perCall = (name: string, call: (n: number) => void) => {
    const startedAtMs = core.monotonicMs();
    for (let n = 0; n < count; n++) call(n);
    const micros = (core.monotonicMs() - startedAtMs) * 1_000 / count;
    process.stdout.write(`${name}: ${micros.toFixed(2)} us\n`);
  };
  let nowMs = 1_000;
  perCall("admitted", () => node.decide(TEAM, 1, nowMs += 0.01));
  perCall("rejected", () => node.decide(names[1]!, 26_000, nowMs += 0.01));
  node.applyAnswer("p", { answer: 1, grants: [] }, nowMs, nowMs);
  perCall("report", () => node.report("p", nowMs += 1));
  const report = { answer: 0, answerAgeMs: 0, offers: [] };
  perCall("answer", () => node.answer("c", report, nowMs += 1));
}

const MODES: Record<string, () => void> = {
  designs: compareDesigns,
  sizes: compareSizes,
  cost: measureCost,
};
for (const mode of process.argv.slice(2)) MODES[mode]?.();
