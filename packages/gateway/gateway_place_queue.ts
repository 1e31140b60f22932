/**
 * Requests that wait for a place on an engine. Pattern of load: a burst that
 * the engines cannot hold at once, but can serve before its deadlines.
 */
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import * as fairness from "../fairness/mod.ts";

/** A request that waits for a place. */
export interface PlaceRequest {
  readonly artifactId: core.ArtifactId;
  /** Its caller, which shares the places with the others. */
  readonly callerId: core.CallerId;
  /** Priority of the row; a higher one goes first. */
  readonly priority: number;
  /** Time of the monotonic clock, as all times here. */
  readonly arrivedAtMs: number;
  /** Time after which it is too late to be sent. */
  readonly waitUntilMs: number;
  /** Time until the engines are free for the next request. */
  readonly workMs: number;
}

/**
 * Gives places to waiting requests by priority, then fairly between callers,
 * then by arrival.
 */
export class PlaceQueue {
  readonly #queue: dispatch.RequestQueue;
  readonly #order: fairness.TeamOrder;

  constructor(order = new fairness.TeamOrder()) {
    this.#order = order;
    this.#queue = new dispatch.RequestQueue(order);
  }

  get size(): number {
    return this.#queue.size;
  }

  /** Time that the requests take which go before one that arrives now. */
  workAheadMs(
    request: Pick<PlaceRequest, "artifactId" | "callerId" | "priority">,
  ): number {
    return this.#queue.ahead(placeOf(request)).workMs;
  }

  /** Records that a request got a place without a wait. */
  recordTaken(request: PlaceRequest): void {
    this.#order.recordGrant(toOrdered(request));
  }

  /** Records that a request was not run at the place that it got. */
  recordNotRun(request: PlaceRequest): void {
    this.#order.correctGrant(toOrdered(request), 0);
  }

  /** Tries to find a place for each waiting request. */
  wake(): void {
    this.#queue.trySelectAll(core.monotonicMs());
  }

  /**
   * Waits until a place is found.
   *
   * @param tryTake takes a place if there is one; called in the order of the
   * queue.
   * @returns undefined if the time is over or the signal aborts.
   * @example
   * ```ts
   * const view = await queue.wait(request, () => takePlace(), signal);
   * ```
   */
  wait<T>(
    request: PlaceRequest,
    tryTake: () => T | undefined,
    signal: AbortSignal,
  ): Promise<T | undefined> {
    const { waitUntilMs } = request;
    const place = this.#queue.wait<T | undefined>(
      toOrdered(request),
      { trySelect: tryTake, waitUntilMs, signal, giveUp: () => undefined },
    );
    this.wake();
    return place;
  }
}

function placeOf(
  { artifactId, callerId, priority }: Pick<
    PlaceRequest,
    "artifactId" | "callerId" | "priority"
  >,
): fairness.QueuePlace {
  return {
    priority: -priority,
    modelKey: artifactId,
    team: core.brandId<core.TeamName>(callerId),
  };
}

function toOrdered(request: PlaceRequest): fairness.OrderedRequest {
  const { arrivedAtMs, waitUntilMs, workMs } = request;
  return { ...placeOf(request), arrivedAtMs, targetAtMs: waitUntilMs, workMs };
}
