/**
 * Requests that wait for a place on an engine. Pattern of load: a burst that
 * the engines cannot hold at once, but can serve before its deadlines.
 */
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";

/** A request that waits for a place. */
export interface PlaceRequest {
  readonly artifactId: core.ArtifactId;
  /** Priority of the row; a higher one goes first. */
  readonly priority: number;
  /** Time of the monotonic clock, as all times here. */
  readonly arrivedAtMs: number;
  /** Time after which it is too late to be sent. */
  readonly waitUntilMs: number;
  /** Time until the engines are free for the next request. */
  readonly workMs: number;
}

/** Gives places to waiting requests by priority, then by arrival. */
export class PlaceQueue {
  readonly #queue = new dispatch.RequestQueue();

  get size(): number {
    return this.#queue.size;
  }

  /** Time that the requests take which go before one of this priority. */
  workAheadMs(artifactId: core.ArtifactId, priority: number): number {
    return this.#queue.queuedWorkMs(artifactId, -priority);
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
    const { artifactId, priority, arrivedAtMs, waitUntilMs, workMs } = request;
    const place = this.#queue.wait<T | undefined>({
      priority: -priority,
      arrivedAtMs,
      targetAtMs: waitUntilMs,
      modelKey: artifactId,
      workMs,
    }, { trySelect: tryTake, waitUntilMs, signal, giveUp: () => undefined });
    this.wake();
    return place;
  }
}
