/** Ownership and clean-up: whoever opens something registers how it ends. */

/** Ends one owned thing; safe to call once. */
export type Cleanup = () => void | Promise<void>;

/**
 * Merges clean-ups into one that runs them last to first.
 *
 * @example
 * ```ts
 * const cleanup = core.mergeCleanups(registerPeers(app), registerTable(app));
 * ```
 */
export function mergeCleanups(...cleanups: Cleanup[]): Cleanup {
  return async () => {
    for (const cleanup of [...cleanups].reverse()) await cleanup();
  };
}

/** Owns clean-ups and runs each exactly once, last registered first. */
export class Lifecycle {
  readonly #cleanups: Cleanup[] = [];
  readonly #controller = new AbortController();
  #closing: Promise<void> | undefined;

  /** Aborted as soon as closing begins. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /**
   * Takes ownership of a clean-up.
   *
   * @example
   * ```ts
   * lifecycle.addCleanup(() => pool.close());
   * ```
   */
  addCleanup(cleanup: Cleanup): void {
    this.#cleanups.push(cleanup);
  }

  /** Runs every clean-up; a second call waits for the first. */
  close(): Promise<void> {
    this.#closing ??= this.#run();
    return this.#closing;
  }

  async #run(): Promise<void> {
    this.#controller.abort();
    const faults: unknown[] = [];
    for (const cleanup of this.#cleanups.reverse()) {
      try {
        await cleanup();
      } catch (thrown) {
        faults.push(thrown);
      }
    }
    if (faults.length > 0) throw new AggregateError(faults, "Clean-up failed");
  }
}
