import test from "ava";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import * as core from "../../../core/mod.ts";
import * as transport from "../../mod.ts";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Counts how many of 100 signals abort, though nothing holds them. */
async function countAborts(
  makeSignal: () => AbortSignal,
  act: () => void = () => {},
): Promise<number> {
  let aborts = 0;
  for (let n = 0; n < 100; n++) {
    makeSignal().addEventListener("abort", () => aborts++, { once: true });
  }
  for (let n = 0; n < 4; n++) {
    await core.sleep(20);
    collectGarbage();
  }
  act();
  await core.sleep(400);
  return aborts;
}

test.serial("a time limit holds after a garbage collection", async (t) => {
  const caller = new AbortController();
  t.is(await countAborts(() => transport.timeoutSignal(200)), 100);
  t.is(
    await countAborts(() => transport.timeoutSignal(200, caller.signal)),
    100,
  );
});

test.serial("the other signal aborts before the time limit", async (t) => {
  const caller = new AbortController();
  const aborts = await countAborts(
    () => transport.timeoutSignal(60_000, caller.signal),
    () => caller.abort(new Error("left")),
  );
  t.is(aborts, 100);
  const late = transport.timeoutSignal(60_000, caller.signal);
  t.true(late.aborted);
  t.is((late.reason as Error).message, "left");
});
