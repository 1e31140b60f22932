import test from "ava";
import * as fc from "fast-check";
import * as admission from "../../mod.ts";

const CAPACITY_TOKENS = 49_615;
const LARGE_TOKENS = 30_000;
const DELAY_MS = 200;
const NAMES = ["n1", "n2", "n3", "n4"];
const NOBODY: ReadonlySet<string> = new Set();

/** One node's view of one engine; sums arrive by `hearOf` alone. */
class Node {
  readonly memory = new admission.EngineMemory();
  readonly rule: admission.SharesRule;
  lost = NOBODY;
  readonly request: admission.AdmissionRequest;

  constructor(readonly name: string, tokens = LARGE_TOKENS) {
    this.request = { key: {}, tokens };
    this.rule = new admission.SharesRule(name, () => ({
      registered: NAMES,
      lost: this.lost,
    }));
  }

  /** Takes over what other nodes held and claimed at some time. */
  hearOf(others: readonly Node[], ageMs: number, nowMs: number): void {
    const claims = [this, ...others]
      .flatMap(({ memory }) => memory.claim(nowMs - ageMs) ?? []);
    this.memory.setOthers({
      inFlight: others.filter(({ memory }) => memory.ownTokens > 0).length,
      tokens: sum(others.map(({ memory }) => memory.ownTokens)),
      claimedTokens: sum(
        others.map(({ memory }) => memory.claim(nowMs)?.tokens ?? 0),
      ),
      firstClaims: claims.sort((a, b) => a.ticket - b.ticket),
      recentSends: 0,
      contenders: 0,
      ageMs,
    }, nowMs);
  }

  /** Tries the request; whether it was sent. */
  trySend(nowMs: number): boolean {
    const room = {
      id: "e1",
      capacityTokens: CAPACITY_TOKENS,
      memory: this.memory,
      inFlight: 0,
      alternatives: 1,
    };
    const competition = new admission.Competition();
    competition.add(this.memory);
    const { rule, request, memory } = this;
    if (rule.admits(room, request, competition, nowMs)) {
      rule.release(request);
      memory.hold(request.tokens, nowMs);
      return true;
    }
    rule.claim(request, [room], nowMs);
    return false;
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

test("no more sends are expected than have room, at the accepted risk", (t) => {
  t.true(admission.safeArrivalsMean(0, 1e-3) < 0.0011);
  for (const risk of [1e-2, 1e-4]) {
    for (let places = 1; places < 30; places++) {
      const mean = admission.safeArrivalsMean(places, risk);
      t.true(mean < places);
      t.true(mean > admission.safeArrivalsMean(places - 1, risk));
    }
  }
});

// Guards against the crash of an engine that two nodes see idle at once.
test("of two nodes that see an engine idle at once, one sends a large request, within a second", (t) => {
  fc.assert(fc.property(
    fc.integer({ min: 0, max: 2 * DELAY_MS }),
    fc.integer({ min: 0, max: 50 }),
    (laterMs, phaseMs) => {
      const [first, second] = [new Node("n1"), new Node("n2")];
      first.hearOf([], 0, 0);
      second.hearOf([], 0, 0);
      const sentAtMs: number[] = [];
      for (let nowMs = 0; nowMs <= 1_000; nowMs += 10) {
        if (nowMs % 100 === 50) {
          // Each hears now what the other does from here on.
          first.hearOf([second], 50 + phaseMs, nowMs);
          second.hearOf([first], 50 + phaseMs, nowMs);
        }
        if (sentAtMs.length > 0) continue;
        if (first.trySend(nowMs)) sentAtMs.push(nowMs);
        if (nowMs >= laterMs && second.trySend(nowMs)) sentAtMs.push(nowMs);
      }
      return sentAtMs.length === 1 &&
        first.memory.ownTokens + second.memory.ownTokens <= CAPACITY_TOKENS;
    },
  ));
  t.pass();
});

test("a large request waits for its turn behind the claims of other nodes", (t) => {
  const [first, second] = [new Node("n1"), new Node("n2")];
  first.hearOf([], 0, 0);
  t.false(first.trySend(0));
  second.hearOf([first], 50, 100);
  t.false(second.trySend(100));
  second.hearOf([first], 50, 590);
  first.hearOf([second], 50, 590);
  second.trySend(590);
  t.true(first.trySend(595));
});

// Guards against the crash of engines that nodes overrun once they no longer
// hear of each other, as the sums of the others then look empty.
test("four nodes that are cut off from each other send no more than an engine's memory", (t) => {
  const nodes = NAMES.map((name) => new Node(name, 3_000));
  let held = 0;
  for (const node of nodes) {
    node.hearOf([], 0, 0);
    node.lost = new Set(NAMES.filter((name) => name !== node.name));
    for (let n = 0; n < 40; n++) node.trySend(1_500 + n);
    held += node.memory.ownTokens;
  }
  t.true(held > 0, "none has a part");
  t.true(held <= CAPACITY_TOKENS, `${held} tokens`);
});

test("two halves of a cut fleet use no more than an engine's memory together", (t) => {
  const parts = new admission.OwnParts();
  const halves = [["n1", "n2"], ["n3", "n4"]].map((lost) =>
    parts.usableTokens("e1", CAPACITY_TOKENS, {
      registered: NAMES,
      lost: new Set(lost),
    })
  );
  t.true(sum(halves) <= CAPACITY_TOKENS);
});
