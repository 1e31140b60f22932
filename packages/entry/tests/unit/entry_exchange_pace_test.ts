/** How a node that answers many others keeps up. */
import test from "ava";
import { ExchangePace } from "../../entry_exchange_pace.ts";

/** A machine whose processor is used by answers, each of which takes a time. */
class SmallMachine {
  busyShare = 0;
  readonly pace = new ExchangePace(() => this.busyShare);

  /** Runs for a time; returns the interval of the children at its end. */
  run(children: number, answerMs: number, ownIntervalMs: number): number {
    let intervalMs = ownIntervalMs;
    for (let nowMs = 0; nowMs < 20_000; nowMs += 50) {
      this.busyShare = Math.min(1, children * answerMs / intervalMs);
      intervalMs = Math.max(ownIntervalMs, this.pace.minIntervalMs(nowMs));
    }
    return intervalMs;
  }
}

test("15 nodes every 50 ms, 8 ms an answer: intervals are lengthened until the processor has time left", (t) => {
  const machine = new SmallMachine();
  const intervalMs = machine.run(15, 8, 50);
  t.true(intervalMs >= 200 && intervalMs <= 400);
  t.true(machine.busyShare <= 0.6);
});

test("19 leaves every 150 ms, 1 ms an answer: intervals stay as they are", (t) => {
  const machine = new SmallMachine();
  t.is(machine.run(19, 1, 150), 150);
  t.is(machine.pace.minIntervalMs(30_000), 0);
});

test("a load that has gone leaves no longer intervals behind", (t) => {
  const machine = new SmallMachine();
  machine.run(15, 8, 50);
  machine.busyShare = 0.1;
  let intervalMs = 0;
  for (let nowMs = 30_000; nowMs < 40_000; nowMs += 250) {
    intervalMs = machine.pace.minIntervalMs(nowMs);
  }
  t.is(intervalMs, 0);
});

// Guards against children that are never answered in time, and drop their parent.
test("however busy a node is, its children are heard of within 0.4 s", (t) => {
  const machine = new SmallMachine();
  t.is(machine.run(100, 50, 50), 400);
});
