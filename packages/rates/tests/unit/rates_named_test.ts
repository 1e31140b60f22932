import test from "ava";
import * as core from "../../../core/mod.ts";
import { NamedRates } from "../../mod.ts";

const upstream = {
  id: core.brandId<core.UpstreamId>("u1"),
  startedAtMs: 1,
};

// Guards against a limit that a response lifts which was under way before it was
// named, and against one that is never lifted.
test("a later response without a limit lifts it", (t) => {
  const rates = new NamedRates();
  t.false(rates.recordResponse(upstream, undefined, 0, 0));
  t.true(rates.recordResponse(upstream, 2, 0, 100));
  t.false(rates.recordResponse(upstream, 2, 10, 150));
  t.false(rates.recordResponse(upstream, undefined, 120, 200));
  t.is(rates.perS(upstream), 2);
  t.true(rates.recordResponse(upstream, 0.5, 90, 210));
  t.true(rates.recordResponse(upstream, undefined, 220, 300));
  t.is(rates.perS(upstream), undefined);
});

test("a limit is of one incarnation", (t) => {
  const rates = new NamedRates();
  rates.recordResponse(upstream, 2, 0, 0);
  const next = { ...upstream, startedAtMs: 2 };
  t.is(rates.perS(next), undefined);
  t.true(rates.recordResponse(next, 3, 0, 10));
  t.false(rates.recordResponse(upstream, 4, 0, 20));
  t.is(rates.perS(next), 3);
  t.is(rates.perS(upstream), undefined);
});

// Guards against nodes that tell each other for good what was lifted.
test("the latest statement of any node counts", (t) => {
  const [a, b] = [new NamedRates(), new NamedRates()];
  a.recordResponse(upstream, 2, 0, 1_000);
  const [named] = a.recent(1_500);
  t.like(named, { perS: 2, ageMs: 500 });
  t.true(b.merge(named!, 1_510));
  b.recordResponse(upstream, undefined, 1_600, 1_700);
  t.false(b.merge(named!, 1_800));
  t.true(a.merge(b.recent(1_800)[0]!, 1_800));
  t.is(a.perS(upstream), undefined);
  t.is(a.recent(40_000).length, 0);
});

test("a statement that comes round is no newer", (t) => {
  const rates = new NamedRates();
  rates.recordResponse(upstream, 2, 0, 1_000);
  for (let nowMs = 1_100; nowMs < 6_000; nowMs += 100) {
    const [told] = rates.recent(nowMs);
    rates.merge({ ...told!, ageMs: told!.ageMs - 50 }, nowMs);
  }
  t.is(rates.recent(6_000)[0]!.ageMs, 5_000);
});

test("the upstreams that are remembered are bounded", (t) => {
  const rates = new NamedRates();
  for (let n = 0; n < 10_050; n++) {
    const id = core.brandId<core.UpstreamId>(`u${n}`);
    rates.recordResponse({ ...upstream, id }, 1, 0, 1);
  }
  t.is(rates.recent(1).length, 10_000);
});
