/** Origins of streams, and the software versions that may have begun them. */
import test from "ava";
import * as core from "../../../core/mod.ts";
import * as origins from "../../mod.ts";

const service = core.brandId<core.ServiceName>("chat");
const other = core.brandId<core.ServiceName>("notes");
const v1 = core.brandId<core.SoftwareVersion>("v1");
const v2 = core.brandId<core.SoftwareVersion>("v2");
const TTL_MS = 15_000;

function stream(name: string): core.StreamKey {
  return origins.toStreamKey(core.brandId<core.RequestId>(name));
}

function origin(
  name: string,
  softwareVersion = v1,
  ttlMs = TTL_MS,
): origins.ReportedOrigin {
  return { stream: stream(name), service, softwareVersion, ttlMs };
}

test("an origin is found until its stream can no longer be taken up", (t) => {
  const known = new origins.StreamOrigins();
  known.record(origin("a"), 1_000);
  t.like(known.find(stream("a"), 1_000 + TTL_MS - 1), {
    service,
    softwareVersion: v1,
  });
  t.is(known.find(stream("a"), 1_000 + TTL_MS), undefined);
  t.is(known.find(stream("b"), 1_000), undefined);
});

// Guards against a take-up that changes the version of its stream.
test("the first origin of a stream stays", (t) => {
  const known = new origins.StreamOrigins();
  known.record(origin("a", v1), 0);
  known.record(origin("a", v2), 1);
  t.is(known.find(stream("a"), 2)?.softwareVersion, v1);
  t.is(known.since(0, 10, 2).origins.length, 1);
});

test("each origin is passed on once, in batches, with the time that is left", (t) => {
  const known = new origins.StreamOrigins();
  for (let n = 0; n < 5; n++) known.record(origin(`s${n}`), n * 100);
  const first = known.since(0, 3, 1_000);
  t.deepEqual(
    first.origins.map(({ stream }) => stream),
    [stream("s0"), stream("s1"), stream("s2")],
  );
  t.is(first.origins[1]?.ttlMs, TTL_MS + 100 - 1_000);
  const second = known.since(first.position, 3, 1_000);
  t.is(second.origins.length, 2);
  t.is(known.since(second.position, 3, 1_000).origins.length, 0);
});

test("expired origins are dropped, and positions stay valid", (t) => {
  const known = new origins.StreamOrigins();
  for (let n = 0; n < 10_000; n++) known.record(origin(`s${n}`, v1, 100), n);
  t.true(known.size < 1_000);
  const { position } = known;
  known.record(origin("late"), 10_000);
  const batch = known.since(position, 10, 10_000);
  t.deepEqual(batch.origins.map(({ stream }) => stream), [stream("late")]);
  t.true(known.since(0, 100_000, 10_000).origins.length < 1_000);
});

test("the number of origins is bounded; the oldest are dropped", (t) => {
  const known = new origins.StreamOrigins();
  for (let n = 0; n < 60_000; n++) known.record(origin(`s${n}`), 0);
  t.true(known.size <= 50_256);
  t.is(known.find(stream("s0"), 1), undefined);
  t.not(known.find(stream("s59999"), 1), undefined);
});

test("keys of streams are short and differ, whatever the ids", (t) => {
  const ids = ["a", "b", "x".repeat(4_000), "y".repeat(4_000)];
  const keys = ids.map((id) => stream(id));
  t.is(new Set(keys).size, ids.length);
  t.true(keys.every((key) => key.length === 16));
});

const services = new Set([service]);

// Guards against taking the only listed version for that of a stream whose
// engines have just left.
test("a version that has left counts as long as its streams may be taken up", (t) => {
  const versions = new origins.SoftwareVersions();
  versions.add({ service, softwareVersion: v1 });
  versions.add({ service, softwareVersion: v1 });
  t.deepEqual(versions.ofServices(services, 0), [v1]);
  versions.add({ service, softwareVersion: v2 });
  t.deepEqual([...versions.ofServices(services, 0)].sort(), [v1, v2]);
  versions.remove({ service, softwareVersion: v1 }, 1_000);
  versions.remove({ service, softwareVersion: v1 }, 2_000);
  t.deepEqual([...versions.ofServices(services, 121_999)].sort(), [v1, v2]);
  t.deepEqual(versions.ofServices(services, 122_000), [v2]);
});

// Guards against nodes that start when the engines of a version have left.
test("a version with a row counts from when the row is first seen", (t) => {
  const versions = new origins.SoftwareVersions();
  versions.add({ service, softwareVersion: v2 });
  versions.recordRow({ service, softwareVersion: v1 }, 5_000);
  t.deepEqual([...versions.ofServices(services, 5_000)].sort(), [v1, v2]);
  t.deepEqual(versions.outdated(100_000), []);
  // Reading the rows anew does not prolong it.
  versions.forgetRows();
  versions.recordRow({ service, softwareVersion: v1 }, 100_000);
  t.deepEqual(versions.ofServices(services, 125_000), [v2]);
  t.like(versions.outdated(125_000)[0], { softwareVersion: v1 });
  versions.recordNoRow({ service, softwareVersion: v1 });
  t.deepEqual(versions.outdated(125_000), []);
});

test("the versions of several services are told together, each once", (t) => {
  const versions = new origins.SoftwareVersions();
  versions.add({ service, softwareVersion: v1 });
  versions.add({ service: other, softwareVersion: v2 });
  t.deepEqual(versions.ofServices(services, 0), [v1]);
  t.deepEqual(versions.ofServices(new Set([other]), 0), [v2]);
  const both = new Set([service, other]);
  t.deepEqual([...versions.ofServices(both, 0)].sort(), [v1, v2]);
  versions.add({ service: other, softwareVersion: v1 });
  versions.remove({ service: other, softwareVersion: v2 }, 0);
  t.deepEqual(versions.ofServices(both, 130_000), [v1]);
});

test("versions in use get a row, also after a restore of the store", (t) => {
  const versions = new origins.SoftwareVersions();
  versions.add({ service, softwareVersion: v1 });
  t.like(versions.unrecorded(0)[0], { service, softwareVersion: v1 });
  versions.recordRow({ service, softwareVersion: v1 }, 0);
  t.deepEqual(versions.unrecorded(0), []);
  versions.forgetRows();
  t.is(versions.unrecorded(0).length, 1);
});
