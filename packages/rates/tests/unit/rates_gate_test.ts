import test from "ava";
import * as core from "../../../core/mod.ts";
import {
  NamedRates,
  type PermitReply,
  PermitSource,
  RateGate,
  type RateStatement,
} from "../../mod.ts";

const upstream = {
  id: core.brandId<core.UpstreamId>("u1"),
  startedAtMs: 1,
};

/** Answers as a test wants, and counts what it is asked for. */
class TestSource extends PermitSource {
  readonly asked: number[] = [];
  reply: PermitReply | undefined = { granted: 1, waitMs: 0 };
  delayMs = 0;

  override async request(_statement: RateStatement, count: number) {
    this.asked.push(count);
    await core.sleep(this.delayMs);
    return this.reply;
  }
}

function makeGate(perS: number) {
  const named = new NamedRates();
  const source = new TestSource();
  const gate = new RateGate(named, source);
  const nowMs = core.monotonicMs();
  named.recordResponse(upstream, perS, nowMs, nowMs);
  return { named, source, gate };
}

const isBarred = (gate: RateGate) =>
  gate.isBarred(upstream, core.monotonicMs());

test("a permit is for one request", async (t) => {
  const { gate, source } = makeGate(10);
  t.true(isBarred(gate));
  gate.want(upstream, {});
  await core.sleep(5);
  t.deepEqual(source.asked, [1]);
  t.false(isBarred(gate));
  const nowMs = core.monotonicMs();
  const permit = gate.take(upstream, nowMs);
  t.true(gate.mayStart(upstream, permit, nowMs));
  t.false(gate.mayStart(upstream, undefined, nowMs));
  t.true(isBarred(gate));
  t.is(gate.take(upstream, nowMs), undefined);
});

// Guards against permits that are used long after they were issued, also by a
// node that was suspended, for which the monotonic clock stood still.
test("a permit is not used late", async (t) => {
  const { gate } = makeGate(10);
  gate.want(upstream, {});
  await core.sleep(5);
  const nowMs = core.monotonicMs();
  const permit = gate.take(upstream, nowMs)!;
  t.false(gate.mayStart(upstream, permit, nowMs + 1_000));
  const suspended = { ...permit, untilWallMs: Date.now() - 1 };
  t.false(gate.mayStart(upstream, suspended, nowMs));
  gate.want(upstream, {});
  await core.sleep(5);
  t.false(isBarred(gate));
  t.true(gate.isBarred(upstream, core.monotonicMs() + 1_000));
});

// Guards against permits for a high rate that are used at a low one.
test("a permit is not valid for a lower limit", async (t) => {
  const { gate, named } = makeGate(10);
  gate.want(upstream, {});
  await core.sleep(5);
  const nowMs = core.monotonicMs();
  named.recordResponse(upstream, 11, nowMs, nowMs);
  t.false(isBarred(gate));
  named.recordResponse(upstream, 9, nowMs, nowMs);
  t.true(isBarred(gate));
});

// Guards against permits from an issuer that was slow to answer, and counts them
// in a later window than it did.
test("a permit's time runs from the request for it", async (t) => {
  const { gate, source } = makeGate(10);
  source.delayMs = 300;
  gate.want(upstream, {});
  await core.sleep(350);
  t.false(isBarred(gate));
  t.true(gate.isBarred(upstream, core.monotonicMs() + 750));
});

// Guards against a node that asks more often than permits are issued.
test("permits are asked for once, and again when one is expected", async (t) => {
  const { gate, source } = makeGate(10);
  let changes = 0;
  gate.onChange = () => changes++;
  source.reply = { granted: 0, waitMs: 120 };
  const requests = [{}, {}, {}];
  for (const request of [...requests, ...requests]) {
    gate.want(upstream, request);
  }
  await core.sleep(50);
  for (const request of requests) gate.want(upstream, request);
  await core.sleep(20);
  t.deepEqual(source.asked, [3]);
  t.is(changes, 0);
  const waitMs = gate.expectedWaitMs(upstream, 0, core.monotonicMs());
  t.true(waitMs > 0 && waitMs <= 120, `${waitMs}`);
  t.true(gate.expectedWaitMs(upstream, 2, core.monotonicMs()) > 200);
  await core.sleep(100);
  t.is(changes, 1);
  source.reply = { granted: 2, waitMs: 0 };
  for (const request of requests) gate.want(upstream, request);
  await core.sleep(5);
  t.is(changes, 2);
  t.is(gate.expectedWaitMs(upstream, 0, core.monotonicMs()), 0);
});

test("without an answer nothing is sent, and it asks again", async (t) => {
  const { gate, source } = makeGate(10);
  source.reply = undefined;
  gate.onChange = () => gate.want(upstream, {});
  gate.want(upstream, {});
  await core.sleep(500);
  t.true(isBarred(gate));
  t.true(source.asked.length >= 2 && source.asked.length <= 3);
});

test("nothing is barred once the limit is lifted", async (t) => {
  const { gate, named } = makeGate(0);
  t.true(isBarred(gate));
  t.is(gate.expectedWaitMs(upstream, 0, core.monotonicMs()), 0);
  const nowMs = core.monotonicMs();
  named.recordResponse(upstream, undefined, nowMs, nowMs);
  t.false(isBarred(gate));
  t.is(gate.take(upstream, nowMs), undefined);
  t.true(gate.mayStart(upstream, undefined, nowMs));
  await core.sleep(0);
});
