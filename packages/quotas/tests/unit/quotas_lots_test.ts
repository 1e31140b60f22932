/** Stock of tokens that expire. */
import test from "ava";
import { TokenLots } from "../../quotas_lots.ts";

const LIFETIME_MS = 3_200;

// Guards against tokens that are spent after their lifetime.
test("a token is gone once its lifetime is over", (t) => {
  const lots = new TokenLots(LIFETIME_MS);
  lots.add({ refilledAtMs: 0, amount: 5 });
  lots.add({ refilledAtMs: 1_000, amount: 7 });
  t.is(lots.total(LIFETIME_MS), 12);
  t.is(lots.total(LIFETIME_MS + 1), 7);
  t.is(lots.total(LIFETIME_MS + 1_001), 0);
});

// Guards against tokens that a refund or a message makes younger.
test("tokens that are put back or sent keep their age", (t) => {
  const lots = new TokenLots(LIFETIME_MS);
  lots.add({ refilledAtMs: 0, amount: 10 });
  lots.add({ refilledAtMs: 2_000, amount: 10 });
  for (const lot of lots.take(15)) lots.add(lot);
  t.is(lots.totalBefore(1), 10);
  const sent = lots.send(20, 1, 2_500.5);
  t.deepEqual(sent, [
    { amount: 10, ageMs: 501 },
    { amount: 10, ageMs: 2_501 },
  ]);
  t.is(lots.total(2_500.5), 0);
});

// Guards against fractions that are lost, or rounded up, with each message.
test("a thousand small gifts add up to what was in stock", (t) => {
  const lots = new TokenLots(LIFETIME_MS);
  let received = 0;
  for (let atMs = 0; atMs < 1_000; atMs++) {
    lots.add({ refilledAtMs: atMs, amount: 0.37 });
    for (const { amount } of lots.send(Infinity, 1, atMs)) received += amount;
  }
  const rest = lots.total(1_000);
  t.true(rest >= 0 && rest < 1);
  t.true(Math.abs(received + rest - 370) < 1e-6);
});
