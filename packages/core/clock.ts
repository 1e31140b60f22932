/**
 * Monotonic time, sleeping and deadlines. Decisions use the monotonic clock;
 * the wall clock is for records only.
 */
import { performance } from "node:perf_hooks";

/** Reads the monotonic clock, in milliseconds. */
export function monotonicMs(): number {
  return performance.now();
}

/**
 * Sleeps until the time is over or the signal aborts; never throws.
 *
 * @returns true if the full duration passed, false if it was aborted.
 * @example
 * ```ts
 * while (await core.sleep(500, signal)) await poll();
 * ```
 */
export function sleep(
  durationMs: number,
  signal?: AbortSignal,
): Promise<boolean> {
  if (signal?.aborted) return Promise.resolve(false);
  return new Promise((resolve) => {
    const onAbort = () => {
      clearTimeout(timer);
      resolve(false);
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener("abort", onAbort);
      resolve(true);
    }, durationMs);
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}

/**
 * Waits until the event loop has polled once more, so that what the kernel has
 * received by now, such as a closed connection, has been handled.
 *
 * @example
 * ```ts
 * await core.nextPoll();
 * if (signal.aborted) return;
 * ```
 */
export function nextPoll(): Promise<void> {
  // The first callback runs before the next poll, the second one after it.
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}

/**
 * A wait that another task can end early. A wake-up with nobody waiting is kept
 * for the next wait, so that none is lost; several count as one.
 */
export class WakeSignal {
  #endWait: (() => void) | undefined;
  #isWoken = false;

  /** Ends the current wait, or the next one if nobody is waiting. */
  wake(): void {
    this.#isWoken = true;
    this.#endWait?.();
  }

  /**
   * Waits until woken, aborted, or the time is over.
   *
   * @returns whether it was woken.
   */
  async wait(durationMs: number, signal: AbortSignal): Promise<boolean> {
    if (!this.#isWoken && !signal.aborted) await this.#wait(durationMs, signal);
    const wasWoken = this.#isWoken;
    this.#isWoken = false;
    return wasWoken;
  }

  #wait(durationMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        signal.removeEventListener("abort", finish);
        this.#endWait = undefined;
        resolve();
      };
      const timer = setTimeout(finish, durationMs);
      signal.addEventListener("abort", finish, { once: true });
      this.#endWait = finish;
    });
  }
}

/**
 * Adds random jitter of up to 25% either way to a duration.
 *
 * @example
 * ```ts
 * await core.sleep(core.jitterMs(2_000), signal);
 * ```
 */
export function jitterMs(durationMs: number): number {
  return durationMs * (0.75 + Math.random() * 0.5);
}

/** A point in monotonic time after which the result is no longer of use. */
export class Deadline {
  readonly #deadlineAtMs: number;

  constructor(remainingMs: number) {
    this.#deadlineAtMs = monotonicMs() + remainingMs;
  }

  /** Time left in milliseconds; never negative. */
  remainingMs(): number {
    return Math.max(0, this.#deadlineAtMs - monotonicMs());
  }

  isOver(): boolean {
    return this.remainingMs() <= 0;
  }

  /**
   * Waits for a promise until the deadline; what it stands for goes on after it.
   *
   * @param signal ends the wait before the deadline.
   * @returns undefined if the wait ended first.
   * @example
   * ```ts
   * const rows = await deadline.waitFor(service.read(request));
   * ```
   */
  async waitFor<T>(
    promise: Promise<T>,
    signal?: AbortSignal,
  ): Promise<T | undefined> {
    const timerEnd = new AbortController();
    const endTimer = () => timerEnd.abort();
    signal?.addEventListener("abort", endTimer, { once: true });
    if (signal?.aborted) endTimer();
    const timer = sleep(this.remainingMs(), timerEnd.signal);
    try {
      return await Promise.race([promise, timer.then(() => undefined)]);
    } finally {
      signal?.removeEventListener("abort", endTimer);
      endTimer();
    }
  }
}
