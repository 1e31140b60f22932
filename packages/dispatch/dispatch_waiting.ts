/**
 * How long a request may wait for an engine, how long it probably will, and
 * when a rejected caller should return. Pattern of load: many nodes, each with
 * few requests, queue for a model that few engines hold or are just loading.
 */
import * as fleet from "../fleet/mod.ts";

/** Patience of callers in multiples of a route's targets, if it is longer. */
const PATIENCE_PER_LATENCY_TARGET = 4;
const PATIENCE_PER_EVENT_GAP = 8;
/** Time kept free before callers leave, so that a first event can arrive. */
const FIRST_EVENT_MARGIN_MS = 300;
/** Bounds of the time after which a rejected caller returns. */
const RETRY_AFTER_MIN_MS = 200;
const RETRY_AFTER_MAX_MS = 2_000;
/**
 * Time after a queued request's patience in which its model is usually loaded:
 * requests of an evicted model end, which takes seconds, before the load.
 */
const USUAL_LOAD_MS = 2_000;

/**
 * Time without an event after which callers abandon a stream of a route.
 *
 * @example
 * ```ts
 * dispatch.streamPatienceMs({ latencyTargetMs: 1_500, eventGapTargetMs: 300 });
 * // 6000
 * ```
 */
export function streamPatienceMs(
  { latencyTargetMs, eventGapTargetMs }: Pick<
    fleet.RouteSpec,
    "latencyTargetMs" | "eventGapTargetMs"
  >,
): number {
  return Math.max(
    fleet.STREAM_PATIENCE_MIN_MS,
    PATIENCE_PER_LATENCY_TARGET * latencyTargetMs,
    PATIENCE_PER_EVENT_GAP * eventGapTargetMs,
  );
}

/**
 * Time until which a request may wait in the queue, on the clock of its times.
 *
 * @example
 * ```ts
 * const untilMs = dispatch.queueUntilMs(request.route, receivedAtMs, deadlineAtMs);
 * ```
 */
export function queueUntilMs(
  route: Pick<fleet.RouteSpec, "latencyTargetMs" | "eventGapTargetMs">,
  receivedAtMs: number,
  deadlineAtMs: number,
): number {
  const leavesAtMs = Math.min(
    receivedAtMs + streamPatienceMs(route),
    deadlineAtMs,
  );
  return leavesAtMs - FIRST_EVENT_MARGIN_MS;
}

/** The queue for one model, as seen by one node. */
export interface QueueView {
  /** Engine time of this node's requests that go first. */
  readonly localAheadMs: number;
  /** Engine time of all of this node's requests for the model. */
  readonly localTotalMs: number;
  /** Largest share of the fleet's requests that go first; 1 if absent. */
  readonly aheadShareMax?: number;
  /** Queued requests of all nodes. */
  readonly fleetWaiting: number;
  /** Engine time that a request for the model takes. */
  readonly workMs: number;
  /** Engines that serve the model. */
  readonly replicas: number;
}

/**
 * Estimates the time until the requests ahead of a new one have started, in ms.
 * Other nodes are assumed to have the same share of requests that go first;
 * this node's own queue says nothing about the length of theirs.
 *
 * @example
 * ```ts
 * const waitMs = dispatch.estimateQueueWaitMs(view);
 * ```
 */
export function estimateQueueWaitMs(
  {
    localAheadMs,
    localTotalMs,
    aheadShareMax = 1,
    fleetWaiting,
    workMs,
    replicas,
  }: QueueView,
): number {
  // Without a replica the wait is for a load, whatever the backlog.
  if (replicas === 0) return 0;
  const localShare = localTotalMs > 0 ? localAheadMs / localTotalMs : 1;
  const aheadShare = Math.min(localShare, aheadShareMax);
  const fleetAheadMs = fleetWaiting * workMs * aheadShare;
  return Math.max(localAheadMs, fleetAheadMs) / replicas;
}

/**
 * When a rejected caller should return: when its place is likely to be free.
 *
 * @param queueWaitMs estimated wait behind the requests ahead.
 * @param readyInMs time until a replica that is being loaded is ready.
 * @example
 * ```ts
 * const retryAfterMs = dispatch.retryAfterMs(queueWaitMs, undefined);
 * ```
 */
export function retryAfterMs(
  queueWaitMs: number,
  readyInMs: number | undefined,
): number {
  const freeInMs = Math.max(queueWaitMs, readyInMs ?? 0);
  const expectedMs = freeInMs > 0 ? freeInMs : USUAL_LOAD_MS;
  return Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, expectedMs));
}
