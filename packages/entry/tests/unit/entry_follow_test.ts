import { create } from "@bufbuild/protobuf";
import test from "ava";
import { err, ok, type Result } from "neverthrow";
import * as core from "../../../core/mod.ts";
import * as mirror from "../../../mirror/mod.ts";
import * as store from "../../../store/mod.ts";
import * as peers from "../../../peers/mod.ts";
import {
  FollowTask,
  PeerTables,
  StoreHealth,
} from "../../entry_follow_task.ts";
import { NoListener } from "../no_listener.ts";

const silentLogger = new core.Logger({}, () => {});
const WAIT_MS = 300;
const PEER_READ_MS = 60;
const HOLDER = core.brandId<core.InstanceId>("holder");

/** A store with one row, which counts its calls and can be away. */
class CountingStore extends store.ChangeFeedTableService {
  calls = 0;
  isAway = false;
  hasHistory = true;
  version = 1;

  override readTable(): Promise<
    Result<store.TableSnapshot, store.StoreFailure>
  > {
    this.calls++;
    if (this.isAway) return Promise.resolve(this.#away());
    const row = { key: "x", version: this.version, value: this.version };
    const { version } = this;
    return Promise.resolve(ok({ rows: [row], version, generation: 0 }));
  }

  override async follow(
    _table: string,
    afterVersion: number,
    waitMs: number,
  ): Promise<Result<store.TableChanges, store.StoreFailure>> {
    this.calls++;
    if (this.isAway) return this.#away();
    if (!this.hasHistory) return ok({ outcome: "historyGone" });
    const { version } = this;
    const changes = version > afterVersion
      ? [{ key: "x", version, value: version }]
      : [];
    if (changes.length === 0) await core.sleep(waitMs);
    return ok({ outcome: "changes", changes, version });
  }

  override read(): never {
    throw new Error("not used");
  }

  override transact(): never {
    throw new Error("not used");
  }

  #away() {
    return err({ effect: "none" as const, reached: false, detail: "away" });
  }
}

/** Another node with a copy of the table, which counts its reads. */
class CountingPeer extends PeerTables {
  reads = 0;
  isAway = false;
  version = 1;

  override async read(): Promise<peers.TableNews | undefined> {
    this.reads++;
    const { version } = this;
    await core.sleep(PEER_READ_MS);
    if (this.isAway) return undefined;
    const row = { key: "x", version, valueJson: String(version) };
    return create(peers.TableNewsSchema, {
      table: "t",
      position: { generation: 0, version },
      changes: { rows: [row] },
    });
  }
}

async function withTask(
  rank: mirror.ReaderRank,
  run: (
    copy: mirror.TableMirror,
    service: CountingStore,
    task: FollowTask,
    peer: CountingPeer,
  ) => Promise<void>,
): Promise<void> {
  const service = new CountingStore();
  const peer = new CountingPeer();
  const copy = new mirror.TableMirror({
    name: "t",
    listener: new NoListener(),
  });
  const task = new FollowTask(
    { store: service, peers: peer },
    copy,
    new StoreHealth(silentLogger),
    { waitMs: WAIT_MS, coalesceMs: 0 },
    () => rank,
    silentLogger,
  );
  const stop = new AbortController();
  const running = task.run(stop.signal);
  try {
    await run(copy, service, task, peer);
  } finally {
    stop.abort();
    await running;
  }
}

test("a reader follows the store", async (t) => {
  await withTask({ rank: 0, nodes: 78 }, async (copy, service) => {
    await core.sleep(100);
    service.version = 2;
    await core.sleep(WAIT_MS + 200);
    t.is(copy.cursor?.version, 2);
  });
});

test("a node that is no reader leaves the store alone while its copy is confirmed", async (t) => {
  await withTask({ rank: 40, nodes: 78 }, async (copy, service) => {
    await core.sleep(100);
    for (let n = 0; n < 20; n++) {
      copy.confirm(copy.cursor, core.monotonicMs());
      await core.sleep(100);
    }
    t.is(service.calls, 1, "the first read alone");
  });
});

test("when the readers are lost, the next node reads within two seconds", async (t) => {
  await withTask({ rank: 3, nodes: 78 }, async (copy, service) => {
    await core.sleep(100);
    service.version = 2;
    const lostAtMs = core.monotonicMs();
    while (copy.cursor?.version !== 2) await core.sleep(20);
    t.true(core.monotonicMs() - lostAtMs < 2_000);
  });
});

test("a store that is away gets few calls from a node that is no reader", async (t) => {
  await withTask({ rank: 40, nodes: 78 }, async (_copy, service) => {
    await core.sleep(100);
    service.isAway = true;
    await core.sleep(4_000);
    t.true(service.calls <= 3, `${service.calls} calls`);
  });
});

test("a store that lacks its history again and again is not read without a pause", async (t) => {
  await withTask({ rank: 0, nodes: 78 }, async (copy, service) => {
    await core.sleep(50);
    service.hasHistory = false;
    service.version = 2;
    await core.sleep(2 * WAIT_MS);
    t.is(copy.cursor?.version, 2);
    const before = service.calls;
    await core.sleep(1_000);
    const calls = service.calls - before;
    t.true(calls <= 12, String(calls));
    service.hasHistory = true;
    service.version = 3;
    await core.sleep(1_200);
    t.is(copy.cursor?.version, 3);
  });
});

// Guards against a large change that never reaches a node which the store turns
// away, though its neighbours have it.
test("what another node offers is read from it while the store is away", async (t) => {
  await withTask({ rank: 40, nodes: 78 }, async (copy, service, task, peer) => {
    await core.sleep(100);
    service.isAway = true;
    peer.version = 2;
    const position = { generation: 0, version: 2 };
    for (let exchange = 0; exchange < 5; exchange++) {
      task.requestRead({ holder: HOLDER, position });
    }
    await core.sleep(2 * PEER_READ_MS);
    t.is(copy.cursor?.version, 2);
    t.is(peer.reads, 1);
  });
});

test("what another node offers and does not send is read from the store", async (t) => {
  await withTask({ rank: 40, nodes: 78 }, async (copy, service, task, peer) => {
    await core.sleep(100);
    service.version = 2;
    peer.isAway = true;
    const position = { generation: 0, version: 2 };
    task.requestRead({ holder: HOLDER, position });
    await core.sleep(PEER_READ_MS + 100);
    t.is(copy.cursor?.version, 2);
    t.is(service.calls, 2);
  });
});
