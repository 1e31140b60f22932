/**
 * Notices that the process was suspended or held up. Whatever it received
 * before may be outdated then, also what waits in its connections.
 */
import type { Cleanup } from "./lifecycle.ts";
import type { Logger } from "./log.ts";
import { monotonicMs } from "./clock.ts";

/** Interval at which the clocks are read. */
const TICK_MS = 100;
/** Time between two readings, or difference of the clocks, of a suspension. */
const HELD_UP_MS = 500;
/** What waited in the connections of the process is read in this time. */
const DRAINED_AFTER_MS = 100;

/** The clocks of a machine, of which the monotonic one may stand still. */
export interface Clocks {
  readonly monotonicMs: () => number;
  readonly wallMs: () => number;
}

const SYSTEM_CLOCKS: Clocks = { monotonicMs, wallMs: Date.now };

/**
 * Compares the monotonic clock with the wall clock. A step of the wall clock
 * counts as a suspension too.
 */
export class SuspensionWatch {
  readonly #logger: Logger;
  readonly #clocks: Clocks;
  #monotonicMs: number;
  #wallMs: number;
  #resumedAtMs = -Infinity;

  constructor(logger: Logger, clocks: Clocks = SYSTEM_CLOCKS) {
    this.#logger = logger;
    this.#clocks = clocks;
    this.#monotonicMs = clocks.monotonicMs();
    this.#wallMs = clocks.wallMs();
  }

  /** Starts reading the clocks; the returned cleanup stops it. */
  start(): Cleanup {
    const timer = setInterval(() => this.read(), TICK_MS);
    timer.unref();
    return () => clearInterval(timer);
  }

  /**
   * Time of the monotonic clock from which on what the process hears is recent;
   * as of the last reading.
   */
  get resumedAtMs(): number {
    return this.#resumedAtMs;
  }

  /**
   * Reads the clocks, and notes whether the process was suspended since the
   * last reading.
   *
   * @returns the time of the monotonic clock.
   * @example
   * ```ts
   * const nowMs = suspension.read();
   * const isRecent = heardAtMs > suspension.resumedAtMs;
   * ```
   */
  read(): number {
    const nowMs = this.#clocks.monotonicMs();
    const wallMs = this.#clocks.wallMs();
    const elapsedMs = nowMs - this.#monotonicMs;
    const differenceMs = Math.abs(wallMs - this.#wallMs - elapsedMs);
    this.#monotonicMs = nowMs;
    this.#wallMs = wallMs;
    if (elapsedMs > HELD_UP_MS || differenceMs > HELD_UP_MS) {
      this.#resumedAtMs = nowMs + DRAINED_AFTER_MS;
      this.#logger.warn("held_up", {
        elapsedMs: Math.round(elapsedMs),
        clockDifferenceMs: Math.round(differenceMs),
      });
    }
    return nowMs;
  }
}
