import test from "ava";
import * as dispatch from "../../mod.ts";

const view: dispatch.QueueView = {
  localAheadMs: 0,
  localTotalMs: 0,
  fleetWaiting: 0,
  workMs: 100,
  replicas: 2,
};

test("callers of a patient route may wait longer than those of others", (t) => {
  const live = { latencyTargetMs: 600, eventGapTargetMs: 300 };
  const patient = { latencyTargetMs: 6_000, eventGapTargetMs: 300 };
  t.is(dispatch.streamPatienceMs(live), 2_400);
  t.is(dispatch.streamPatienceMs(patient), 24_000);
  t.is(dispatch.queueUntilMs(live, 1_000, 16_000), 3_100);
  t.is(dispatch.queueUntilMs(patient, 1_000, 16_000), 15_700);
});

test("one queued request at one of many nodes is no long queue", (t) => {
  const waitMs = dispatch.estimateQueueWaitMs({
    ...view,
    localAheadMs: 100,
    localTotalMs: 100,
    fleetWaiting: 1,
  });
  t.is(waitMs, 50);
});

test("requests that other nodes queue for a model count, wherever they are", (t) => {
  t.is(dispatch.estimateQueueWaitMs({ ...view, fleetWaiting: 60 }), 3_000);
  // The older sum of the fleet may lack this node's own requests.
  const own = { ...view, localAheadMs: 800, localTotalMs: 800 };
  t.is(dispatch.estimateQueueWaitMs(own), 400);
});

test("an urgent request does not wait behind less urgent ones", (t) => {
  const waitMs = dispatch.estimateQueueWaitMs({
    ...view,
    localAheadMs: 100,
    localTotalMs: 400,
    fleetWaiting: 40,
  });
  t.is(waitMs, 500);
});

test("without a replica the wait is for a load, whatever the backlog", (t) => {
  const waiting = { ...view, fleetWaiting: 60, replicas: 0 };
  t.is(dispatch.estimateQueueWaitMs(waiting), 0);
});

test("a rejected caller returns when its place is likely to be free", (t) => {
  t.is(dispatch.retryAfterMs(0, 700), 700);
  t.is(dispatch.retryAfterMs(900, 700), 900);
  t.is(dispatch.retryAfterMs(60_000, undefined), 2_000);
  t.is(dispatch.retryAfterMs(0, 1), 200);
  t.is(dispatch.retryAfterMs(0, undefined), 2_000);
});
