/** Scenario of `policies`: deployments, timeline of events, demand for rows. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as testing from "../testing/mod.ts";

const RANDOM_STEPS = 1_000_000;

/** Sizes and rates of one deployment, modelled on a user's system. */
export interface Deployment {
  readonly name: string;
  readonly engines: number;
  readonly models: number;
  readonly adapters: number;
  /** Models that fit into the memory of one engine. */
  readonly modelsPerEngine: number;
  readonly loadsAtOnceMax: number;
  /** Duration of one model load at full bandwidth, in milliseconds. */
  readonly modelLoadMs: number;
  readonly adapterLoadsAtOnceMax: number;
  readonly attainmentWeight: number;
  readonly requestsPerS: number;
}

/**
 * Deployments to measure. `modelLoadMs` is the number of concurrent loads
 * divided by the loads per second of the deployment.
 */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: "foundation",
    engines: 13,
    models: 30,
    adapters: 90,
    modelsPerEngine: 4,
    loadsAtOnceMax: 3,
    modelLoadMs: 1_500,
    adapterLoadsAtOnceMax: 24,
    attainmentWeight: 0.8,
    requestsPerS: 120,
  },
  {
    name: "batong-lamina",
    engines: 8,
    models: 15,
    adapters: 80,
    modelsPerEngine: 4,
    loadsAtOnceMax: 2,
    modelLoadMs: 1_333,
    adapterLoadsAtOnceMax: 16,
    attainmentWeight: 0.3,
    requestsPerS: 75,
  },
];

/** Times of the scenario's events, in seconds from the start of the run. */
export const TIMELINE_S = {
  measurementStart: 4,
  demandShift: 8,
  engineCrash: 12,
  entryCrash: 15,
  storeOutageStart: 17,
  storeOutageEnd: 20,
  end: 24,
} as const;

/** Returns a random number from 0 up to but excluding 1. */
export type Random = () => number;

/** Creates a generator of random numbers from a seed. */
export function makeRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;
}

/** Creates the table rows of a deployment. */
export function makeRows(
  deployment: Deployment,
): ReturnType<typeof testing.makeRow>[] {
  const { models, adapters } = deployment;
  const change = { weightBytes: 18, deadlineMs: 2_000 };
  return [
    ...Array.from(
      { length: models },
      (_, n) => testing.makeRow(`model-${n}`, change),
    ),
    ...Array.from(
      { length: adapters },
      (_, n) =>
        testing.makeAdapter(`adapter-${n}`, `model-${n % models}`, {
          deadlineMs: 2_000,
        }),
    ),
  ];
}

/** Samples row names with a probability proportional to 1/rank (Zipf's law). */
export class ZipfSampler {
  #names: string[];
  readonly #random: Random;
  readonly #cumulative: number[] = [];

  constructor(names: readonly string[], random: Random) {
    this.#random = random;
    this.#names = shuffle(names, random);
    let sum = 0;
    for (let rank = 1; rank <= names.length; rank++) {
      sum += 1 / rank;
      this.#cumulative.push(sum);
    }
  }

  /** Returns the row of the next request. */
  nextName(): string {
    const total = this.#cumulative.at(-1) ?? 1;
    const point = this.#random() * total;
    const rank = this.#cumulative.findIndex((sum) => sum >= point);
    return this.#names[Math.max(0, rank)] ?? "";
  }

  /**
   * Swaps the popular and the long-tail half of the rows: the demand for
   * long-tail rows rises tenfold, that for popular rows falls as much.
   */
  swapHalves(): void {
    const half = Math.floor(this.#names.length / 2);
    this.#names = [...this.#names.slice(half), ...this.#names.slice(0, half)];
  }
}

function shuffle(names: readonly string[], random: Random): string[] {
  const shuffled = [...names];
  for (let n = shuffled.length - 1; n > 0; n--) {
    const other = Math.floor(random() * (n + 1));
    const displaced = shuffled[n] ?? "";
    shuffled[n] = shuffled[other] ?? "";
    shuffled[other] = displaced;
  }
  return shuffled;
}
