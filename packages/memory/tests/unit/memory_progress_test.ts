import test from "ava";
import * as memory from "../../mod.ts";

// Guards against a body that holds its place with an occasional byte.
test("a body that trickles is too slow, one of 1 kB/s is not", (t) => {
  const trickling = new memory.BodyProgress(0);
  for (let n = 0; n < 50; n++) trickling.add(1);
  t.is(trickling.remainingMs(4_000), 1_000);
  t.false(trickling.isFastEnough(5_000));
  const slow = new memory.BodyProgress(0);
  slow.add(5_120);
  t.true(slow.isFastEnough(5_000));
  t.false(slow.isFastEnough(10_000), "the next window counts alone");
});
