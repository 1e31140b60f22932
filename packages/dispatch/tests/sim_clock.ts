/** Time and chance of the simulated fleets. */

/** Deterministic random numbers. */
export class SimRandom {
  #state: number;
  constructor(seed: number) {
    this.#state = seed >>> 0;
  }
  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let t = Math.imul(this.#state ^ (this.#state >>> 15), this.#state | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  }
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }
}

/** Events in order of their times: a binary heap. */
export class SimEvents {
  readonly #events: { atMs: number; run: () => void }[] = [];

  add(atMs: number, run: () => void): void {
    const events = this.#events;
    events.push({ atMs, run });
    let child = events.length - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (events[parent]!.atMs <= events[child]!.atMs) break;
      [events[parent], events[child]] = [events[child]!, events[parent]!];
      child = parent;
    }
  }

  /** Removes and returns the earliest event. */
  next(): { atMs: number; run: () => void } | undefined {
    const events = this.#events;
    const first = events[0];
    const last = events.pop();
    if (first === last || last === undefined) return first;
    events[0] = last;
    for (let parent = 0;;) {
      let least = parent;
      for (const child of [2 * parent + 1, 2 * parent + 2]) {
        const isLess = child < events.length &&
          events[child]!.atMs < events[least]!.atMs;
        if (isLess) least = child;
      }
      if (least === parent) return first;
      [events[parent], events[least]] = [events[least]!, events[parent]!];
      parent = least;
    }
  }
}
