import test from "ava";
import { once } from "node:events";
import process from "node:process";
import * as signals from "../../mod.ts";

async function sendToSelf(name: signals.SignalName): Promise<void> {
  const received = once(process, name);
  // Waiting for a signal alone does not keep a process running.
  const keepRunning = setInterval(() => {}, 1_000);
  process.kill(process.pid, name);
  await received;
  clearInterval(keepRunning);
}

test.serial("a signal waits for its handler, and several count as one", async (t) => {
  const held = signals.holdSignals("SIGHUP");
  await sendToSelf("SIGHUP");
  await sendToSelf("SIGHUP");
  t.deepEqual(held.waiting, ["SIGHUP"]);
  let calls = 0;
  const unregister = held.register("SIGHUP", () => calls++);
  t.is(calls, 1);
  t.deepEqual(held.waiting, []);
  await sendToSelf("SIGHUP");
  t.is(calls, 2);
  unregister();
  await sendToSelf("SIGHUP");
  t.is(calls, 2);
  t.deepEqual(held.waiting, ["SIGHUP"]);
});

test.serial("a later handler replaces an earlier one", async (t) => {
  const held = signals.holdSignals("SIGHUP");
  const calls: string[] = [];
  const unregisterFirst = held.register("SIGHUP", () => calls.push("first"));
  held.register("SIGHUP", () => calls.push("second"));
  unregisterFirst();
  await sendToSelf("SIGHUP");
  t.deepEqual(calls, ["second"]);
});
