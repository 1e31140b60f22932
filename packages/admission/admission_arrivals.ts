/** How many sends of other nodes may be under way without an overrun. */

/** Number of places for which the means are computed in advance. */
const PLACES_MAX = 64;
/** Bisection steps; the result is exact to a millionth. */
const STEPS = 40;

/** Probability that more than `places` events of a Poisson process occur. */
function probabilityAbove(places: number, mean: number): number {
  let term = Math.exp(-mean);
  let sum = term;
  for (let n = 1; n <= places; n++) {
    term *= mean / n;
    sum += term;
  }
  return Math.max(0, 1 - sum);
}

/**
 * Largest mean of a Poisson process at which more events than `places` have at
 * most the given probability.
 *
 * @example
 * ```ts
 * safeArrivalsMean(0, 0.001); // 0.001: no place beside this request
 * ```
 */
export function safeArrivalsMean(places: number, risk: number): number {
  let low = 0;
  let high = places + 1;
  for (let step = 0; step < STEPS; step++) {
    const mean = (low + high) / 2;
    if (probabilityAbove(places, mean) > risk) high = mean;
    else low = mean;
  }
  return low;
}

/** Safe means for 0 to `PLACES_MAX` places at one risk. */
export class ArrivalsTable {
  readonly #means: readonly number[];

  constructor(risk: number) {
    this.#means = Array.from(
      { length: PLACES_MAX + 1 },
      (_, places) => safeArrivalsMean(places, risk),
    );
  }

  /** The safe mean for a number of places; 0 below none. */
  safeMean(places: number): number {
    if (places < 0) return 0;
    return this.#means[Math.min(PLACES_MAX, Math.floor(places))]!;
  }
}
