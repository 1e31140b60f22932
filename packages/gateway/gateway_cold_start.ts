/** Requests for rows that no engine holds yet. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as table from "../table/mod.ts";
import type { GatewayDependencies } from "./gateway_types.ts";

/** Time that a load is taken to need before one has been seen. */
const MODEL_LOAD_ASSUMED_MS = 2_000;
const ADAPTER_LOAD_ASSUMED_MS = 200;
/** Weight of the newest observation in the average. */
const NEWEST_WEIGHT = 0.3;

/** Waits for rows to be loaded, or refuses when that would take too long. */
export class ColdRows {
  readonly #parts: GatewayDependencies;
  readonly #expectedMs = {
    model: MODEL_LOAD_ASSUMED_MS,
    adapter: ADAPTER_LOAD_ASSUMED_MS,
  };

  constructor(parts: GatewayDependencies) {
    this.#parts = parts;
  }

  /**
   * Waits until an engine holds the row, refusing at once what is too late.
   *
   * @param answerMs how long the answer itself takes; the wait ends before.
   */
  async wait(
    row: table.TableRow,
    deadline: core.Deadline,
    answerMs: number,
    gone: AbortSignal,
  ): Promise<Result<void, core.Failure>> {
    const { demand, onColdStart, metrics } = this.#parts;
    const expectedMs = this.#expectMs(row);
    const waitMaxMs = deadline.remainingMs() - answerMs;
    if (waitMaxMs < expectedMs) {
      demand.recordRejection(row.name);
      onColdStart();
      return err(loading(row, expectedMs));
    }
    const startedAtMs = core.monotonicMs();
    const endWait = demand.beginWait(row.name);
    onColdStart();
    const ready = await this.#untilHeld(row, waitMaxMs, gone);
    endWait();
    if (!ready) {
      demand.recordRejection(row.name);
      return err(loading(row, expectedMs));
    }
    demand.clearRejections(row.name);
    const waitedMs = core.monotonicMs() - startedAtMs;
    metrics.time("cold_load", waitedMs);
    const averageMs = this.#expectedMs[row.kind];
    this.#expectedMs[row.kind] = averageMs * (1 - NEWEST_WEIGHT) +
      waitedMs * NEWEST_WEIGHT;
    return ok(undefined);
  }

  /** An adapter whose model is not loaded waits for both. */
  #expectMs(row: table.TableRow): number {
    const ownMs = this.#expectedMs[row.kind];
    if (row.baseModel === undefined) return ownMs;
    const base = this.#parts.keeper.row(row.baseModel)?.row;
    const baseHeld = base !== undefined && this.#isHeld(base);
    return baseHeld ? ownMs : ownMs + this.#expectedMs.model;
  }

  #isHeld(row: table.TableRow): boolean {
    const artifactId = table.artifactOf(row);
    return this.#parts.fleet.usableEngines().some((view) =>
      view.holds(artifactId)
    );
  }

  #untilHeld(
    row: table.TableRow,
    waitMaxMs: number,
    gone: AbortSignal,
  ): Promise<boolean> {
    if (this.#isHeld(row)) return Promise.resolve(true);
    return new Promise((resolve) => {
      const end = (held: boolean) => {
        clearTimeout(timer);
        unregister();
        gone.removeEventListener("abort", giveUp);
        resolve(held);
      };
      const giveUp = () => end(false);
      const timer = setTimeout(giveUp, waitMaxMs);
      const unregister = this.#parts.fleet.registerListener(() => {
        if (this.#isHeld(row)) end(true);
      });
      gone.addEventListener("abort", giveUp);
    });
  }
}

function loading(row: table.TableRow, expectedMs: number): core.Failure {
  return core.refuse(
    core.MODEL_LOADING,
    `${row.name} takes about ${Math.ceil(expectedMs)} ms to load`,
    expectedMs,
  );
}
