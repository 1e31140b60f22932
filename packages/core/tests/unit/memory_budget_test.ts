import test from "ava";
import * as core from "../../mod.ts";

// Guards against buffers that are bounded one by one and not together.
test("the largest share is evicted when all exceed the budget", (t) => {
  const budget = new core.MemoryBudget(100);
  const evicted: string[] = [];
  const open = (name: string) => budget.open(() => evicted.push(name));
  const small = open("small");
  const large = open("large");
  small.set(10);
  large.set(90);
  t.deepEqual(evicted, []);
  small.set(20);
  t.deepEqual(evicted, ["large"]);
  t.is(budget.bytes, 20);
  large.set(101);
  t.deepEqual(evicted, ["large", "large"]);
  small.set(0);
  t.is(budget.bytes, 0);
});

test("many equal shares stay within the budget", (t) => {
  const budget = new core.MemoryBudget(100);
  let evicted = 0;
  for (let n = 0; n < 60; n++) budget.open(() => evicted++).set(16);
  t.true(budget.bytes <= 100);
  t.is(evicted, 54);
});
