/** Detects that the monotonic clock stood still with the machine. */

/** Difference of monotonic and wall time that shows it. */
const CLOCK_DIFFERENCE_MAX_MS = 500;

/** Compares the two clocks from one call to the next. */
export class SuspensionClock {
  #differenceMs: number | undefined;

  /** Whether the wall clock has run ahead since the last call. */
  hasJumped(monotonicMs: number, wallMs: number): boolean {
    const differenceMs = wallMs - monotonicMs;
    const known = this.#differenceMs ?? differenceMs;
    const hasJumped = differenceMs - known > CLOCK_DIFFERENCE_MAX_MS;
    // Small differences add up to one that is noticed.
    const isReset = hasJumped || differenceMs < known;
    this.#differenceMs = isReset ? differenceMs : known;
    return hasJumped;
  }
}
