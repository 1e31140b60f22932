/** Time: monotonic for decisions, wall clock for records only. */
import { performance } from "node:perf_hooks";

/** Milliseconds on the monotonic clock. */
export function monotonicMs(): number {
  return performance.now();
}

/**
 * Sleeps unless the signal ends it early; never throws.
 *
 * @returns whether the whole time passed.
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
    const wake = () => {
      clearTimeout(timer);
      resolve(false);
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener("abort", wake);
      resolve(true);
    }, durationMs);
    signal?.addEventListener("abort", wake, { once: true });
  });
}

/** Pauses that something else may end early. */
export class WakeSignal {
  #ring: (() => void) | undefined;
  #rung = false;

  /** Ends the pause that is on, or else the next one. */
  wake(): void {
    this.#rung = true;
    this.#ring?.();
  }

  /** Pauses until rung, aborted, or the time is over; says whether rung. */
  async wait(durationMs: number, signal: AbortSignal): Promise<boolean> {
    if (!this.#rung && !signal.aborted) await this.#sleep(durationMs, signal);
    const rung = this.#rung;
    this.#rung = false;
    return rung;
  }

  #sleep(durationMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        signal.removeEventListener("abort", end);
        this.#ring = undefined;
        resolve();
      };
      const timer = setTimeout(end, durationMs);
      signal.addEventListener("abort", end, { once: true });
      this.#ring = end;
    });
  }
}

/**
 * Spreads a duration by up to a quarter either way.
 *
 * @example
 * ```ts
 * await core.sleep(core.jitterMs(2_000), signal);
 * ```
 */
export function jitterMs(durationMs: number): number {
  return durationMs * (0.75 + Math.random() * 0.5);
}

/** A point in monotonic time after which work is of no use. */
export class Deadline {
  readonly #endsAtMs: number;

  constructor(remainingMs: number) {
    this.#endsAtMs = monotonicMs() + remainingMs;
  }

  /** Time left in milliseconds; never negative. */
  remainingMs(): number {
    return Math.max(0, this.#endsAtMs - monotonicMs());
  }

  /** Whether the deadline has passed. */
  isOver(): boolean {
    return this.remainingMs() <= 0;
  }
}
