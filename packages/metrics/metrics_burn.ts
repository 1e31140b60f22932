/**
 * Burn rate of the service-level objective: how fast the error budget is spent,
 * which is the share of requests that may miss their deadline.
 */
import * as core from "../core/mod.ts";

/** Share of requests that must meet their deadline. */
export const OBJECTIVE = 0.95;
const BUCKET_MS = 10_000;

/** Time windows of the report, in milliseconds, by name. */
export const BURN_WINDOWS_MS = {
  "1m": 60_000,
  "5m": 300_000,
  "1h": 3_600_000,
} as const;

/** Name of a time window. */
export type BurnWindow = keyof typeof BURN_WINDOWS_MS;

/** Requests of one subject in one window, and how many missed the deadline. */
export interface BurnCount {
  readonly total: number;
  readonly missed: number;
}

/** What the requests of a line are grouped by. */
export type BurnSubject = "caller" | "model";

/** The counts of one caller or model in every window. */
export interface BurnLine {
  readonly subject: BurnSubject;
  readonly name: string;
  readonly windows: Readonly<Record<BurnWindow, BurnCount>>;
}

interface Bucket {
  index: number;
  total: number;
  missed: number;
}

const BUCKETS_MAX = BURN_WINDOWS_MS["1h"] / BUCKET_MS;

/** Counts met and missed deadlines by caller and by model. */
export class BurnTracker {
  readonly #series = new Map<string, Bucket[]>();

  /** Records whether a finished request met its deadline. */
  record(callerId: string, model: string, met: boolean): void {
    this.#add(`caller|${callerId}`, met);
    this.#add(`model|${model}`, met);
  }

  /** Returns one line for each caller and each model. */
  report(): BurnLine[] {
    return [...this.#series].map(([key, buckets]) => {
      const [subject, ...name] = key.split("|");
      return {
        subject: subject as BurnSubject,
        name: name.join("|"),
        windows: {
          "1m": countWithin(buckets, BURN_WINDOWS_MS["1m"]),
          "5m": countWithin(buckets, BURN_WINDOWS_MS["5m"]),
          "1h": countWithin(buckets, BURN_WINDOWS_MS["1h"]),
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
    const index = currentBucketIndex();
    let last = buckets.at(-1);
    if (last?.index !== index) {
      last = { index, total: 0, missed: 0 };
      buckets.push(last);
      if (buckets.length > BUCKETS_MAX) buckets.shift();
    }
    last.total++;
    if (!met) last.missed++;
  }
}

/**
 * Merges the report lines of several instances, one line per subject.
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
    const existing = merged.get(key);
    merged.set(key, existing ? addLines(existing, line) : line);
  }
  return [...merged.values()];
}

/**
 * Returns how many times faster than allowed the error budget is being spent;
 * above 1 the objective is missed.
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

function currentBucketIndex(): number {
  return Math.floor(core.monotonicMs() / BUCKET_MS);
}

function countWithin(buckets: readonly Bucket[], windowMs: number): BurnCount {
  const newestExpiredIndex = currentBucketIndex() - windowMs / BUCKET_MS;
  let total = 0;
  let missed = 0;
  for (const bucket of buckets) {
    if (bucket.index <= newestExpiredIndex) continue;
    total += bucket.total;
    missed += bucket.missed;
  }
  return { total, missed };
}
