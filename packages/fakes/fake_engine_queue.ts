/** Batch slots of a fake engine, given out by priority. */

interface Waiting {
  readonly priority: number;
  readonly order: number;
  readonly start: () => void;
}

/** Lets as many requests run as there are slots. */
export class FakeEngineQueue {
  running = 0;
  readonly #slots: number;
  readonly #waiting: Waiting[] = [];
  #entered = 0;

  constructor(slots: number) {
    this.#slots = slots;
  }

  /** How many requests wait for a slot. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Waits for a slot and returns the way to give it back. */
  async enter(priority: number): Promise<() => void> {
    const order = this.#entered++;
    if (this.running >= this.#slots) {
      await new Promise<void>((start) => {
        this.#waiting.push({ priority, order, start });
        this.#waiting.sort((a, b) =>
          b.priority - a.priority || a.order - b.order
        );
      });
    }
    this.running++;
    return () => {
      this.running--;
      this.#waiting.shift()?.start();
    };
  }
}
