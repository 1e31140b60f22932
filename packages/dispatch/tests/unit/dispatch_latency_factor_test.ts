/** What nodes learn of the speed of engines to which each sends rarely. */
import test from "ava";
import {
  LatencyFactor,
  type LatencySamples,
} from "../../dispatch_latency_factor.ts";

const NODES = 84;

/** Nodes before one engine that is so much slower than estimated. */
class Fleet {
  readonly factors = Array.from({ length: NODES }, () => new LatencyFactor());
  nowMs = 0;

  /** Each request goes to the next node. */
  send(requests: number, slowness: number, intervalMs: number): void {
    for (let n = 0; n < requests; n++) {
      this.nowMs += intervalMs;
      this.factors[n % NODES]!.record(slowness, this.nowMs);
    }
  }

  exchange(): void {
    const samples = this.factors.map((each) => each.samples(this.nowMs));
    const total = samples.reduce(add);
    this.factors.forEach((each, n) => {
      const own = samples[n]!;
      const peers = {
        sum: total.sum - own.sum,
        count: total.count - own.count,
      };
      each.setPeers(peers, this.nowMs);
    });
  }

  get values(): number[] {
    return this.factors.map(({ value }) => value);
  }
}

function add(a: LatencySamples, b: LatencySamples): LatencySamples {
  return { sum: a.sum + b.sum, count: a.count + b.count };
}

// Guards against nodes that take a slow engine for one of usual speed, as each
// of them has sent to it once.
test("84 nodes before an engine of 5 requests/s that is 2.5 times slower: all know it after 4 s", (t) => {
  const fleet = new Fleet();
  fleet.send(20, 2.5, 200);
  t.true(fleet.values.every((value) => value < 1.3));
  fleet.exchange();
  t.true(fleet.values.every((value) => value > 2.1 && value <= 2.5));
});

test("an engine that has recovered is known as such after some seconds", (t) => {
  const fleet = new Fleet();
  fleet.send(50, 4, 200);
  fleet.send(50, 1, 200);
  fleet.exchange();
  t.true(fleet.values.every((value) => value < 1.5));
});

test("an engine that nobody has sent to lately counts as one of usual speed", (t) => {
  const fleet = new Fleet();
  fleet.send(20, 8, 200);
  fleet.nowMs += 30_000;
  fleet.exchange();
  t.true(fleet.values.every((value) => value < 1.2));
});

test("a sample that says a thousand times slower is bounded", (t) => {
  const fleet = new Fleet();
  fleet.send(20, 1_000, 200);
  fleet.exchange();
  t.true(fleet.values.every((value) => value <= 8));
});

// Guards against another choice where speeds are not shared.
test("without the samples of others a node goes by its moving average alone", (t) => {
  const factor = new LatencyFactor();
  factor.record(3, 0);
  t.is(factor.value, 1 + 2 * 0.15);
  factor.record(3, 60_000);
  const average = factor.value;
  t.is(average, 1.3 + (3 - 1.3) * 0.15);
  factor.setPeers({ sum: 40, count: 20 }, 60_000);
  t.not(factor.value, average);
  factor.setPeers(undefined, 60_000);
  t.is(factor.value, average);
});
