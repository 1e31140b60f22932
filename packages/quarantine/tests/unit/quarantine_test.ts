import test from "ava";
import * as core from "../../../core/mod.ts";
import * as quarantine from "../../mod.ts";

const CULPRIT = quarantine.toPartKey("ec");
const SHARED = quarantine.toPartKey("a0");
const parts = [SHARED, CULPRIT];
const runKey = (n: number) =>
  quarantine.toRunKey({
    id: core.brandId<core.UpstreamId>(`e${n}`),
    startedAtMs: n,
  });

function makeQuarantine(): quarantine.PromptQuarantine {
  return new quarantine.PromptQuarantine(new core.Logger({}, () => {}));
}

/** Records a crash of a new engine under requests with these parts. */
function crash(
  node: quarantine.PromptQuarantine,
  n: number,
  crashParts: readonly core.PromptPartKey[],
  atMs: number,
): void {
  node.recordBroken(runKey(n), crashParts, atMs);
  node.recordEnded(runKey(n), atMs + 20);
}

function heldAt(
  node: quarantine.PromptQuarantine,
  nowMs: number,
): core.PromptPartKey[] {
  return [SHARED, CULPRIT].filter((part) =>
    node.find([part], nowMs) !== undefined
  );
}

test("a part under which three engines ended is held, one that survives is not", (t) => {
  const node = makeQuarantine();
  for (let n = 1; n <= 3; n++) {
    crash(node, n, parts, n * 1_000);
    node.recordSurvival([SHARED], n * 1_000 + 300);
  }
  t.deepEqual(heldAt(node, 3_100), [], "others' survivals may be on their way");
  t.deepEqual(heldAt(node, 3_600), [CULPRIT]);
});

test("evidence is judged whenever the next request comes, also much later", (t) => {
  const node = makeQuarantine();
  for (let n = 1; n <= 2; n++) crash(node, n, [CULPRIT], n * 1_000);
  t.deepEqual(heldAt(node, 5_000), []);
  t.deepEqual(heldAt(node, 9_000), []);
  crash(node, 3, [CULPRIT], 10_000);
  t.deepEqual(heldAt(node, 200_000), [CULPRIT]);
});

test("two crashes hold nothing", (t) => {
  const node = makeQuarantine();
  for (let n = 1; n <= 2; n++) crash(node, n, [CULPRIT], n * 1_000);
  t.deepEqual(heldAt(node, 10_000), []);
});

test("without survivals, of two parts that are always together the later is held", (t) => {
  const node = makeQuarantine();
  for (let n = 1; n <= 3; n++) crash(node, n, parts, n * 1_000);
  t.deepEqual(heldAt(node, 4_000), [CULPRIT]);
});

test("a crash that a held part explains counts against no other part", (t) => {
  const node = makeQuarantine();
  for (let n = 1; n <= 3; n++) crash(node, n, parts, n * 1_000);
  for (let n = 4; n <= 8; n++) crash(node, n, parts, n * 1_000);
  t.deepEqual(heldAt(node, 9_000), [CULPRIT]);
});

test("resets of connections to engines that live on hold nothing", (t) => {
  const node = makeQuarantine();
  for (let n = 1; n <= 9; n++) node.recordBroken(runKey(n), parts, n * 1_000);
  t.deepEqual(heldAt(node, 60_000), []);
});

test("an end long after broken requests is not their crash", (t) => {
  const node = makeQuarantine();
  for (let n = 1; n <= 5; n++) {
    node.recordBroken(runKey(n), [CULPRIT], n);
    node.recordEnded(runKey(n), 9_000 + n);
  }
  t.deepEqual(heldAt(node, 12_000), []);
});

test("requests that break after the end is known count, too", (t) => {
  const node = makeQuarantine();
  for (let n = 1; n <= 3; n++) {
    node.recordEnded(runKey(n), n * 1_000);
    node.recordBroken(runKey(n), [CULPRIT], n * 1_000 + 5);
  }
  t.deepEqual(heldAt(node, 4_000), [CULPRIT]);
});

test("engines that end at the same moment hold nothing: a failure domain is lost", (t) => {
  const node = makeQuarantine();
  for (let n = 1; n <= 6; n++) crash(node, n, [CULPRIT], 1_000 + n);
  t.deepEqual(heldAt(node, 3_000), []);
});

test("a part that survived before needs twice the crashes", (t) => {
  const node = makeQuarantine();
  node.recordSurvival([CULPRIT], 500);
  for (let n = 1; n <= 5; n++) crash(node, n, [CULPRIT], n * 1_000);
  t.deepEqual(heldAt(node, 6_000), []);
  crash(node, 6, [CULPRIT], 6_000);
  t.deepEqual(heldAt(node, 7_000), [CULPRIT]);
});

test("evidence of several nodes adds up, over any path and any number of times", (t) => {
  const nodes = [makeQuarantine(), makeQuarantine(), makeQuarantine()];
  for (const [n, node] of nodes.entries()) {
    crash(node, n, [CULPRIT], (n + 1) * 1_000);
  }
  const [a, b, c] = nodes as [
    quarantine.PromptQuarantine,
    quarantine.PromptQuarantine,
    quarantine.PromptQuarantine,
  ];
  for (const nowMs of [3_050, 3_100, 3_150]) {
    b.merge(a.report(nowMs), nowMs);
    c.merge(b.report(nowMs), nowMs);
    a.merge(c.report(nowMs), nowMs);
  }
  t.deepEqual(heldAt(a, 3_100), []);
  for (const node of nodes) {
    t.deepEqual(heldAt(node, 4_000), [CULPRIT]);
    t.is(node.tag(4_100), a.tag(4_100));
  }
});

// Guards against waiting for the list of upstreams, which drops an engine some
// seconds after its end, where another node has found nothing listening.
test("an engine that refused another node's connection has ended", (t) => {
  const [a, b] = [makeQuarantine(), makeQuarantine()];
  for (let n = 1; n <= 3; n++) {
    a.recordBroken(runKey(n), [CULPRIT], n * 100);
    b.recordRefusal(runKey(n), n * 100 + 30);
  }
  a.merge(b.report(400), 400);
  t.deepEqual(heldAt(a, 1_000), [CULPRIT]);
  t.is(b.report(11_000).refusals.length, 0, "passed on for a while only");
});

test("a survival at another node exonerates, also one before the crashes", (t) => {
  const [a, b] = [makeQuarantine(), makeQuarantine()];
  b.recordSurvival([CULPRIT], 900);
  for (let n = 1; n <= 3; n++) crash(a, n, [CULPRIT], n * 1_000);
  b.merge(a.report(3_100), 3_100);
  t.not(b.tag(3_100), a.tag(3_100), "so that the survival is sent");
  a.merge(b.report(3_150), 3_150);
  t.is(b.tag(3_200), a.tag(3_200));
  t.deepEqual(heldAt(a, 4_000), []);
  b.recordSurvival([CULPRIT], 4_000);
  a.merge(b.report(4_010), 4_010);
  for (let n = 4; n <= 6; n++) crash(a, n, [CULPRIT], 4_000 + n * 100);
  t.deepEqual(heldAt(a, 6_000), [], "three of six crashes are exonerated");
});

test("a held part is adopted from another node, and from the store", (t) => {
  const [a, b, c] = [makeQuarantine(), makeQuarantine(), makeQuarantine()];
  for (let n = 1; n <= 3; n++) crash(a, n, [CULPRIT], n * 1_000);
  t.deepEqual(heldAt(a, 4_000), [CULPRIT]);
  b.merge({ ...a.report(4_100), evidence: [] }, 4_100);
  t.deepEqual(heldAt(b, 4_100), [CULPRIT]);
  c.applyRow(CULPRIT, 10);
  t.deepEqual(heldAt(c, 20), [CULPRIT]);
});

test("a released part stays released, whatever nodes that have not heard say", (t) => {
  const [a, b] = [makeQuarantine(), makeQuarantine()];
  for (let n = 1; n <= 3; n++) crash(a, n, [CULPRIT], n * 1_000);
  t.deepEqual(heldAt(a, 4_000), [CULPRIT]);
  b.merge(a.report(4_100), 4_100);
  b.release(CULPRIT, 5_000);
  b.merge(a.report(5_100), 5_100);
  t.deepEqual(heldAt(b, 6_000), []);
  for (let n = 7; n <= 9; n++) crash(b, n, [CULPRIT], n * 1_000);
  t.deepEqual(heldAt(b, 10_000), [CULPRIT]);
});

test("a part without a row is due to be written, also after a restore", (t) => {
  const node = makeQuarantine();
  for (let n = 1; n <= 3; n++) crash(node, n, [CULPRIT], n * 1_000);
  t.deepEqual(node.unrecorded(0, 4_000), [CULPRIT]);
  t.deepEqual(node.unrecorded(300, 4_100), [], "another node's turn is first");
  node.applyRow(CULPRIT, 4_200);
  t.deepEqual(node.unrecorded(0, 4_300), []);
  t.deepEqual(node.heldFor(60_000, 70_000), [CULPRIT]);
  node.noteRestored();
  t.deepEqual(node.unrecorded(0, 4_400), [CULPRIT]);
});

test("the evidence is bounded, and the part that is blamed most is kept", (t) => {
  const node = makeQuarantine();
  for (let n = 1; n <= 2; n++) crash(node, n, [CULPRIT], n * 1_000);
  for (let n = 0; n < 1_000; n++) {
    crash(node, 3, [quarantine.toPartKey(`p${n}`)], 2_500);
  }
  t.true(node.report(2_600).evidence.length <= 200);
  crash(node, 4, [CULPRIT], 3_000);
  t.deepEqual(heldAt(node, 4_000), [CULPRIT]);
});

// Guards against an endless search for the next part once no more can be held.
test("held parts are bounded, and the limit ends no decision", (t) => {
  const node = makeQuarantine();
  for (let n = 0; n < 1_000; n++) {
    node.applyRow(quarantine.toPartKey(`h${n}`), 1);
  }
  t.true(node.size < 1_000);
  for (let n = 1; n <= 3; n++) crash(node, n, [CULPRIT], n * 1_000);
  t.deepEqual(heldAt(node, 4_000), []);
});

test("keys of parts are bounded and safe, whatever callers send", (t) => {
  t.is(String(quarantine.toPartKey("91bd3f06")), "91bd3f06");
  const odd = quarantine.toPartKey("a/b c".repeat(1_000));
  t.regex(odd, /^[\w-]{1,64}$/);
  t.not(odd, quarantine.toPartKey("a/b c"));
  const prompt = ["1", "2", "3"].map((id) => ({ id, tokens: 1 }));
  t.deepEqual(quarantine.sharedPartKeys(prompt).join(), "1,2");
  t.deepEqual(quarantine.sharedPartKeys([]), []);
});
