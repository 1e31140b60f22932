/** Measures the recent demand of this node's callers for each model. */
import type * as core from "../core/mod.ts";
import { toModelKey } from "./dispatch_model_key.ts";

/** Demand for one model, or for one adapter of it. */
export interface DemandEntry {
  readonly model: core.ModelName;
  readonly adapter?: string;
  /** Request arrivals per second. */
  readonly ratePerS: number;
  /** Queued requests. */
  readonly waiting: number;
  /** Software versions at which some of them have to run. */
  readonly pinnedVersions: readonly core.SoftwareVersion[];
  /** Engine time that arrivals are expected to take, in ms per second. */
  readonly workMsPerS: number;
}

/** Averaging window of arrivals; short, as demand shifts within seconds. */
const WINDOW_MS = 2_000;
/** Entries without queued requests are dropped below this rate. */
const RATE_MIN_PER_S = 0.02;
const MS_PER_S = 1_000;

interface Meter {
  readonly model: core.ModelName;
  readonly adapter?: string;
  ratePerS: number;
  workMsPerS: number;
  waiting: number;
  /** Queued requests that have to run at a software version. */
  readonly pinned: Map<core.SoftwareVersion, number>;
  atMs: number;
}

/** Averages arrivals with exponential decay over the window. */
export class DemandTracker {
  readonly #meters = new Map<string, Meter>();

  /** Records a request and the engine time that it is expected to take. */
  recordArrival(
    model: core.ModelName,
    adapter: string | undefined,
    workMs: number,
    nowMs: number,
  ): void {
    const meter = this.#meter(model, adapter, nowMs);
    this.#decay(meter, nowMs);
    meter.ratePerS += MS_PER_S / WINDOW_MS;
    meter.workMsPerS += workMs * MS_PER_S / WINDOW_MS;
  }

  /**
   * Counts a request as queued until the returned function is called.
   *
   * @param softwareVersion the only one at which it may run, if there is one.
   */
  trackQueued(
    model: core.ModelName,
    adapter: string | undefined,
    nowMs: number,
    softwareVersion?: core.SoftwareVersion,
  ): () => void {
    const meter = this.#meter(model, adapter, nowMs);
    meter.waiting++;
    if (softwareVersion !== undefined) addPinned(meter, softwareVersion, 1);
    return () => {
      meter.waiting--;
      if (softwareVersion !== undefined) addPinned(meter, softwareVersion, -1);
    };
  }

  /** Returns the current demand and drops entries that have decayed. */
  snapshot(nowMs: number): DemandEntry[] {
    const entries: DemandEntry[] = [];
    for (const [key, meter] of this.#meters) {
      this.#decay(meter, nowMs);
      if (meter.waiting === 0 && meter.ratePerS < RATE_MIN_PER_S) {
        this.#meters.delete(key);
        continue;
      }
      const { model, adapter, ratePerS, workMsPerS, waiting, pinned } = meter;
      entries.push({
        model,
        ...(adapter === undefined ? {} : { adapter }),
        ratePerS,
        workMsPerS,
        waiting,
        pinnedVersions: [...pinned.keys()],
      });
    }
    return entries;
  }

  #meter(
    model: core.ModelName,
    adapter: string | undefined,
    nowMs: number,
  ): Meter {
    const key = toModelKey(model, adapter);
    let meter = this.#meters.get(key);
    if (!meter) {
      const empty = {
        ratePerS: 0,
        workMsPerS: 0,
        waiting: 0,
        pinned: new Map(),
        atMs: nowMs,
      };
      meter = adapter === undefined
        ? { model, ...empty }
        : { model, adapter, ...empty };
      this.#meters.set(key, meter);
    }
    return meter;
  }

  #decay(meter: Meter, nowMs: number): void {
    const factor = Math.exp(-(nowMs - meter.atMs) / WINDOW_MS);
    meter.ratePerS *= factor;
    meter.workMsPerS *= factor;
    meter.atMs = nowMs;
  }
}

function addPinned(
  { pinned }: Meter,
  softwareVersion: core.SoftwareVersion,
  change: 1 | -1,
): void {
  const count = (pinned.get(softwareVersion) ?? 0) + change;
  if (count > 0) pinned.set(softwareVersion, count);
  else pinned.delete(softwareVersion);
}
