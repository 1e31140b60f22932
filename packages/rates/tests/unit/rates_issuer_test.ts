import test from "ava";
import * as core from "../../../core/mod.ts";
import { PermitIssuer } from "../../mod.ts";

const upstream = {
  id: core.brandId<core.UpstreamId>("u1"),
  startedAtMs: 1,
};
const node = (name: string) => core.brandId<core.InstanceId>(name);
const WINDOW_MS = 4_000;
/** Time for which a node may use a permit. */
const PERMIT_MS = 1_000;

/** Pseudo-random numbers from 0 to 1 (mulberry32). */
function makeRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** The most of these times in any window of 4 s. */
function mostInWindow(timesMs: number[]): number {
  const sorted = timesMs.sort((a, b) => a - b);
  let most = 0;
  let first = 0;
  for (const [index, atMs] of sorted.entries()) {
    while (atMs - sorted[first]! >= WINDOW_MS) first++;
    most = Math.max(most, index - first + 1);
  }
  return most;
}

/**
 * Simulates nodes that ask for permits every few milliseconds and use them at
 * any time while they are valid. The issuer changes; replies get lost.
 */
function simulate(seed: number, perS: number) {
  const random = makeRandom(seed);
  const nodes = Array.from(
    { length: 1 + Math.floor(random() * 40) },
    (_, n) => node(`n${n}`),
  );
  const sentAtMs: number[] = [];
  let issuer = new PermitIssuer();
  let previous: PermitIssuer | undefined;
  let changedAtMs = 0;
  let granted = 0;
  for (let nowMs = 0; nowMs < 60_000; nowMs += 5 + random() * 40) {
    if (nowMs - changedAtMs > 4_000 + random() * 20_000) {
      // For a while some nodes take the previous one for the issuer.
      [previous, issuer] = [issuer, new PermitIssuer()];
      changedAtMs = nowMs;
    }
    if (nowMs - changedAtMs > 500) previous = undefined;
    const asked = previous && random() < 0.5 ? previous : issuer;
    const count = 1 + Math.floor(random() * 16);
    const by = nodes[Math.floor(random() * nodes.length)]!;
    const decision = asked.issue(upstream, perS, count, by, nowMs);
    granted += decision.granted;
    if (random() < 0.1) continue;
    for (let n = 0; n < decision.granted; n++) {
      sentAtMs.push(nowMs + random() * PERMIT_MS);
    }
  }
  return { most: mostInWindow(sentAtMs), granted };
}

// Guards against more requests than an upstream's rate allows, over all nodes,
// changes of the issuer and requests that are sent at the end of a permit.
for (const perS of [0, 0.5, 1, 2.2, 10, 75]) {
  test(`no window of 4 s has more than the rate of ${perS} a second allows`, (t) => {
    const allowed = perS * 1.5 * WINDOW_MS / 1_000 + 5;
    for (let seed = 1; seed <= 20; seed++) {
      const { most, granted } = simulate(seed, perS);
      t.true(most <= allowed, `seed ${seed}: ${most}, allowed ${allowed}`);
      const possible = perS * 60;
      t.true(granted >= possible * 0.75, `seed ${seed}: ${granted} granted`);
    }
  });
}

test("an issuer begins with nothing, and issues a rate that falls at once", (t) => {
  const issuer = new PermitIssuer();
  const issue = (perS: number, nowMs: number) =>
    issuer.issue(upstream, perS, 16, node("a"), nowMs).granted;
  t.is(issue(4, 0), 0);
  t.is(issue(4, 250), 1);
  t.is(issue(4, 60_000), 2);
  t.is(issue(0.5, 60_500), 0);
  t.is(issue(0.5, 62_500), 1);
  // Another incarnation, or a new term as the issuer, begins with nothing too.
  t.is(issue(4, 63_500), 2);
  const next = { ...upstream, startedAtMs: 2 };
  t.is(issuer.issue(next, 4, 16, node("a"), 64_500).granted, 0);
  issuer.forget(next);
  t.is(issuer.issue(next, 4, 16, node("a"), 65_500).granted, 0);
});

// Guards against nodes that ask in vain again and again.
test("a node is told when its turn comes", (t) => {
  const issuer = new PermitIssuer();
  const waitOf = (name: string, nowMs: number) =>
    issuer.issue(upstream, 2, 1, node(name), nowMs).waitMs;
  t.deepEqual([waitOf("a", 0), waitOf("b", 0), waitOf("c", 0)], [
    500,
    1_000,
    1_500,
  ]);
  t.is(waitOf("a", 500), 0);
  t.is(waitOf("c", 500), 1_000);
  // One that does not come back loses its place.
  t.is(waitOf("c", 900), 600);
  t.is(waitOf("d", 900), 1_100);
  t.is(waitOf("e", 4_300), 0);
});

// Guards against an issuer that is busy with nodes that ask in vain, and against
// nodes that never get a permit, at the size of the largest fleet.
test("390 nodes that want one upstream take turns", (t) => {
  const issuer = new PermitIssuer();
  const durationMs = 400_000;
  const nodes = Array.from({ length: 390 }, (_, n) => ({
    name: node(`n${n}`),
    askAtMs: n,
    granted: 0,
  }));
  let asked = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs++) {
    for (const each of nodes) {
      if (each.askAtMs > nowMs) continue;
      asked++;
      const { granted, waitMs } = issuer
        .issue(upstream, 2, 1, each.name, nowMs);
      each.granted += granted;
      each.askAtMs = nowMs + Math.min(2_000, Math.max(10, waitMs));
    }
  }
  const askedPerS = asked / durationMs * 1_000;
  t.true(askedPerS < 220, `${askedPerS} a second`);
  const counts = nodes.map(({ granted }) => granted);
  const total = counts.reduce((sum, count) => sum + count, 0);
  t.true(total > 2 * 400 * 0.9, `${total} granted`);
  t.true(Math.min(...counts) >= 1, `${Math.min(...counts)} for one node`);
  t.true(Math.max(...counts) <= 6, `${Math.max(...counts)} for one node`);
});

test("huge rates and none at all are issued", (t) => {
  const issuer = new PermitIssuer();
  const huge = { ...upstream, id: core.brandId<core.UpstreamId>("u2") };
  issuer.issue(huge, 1e300, 1, node("a"), 0);
  t.is(issuer.issue(huge, 1e300, 16, node("a"), 1).granted, 16);
  t.is(issuer.issue(upstream, 0, 1, node("a"), 0).granted, 0);
  t.is(issuer.issue(upstream, 0, 1, node("a"), 5_001).granted, 1);
});
