import test from "ava";
import * as core from "../../../core/mod.ts";
import { PlaceQueue, type PlaceRequest } from "../../gateway_place_queue.ts";

const artifactId = core.brandId<core.ArtifactId>("llama@1");

function requestOf(change: Partial<PlaceRequest> = {}): PlaceRequest {
  const nowMs = core.monotonicMs();
  return {
    artifactId,
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
  t.is(queue.workAheadMs(artifactId, 5), 10);
  t.is(queue.workAheadMs(artifactId, 1), 30);
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
