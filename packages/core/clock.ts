/** Time: monotonic for decisions, wall clock for records only. */
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";

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
export async function sleep(
  durationMs: number,
  signal?: AbortSignal,
): Promise<boolean> {
  try {
    await delay(durationMs, undefined, signal ? { signal } : undefined);
    return true;
  } catch {
    return false;
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
