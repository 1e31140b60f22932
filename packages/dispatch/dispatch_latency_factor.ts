/**
 * How much slower an upstream is than estimated. Pattern of load: many nodes
 * before many engines, so that each node sends to an engine too rarely to learn
 * its speed by itself.
 */

const FACTOR_MIN = 0.5;
const FACTOR_MAX = 8;
/** Weight of one sample in the moving average of this node's samples. */
const SAMPLE_WEIGHT = 0.15;
/** Time after which a shared sample counts half; engines slow down in seconds. */
const HALF_LIFE_MS = 3_000;
/** Samples that the expectation of the estimated speed counts for. */
const PRIOR_SAMPLES = 2;
/** Number of samples that is taken for none. */
const SAMPLES_MIN = 0.05;

/** Sum of ratios of measured to estimated time, and how many they are. */
export interface LatencySamples {
  readonly sum: number;
  readonly count: number;
}

const NO_SAMPLES: LatencySamples = { sum: 0, count: 0 };

/** Learns the factor from this node's samples, and those of other nodes. */
export class LatencyFactor {
  #average = 1;
  #own = NO_SAMPLES;
  #ownAtMs = 0;
  /** Those of the other nodes; absent if they are not shared. */
  #peers: LatencySamples | undefined;

  /** The factor by which estimates are multiplied. */
  get value(): number {
    if (!this.#peers) return this.#average;
    const count = PRIOR_SAMPLES + this.#own.count + this.#peers.count;
    return (PRIOR_SAMPLES + this.#own.sum + this.#peers.sum) / count;
  }

  /**
   * By how much steps and prefills take longer than estimated; 1 if only this
   * node's own few samples tell.
   */
  get slowdown(): number {
    return this.#peers ? Math.max(1, this.value) : 1;
  }

  /** Records measured over estimated time, the estimate without the factor. */
  record(ratio: number, nowMs: number): void {
    const bounded = Math.min(FACTOR_MAX, Math.max(FACTOR_MIN, ratio));
    this.#average += (bounded - this.#average) * SAMPLE_WEIGHT;
    const { sum, count } = this.#decayed(nowMs);
    this.#own = { sum: sum + bounded, count: count + 1 };
    this.#ownAtMs = nowMs;
  }

  /** This node's recent samples, for other nodes. */
  samples(nowMs: number): LatencySamples {
    const decayed = this.#decayed(nowMs);
    return decayed.count < SAMPLES_MIN ? NO_SAMPLES : decayed;
  }

  /**
   * Replaces what the other nodes have measured.
   *
   * @param samples undefined if it is not shared: this node's average counts.
   */
  setPeers(samples: LatencySamples | undefined, nowMs: number): void {
    this.#peers = samples;
    this.#own = this.#decayed(nowMs);
    this.#ownAtMs = nowMs;
  }

  #decayed(nowMs: number): LatencySamples {
    const factor = 2 ** ((this.#ownAtMs - nowMs) / HALF_LIFE_MS);
    return { sum: this.#own.sum * factor, count: this.#own.count * factor };
  }
}
