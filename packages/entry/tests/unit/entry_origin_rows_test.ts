/** Rows of software versions and of the origins of streams in progress. */
import test, { type ExecutionContext } from "ava";
import * as core from "../../../core/mod.ts";
import * as origins from "../../../origins/mod.ts";
import * as testing from "../../../testing/mod.ts";
import { OriginExchange } from "../../entry_origins.ts";
import {
  OriginReader,
  OriginRowsTask,
  type OriginRowTimes,
} from "../../entry_origin_rows.ts";
import { EntryState } from "../../entry_state.ts";
import { makeEntrySettings } from "../entry_settings.ts";
import { MemoryTable } from "../memory_table.ts";
import {
  makeStreamConfig,
  OTHER_STREAM_SERVICE,
  PLAIN_SERVICE,
  STREAM_SERVICE,
} from "../stream_config.ts";

const ORIGIN_TABLE = "carawaywind-origins";
const NODE_TABLE = "carawaywind";
const service = STREAM_SERVICE;
const v1 = core.brandId<core.SoftwareVersion>("v1");
const v2 = core.brandId<core.SoftwareVersion>("v2");
const TTL_MS = 15_000;

interface OriginGroup {
  readonly softwareVersion: string;
  readonly streams: readonly string[];
}

function stream(name: string): core.StreamKey {
  return origins.toStreamKey(core.brandId<core.RequestId>(name));
}

/** A node that writes the rows while it is the root. */
class RowsNode {
  readonly state: EntryState;
  readonly table: MemoryTable;
  readonly reader: OriginReader;
  isRoot: boolean;
  readonly #stop = new AbortController();
  #run: Promise<void> | undefined;

  constructor(
    name: string,
    table: MemoryTable,
    { isRoot = true, versions = [v1, v2] } = {},
  ) {
    this.table = table;
    this.isRoot = isRoot;
    this.state = new EntryState(
      makeEntrySettings(name),
      new core.Logger({}, () => {}),
    );
    this.state.hasReadMembers = true;
    this.state.applyConfig(makeStreamConfig());
    for (const softwareVersion of versions) {
      this.state.softwareVersions.add({ service, softwareVersion });
    }
    this.reader = new OriginReader(this.state, table);
  }

  start(times?: OriginRowTimes): this {
    const task = new OriginRowsTask(
      this.state,
      this.table,
      this.reader,
      () => this.isRoot,
      times,
    );
    this.#run = task.run(this.#stop.signal);
    return this;
  }

  begin(name: string, softwareVersion = v1, ttlMs = TTL_MS): void {
    this.state.origins.record(
      { stream: stream(name), service, softwareVersion, ttlMs },
      core.monotonicMs(),
    );
  }

  versionOf(name: string): core.SoftwareVersion | undefined {
    const nowMs = core.monotonicMs();
    return this.state.origins.find(stream(name), nowMs)?.softwareVersion;
  }

  /** Ends the task, as the end of the process does. */
  async stop(): Promise<void> {
    this.#stop.abort();
    await this.#run;
  }
}

/** The streams in all rows of origins, in any order, repeated ones included. */
function storedStreams({ rows }: MemoryTable): string[] {
  return [...rows].filter(([key]) => key.startsWith(`${ORIGIN_TABLE}/`))
    .flatMap(([, value]) =>
      (value as unknown as { groups: OriginGroup[] }).groups
        .flatMap(({ streams }) => streams)
    );
}

async function waitUntilStored(
  table: MemoryTable,
  name: string,
): Promise<void> {
  await testing.waitUntil(
    `${name} is stored`,
    () => storedStreams(table).includes(stream(name)),
    3_000,
  );
}

async function withNodes(
  nodes: readonly RowsNode[],
  run: () => Promise<unknown>,
  times?: OriginRowTimes,
): Promise<void> {
  for (const node of nodes) node.start(times);
  try {
    await run();
  } finally {
    for (const node of nodes) await node.stop();
  }
}

test("a node that starts anew reads the origins that were written", async (t) => {
  const table = new MemoryTable();
  const root = new RowsNode("n1", table);
  root.begin("a", v1);
  root.begin("b", v2);
  await withNodes([root], () => waitUntilStored(table, "b"));
  const restarted = new RowsNode("n1", table, { isRoot: false });
  t.true(await restarted.reader.read());
  t.deepEqual(["a", "b", "c"].map((name) => restarted.versionOf(name)), [
    v1,
    v2,
    undefined,
  ]);
});

test("a row is written again for at most a second, and holds a limited number", async (t) => {
  const table = new MemoryTable();
  const root = new RowsNode("n1", table);
  const written = () => table.keysOf(ORIGIN_TABLE).length;
  await withNodes([root], async () => {
    root.begin("a");
    await waitUntilStored(table, "a");
    root.begin("b");
    await waitUntilStored(table, "b");
    t.is(written(), 1);
    await core.sleep(1_000);
    root.begin("c");
    await waitUntilStored(table, "c");
    t.is(written(), 2);
    for (let n = 0; n < 2_500; n++) root.begin(`s${n}`);
    await waitUntilStored(table, "s2499");
  });
  t.is(storedStreams(table).length, 2_503);
  for (const writes of table.transactions) {
    for (const { value } of writes) {
      t.true(JSON.stringify(value).length * 4 / 3 < 65_536);
    }
  }
});

test("with a single version nothing but its own row is written", async (t) => {
  const table = new MemoryTable();
  const root = new RowsNode("n1", table, { versions: [v1] });
  root.begin("a");
  await withNodes([root], () => core.sleep(400));
  t.deepEqual([...table.rows.keys()], [`${NODE_TABLE}/software/chat/v1`]);
  t.is(table.transactions.length, 1);
});

// Guards against streams whose route leads to another service once all nodes
// were killed.
test("origins are written while services to which a route may lead differ in version", async (t) => {
  const table = new MemoryTable();
  const root = new RowsNode("n1", table, { versions: [v1] });
  const { softwareVersions } = root.state;
  softwareVersions.add({ service: PLAIN_SERVICE, softwareVersion: v2 });
  root.begin("a");
  await withNodes([root], async () => {
    await core.sleep(250);
    t.deepEqual(storedStreams(table), []);
    const version = { service: OTHER_STREAM_SERVICE, softwareVersion: v2 };
    softwareVersions.add(version);
    await waitUntilStored(table, "a");
  });
});

test("origins from before a second version are written once it is seen", async (t) => {
  const table = new MemoryTable();
  const root = new RowsNode("n1", table, { versions: [v1] });
  root.begin("a");
  await withNodes([root], async () => {
    await core.sleep(250);
    t.is(table.keysOf(ORIGIN_TABLE).length, 0);
    root.state.softwareVersions.add({ service, softwareVersion: v2 });
    await waitUntilStored(table, "a");
  });
});

test("origins are written again after the store was restored", async (t) => {
  const table = new MemoryTable();
  const root = new RowsNode("n1", table);
  root.begin("a");
  await withNodes([root], async () => {
    await waitUntilStored(table, "a");
    table.rows.clear();
    table.currentGeneration++;
    await waitUntilStored(table, "a");
  });
  t.pass();
});

test("a node that is not the root writes nothing", async (t) => {
  const table = new MemoryTable();
  const node = new RowsNode("n1", table, { isRoot: false });
  node.begin("a");
  await withNodes([node], () => core.sleep(300));
  t.is(table.rows.size, 0);
});

test("writes that are refused are made up for later", async (t) => {
  const table = new MemoryTable();
  table.refusesWrites = true;
  const root = new RowsNode("n1", table);
  root.begin("a");
  await withNodes([root], async () => {
    await core.sleep(300);
    t.is(table.rows.size, 0);
    root.begin("b");
    table.refusesWrites = false;
    await waitUntilStored(table, "b");
  });
  t.deepEqual(storedStreams(table).sort(), [stream("a"), stream("b")].sort());
});

/** The first message to a parent that has nothing yet. */
function sentToParent(node: RowsNode) {
  return new OriginExchange(node.state).forParent("p", core.monotonicMs())
    .origins;
}

// Guards against nodes that each send the whole table to the root, after they
// have read it for one stream.
test("origins that a node read from the store are not sent to its parent", async (t) => {
  const table = new MemoryTable();
  const root = new RowsNode("n1", table);
  root.begin("a");
  await withNodes([root], () => waitUntilStored(table, "a"));
  const other = new RowsNode("n2", table, { isRoot: false });
  other.begin("b");
  t.true(await other.reader.read());
  t.deepEqual(sentToParent(other).map(({ stream }) => stream), [stream("b")]);
});

async function checkAdopted(
  t: ExecutionContext,
  next: RowsNode,
): Promise<void> {
  await withNodes([next], async () => {
    next.begin("late");
    await waitUntilStored(next.table, "late");
    await core.sleep(250);
  });
  t.is(next.versionOf("a"), v1);
  const stored = storedStreams(next.table);
  t.deepEqual(stored.filter((key) => key === stream("a")).length, 1);
}

// Guards against rows that each new root writes once more, from one root to the
// next, long after their streams have ended.
test("a new root knows the origins of the one before, and does not write them again", async (t) => {
  const table = new MemoryTable();
  const first = new RowsNode("n1", table);
  first.begin("a");
  await withNodes([first], () => waitUntilStored(table, "a"));
  await checkAdopted(t, new RowsNode("n2", table));
});

// Guards against origins that a new root leaves out, as it has read them before
// the node reports them whose streams they are.
test("an origin that was read from the store is passed on if a node reports it", async (t) => {
  const table = new MemoryTable();
  const first = new RowsNode("n1", table);
  first.begin("a");
  await withNodes([first], () => waitUntilStored(table, "a"));
  const next = new RowsNode("n2", table);
  t.true(await next.reader.read());
  next.begin("a");
  next.begin("a");
  t.deepEqual(sentToParent(next).map(({ stream }) => stream), [stream("a")]);
});

const SHORT_TIMES: OriginRowTimes = {
  deletionIntervalMs: 100,
  adoptedTtlMs: 600,
};

async function waitUntilDeleted(table: MemoryTable): Promise<void> {
  await testing.waitUntil(
    "all rows of origins are deleted",
    () => table.keysOf(ORIGIN_TABLE).length === 0,
    3_000,
  );
}

test("a row is deleted once none of its streams can be taken up", async (t) => {
  const table = new MemoryTable();
  const root = new RowsNode("n1", table);
  root.begin("a", v1, 200);
  root.begin("b", v1, 1_800);
  const startedAtMs = core.monotonicMs();
  await withNodes([root], async () => {
    await waitUntilStored(table, "b");
    // A row that is open is kept, and so the next one is opened.
    await core.sleep(1_100);
    root.begin("c", v1, 5_000);
    await waitUntilStored(table, "c");
    t.is(table.keysOf(ORIGIN_TABLE).length, 2);
    await testing.waitUntil(
      "the first row is deleted",
      () => table.keysOf(ORIGIN_TABLE).length === 1,
      3_000,
    );
    t.true(core.monotonicMs() - startedAtMs >= 1_800);
  }, SHORT_TIMES);
});

test("a root deletes the rows of the one before, also once it is no longer the root", async (t) => {
  const table = new MemoryTable();
  const first = new RowsNode("n1", table);
  first.begin("a");
  await withNodes([first], () => waitUntilStored(table, "a"));
  const next = new RowsNode("n2", table);
  await withNodes([next], async () => {
    await testing.waitUntil(
      "it has read the rows",
      () => next.versionOf("a") === v1,
      1_000,
    );
    next.isRoot = false;
    t.is(table.keysOf(ORIGIN_TABLE).length, 1);
    await waitUntilDeleted(table);
  }, SHORT_TIMES);
});

// Guards against rows that stay for ever, as their reader's first try failed.
test("a new root that cannot read adopts the rows later, and writes meanwhile", async (t) => {
  const table = new MemoryTable();
  const first = new RowsNode("n1", table);
  first.begin("a");
  await withNodes([first], () => waitUntilStored(table, "a"));
  table.refusesReads = true;
  const next = new RowsNode("n2", table);
  next.begin("b");
  await withNodes([next], async () => {
    await waitUntilStored(table, "b");
    t.is(next.versionOf("a"), undefined);
    table.refusesReads = false;
    await testing.waitUntil(
      "the origin is known",
      () => next.versionOf("a") === v1,
      2_000,
    );
    await testing.waitUntil(
      "the row is deleted",
      () => !storedStreams(table).includes(stream("a")),
      2_000,
    );
  }, SHORT_TIMES);
});

// Guards against one upstream that names an odd version, without whose row no
// other row would be written.
test("a version that no key can hold is left out", async (t) => {
  const table = new MemoryTable();
  const odd = ["x".repeat(300), "\ud800"].map((name) =>
    core.brandId<core.SoftwareVersion>(name)
  );
  const root = new RowsNode("n1", table, { versions: [...odd, v1] });
  root.begin("a");
  await withNodes([root], () => waitUntilStored(table, "a"));
  t.deepEqual(table.keysOf(NODE_TABLE), [`${NODE_TABLE}/software/chat/v1`]);
});
