/** As of when a copy counts as current. */
import test from "ava";
import { CopyCurrency } from "../../mod.ts";

test("a copy is current as of the start of the latest read that confirmed it", (t) => {
  const currency = new CopyCurrency(() => -Infinity);
  t.is(currency.asOfMs, -Infinity);
  currency.record({ asOfMs: 100, askedAtMs: 100 });
  currency.record({ asOfMs: 50, askedAtMs: 200 });
  t.is(currency.asOfMs, 100);
});

// Guards against an answer that lay in a connection while the process was
// suspended: the monotonic clock stood still, so the answer looks recent.
test("a read that was asked for before a suspension says nothing", (t) => {
  let resumedAtMs = -Infinity;
  const currency = new CopyCurrency(() => resumedAtMs);
  currency.record({ asOfMs: 100, askedAtMs: 100 });
  resumedAtMs = 150;
  t.is(currency.asOfMs, -Infinity);
  currency.record({ asOfMs: 140, askedAtMs: 140 });
  t.is(currency.asOfMs, -Infinity);
  // Another node has waited for the store in the meantime.
  currency.record({ asOfMs: 90, askedAtMs: 160 });
  t.is(currency.asOfMs, 90);
});
