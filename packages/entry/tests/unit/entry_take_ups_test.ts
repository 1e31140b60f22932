/** Decisions on streams that callers take up. */
import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import * as origins from "../../../origins/mod.ts";
import { OriginReader } from "../../entry_origin_rows.ts";
import { EntryState } from "../../entry_state.ts";
import { TakeUpResolver } from "../../entry_take_ups.ts";
import { makeEntrySettings } from "../entry_settings.ts";
import { MemoryTable } from "../memory_table.ts";
import {
  makeStreamConfig,
  OTHER_STREAM_SERVICE,
  PLAIN_SERVICE,
  STREAM_ROUTE,
  STREAM_SERVICE,
} from "../stream_config.ts";

const service = STREAM_SERVICE;
const v1 = core.brandId<core.SoftwareVersion>("v1");
const v2 = core.brandId<core.SoftwareVersion>("v2");
/** Time after which members without contact count as dead. */
const SILENT_MS = 2_600;

function requestId(name: string): core.RequestId {
  return core.brandId<core.RequestId>(name);
}

function takeUpOf(first?: string): fleet.CallerRequest {
  return {
    requestId: requestId("take-up"),
    promptTokens: 1,
    outputTokensMax: 1,
    promptParts: [],
    takenUpStream: {
      lastEventId: "3",
      ...(first === undefined ? {} : { firstRequestId: requestId(first) }),
    },
    forwardedHeaders: {},
  };
}

/** A node whose exchanges and tables a test controls. */
class ResolvingNode {
  readonly state: EntryState;
  readonly table = new MemoryTable();
  readonly resolver: TakeUpResolver;
  /** Whether exchanges tell what the other nodes know. */
  learns = true;
  /** Others with which each exchange brings this node in contact. */
  inContact: number;
  /** What a read of the versions finds; false if the store is away. */
  readVersions: () => boolean = () => true;
  exchanges = 0;
  /** Streams for which an exchange asked. */
  readonly asked = new Set<core.StreamKey>();

  constructor(versions: readonly core.SoftwareVersion[], others = 0) {
    this.state = new EntryState(
      makeEntrySettings("n0"),
      new core.Logger({}, () => {}),
    );
    this.inContact = others;
    this.state.applyConfig(makeStreamConfig());
    for (const softwareVersion of versions) {
      this.state.softwareVersions.add({ service, softwareVersion });
    }
    for (let n = 0; n <= others; n++) {
      this.state.members.setRow(core.brandId<core.InstanceId>(`n${n}`), {
        callerAddress: "127.0.0.1:1",
        peerAddress: "127.0.0.1:1",
        failureDomain: "d",
        incarnation: `in-${n}`,
        isLeaving: false,
      });
    }
    this.resolver = new TakeUpResolver(
      this.state,
      new OriginReader(this.state, this.table),
      {
        wakeExchange: () => this.#exchange(),
        readVersions: () => Promise.resolve(this.readVersions()),
      },
    );
  }

  /** Writes the row of a stream, as the root does. */
  store(name: string, softwareVersion: core.SoftwareVersion): void {
    const streams = [origins.toStreamKey(requestId(name))];
    this.table.rows.set(
      `carawaywind-origins/${name}`,
      { ttlMs: 10_000, groups: [{ service, softwareVersion, streams }] },
    );
  }

  begin(name: string, softwareVersion: core.SoftwareVersion): void {
    this.state.origins.record({
      stream: origins.toStreamKey(requestId(name)),
      service,
      softwareVersion,
      ttlMs: 10_000,
    }, core.monotonicMs());
  }

  /** The version at which a take-up goes on, or why it is rejected. */
  async resolve(first?: string): Promise<string | undefined> {
    const resolved = await this.resolver
      .resolve(takeUpOf(first), STREAM_ROUTE, service);
    return resolved.match(
      (origin) => origin?.softwareVersion,
      ({ reason }) => reason,
    );
  }

  #exchange(): void {
    this.exchanges++;
    const wanted = this.state.wantedStreams.list(core.monotonicMs());
    for (const stream of wanted) this.asked.add(stream);
    if (!this.learns) return;
    this.state.exchangeStartedAtMs = core.monotonicMs();
    for (let n = 1; n <= this.inContact; n++) {
      const node = core.brandId<core.InstanceId>(`n${n}`);
      this.state.members.recordContact(node, 0, true);
    }
  }
}

const UNKNOWN = "origin of the stream: unknown";
const NOT_ASKED = "origin of the stream: notAsked";

test("a request that begins a stream is not looked up", async (t) => {
  const node = new ResolvingNode([v1, v2]);
  const { takenUpStream: _, ...caller } = takeUpOf();
  const resolved = await node.resolver.resolve(caller, STREAM_ROUTE, service);
  t.is(resolved._unsafeUnwrap(), undefined);
  t.is(node.exchanges, 0);
});

test("a stream of this node goes on at its version at once", async (t) => {
  const node = new ResolvingNode([v1, v2]);
  node.begin("a", v2);
  t.is(await node.resolve("a"), v2);
  t.is(node.exchanges + node.table.reads, 0);
});

test("a stream of another node goes on once that is told", async (t) => {
  const node = new ResolvingNode([v1, v2], 1);
  const resolving = node.resolve("a");
  t.deepEqual(node.state.wantedStreams.list(core.monotonicMs()), [
    origins.toStreamKey(requestId("a")),
  ]);
  await core.sleep(60);
  node.begin("a", v2);
  t.is(await resolving, v2);
});

test("a stream of unknown origin goes on if there is a single version", async (t) => {
  const node = new ResolvingNode([v1], 2);
  t.is(await node.resolve("a"), v1);
  t.is(await node.resolve(), v1);
  t.is(node.table.reads, 0);
});

test("a stream of unknown origin is rejected if versions are mixed", async (t) => {
  const node = new ResolvingNode([v1, v2], 2);
  t.is(await node.resolve("a"), UNKNOWN);
  t.is(await node.resolve(), UNKNOWN);
});

test("a node that knows no version rejects a stream of unknown origin", async (t) => {
  const node = new ResolvingNode([], 2);
  t.is(await node.resolve("a"), NOT_ASKED);
});

// Guards against an origin that is taken for unknown as it could not be read.
test("a stream is rejected for now if the store cannot be read", async (t) => {
  const node = new ResolvingNode([v1, v2], 2);
  node.table.refusesReads = true;
  t.is(await node.resolve("a"), NOT_ASKED);
});

test("a lookup ends in time if neither the store nor a node responds", async (t) => {
  const node = new ResolvingNode([v1, v2], 2);
  node.learns = false;
  node.table.readMs = 2_000;
  const startedAtMs = core.monotonicMs();
  t.is(await node.resolve("a"), NOT_ASKED);
  t.true(core.monotonicMs() - startedAtMs < 1_100);
});

// Guards against a node that others left behind: it takes itself for the only
// one, and the version that it knows for the only one.
test("a node without contact to the others and the store infers no version", async (t) => {
  const node = new ResolvingNode([v1], 2);
  node.inContact = 0;
  node.readVersions = () => false;
  await core.sleep(SILENT_MS);
  t.is(node.state.members.alive().length, 1);
  t.is(await node.resolve("a"), NOT_ASKED);
  node.begin("b", v1);
  t.is(await node.resolve("b"), v1);
  // It reaches the store again, which has the versions of all.
  node.readVersions = () => true;
  t.is(await node.resolve("a"), v1);
});

// Guards against a node that was suspended or cut off a moment ago: by its clock
// its contacts and its list of upstreams are current (ORDER).
test("what a node knew before a lookup does not tell the only version", async (t) => {
  const node = new ResolvingNode([v1], 2);
  await node.resolve("a");
  t.is(node.state.members.countInContact(core.monotonicMs() - 500), 3);
  node.inContact = 0;
  node.readVersions = () => false;
  t.is(await node.resolve("b"), NOT_ASKED);
  node.inContact = 1;
  t.is(await node.resolve("b"), v1);
});

// Guards against a minority that was cut off together.
test("without the store, contact with a minority does not tell the only version", async (t) => {
  const node = new ResolvingNode([v1], 3);
  node.inContact = 1;
  node.readVersions = () => false;
  t.is(await node.resolve("a"), NOT_ASKED);
});

// Guards against a node that was out of step while engines of a new version
// joined, and takes the version that it knows for the only one (ORDER).
test("a version that the store tells of during a lookup is not passed over", async (t) => {
  const node = new ResolvingNode([v1], 2);
  node.readVersions = () => {
    node.state.softwareVersions.add({ service, softwareVersion: v2 });
    return true;
  };
  node.store("a", v2);
  t.is(await node.resolve("a"), v2);
  t.is(await node.resolve("b"), UNKNOWN);
});

// Guards against digests that waited in the connection of a node that stood
// still, and are read right after it wakes, before it hears of anything new.
test("contacts that are read as a lookup begins do not tell the only version", async (t) => {
  const node = new ResolvingNode([v1], 2);
  node.readVersions = () => false;
  const resolving = node.resolve("a");
  await core.sleep(30);
  node.inContact = 0;
  t.is(await resolving, NOT_ASKED);
});

// Guards against refusals while the store is away and all nodes are there.
test("without the store, nodes in contact infer the version that all know", async (t) => {
  const node = new ResolvingNode([v1], 2);
  node.readVersions = () => false;
  t.is(await node.resolve("a"), v1);
});

// Guards against a route that leads to another service since the stream began,
// or to several: each has a single version, but not the same one.
test("a stream of unknown origin is rejected if another service may have begun it at another version", async (t) => {
  const node = new ResolvingNode([v1], 2);
  node.state.softwareVersions.add({
    service: OTHER_STREAM_SERVICE,
    softwareVersion: v1,
  });
  t.is(await node.resolve("a"), v1);
  node.state.softwareVersions.add({
    service: OTHER_STREAM_SERVICE,
    softwareVersion: v2,
  });
  t.is(await node.resolve("b"), UNKNOWN);
});

test("versions of services that cannot have begun a stream do not matter", async (t) => {
  const node = new ResolvingNode([v1], 2);
  node.state.softwareVersions.add({
    service: PLAIN_SERVICE,
    softwareVersion: v2,
  });
  t.is(await node.resolve("a"), v1);
  t.is(node.table.reads, 0);
});

// Guards against a lookup that ends before the origin has come from a leaf over
// two levels, each of which exchanges at intervals.
test("in a tree of nodes, a lookup lasts until an origin has passed all levels", async (t) => {
  const node = new ResolvingNode([v1, v2], 40);
  const resolving = node.resolve("a");
  await core.sleep(300);
  node.begin("a", v2);
  t.is(await resolving, v2);
});

test("a stream that no node knows goes on by its row", async (t) => {
  const node = new ResolvingNode([v1, v2], 2);
  node.store("a", v2);
  t.is(await node.resolve("a"), v2);
});

// Guards against a read of all rows for each take-up that a node can answer.
test("the store is read only for streams of which the other nodes do not tell", async (t) => {
  const node = new ResolvingNode([v1, v2], 2);
  const resolving = ["a", "b", "c"].map((name) => node.resolve(name));
  await core.sleep(60);
  for (const name of ["a", "b", "c"]) node.begin(name, v2);
  t.deepEqual(await Promise.all(resolving), [v2, v2, v2]);
  t.is(node.table.reads, 0);
});

// Guards against reads that take all connections to a store that is slow.
test("take-ups at the same time read the store one after the other", async (t) => {
  const node = new ResolvingNode([v1, v2], 2);
  node.table.readMs = 150;
  const resolving: Promise<string | undefined>[] = [];
  for (let n = 0; n < 30; n++) {
    resolving.push(node.resolve(`s${n}`));
    await core.sleep(20);
  }
  const resolved = await Promise.all(resolving);
  t.true(resolved.every((reason) => reason === UNKNOWN));
  t.is(node.table.readsInFlightMax, 1);
});

// Guards against an answer from a read that began before the row was written.
test("a row that is written while the store is read is found by the next read", async (t) => {
  const node = new ResolvingNode([v1, v2]);
  const reader = new OriginReader(node.state, node.table);
  node.table.readMs = 150;
  const first = reader.read();
  await core.sleep(50);
  node.table.rowsRead = new Map();
  node.store("a", v2);
  const second = reader.read();
  t.true(await first);
  t.is(node.state.origins.size, 0);
  node.table.rowsRead = undefined;
  t.true(await second);
  t.is(await node.resolve("a"), v2);
});

// Guards against exchanges without a pause while many streams are taken up.
test("take-ups at the same time share their exchanges with the other nodes", async (t) => {
  const node = new ResolvingNode([v1, v2], 2);
  const startedAtMs = core.monotonicMs();
  const resolving: Promise<string | undefined>[] = [];
  for (let n = 0; n < 60; n++) {
    resolving.push(node.resolve(`s${n}`));
    await core.sleep(7);
  }
  await Promise.all(resolving);
  const tookMs = core.monotonicMs() - startedAtMs;
  t.true(node.exchanges <= 2 + tookMs / 25, `${node.exchanges} exchanges`);
  t.is(node.asked.size, 60);
});

// Guards against a node that was held up, wakes, and takes the only version that
// it knew before for the only one.
test("a node that was held up hears of new versions before it infers one", async (t) => {
  const node = new ResolvingNode([v1], 2);
  node.learns = false;
  const resolving = node.resolve("a");
  await core.sleep(250);
  node.state.softwareVersions.add({ service, softwareVersion: v2 });
  node.learns = true;
  t.is(await resolving, UNKNOWN);
});
