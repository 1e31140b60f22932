/** Service-level burn: how fast the allowance for missed deadlines is spent. */
import * as core from "../core/mod.ts";

/** Share of requests that must meet their deadline. */
export const OBJECTIVE = 0.95;
const BUCKET_MS = 10_000;

/** Windows of the report, in milliseconds, by name. */
export const BURN_WINDOWS_MS = {
  "1m": 60_000,
  "5m": 300_000,
  "1h": 3_600_000,
} as const;

/** Name of a window. */
export type BurnWindow = keyof typeof BURN_WINDOWS_MS;

/** Requests of one subject in one window. */
export interface BurnCount {
  readonly total: number;
  readonly missed: number;
}

/** What a burn line is about. */
export type BurnSubject = "caller" | "model";

/** One line of the report. */
export interface BurnLine {
  readonly subject: BurnSubject;
  readonly name: string;
  readonly windows: Readonly<Record<BurnWindow, BurnCount>>;
}

interface Bucket {
  number: number;
  total: number;
  missed: number;
}

const BUCKETS_MAX = BURN_WINDOWS_MS["1h"] / BUCKET_MS;

/** Counts met and missed deadlines by caller and by model. */
export class BurnTracker {
  readonly #series = new Map<string, Bucket[]>();

  /** Notes one request's end. */
  record(callerId: string, model: string, met: boolean): void {
    this.#add(`caller|${callerId}`, met);
    this.#add(`model|${model}`, met);
  }

  /** The counts of every subject in every window. */
  report(): BurnLine[] {
    return [...this.#series].map(([key, buckets]) => {
      const [subject, ...name] = key.split("|");
      return {
        subject: subject as BurnSubject,
        name: name.join("|"),
        windows: {
          "1m": countIn(buckets, BURN_WINDOWS_MS["1m"]),
          "5m": countIn(buckets, BURN_WINDOWS_MS["5m"]),
          "1h": countIn(buckets, BURN_WINDOWS_MS["1h"]),
        },
      };
    });
  }

  #add(key: string, met: boolean): void {
    let buckets = this.#series.get(key);
    if (!buckets) {
      buckets = [];
      this.#series.set(key, buckets);
    }
    const number = bucketNumber();
    let last = buckets.at(-1);
    if (last?.number !== number) {
      last = { number, total: 0, missed: 0 };
      buckets.push(last);
      if (buckets.length > BUCKETS_MAX) buckets.shift();
    }
    last.total++;
    if (!met) last.missed++;
  }
}

/**
 * Adds up the reports of several instances.
 *
 * @example
 * ```ts
 * const lines = metrics.mergeBurn(reports.flat());
 * ```
 */
export function mergeBurn(lines: readonly BurnLine[]): BurnLine[] {
  const merged = new Map<string, BurnLine>();
  for (const line of lines) {
    const key = `${line.subject}|${line.name}`;
    const known = merged.get(key);
    merged.set(key, known ? addLines(known, line) : line);
  }
  return [...merged.values()];
}

/**
 * How many times faster than allowed the allowance is being spent.
 *
 * @example
 * ```ts
 * metrics.burnRate({ total: 100, missed: 10 }); // 2
 * ```
 */
export function burnRate(count: BurnCount): number {
  if (count.total === 0) return 0;
  return count.missed / count.total / (1 - OBJECTIVE);
}

function addLines(a: BurnLine, b: BurnLine): BurnLine {
  const add = (window: BurnWindow): BurnCount => ({
    total: a.windows[window].total + b.windows[window].total,
    missed: a.windows[window].missed + b.windows[window].missed,
  });
  return {
    ...a,
    windows: { "1m": add("1m"), "5m": add("5m"), "1h": add("1h") },
  };
}

function bucketNumber(): number {
  return Math.floor(core.monotonicMs() / BUCKET_MS);
}

function countIn(buckets: readonly Bucket[], windowMs: number): BurnCount {
  const oldest = bucketNumber() - windowMs / BUCKET_MS;
  let total = 0;
  let missed = 0;
  for (const bucket of buckets) {
    if (bucket.number <= oldest) continue;
    total += bucket.total;
    missed += bucket.missed;
  }
  return { total, missed };
}
