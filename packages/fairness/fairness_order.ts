/** Orders in which the waiting requests of a queue are served. */
import type * as core from "../core/mod.ts";

/** What the order of a queue depends on. */
export interface OrderedRequest {
  /** Priority class; 0 is the most urgent. */
  readonly priority: number;
  /** Whether its caller has the first part of the response already. */
  readonly isContinuation?: boolean;
  /** The team that sent it, if teams are known. */
  readonly team?: core.TeamName;
  readonly arrivedAtMs: number;
  /** Time by which its first event meets the latency target. */
  readonly targetAtMs: number;
  /** `model`, or `model/adapter`: what can run it. */
  readonly modelKey: string;
  /** Engine time that it is expected to take. */
  readonly workMs: number;
}

/** Where in the queue a new request would wait. */
export type QueuePlace = Pick<
  OrderedRequest,
  "priority" | "modelKey" | "team"
>;

/** Queued requests for a model that are served before another one. */
export interface QueueAhead {
  readonly count: number;
  /** Their engine time. */
  readonly workMs: number;
}

/**
 * Decides in which order queued requests are served. A queue reports to it what
 * joins and leaves, and the requests that are served without waiting.
 */
export abstract class ServiceOrder {
  /** A request joined the queue. */
  abstract onQueued(request: OrderedRequest, nowMs: number): void;

  /** A request left the queue, whether it was served or not. */
  abstract onDequeued(request: OrderedRequest): void;

  /** A request was served without having been queued. */
  abstract recordGrant(request: OrderedRequest): void;

  /** Whether a request that arrives now may have to let queued ones pass. */
  abstract yieldsTo(place: QueuePlace): boolean;

  /**
   * Tries to serve each request once, in order.
   *
   * @param tryGrant serves a request if something can run it now.
   */
  abstract serve<Request extends OrderedRequest>(
    queued: readonly Request[],
    nowMs: number,
    tryGrant: (request: Request) => boolean,
  ): void;

  /** Returns what is served before a request that arrives now. */
  abstract ahead(
    queued: Iterable<OrderedRequest>,
    place: QueuePlace,
  ): QueueAhead;

  /**
   * Returns the share of the requests of all nodes for a model that are served
   * before one that arrives now, by what has arrived here.
   */
  abstract aheadShareMax(place: QueuePlace): number;
}

/**
 * Compares by priority, then continuations before new requests, then those that
 * can still meet their latency target before those that cannot, then by arrival.
 *
 * @example
 * ```ts
 * const ordered = [...queued].sort((a, b) => compareRequests(a, b, nowMs));
 * ```
 */
export function compareRequests(
  a: OrderedRequest,
  b: OrderedRequest,
  nowMs: number,
): number {
  if (a.priority !== b.priority) return a.priority - b.priority;
  const aNew = a.isContinuation ? 0 : 1;
  const bNew = b.isContinuation ? 0 : 1;
  if (aNew !== bNew) return aNew - bNew;
  const aLate = a.targetAtMs <= nowMs ? 1 : 0;
  const bLate = b.targetAtMs <= nowMs ? 1 : 0;
  return aLate - bLate || a.arrivedAtMs - b.arrivedAtMs;
}

/** The order without teams, in which no request starves within its priority. */
export class ArrivalOrder extends ServiceOrder {
  override onQueued(_request: OrderedRequest, _nowMs: number): void {}

  override onDequeued(_request: OrderedRequest): void {}

  override recordGrant(_request: OrderedRequest): void {}

  override yieldsTo(_place: QueuePlace): boolean {
    return false;
  }

  override serve<Request extends OrderedRequest>(
    queued: readonly Request[],
    nowMs: number,
    tryGrant: (request: Request) => boolean,
  ): void {
    const ordered = [...queued]
      .sort((a, b) => compareRequests(a, b, nowMs));
    for (const request of ordered) tryGrant(request);
  }

  override ahead(
    queued: Iterable<OrderedRequest>,
    { modelKey, priority }: QueuePlace,
  ): QueueAhead {
    let count = 0;
    let workMs = 0;
    for (const request of queued) {
      if (request.modelKey !== modelKey) continue;
      if (request.priority > priority) continue;
      count++;
      workMs += request.workMs;
    }
    return { count, workMs };
  }

  override aheadShareMax(_place: QueuePlace): number {
    return 1;
  }
}
