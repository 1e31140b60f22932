/** Tells whether a body that is being read arrives fast enough. */

/**
 * Slowest body that is waited for. The narrowest machine has 7 Mbit/s, which is
 * 1.7 kB/s for each of 500 bodies at once, and a window is longer than TCP
 * needs to repeat what was lost twice.
 */
const BYTES_PER_S_MIN = 1_024;
const WINDOW_MS = 5_000;
const MS_PER_S = 1_000;

/** Measures the progress of one body over windows of 5 s. */
export class BodyProgress {
  #windowStartMs: number;
  #windowBytes = 0;

  constructor(nowMs: number) {
    this.#windowStartMs = nowMs;
  }

  /** Time until the current window ends and is to be checked. */
  remainingMs(nowMs: number): number {
    return this.#windowStartMs + WINDOW_MS - nowMs;
  }

  /** Time since the current window started, in which these bytes arrived. */
  get windowBytes(): number {
    return this.#windowBytes;
  }

  add(bytes: number): void {
    this.#windowBytes += bytes;
  }

  /**
   * Whether enough arrived in the window that has ended; starts the next one.
   *
   * @example
   * ```ts
   * progress.add(chunk.length);
   * if (!progress.isFastEnough(core.monotonicMs())) reject();
   * ```
   */
  isFastEnough(nowMs: number): boolean {
    const bytesMin = BYTES_PER_S_MIN * WINDOW_MS / MS_PER_S;
    const isEnough = this.#windowBytes >= bytesMin;
    this.#windowStartMs = nowMs;
    this.#windowBytes = 0;
    return isEnough;
  }
}
