/** Queue of the requests that wait for an engine. */
import * as core from "../core/mod.ts";
import * as fairness from "../fairness/mod.ts";

/** One queued request. */
export interface QueuedRequest extends fairness.OrderedRequest {
  /** The only software version at which it may run, if there is one. */
  readonly softwareVersion?: core.SoftwareVersion;
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

/** Queued requests, which are served in an order that varies. */
export class RequestQueue {
  readonly #queued = new Set<QueuedRequest>();
  readonly #order: fairness.ServiceOrder;

  constructor(order: fairness.ServiceOrder = new fairness.ArrivalOrder()) {
    this.#order = order;
  }

  get size(): number {
    return this.#queued.size;
  }

  /** What is served before a request that arrives now. */
  ahead(place: fairness.QueuePlace): fairness.QueueAhead {
    return this.#order.ahead(this.#queued, place);
  }

  /** Number of queued requests for a model. */
  count(modelKey: string): number {
    let count = 0;
    for (const queued of this.#queued) {
      if (queued.modelKey === modelKey) count++;
    }
    return count;
  }

  /** Engine time of all queued requests for a model. */
  queuedWorkMs(modelKey: string): number {
    let sumMs = 0;
    for (const queued of this.#queued) {
      if (queued.modelKey === modelKey) sumMs += queued.workMs;
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
    this.#order.onQueued(request, core.monotonicMs());
    return () => this.#remove(request);
  }

  #remove(request: QueuedRequest): void {
    if (this.#queued.delete(request)) this.#order.onDequeued(request);
  }

  /**
   * Selects for a request that arrives, unless queued ones are to be served
   * before it. Of each team's, one is tried, as more would take long.
   *
   * @returns undefined if it has to wait.
   * @example
   * ```ts
   * const selected = queue.selectOnArrival(request, trySelect);
   * ```
   */
  selectOnArrival<T>(
    request: fairness.OrderedRequest,
    trySelect: () => T | undefined,
  ): T | undefined {
    if (!this.#order.yieldsTo(request)) {
      const selected = trySelect();
      if (selected !== undefined) this.#order.recordGrant(request);
      return selected;
    }
    let selected: T | undefined;
    let isTried = false;
    const tried = new Set<core.TeamName | undefined>();
    const competing = [...this.#queued].filter((queued) =>
      queued.modelKey === request.modelKey &&
      queued.priority <= request.priority
    );
    this.#order.serve<fairness.OrderedRequest | QueuedRequest>(
      [...competing, request],
      core.monotonicMs(),
      (next) => {
        if (isTried) return false;
        if (next === request) {
          isTried = true;
          selected = trySelect();
          return selected !== undefined;
        }
        if (tried.has(next.team)) return false;
        const isServed = "trySelect" in next && this.#trySelect(next);
        if (!isServed) tried.add(next.team);
        return isServed;
      },
    );
    return selected;
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
    this.#order.serve(
      [...this.#queued],
      nowMs,
      (request) => this.#trySelect(request),
    );
  }

  #trySelect(request: QueuedRequest): boolean {
    // What is selected for one request may have ended the wait of another.
    if (!this.#queued.has(request)) return false;
    const isSelected = request.trySelect();
    if (isSelected) this.#remove(request);
    return isSelected;
  }
}
