/** Queue of the requests that wait for an engine. */
import * as core from "../core/mod.ts";

/** One queued request. */
export interface QueuedRequest {
  /** Priority class; 0 is the most urgent. */
  readonly priority: number;
  /** Whether its caller has the first part of the response already. */
  readonly isContinuation?: boolean;
  /** The only software version at which it may run, if there is one. */
  readonly softwareVersion?: core.SoftwareVersion;
  readonly arrivedAtMs: number;
  /** Time by which its first event meets the latency target. */
  readonly targetAtMs: number;
  /** `model`, or `model/adapter`. */
  readonly modelKey: string;
  /** Engine time that it is expected to take. */
  readonly workMs: number;
  /** Tries to select an engine; true if the request leaves the queue. */
  readonly trySelect: () => boolean;
}

/** How a request waits in the queue, and what ends its wait. */
export interface QueueWait<T> {
  /** Selects what the request waits for; undefined if it has to wait on. */
  readonly trySelect: () => T | undefined;
  /** End of the wait, on the monotonic clock. */
  readonly waitUntilMs: number;
  /** Ends the wait early. */
  readonly signal: AbortSignal;
  /** The result if the wait ends; called while the request is still queued. */
  readonly giveUp: () => T;
}

/**
 * Orders requests by priority, then those that continue a response before new
 * ones, then those that can still meet their latency target before those that
 * cannot, then by arrival, so that no request starves within its class.
 */
export class RequestQueue {
  readonly #queued = new Set<QueuedRequest>();

  get size(): number {
    return this.#queued.size;
  }

  /** Number of queued requests for a model at this priority or above. */
  countAhead(modelKey: string, priority: number): number {
    let count = 0;
    for (const queued of this.#queued) {
      if (queued.modelKey === modelKey && queued.priority <= priority) count++;
    }
    return count;
  }

  /** Engine time of queued requests for a model at this priority or above. */
  queuedWorkMs(modelKey: string, priority: number): number {
    let sumMs = 0;
    for (const queued of this.#queued) {
      if (queued.modelKey !== modelKey || queued.priority > priority) continue;
      sumMs += queued.workMs;
    }
    return sumMs;
  }

  /**
   * Engine time of queued requests for a model that go before one that continues
   * a response of a software version: of those that may run at that version, the
   * more urgent ones and other continuations.
   */
  workBeforeContinuationMs(
    modelKey: string,
    priority: number,
    softwareVersion: core.SoftwareVersion,
  ): number {
    let sumMs = 0;
    for (const queued of this.#queued) {
      const mayRun = queued.softwareVersion === undefined ||
        queued.softwareVersion === softwareVersion;
      const isBefore = queued.priority < priority ||
        (queued.priority === priority && queued.isContinuation);
      const counts = queued.modelKey === modelKey && mayRun && isBefore;
      if (counts) sumMs += queued.workMs;
    }
    return sumMs;
  }

  /** Adds a request; the returned function removes it. */
  add(request: QueuedRequest): () => void {
    this.#queued.add(request);
    return () => {
      this.#queued.delete(request);
    };
  }

  /**
   * Queues a request until something is selected for it, or its wait ends.
   *
   * @example
   * ```ts
   * const selected = await queue.wait(request, {
   *   trySelect, waitUntilMs, signal, giveUp: () => rejection,
   * });
   * ```
   */
  wait<T>(
    request: Omit<QueuedRequest, "trySelect">,
    { trySelect, waitUntilMs, signal, giveUp }: QueueWait<T>,
  ): Promise<T> {
    return new Promise((resolve) => {
      const settle = (result: T) => {
        clearTimeout(timer);
        signal.removeEventListener("abort", onEnd);
        dequeue();
        resolve(result);
      };
      const onEnd = () => settle(giveUp());
      const dequeue = this.add({
        ...request,
        trySelect: () => {
          const selected = trySelect();
          if (selected !== undefined) settle(selected);
          return selected !== undefined;
        },
      });
      const timer = setTimeout(onEnd, waitUntilMs - core.monotonicMs());
      signal.addEventListener("abort", onEnd, { once: true });
      if (signal.aborted) onEnd();
    });
  }

  /** Tries once to select an engine for each queued request, in order. */
  trySelectAll(nowMs: number): void {
    if (this.#queued.size === 0) return;
    const ordered = [...this.#queued].sort((a, b) => {
      if (a.priority !== b.priority) return a.priority - b.priority;
      const aNew = a.isContinuation ? 0 : 1;
      const bNew = b.isContinuation ? 0 : 1;
      if (aNew !== bNew) return aNew - bNew;
      const aLate = a.targetAtMs <= nowMs ? 1 : 0;
      const bLate = b.targetAtMs <= nowMs ? 1 : 0;
      return aLate - bLate || a.arrivedAtMs - b.arrivedAtMs;
    });
    for (const request of ordered) {
      if (request.trySelect()) this.#queued.delete(request);
    }
  }
}
