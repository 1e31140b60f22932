/** A deployment of today, and what happens to it during a run. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as testing from "../testing/mod.ts";

const RANDOM_STEPS = 1_000_000;

/** One user's sizes. */
export interface Deployment {
  readonly name: string;
  readonly engines: number;
  readonly models: number;
  readonly adapters: number;
  /** Models that one engine has room for. */
  readonly modelsPerEngine: number;
  readonly loadsAtOnceMax: number;
  /** One load at full speed, in milliseconds. */
  readonly modelLoadMs: number;
  readonly adapterLoadsAtOnceMax: number;
  readonly attainmentWeight: number;
  readonly requestsPerS: number;
}

/** Loads at once over loads a second give the time of one load. */
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

/** Seconds into the run at which things happen. */
export const TIMELINE_S = {
  measurementStart: 4,
  demandShift: 8,
  engineCrash: 12,
  entryCrash: 15,
  storeOutageStart: 17,
  storeOutageEnd: 20,
  end: 24,
} as const;

/** A seeded source of random numbers from 0 to 1. */
export type Random = () => number;

/** Makes a seeded source. */
export function makeRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;
}

/** The rows of a deployment. */
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

/** Chooses rows, the first ones far more often than the last. */
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

  /** Names the next row to ask for. */
  nextName(): string {
    const total = this.#cumulative.at(-1) ?? 1;
    const point = this.#random() * total;
    const rank = this.#cumulative.findIndex((sum) => sum >= point);
    return this.#names[Math.max(0, rank)] ?? "";
  }

  /** Rows that were rare become tenfold as popular, and the other way. */
  swapHalves(): void {
    const half = Math.floor(this.#names.length / 2);
    this.#names = [...this.#names.slice(half), ...this.#names.slice(0, half)];
  }
}

function shuffle(names: readonly string[], random: Random): string[] {
  const shuffled = [...names];
  for (let n = shuffled.length - 1; n > 0; n--) {
    const other = Math.floor(random() * (n + 1));
    const held = shuffled[n] ?? "";
    shuffled[n] = shuffled[other] ?? "";
    shuffled[other] = held;
  }
  return shuffled;
}
