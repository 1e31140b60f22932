/** Measures demand by row on this instance, and sums it over all instances. */
import * as core from "../core/mod.ts";

/** Demand for one row of the table. */
export interface RowDemand {
  readonly rowName: core.RowName;
  readonly ratePerS: number;
  /** Requests that wait for the row to be loaded. */
  readonly waiting: number;
  /** Average time that a request occupies an engine, in milliseconds. */
  readonly serviceMs: number;
  /** Requests that have not ended, including the waiting ones. */
  readonly inProgress: number;
}

interface RowCounters {
  arrivals: number;
  ratePerS: number;
  waiting: number;
  inProgress: number;
  serviceMs: number;
  /** Until then, rejected requests count as one waiting request. */
  rejectedDemandUntilMs: number;
}

const RATE_HALF_LIFE_S = 5;
const RATE_MIN_PER_S = 0.001;
/** Time for which a rejected request counts as demand for its row. */
const REJECTED_DEMAND_TTL_MS = 10_000;

/** Counts the requests of this instance by row. */
export class LocalDemand {
  readonly #rows = new Map<core.RowName, RowCounters>();
  #lastCollectedAtMs = core.monotonicMs();

  /** Counts a request; call the result when it ends. */
  beginRequest(rowName: core.RowName): core.Cleanup {
    const row = this.#row(rowName);
    row.arrivals++;
    row.inProgress++;
    return () => {
      row.inProgress--;
    };
  }

  /** Adds the time that a request occupied an engine to the row's average. */
  recordServiceTime(rowName: core.RowName, durationMs: number): void {
    const row = this.#row(rowName);
    row.serviceMs = row.serviceMs === 0
      ? durationMs
      : row.serviceMs * 0.9 + durationMs * 0.1;
  }

  /** Counts a request that waits for a load; call the result afterwards. */
  beginWait(rowName: core.RowName): () => void {
    const row = this.#row(rowName);
    row.waiting++;
    return () => {
      row.waiting--;
    };
  }

  /** Records a request rejected because its row is not loaded. */
  recordRejection(rowName: core.RowName): void {
    this.#row(rowName).rejectedDemandUntilMs = core.monotonicMs() +
      REJECTED_DEMAND_TTL_MS;
  }

  /** Stops counting rejected requests for a row that can be served now. */
  clearRejections(rowName: core.RowName): void {
    const row = this.#rows.get(rowName);
    if (row) row.rejectedDemandUntilMs = 0;
  }

  /**
   * Returns the current demand and resets the arrival counts. Each call adds
   * the rate since the last one to an average with a half-life of 5 s.
   */
  collect(): RowDemand[] {
    const nowMs = core.monotonicMs();
    const elapsedS = Math.max(0.001, (nowMs - this.#lastCollectedAtMs) / 1_000);
    this.#lastCollectedAtMs = nowMs;
    const decay = 0.5 ** (elapsedS / RATE_HALF_LIFE_S);
    const demands: RowDemand[] = [];
    for (const [rowName, row] of this.#rows) {
      const rate = row.arrivals / elapsedS;
      row.ratePerS = row.ratePerS * decay + rate * (1 - decay);
      row.arrivals = 0;
      const rejected = row.rejectedDemandUntilMs > nowMs ? 1 : 0;
      const waiting = Math.max(row.waiting, rejected);
      const { ratePerS, serviceMs, inProgress } = row;
      const isIdle = waiting === 0 && inProgress === 0;
      if (ratePerS < RATE_MIN_PER_S && isIdle) this.#rows.delete(rowName);
      demands.push({ rowName, ratePerS, waiting, serviceMs, inProgress });
    }
    return demands;
  }

  #row(rowName: core.RowName): RowCounters {
    const known = this.#rows.get(rowName);
    if (known) return known;
    const row = {
      arrivals: 0,
      ratePerS: 0,
      waiting: 0,
      inProgress: 0,
      serviceMs: 0,
      rejectedDemandUntilMs: 0,
    };
    this.#rows.set(rowName, row);
    return row;
  }
}

/** Age at which a report no longer counts, in milliseconds. */
const REPORT_EXPIRY_MS = 60_000;

interface ReceivedReport {
  readonly receivedAtMs: number;
  readonly rows: readonly RowDemand[];
}

/** Sums the demand reports of all instances, on the planning instance. */
export class DemandAggregator {
  readonly #reports = new Map<core.InstanceId, ReceivedReport>();
  readonly #waitingSinceMs = new Map<core.RowName, number>();
  readonly #lastUsedAtMs = new Map<core.RowName, number>();

  /** Replaces an instance's last report. */
  setReport(instanceId: core.InstanceId, rows: readonly RowDemand[]): void {
    const receivedAtMs = core.monotonicMs();
    this.#reports.set(instanceId, { receivedAtMs, rows });
    for (const { rowName, ratePerS, waiting } of rows) {
      if (ratePerS > 0 || waiting > 0) {
        this.#lastUsedAtMs.set(rowName, receivedAtMs);
      }
    }
  }

  /** Returns the demand by row over all instances; drops expired reports. */
  totals(): Map<core.RowName, RowDemand> {
    const oldestMs = core.monotonicMs() - REPORT_EXPIRY_MS;
    const totals = new Map<core.RowName, RowDemand>();
    for (const [instanceId, { receivedAtMs, rows }] of this.#reports) {
      if (receivedAtMs < oldestMs) this.#reports.delete(instanceId);
      else for (const row of rows) addDemand(totals, row);
    }
    this.#updateWaitingSince(totals);
    return totals;
  }

  /** How long requests for a row have been waiting, in milliseconds. */
  waitedMs(rowName: core.RowName): number {
    const sinceMs = this.#waitingSinceMs.get(rowName);
    return sinceMs === undefined ? 0 : core.monotonicMs() - sinceMs;
  }

  /** When a row was last in demand, on this instance's monotonic clock. */
  lastUsedAtMs(rowName: core.RowName): number {
    return this.#lastUsedAtMs.get(rowName) ?? -Infinity;
  }

  #updateWaitingSince(totals: ReadonlyMap<core.RowName, RowDemand>): void {
    const nowMs = core.monotonicMs();
    for (const { rowName, waiting } of totals.values()) {
      if (waiting === 0) this.#waitingSinceMs.delete(rowName);
      else if (!this.#waitingSinceMs.has(rowName)) {
        this.#waitingSinceMs.set(rowName, nowMs);
      }
    }
    for (const rowName of this.#waitingSinceMs.keys()) {
      if (!totals.has(rowName)) this.#waitingSinceMs.delete(rowName);
    }
  }
}

function addDemand(
  totals: Map<core.RowName, RowDemand>,
  row: RowDemand,
): void {
  const sum = totals.get(row.rowName);
  if (sum === undefined) {
    totals.set(row.rowName, row);
    return;
  }
  totals.set(row.rowName, {
    rowName: row.rowName,
    ratePerS: sum.ratePerS + row.ratePerS,
    waiting: sum.waiting + row.waiting,
    serviceMs: Math.max(sum.serviceMs, row.serviceMs),
    inProgress: sum.inProgress + row.inProgress,
  });
}
