/** Shares reads of the store between callers that wait for one at a time. */
import * as core from "../core/mod.ts";

/** Interval between the starts of reads. */
const READ_INTERVAL_MS = 100;

/**
 * A read whose result all callers share. Reads follow each other, as each takes
 * one of few connections.
 */
export class SharedRead {
  readonly #start: () => Promise<boolean>;
  /** The read in progress, and the one that follows it. */
  #current: Promise<boolean> | undefined;
  #next: Promise<boolean> | undefined;
  #startedAtMs = -Infinity;

  /** @param start reads, and returns whether the store could be read. */
  constructor(start: () => Promise<boolean>) {
    this.#start = start;
  }

  /**
   * Reads what is stored from now on or earlier.
   *
   * @returns false if the store could not be read.
   * @example
   * ```ts
   * if (await sharedRead.run()) lookUp();
   * ```
   */
  run(): Promise<boolean> {
    if (!this.#current) return this.#current = this.#read();
    // The one in progress may have passed over rows written since.
    this.#next ??= this.#current.then(() => {
      this.#next = undefined;
      return this.#current ??= this.#read();
    });
    return this.#next;
  }

  async #read(): Promise<boolean> {
    const sinceLastMs = core.monotonicMs() - this.#startedAtMs;
    await core.sleep(Math.max(0, READ_INTERVAL_MS - sinceLastMs));
    this.#startedAtMs = core.monotonicMs();
    try {
      return await this.#start();
    } finally {
      this.#current = undefined;
    }
  }
}
