import test from "ava";
import { err, ok, type Result } from "neverthrow";
import * as core from "../../../core/mod.ts";
import * as store from "../../../store/mod.ts";
import { CrashingFleet, CrashTestNode } from "../crashing_fleet.ts";
import {
  QuarantineListener,
  QuarantineRowsTask,
} from "../../entry_quarantine.ts";

const CRASHING_PART = "ec";
const part = core.brandId<core.PromptPartKey>(CRASHING_PART);

/** Sends crashing requests to the first node until it holds the part. */
async function crashUntilHeld(fleet: CrashingFleet): Promise<void> {
  fleet.crashingParts.add(CRASHING_PART);
  const [node] = fleet.nodes;
  for (let n = 0; n < 200 && node!.state.quarantine.size === 0; n++) {
    if (n % 5 === 0) node!.request(["a0", CRASHING_PART, `x${n}`]);
    node!.request(["a0", `b${n % 3}`, `s${n}`]);
    await core.sleep(40);
  }
}

/** Sends crashing requests to a node; returns how many reached an engine. */
async function countArrivals(
  fleet: CrashingFleet,
  node: CrashTestNode,
): Promise<number> {
  let arrivals = 0;
  fleet.onCrashingArrival = () => arrivals++;
  const statuses = await Promise.all(
    [1, 2, 3].map((n) => node.request(["a0", CRASHING_PART, `late${n}`])),
  );
  return statuses.every((status) => status === 503) ? arrivals : Infinity;
}

// Guards against a node that was held up while the others learned of a part,
// and sends it before it has heard of that.
test.serial("a node that was out of contact holds a part before it sends anything", async (t) => {
  const fleet = new CrashingFleet(6);
  await fleet.start(3);
  try {
    const away = fleet.nodes[2]!;
    fleet.cutOff.add(away);
    await crashUntilHeld(fleet);
    await core.sleep(1_000);
    t.is(away.state.quarantine.size, 0);
    fleet.cutOff.delete(away);
    t.is(await countArrivals(fleet, away), 0);
    t.is(await away.request(["a0", "b1", "s"]), 200);
  } finally {
    await fleet.close();
  }
});

// Guards against a node that has just started and knows no part yet.
test.serial("a new node holds a part before it sends anything", async (t) => {
  const fleet = new CrashingFleet(6);
  await fleet.start(2);
  try {
    await crashUntilHeld(fleet);
    const added = await fleet.addNode("new");
    t.is(await countArrivals(fleet, added), 0);
    t.is(await added.request(["a0", "b1", "s"]), 200);
  } finally {
    await fleet.close();
  }
});

// Guards against a request that waits for an engine while its node is held up.
test.serial("a request that was queued while its node was out of contact is judged again", async (t) => {
  const fleet = new CrashingFleet(2);
  await fleet.start(2);
  try {
    fleet.crashingParts.add(CRASHING_PART);
    let arrivals = 0;
    fleet.onCrashingArrival = () => arrivals++;
    const { state, selector, request } = queuedAt(fleet.nodes[1]!);
    fleet.cutOff.add(fleet.nodes[1]!);
    state.exchangedAtMs = -Infinity;
    for (let n = 0; n < 50 && state.queue.size === 0; n++) await core.sleep(10);
    t.is(state.queue.size, 1);
    for (const each of [...fleet.nodes[0]!.state.upstreams.all()]) {
      state.setUpstream(each.record);
    }
    selector.selectForQueued();
    await core.sleep(100);
    state.quarantine.applyRow(part, core.monotonicMs());
    state.exchangedAtMs = core.monotonicMs();
    t.is(await request, 503);
    t.is(arrivals, 0);
    t.is([...state.upstreams.all()].reduce((n, u) => n + u.inFlight, 0), 0);
  } finally {
    await fleet.close();
  }
});

/** Sends a crashing request to a node that knows no engine, so that it waits. */
function queuedAt(node: CrashTestNode) {
  const { state, selector } = node;
  for (const { record } of [...state.upstreams.all()]) {
    state.removeUpstream(record.id, "test");
  }
  const request = node.request(["a0", CRASHING_PART, "x"]);
  return { state, selector, request };
}

test.serial("a node without contact to others serves sound requests after a short wait", async (t) => {
  const fleet = new CrashingFleet(2);
  await fleet.start(2);
  try {
    const alone = fleet.nodes[1]!;
    fleet.cutOff.add(alone);
    alone.state.exchangedAtMs = -Infinity;
    const startedAtMs = core.monotonicMs();
    t.is(await alone.request(["a0", "b1", "s"]), 200);
    t.true(core.monotonicMs() - startedAtMs < 1_000);
  } finally {
    await fleet.close();
  }
});

/** Keeps committed writes; rejects calls while it is away. */
class MemoryStore extends store.TableService {
  readonly rows = new Map<string, core.JsonValue>();
  isAway = false;

  override read(): Promise<
    Result<readonly store.StoredRow[], store.StoreFailure>
  > {
    return Promise.resolve(ok([]));
  }

  override transact({ writes }: store.Transaction) {
    if (this.isAway) {
      return Promise.resolve(
        err({ effect: "none" as const, reached: false, detail: "away" }),
      );
    }
    for (const { key, value } of writes) {
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, value);
    }
    return Promise.resolve(ok({ outcome: "committed" as const, version: 1 }));
  }
}

test.serial("a held part gets its row once the store is back, and a new node reads it", async (t) => {
  const first = new CrashTestNode("n0", []);
  const second = new CrashTestNode("n1", []);
  const { quarantine } = first.state;
  for (let n = 1; n <= 3; n++) {
    const run = core.brandId<core.UpstreamRunKey>(`e${n}@1`);
    const atMs = core.monotonicMs() - 2_000 + n * 100;
    quarantine.recordBroken(run, [part], atMs);
    quarantine.recordEnded(run, atMs + 10);
  }
  const rows = new MemoryStore();
  rows.isAway = true;
  const stop = new AbortController();
  const task = new QuarantineRowsTask(first.state, rows).run(stop.signal);
  t.deepEqual(quarantine.unrecorded(0, core.monotonicMs()), [part]);
  await core.sleep(500);
  t.is(rows.rows.size, 0);
  t.is(quarantine.find([part], core.monotonicMs()), part);
  rows.isAway = false;
  await core.sleep(700);
  stop.abort();
  await task;
  const key = `carawaywind/quarantine/${CRASHING_PART}`;
  t.deepEqual([...rows.rows.keys()], [key]);
  const listener = new QuarantineListener(second.state.quarantine);
  const row = { key: `quarantine/${CRASHING_PART}`, version: 1 };
  const value = rows.rows.get(key)!;
  listener.applySnapshot({
    generation: 1,
    version: 1,
    rows: [{ ...row, value }],
  });
  t.is(second.state.quarantine.find([part], core.monotonicMs()), part);
  listener.applyChange({ ...row, version: 2, value: undefined });
  t.is(second.state.quarantine.find([part], core.monotonicMs()), undefined);
});

test("a store restored from a copy without the row gets it again", (t) => {
  const node = new CrashTestNode("n0", []);
  const { quarantine } = node.state;
  const listener = new QuarantineListener(quarantine);
  const row = { key: `quarantine/${CRASHING_PART}`, version: 5, value: {} };
  listener.applySnapshot({ generation: 1, version: 5, rows: [row] });
  t.deepEqual(quarantine.unrecorded(0, core.monotonicMs()), []);
  listener.applySnapshot({ generation: 2, version: 3, rows: [] });
  t.is(quarantine.find([part], core.monotonicMs()), part);
  t.deepEqual(quarantine.unrecorded(0, core.monotonicMs()), [part]);
});
