/** Decisions of a node, and its exchange with another one. */
import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import * as quotas from "../../mod.ts";
import { BOUNDS, makeTeam, TEAM } from "../quotas_sim_design.ts";

const RATE_PER_S = 3_000;
/** When a node that starts at 0 refills. */
const SETTLED_MS = 1_000;

function makeNode(
  teams: readonly fleet.TeamSpec[] = [makeTeam(RATE_PER_S)],
  nodes = 1,
): quotas.QuotaNode {
  const node = new quotas.QuotaNode(100);
  node.configure(teams, BOUNDS, 0);
  join(node, nodes, 0);
  join(node, nodes, SETTLED_MS);
  return node;
}

function join(node: quotas.QuotaNode, nodes: number, nowMs: number): void {
  const isRegistered = true;
  const isLeaving = false;
  node.setMembership(
    { nodes, connected: nodes, isRegistered, isLeaving },
    nowMs,
  );
}

/** Lets the time pass as between exchanges. */
function pass(
  node: quotas.QuotaNode,
  nodes: number,
  fromMs: number,
  untilMs: number,
): void {
  for (let atMs = fromMs; atMs <= untilMs; atMs += 100) join(node, nodes, atMs);
}

function stockOf(node: quotas.QuotaNode, nowMs: number): number {
  return Math.round(node.balance(TEAM, nowMs)!.stock);
}

function takenBy(decision: quotas.QuotaDecision | undefined): boolean {
  return decision?.kind === "taken";
}

// Guards against a node that takes itself for the only one before it has read
// the others' rows.
test("a node that is not registered yet refills nothing", (t) => {
  const node = new quotas.QuotaNode(100);
  node.configure([makeTeam(RATE_PER_S)], BOUNDS, 0);
  const membership = { nodes: 0, connected: 1, isLeaving: false };
  node.setMembership({ ...membership, isRegistered: false }, 0);
  node.setMembership({ ...membership, isRegistered: false }, 5_000);
  t.is(stockOf(node, 6_000), 0);
  node.setMembership({ ...membership, isRegistered: true, nodes: 1 }, 6_000);
  node.setMembership({ ...membership, isRegistered: true, nodes: 1 }, 7_000);
  t.is(stockOf(node, 7_100), 300);
});

// Guards against shares that grow while rows are missing for a moment.
test("rows that are missing for 4 s do not raise a node's share", (t) => {
  const node = makeNode(undefined, 10);
  pass(node, 1, 2_000, 6_000);
  pass(node, 10, 6_100, 9_000);
  // What is refilled within the lifetime of 4.4 s, in lots of up to 0.14 s.
  const stock = stockOf(node, 9_000);
  t.true(stock > 1_200 && stock <= 1_330, `${stock}`);
});

// Guards against a Retry-After that leads to another rejection, and one that is
// far too long.
test("a request that comes back after its Retry-After is admitted", (t) => {
  const node = makeNode();
  const decision = node.decide(TEAM, 1_500, SETTLED_MS + 100);
  t.is(decision?.kind, "rejected");
  if (decision?.kind !== "rejected") return;
  const { reason, retryAfterMs, balance } = decision.rejection;
  t.is(reason, "exhausted");
  t.is(Math.round(balance), 300);
  t.is(Math.round(retryAfterMs), 400);
  t.false(takenBy(node.decide(TEAM, 1_500, SETTLED_MS + 150)));
  t.true(takenBy(node.decide(TEAM, 1_500, SETTLED_MS + 501)));
});

// Guards against a request that waits for what can never be in stock.
test("a request above what can be in stock is rejected at once", (t) => {
  const strict = { windowMs: 8_000, overage: 0, slack: 0 };
  const node = new quotas.QuotaNode(100);
  node.configure([makeTeam(RATE_PER_S)], strict, 0);
  join(node, 1, 0);
  join(node, 1, SETTLED_MS);
  pass(node, 1, SETTLED_MS, 9_000);
  const decision = node.decide(TEAM, 3_001, 9_000);
  t.is(
    decision?.kind === "rejected" && decision.rejection.reason,
    "cost_above_burst",
  );
  t.true(takenBy(node.decide(TEAM, 2_900, 9_000)));
});

// Guards against an idle team that saves the slack for hours, and limits that
// are divided into parts of a request.
test("5 requests/s with a slack of 11,000 requests stay near the burst", (t) => {
  const quota = { unit: "requests", ratePerS: 5, burst: 5, plainTokens: 0 };
  const team = { ...makeTeam(1), quota: quota as fleet.QuotaSpec };
  const node = makeNode([team]);
  let taken = 0;
  while (takenBy(node.decide(TEAM, 1, 100_000))) taken++;
  t.true(taken <= 45, `${taken} requests at once`);
  t.is(quotas.costOf(team.quota, { promptTokens: 9, outputTokensMax: 9 }), 1);
});

// Guards against a place that is kept for a client that has gone, and against
// requests that overtake others of their team.
test("a waiting request that is cancelled makes room for the next", (t) => {
  const node = makeNode();
  const ends: string[] = [];
  const tickets = [100, 100, 50].map((cost, index) => {
    const decision = node.decide(TEAM, cost, SETTLED_MS);
    if (decision?.kind !== "waiting") throw new Error("does not wait");
    decision.ticket.onEnd = ({ kind }) => ends.push(`${index} ${kind}`);
    return decision.ticket;
  });
  node.serve(SETTLED_MS + 33);
  t.deepEqual(ends, []);
  tickets[0]!.cancel();
  node.serve(SETTLED_MS + 34);
  t.deepEqual(ends, ["1 taken"]);
  const { reason } = tickets[2]!.expire(SETTLED_MS + 35);
  t.is(reason, "no_tokens_in_time");
  node.serve(SETTLED_MS + 500);
  t.deepEqual(ends, ["1 taken"]);
});

// Guards against a refund that is lost, counted twice, or that outlives its
// tokens.
test("a refund puts the tokens back, once and for their lifetime", (t) => {
  const node = makeNode();
  const decision = node.decide(TEAM, 1_500, SETTLED_MS + 500);
  if (decision?.kind !== "taken") return t.fail();
  join(node, 1_000_000, SETTLED_MS + 500);
  t.is(stockOf(node, SETTLED_MS + 501), 0);
  decision.hold.refund(SETTLED_MS + 502);
  decision.hold.refund(SETTLED_MS + 503);
  t.is(stockOf(node, SETTLED_MS + 504), 1_500);
  t.is(stockOf(node, SETTLED_MS + 20_000), 0);
});

/** A child whose report arrives after a delay, and a parent without tokens. */
function exchange(answerAgeMs: number) {
  const parent = makeNode(undefined, 1_000_000);
  const child = makeNode(undefined, 2);
  const first = child.report("p", 2_000)!;
  const answer = parent.answer("c", first, 2_003)!;
  child.applyAnswer("p", answer, 2_000, 2_006);
  const report = child.report("p", 2_006 + answerAgeMs)!;
  return { parent, child, report };
}

// Guards against tokens that count twice, or come into force late.
test("a report that is copied or arrives late adds no tokens", (t) => {
  const { parent, child, report } = exchange(10);
  const given = report.offers[0]!.given.map(({ amount }) => amount);
  t.is(given.reduce((sum, amount) => sum + amount), 1_524);
  t.is(stockOf(child, 2_016), 0);
  parent.answer("c", report, 2_018);
  t.is(stockOf(parent, 2_018), 1_524);
  parent.answer("c", report, 2_020);
  t.is(stockOf(parent, 2_020), 1_524);

  const late = exchange(10);
  late.parent.answer("c", late.report, 12_000);
  t.is(stockOf(late.parent, 12_000), 0);
});

// Guards against tokens of which a parent cannot know the age.
test("a parent that has started anew takes no tokens from a report", (t) => {
  const { child, report } = exchange(10);
  const restarted = makeNode(undefined, 1_000_000);
  const answer = restarted.answer("c", report, 2_018)!;
  t.is(stockOf(restarted, 2_018), 0);
  // From the next report on it does.
  child.applyAnswer("p", answer, 2_016, 2_020);
  restarted.answer("c", child.report("p", 3_020)!, 3_025);
  t.true(stockOf(restarted, 3_025) > 1_000);
});

// Guards against tokens of a limit that is no longer in force, and requests
// that wait for ever as their team is gone.
test("a lowered limit cuts the stock, a removed one ends the wait", (t) => {
  const { parent, report } = exchange(10);
  parent.configure([makeTeam(RATE_PER_S / 3)], BOUNDS, 2_017);
  parent.answer("c", report, 2_018);
  t.is(stockOf(parent, 2_018), 0);

  const node = makeNode();
  node.configure([makeTeam(RATE_PER_S / 3)], BOUNDS, 2_000);
  t.is(stockOf(node, 2_000), 1_000);
  const decision = node.decide(TEAM, 1_090, 2_000);
  if (decision?.kind !== "waiting") return t.fail();
  const ends: string[] = [];
  decision.ticket.onEnd = ({ kind }) => ends.push(kind);
  node.configure([makeTeam(RATE_PER_S / 6)], BOUNDS, 2_001);
  t.deepEqual(ends, []);
  node.configure([], BOUNDS, 2_002);
  t.deepEqual(ends, ["rejected"]);
  t.is(node.decide(TEAM, 1, 2_003), undefined);
});

// Guards against messages that grow where no team has a limit.
test("without limited teams nothing is sent", (t) => {
  const other = core.brandId<core.TeamName>("other");
  const node = makeNode([{ name: other, keyDigests: [] }]);
  t.false(node.isActive);
  t.is(node.report("p", 2_000), undefined);
  const report = { answer: 0, answerAgeMs: 0, offers: [] };
  t.is(node.answer("c", report, 2_000), undefined);
});
