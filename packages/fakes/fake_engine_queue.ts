/** Batch slots of a fake engine, assigned by priority, then by arrival. */

interface QueuedRequest {
  readonly priority: number;
  readonly sequence: number;
  readonly start: () => void;
}

/** Limits the running requests to the number of slots and queues the rest. */
export class FakeEngineQueue {
  runningCount = 0;
  readonly #slots: number;
  readonly #queued: QueuedRequest[] = [];
  #sequence = 0;

  constructor(slots: number) {
    this.#slots = slots;
  }

  /** Number of requests that wait for a slot. */
  get queuedCount(): number {
    return this.#queued.length;
  }

  /** Waits for a slot; returns the function that releases it. */
  async acquireSlot(priority: number): Promise<() => void> {
    const sequence = this.#sequence++;
    if (this.runningCount >= this.#slots) {
      await new Promise<void>((start) => {
        this.#queued.push({ priority, sequence, start });
        this.#queued.sort((a, b) =>
          b.priority - a.priority || a.sequence - b.sequence
        );
      });
    }
    this.runningCount++;
    return () => {
      this.runningCount--;
      this.#queued.shift()?.start();
    };
  }
}
