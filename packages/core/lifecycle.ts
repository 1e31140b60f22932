/** Resource cleanup: whoever opens a resource registers how to release it. */

/** Releases one resource; call it at most once. */
export type Cleanup = () => void | Promise<void>;

/**
 * Merges cleanups into one that runs them in reverse order.
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

/** Runs registered cleanups exactly once, in reverse order of registration. */
export class Lifecycle {
  readonly #cleanups: Cleanup[] = [];
  readonly #controller = new AbortController();
  #closing: Promise<void> | undefined;

  /** Aborts as soon as closing starts, before the first cleanup runs. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /**
   * Registers a cleanup that runs on close.
   *
   * @example
   * ```ts
   * lifecycle.addCleanup(() => pool.close());
   * ```
   */
  addCleanup(cleanup: Cleanup): void {
    this.#cleanups.push(cleanup);
  }

  /**
   * Runs every cleanup, even if one throws; a second call returns the same
   * promise.
   *
   * @throws AggregateError with the errors of all cleanups that failed.
   */
  close(): Promise<void> {
    this.#closing ??= this.#run();
    return this.#closing;
  }

  async #run(): Promise<void> {
    this.#controller.abort();
    const errors: unknown[] = [];
    for (const cleanup of this.#cleanups.reverse()) {
      try {
        await cleanup();
      } catch (thrown) {
        errors.push(thrown);
      }
    }
    if (errors.length > 0) throw new AggregateError(errors, "Cleanup failed");
  }
}
