import test from "ava";
import process from "node:process";
import * as core from "../../../core/mod.ts";
import { WaitWatch } from "../../relay_wait_watch.ts";

test("a wait that lasts too long is reported once", async (t) => {
  let timeouts = 0;
  const watch = new WaitWatch(30, () => timeouts++);
  await watch.during(core.sleep(150));
  t.is(timeouts, 1);
  await watch.during(core.sleep(150));
  t.is(timeouts, 2);
  watch.stop();
});

test("a stream of many events is not reported, however long it lasts", async (t) => {
  let timeouts = 0;
  const watch = new WaitWatch(2_000, () => timeouts++);
  for (let n = 0; n < 150; n++) await watch.during(core.sleep(15));
  watch.stop();
  t.is(timeouts, 0);
});

test("time between two waits does not count", async (t) => {
  let timeouts = 0;
  const watch = new WaitWatch(200, () => timeouts++);
  await watch.during(Promise.resolve());
  await core.sleep(400);
  t.is(timeouts, 0);
  await watch.during(core.sleep(10));
  watch.stop();
  t.is(timeouts, 0);
});

test("many waits need one timer", async (t) => {
  const before =
    process.getActiveResourcesInfo().filter((name) => name === "Timeout")
      .length;
  const watch = new WaitWatch(60_000, () => t.fail());
  const waits = Array.from(
    { length: 50 },
    () => watch.during(Promise.resolve()),
  );
  const during =
    process.getActiveResourcesInfo().filter((name) => name === "Timeout")
      .length;
  t.true(during - before <= 1);
  await Promise.all(waits);
  watch.stop();
});

test("a rejected wait ends, and a stopped watch reports nothing", async (t) => {
  const watch = new WaitWatch(20, () => t.fail());
  await t.throwsAsync(watch.during(Promise.reject(new Error("cut"))));
  watch.stop();
  await core.sleep(60);
  t.pass();
});
