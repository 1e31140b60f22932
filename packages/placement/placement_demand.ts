/** What callers ask for: here, and summed over all instances. */
import * as core from "../core/mod.ts";

/** Demand for one row. */
export interface RowDemand {
  readonly rowName: core.RowName;
  readonly ratePerS: number;
  /** Requests that wait for the row to be loaded. */
  readonly waiting: number;
  /** Average time that a request occupies an engine, in milliseconds. */
  readonly serviceMs: number;
  /** Requests that have not ended, the waiting ones among them. */
  readonly inProgress: number;
}

interface LocalRow {
  arrivals: number;
  ratePerS: number;
  waiting: number;
  inProgress: number;
  serviceMs: number;
  /** Refused requests still count as waiting until then. */
  wantedUntilMs: number;
}

const RATE_HALF_LIFE_S = 5;
const RATE_FLOOR_PER_S = 0.001;
/** A refused request keeps its row wanted for so long, in milliseconds. */
const WANTED_FOR_MS = 10_000;

/** Counts this instance's requests by row. */
export class LocalDemand {
  readonly #rows = new Map<core.RowName, LocalRow>();
  #lastRollMs = core.monotonicMs();

  /** Notes a request; call the result when it ends. */
  beginRequest(rowName: core.RowName): core.Cleanup {
    const row = this.#row(rowName);
    row.arrivals++;
    row.inProgress++;
    return () => {
      row.inProgress--;
    };
  }

  /** Notes how long a request occupied an engine. */
  recordServiceTime(rowName: core.RowName, durationMs: number): void {
    const row = this.#row(rowName);
    row.serviceMs = row.serviceMs === 0
      ? durationMs
      : row.serviceMs * 0.9 + durationMs * 0.1;
  }

  /** Notes a request that begins to wait; call the result when it ends. */
  beginWait(rowName: core.RowName): () => void {
    const row = this.#row(rowName);
    row.waiting++;
    return () => {
      row.waiting--;
    };
  }

  /** Notes a request refused because its row is not loaded. */
  recordRejection(rowName: core.RowName): void {
    this.#row(rowName).wantedUntilMs = core.monotonicMs() + WANTED_FOR_MS;
  }

  /** Notes that a row can be served, so that refusals no longer count. */
  clearRejections(rowName: core.RowName): void {
    const row = this.#rows.get(rowName);
    if (row) row.wantedUntilMs = 0;
  }

  /** The demand now; rates are averaged since the last call. */
  collect(): RowDemand[] {
    const nowMs = core.monotonicMs();
    const elapsedS = Math.max(0.001, (nowMs - this.#lastRollMs) / 1_000);
    this.#lastRollMs = nowMs;
    const keep = 0.5 ** (elapsedS / RATE_HALF_LIFE_S);
    const demands: RowDemand[] = [];
    for (const [rowName, row] of this.#rows) {
      const rate = row.arrivals / elapsedS;
      row.ratePerS = row.ratePerS * keep + rate * (1 - keep);
      row.arrivals = 0;
      const wanted = row.wantedUntilMs > nowMs ? 1 : 0;
      const waiting = Math.max(row.waiting, wanted);
      const { ratePerS, serviceMs, inProgress } = row;
      const isIdle = waiting === 0 && inProgress === 0;
      if (ratePerS < RATE_FLOOR_PER_S && isIdle) this.#rows.delete(rowName);
      demands.push({ rowName, ratePerS, waiting, serviceMs, inProgress });
    }
    return demands;
  }

  #row(rowName: core.RowName): LocalRow {
    const known = this.#rows.get(rowName);
    if (known) return known;
    const row = {
      arrivals: 0,
      ratePerS: 0,
      waiting: 0,
      inProgress: 0,
      serviceMs: 0,
      wantedUntilMs: 0,
    };
    this.#rows.set(rowName, row);
    return row;
  }
}

/** Reports older than this no longer count, in milliseconds. */
const REPORT_EXPIRY_MS = 60_000;

interface HeldReport {
  readonly receivedAtMs: number;
  readonly rows: readonly RowDemand[];
}

/** Sums the reports of all instances; the planner keeps one. */
export class DemandAggregator {
  readonly #reports = new Map<core.InstanceId, HeldReport>();
  readonly #waitingSinceMs = new Map<core.RowName, number>();
  readonly #lastUsedMs = new Map<core.RowName, number>();

  /** Takes an instance's report in place of its last one. */
  setReport(instanceId: core.InstanceId, rows: readonly RowDemand[]): void {
    const receivedAtMs = core.monotonicMs();
    this.#reports.set(instanceId, { receivedAtMs, rows });
    for (const { rowName, ratePerS, waiting } of rows) {
      if (ratePerS > 0 || waiting > 0) {
        this.#lastUsedMs.set(rowName, receivedAtMs);
      }
    }
  }

  /** Demand by row, over all instances. */
  totals(): Map<core.RowName, RowDemand> {
    const limitMs = core.monotonicMs() - REPORT_EXPIRY_MS;
    const totals = new Map<core.RowName, RowDemand>();
    for (const [instanceId, { receivedAtMs, rows }] of this.#reports) {
      if (receivedAtMs < limitMs) this.#reports.delete(instanceId);
      else for (const row of rows) addDemand(totals, row);
    }
    this.#noteWaiting(totals);
    return totals;
  }

  /** How long requests for a row have been waiting, in milliseconds. */
  waitedMs(rowName: core.RowName): number {
    const sinceMs = this.#waitingSinceMs.get(rowName);
    return sinceMs === undefined ? 0 : core.monotonicMs() - sinceMs;
  }

  /** When a row was last asked for, on our monotonic clock. */
  lastUsedAtMs(rowName: core.RowName): number {
    return this.#lastUsedMs.get(rowName) ?? -Infinity;
  }

  #noteWaiting(totals: ReadonlyMap<core.RowName, RowDemand>): void {
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
