import test from "ava";
import * as core from "../../../core/mod.ts";
import { PlaceQueue, type PlaceRequest } from "../../gateway_place_queue.ts";

const artifactId = core.brandId<core.ArtifactId>("llama@1");
const callerId = core.brandId<core.CallerId>("kiosk-router");

function requestOf(change: Partial<PlaceRequest> = {}): PlaceRequest {
  const nowMs = core.monotonicMs();
  return {
    artifactId,
    callerId,
    priority: 5,
    arrivedAtMs: nowMs,
    waitUntilMs: nowMs + 10_000,
    workMs: 10,
    ...change,
  };
}

const never = new AbortController().signal;

test("a burst gets places by priority, then by arrival", async (t) => {
  const queue = new PlaceQueue();
  const order: string[] = [];
  let places = 0;
  const wait = (name: string, change: Partial<PlaceRequest>) =>
    queue.wait(requestOf(change), () => places-- > 0 ? name : undefined, never)
      .then((got) => order.push(String(got)));
  const waits = [
    wait("late low", { priority: 1, arrivedAtMs: 2 }),
    wait("early low", { priority: 1, arrivedAtMs: 1 }),
    wait("high", { priority: 9, arrivedAtMs: 3 }),
  ];
  t.is(queue.size, 3);
  t.is(queue.workAheadMs({ artifactId, callerId, priority: 5 }), 10);
  t.is(queue.workAheadMs({ artifactId, callerId, priority: 1 }), 30);
  for (let n = 0; n < 3; n++) {
    places = 1;
    queue.wake();
    await Promise.resolve();
  }
  await Promise.all(waits);
  t.deepEqual(order, ["high", "early low", "late low"]);
  t.is(queue.size, 0);
});

test("a request leaves the queue when its time is over or its caller leaves", async (t) => {
  const queue = new PlaceQueue();
  const caller = new AbortController();
  const nothing = () => undefined;
  const waitUntilMs = core.monotonicMs() + 50;
  const late = queue.wait(requestOf({ waitUntilMs }), nothing, never);
  const left = queue.wait(requestOf(), nothing, caller.signal);
  t.is(queue.size, 2);
  t.is(await late, undefined);
  caller.abort();
  t.is(await left, undefined);
  t.is(queue.size, 0);
  const gone = queue.wait(requestOf(), () => "place", caller.signal);
  t.is(await gone, undefined);
});

// Guards against a caller whose burst takes all places, and gets the requests of
// other callers rejected as too late.
test("callers get places in turn, and a burst is not ahead of other callers", async (t) => {
  const queue = new PlaceQueue();
  const order: string[] = [];
  const [burst, other] = ["burst", "other"].map((id) =>
    core.brandId<core.CallerId>(id)
  );
  let places = 0;
  const wait = (of: core.CallerId, arrivedAtMs: number) =>
    queue.wait(
      requestOf({ callerId: of, arrivedAtMs }),
      () => places-- > 0 ? of : undefined,
      never,
    ).then((got) => order.push(String(got)));
  queue.recordTaken(requestOf({ callerId: burst! }));
  const waits = [1, 2, 3, 4].map((n) => wait(burst!, n));
  t.is(queue.workAheadMs({ artifactId, callerId: other!, priority: 5 }), 0);
  t.is(queue.workAheadMs({ artifactId, callerId: burst!, priority: 5 }), 40);
  waits.push(wait(other!, 5), wait(other!, 6));
  for (let n = 0; n < 6; n++) {
    places = 1;
    queue.wake();
    await Promise.resolve();
  }
  await Promise.all(waits);
  t.deepEqual(order.slice(0, 4), ["other", "burst", "other", "burst"]);
  t.is(queue.size, 0);
});
