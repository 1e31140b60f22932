/** Cold starts: holds requests until an engine has loaded their row. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as table from "../table/mod.ts";
import type { GatewayDependencies } from "./gateway_types.ts";

/** Estimates of the load time until the first load has been observed. */
const INITIAL_MODEL_LOAD_MS = 2_000;
const INITIAL_ADAPTER_LOAD_MS = 200;
/** Weight of the newest load time in the exponential moving average. */
const NEWEST_SAMPLE_WEIGHT = 0.3;

/**
 * Waits for rows to be loaded, and rejects requests whose deadline leaves too
 * little time for the load.
 */
export class ColdStartWaiter {
  readonly #dependencies: GatewayDependencies;
  readonly #averageLoadMs = {
    model: INITIAL_MODEL_LOAD_MS,
    adapter: INITIAL_ADAPTER_LOAD_MS,
  };

  constructor(dependencies: GatewayDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Waits until an engine holds the row. Rejects at once if the expected load
   * time and the response do not fit before the deadline.
   *
   * @param responseMs time that the response needs after the load; the wait
   * ends early enough to leave it.
   */
  async waitForLoad(
    row: table.TableRow,
    deadline: core.Deadline,
    responseMs: number,
    abortSignal: AbortSignal,
  ): Promise<Result<void, core.Failure>> {
    const { demand, onColdStart, metrics } = this.#dependencies;
    const expectedLoadMs = this.#estimateLoadMs(row);
    const waitMaxMs = deadline.remainingMs() - responseMs;
    if (waitMaxMs < expectedLoadMs) {
      demand.recordRejection(row.name);
      onColdStart();
      return err(loadingFailure(row, expectedLoadMs));
    }
    const startedAtMs = core.monotonicMs();
    const endWait = demand.beginWait(row.name);
    onColdStart();
    const wasLoaded = await this.#waitUntilLoaded(
      row,
      waitMaxMs,
      abortSignal,
    );
    endWait();
    if (!wasLoaded) {
      demand.recordRejection(row.name);
      return err(loadingFailure(row, expectedLoadMs));
    }
    demand.clearRejections(row.name);
    const waitedMs = core.monotonicMs() - startedAtMs;
    metrics.recordDuration("cold_load", waitedMs);
    const averageMs = this.#averageLoadMs[row.kind];
    this.#averageLoadMs[row.kind] = averageMs * (1 - NEWEST_SAMPLE_WEIGHT) +
      waitedMs * NEWEST_SAMPLE_WEIGHT;
    return ok(undefined);
  }

  /** Estimates the load time; an adapter may need its base model first. */
  #estimateLoadMs(row: table.TableRow): number {
    const ownMs = this.#averageLoadMs[row.kind];
    if (row.baseModel === undefined) return ownMs;
    const base = this.#dependencies.tableCache.row(row.baseModel)?.row;
    const isBaseLoaded = base !== undefined && this.#isLoaded(base);
    return isBaseLoaded ? ownMs : ownMs + this.#averageLoadMs.model;
  }

  #isLoaded(row: table.TableRow): boolean {
    const artifactId = table.artifactIdOf(row);
    return this.#dependencies.fleet.usableEngines().some((view) =>
      view.holds(artifactId)
    );
  }

  #waitUntilLoaded(
    row: table.TableRow,
    waitMaxMs: number,
    abortSignal: AbortSignal,
  ): Promise<boolean> {
    if (this.#isLoaded(row)) return Promise.resolve(true);
    return new Promise((resolve) => {
      const finish = (isLoaded: boolean) => {
        clearTimeout(timer);
        unregister();
        abortSignal.removeEventListener("abort", stopWaiting);
        resolve(isLoaded);
      };
      const stopWaiting = () => finish(false);
      const timer = setTimeout(stopWaiting, waitMaxMs);
      const unregister = this.#dependencies.fleet.registerListener(() => {
        if (this.#isLoaded(row)) finish(true);
      });
      abortSignal.addEventListener("abort", stopWaiting);
    });
  }
}

function loadingFailure(
  row: table.TableRow,
  expectedLoadMs: number,
): core.Failure {
  return core.refuse(
    core.MODEL_LOADING,
    `${row.name} takes about ${Math.ceil(expectedLoadMs)} ms to load`,
    expectedLoadMs,
  );
}
