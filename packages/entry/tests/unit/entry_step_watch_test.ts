/** Whether a node notices that it stood still or is cut off. */
import test from "ava";
import * as core from "../../../core/mod.ts";
import { EntryState } from "../../entry_state.ts";
import { StepWatch } from "../../entry_step_watch.ts";
import { makeEntrySettings } from "../entry_settings.ts";

/** A node with two others, whose clocks and contacts a test controls. */
class WatchedNode {
  readonly state = new EntryState(
    makeEntrySettings("n0"),
    new core.Logger({}, () => {}),
  );
  readonly watch: StepWatch;
  listConfirmedAtMs = -Infinity;
  isStoreAway = true;
  reads = 0;
  /** Time for which both clocks, or the wall clock alone, are ahead. */
  aheadMs = 0;
  wallAheadMs = 0;

  constructor(others = 2) {
    for (let n = 0; n <= others; n++) {
      this.state.members.setRow(core.brandId<core.InstanceId>(`n${n}`), {
        callerAddress: "127.0.0.1:1",
        peerAddress: "127.0.0.1:1",
        failureDomain: "d",
        incarnation: `in-${n}`,
        isLeaving: false,
      });
    }
    this.watch = new StepWatch(
      this.state,
      {
        listConfirmedAtMs: () => this.listConfirmedAtMs,
        readList: () => {
          this.reads++;
          return Promise.resolve(!this.isStoreAway);
        },
      },
      new core.SuspensionWatch(this.state.logger, {
        monotonicMs: () => core.monotonicMs() + this.aheadMs,
        wallMs: () => Date.now() + this.aheadMs + this.wallAheadMs,
      }),
    );
  }

  contact(count: number): void {
    for (let n = 1; n <= count; n++) {
      const node = core.brandId<core.InstanceId>(`n${n}`);
      this.state.members.recordContact(node, -this.aheadMs, true);
    }
  }

  awaitStep(): Promise<boolean> {
    return this.watch.awaitStep(new AbortController().signal);
  }
}

test("a node is in step by a list that was confirmed, or most of the nodes", async (t) => {
  const node = new WatchedNode();
  t.false(node.watch.isInStep());
  node.listConfirmedAtMs = core.monotonicMs();
  t.true(node.watch.isInStep());
  node.listConfirmedAtMs = -Infinity;
  node.contact(1);
  t.true(node.watch.isInStep());
  t.true(await node.awaitStep());
  t.is(node.reads, 0);
});

test("a node without others is in step", (t) => {
  t.true(new WatchedNode(0).watch.isInStep());
});

for (const isSuspended of [false, true]) {
  const name = isSuspended ? "was suspended" : "stood still";
  // Guards against a node that takes the list from before it was held up for
  // current, by a clock that stood still as well or by a late reply of the store.
  test(`a node that ${name} is out of step until it hears of the list again`, async (t) => {
    const node = new WatchedNode();
    node.listConfirmedAtMs = core.monotonicMs();
    node.contact(2);
    t.true(node.watch.isInStep());
    if (isSuspended) node.wallAheadMs = 3_000;
    else node.aheadMs = 3_000;
    t.false(node.watch.isInStep());
    // What waited in its connections is read now.
    node.listConfirmedAtMs = core.monotonicMs() + node.aheadMs;
    node.contact(2);
    t.false(node.watch.isInStep());
    t.false(await node.awaitStep());
    t.is(node.reads, 1);
    node.isStoreAway = false;
    t.true(await node.awaitStep());
  });
}

test("a node that stood still is in step once most nodes have answered", async (t) => {
  const node = new WatchedNode();
  node.aheadMs = 3_000;
  t.false(node.watch.isInStep());
  await core.sleep(120);
  node.contact(1);
  t.true(node.watch.isInStep());
});
