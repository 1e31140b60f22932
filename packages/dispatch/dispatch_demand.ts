/** What callers of this node ask of each model, over the last seconds. */
import type * as core from "../core/mod.ts";

/** Demand for one model, or adapter of it. */
export interface DemandEntry {
  readonly model: core.ModelName;
  readonly adapter?: string;
  readonly ratePerS: number;
  readonly waiting: number;
  readonly workMsPerS: number;
}

/** Time over which arrivals are averaged: demand moves within seconds. */
const WINDOW_MS = 2_000;
/** Rate below which a line is dropped. */
const RATE_MIN_PER_S = 0.02;
const MS_PER_S = 1_000;

interface Meter {
  readonly model: core.ModelName;
  readonly adapter?: string;
  ratePerS: number;
  workMsPerS: number;
  waiting: number;
  atMs: number;
}

/** Averages arrivals with a weight that fades over the window. */
export class DemandTracker {
  readonly #meters = new Map<string, Meter>();

  /** Notes a request and the engine time that it is expected to take. */
  recordArrival(
    model: core.ModelName,
    adapter: string | undefined,
    workMs: number,
    nowMs: number,
  ): void {
    const meter = this.#meter(model, adapter, nowMs);
    this.#fade(meter, nowMs);
    meter.ratePerS += MS_PER_S / WINDOW_MS;
    meter.workMsPerS += workMs * MS_PER_S / WINDOW_MS;
  }

  /** Notes that a request waits; the returned function ends that. */
  trackQueued(
    model: core.ModelName,
    adapter: string | undefined,
    nowMs: number,
  ): () => void {
    const meter = this.#meter(model, adapter, nowMs);
    meter.waiting++;
    return () => {
      meter.waiting--;
    };
  }

  /** Demand as of now; lines that have faded out are dropped. */
  snapshot(nowMs: number): DemandEntry[] {
    const lines: DemandEntry[] = [];
    for (const [key, meter] of this.#meters) {
      this.#fade(meter, nowMs);
      if (meter.waiting === 0 && meter.ratePerS < RATE_MIN_PER_S) {
        this.#meters.delete(key);
        continue;
      }
      const { model, adapter, ratePerS, workMsPerS, waiting } = meter;
      lines.push({
        model,
        ...(adapter === undefined ? {} : { adapter }),
        ratePerS,
        workMsPerS,
        waiting,
      });
    }
    return lines;
  }

  #meter(
    model: core.ModelName,
    adapter: string | undefined,
    nowMs: number,
  ): Meter {
    const key = adapter === undefined ? model : `${model}/${adapter}`;
    let meter = this.#meters.get(key);
    if (!meter) {
      const empty = { ratePerS: 0, workMsPerS: 0, waiting: 0, atMs: nowMs };
      meter = adapter === undefined
        ? { model, ...empty }
        : { model, adapter, ...empty };
      this.#meters.set(key, meter);
    }
    return meter;
  }

  #fade(meter: Meter, nowMs: number): void {
    const factor = Math.exp(-(nowMs - meter.atMs) / WINDOW_MS);
    meter.ratePerS *= factor;
    meter.workMsPerS *= factor;
    meter.atMs = nowMs;
  }
}
