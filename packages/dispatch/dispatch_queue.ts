/** Requests that wait for an engine, in the order in which they may go. */

/** One waiting request. */
export interface QueuedRequest {
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  /** When its first event is still in time. */
  readonly targetAtMs: number;
  /** What it waits for: a model, or an adapter of it. */
  readonly modelKey: string;
  /** Engine time that it is expected to take. */
  readonly workMs: number;
  /** Tries to place the request; true when it has left the queue. */
  readonly tryPlace: () => boolean;
}

/**
 * Orders by rank, then requests that can still be in time before late ones,
 * then by arrival, so that nothing of one rank starves.
 */
export class RequestQueue {
  readonly #waiting = new Set<QueuedRequest>();

  get size(): number {
    return this.#waiting.size;
  }

  /** Engine time that requests for the same, of this rank or above, take. */
  queuedWorkMs(weights: string, priority: number): number {
    let sumMs = 0;
    for (const request of this.#waiting) {
      if (request.modelKey !== weights || request.priority > priority) continue;
      sumMs += request.workMs;
    }
    return sumMs;
  }

  /** Adds a request; the returned function takes it out. */
  add(request: QueuedRequest): () => void {
    this.#waiting.add(request);
    return () => {
      this.#waiting.delete(request);
    };
  }

  /** Tries to place every waiting request once, in order. */
  tryPlaceAll(nowMs: number): void {
    if (this.#waiting.size === 0) return;
    const order = [...this.#waiting].sort((a, b) => {
      if (a.priority !== b.priority) return a.priority - b.priority;
      const aLate = a.targetAtMs <= nowMs ? 1 : 0;
      const bLate = b.targetAtMs <= nowMs ? 1 : 0;
      return aLate - bLate || a.arrivedAtMs - b.arrivedAtMs;
    });
    for (const request of order) {
      if (request.tryPlace()) this.#waiting.delete(request);
    }
  }
}
