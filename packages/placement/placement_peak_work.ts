/**
 * Remembers each model's recent peak of work. Pattern of load: demand comes in
 * waves, and a short lull must not evict a replica that the next wave needs.
 */
import type * as core from "../core/mod.ts";
import type { ModelDemand } from "./placement_replica_view.ts";

/** Peak work counts for this long. */
const PEAK_WORK_WINDOW_MS = 4_000;

export class PeakWork {
  readonly #peaks = new Map<
    core.ModelName,
    { workMsPerS: number; atMs: number }
  >();

  /**
   * Returns the demand with each model's recent peak of work in place of its
   * current work.
   *
   * @example
   * ```ts
   * const demand = peakWork.apply(totals.modelDemand, core.monotonicMs());
   * ```
   */
  apply(
    demand: ReadonlyMap<core.ModelName, ModelDemand>,
    nowMs: number,
  ): Map<core.ModelName, ModelDemand> {
    for (const [model, { workMsPerS }] of demand) {
      const peak = this.#peaks.get(model);
      const isExpired = peak && nowMs - peak.atMs > PEAK_WORK_WINDOW_MS;
      if (!peak || isExpired || workMsPerS >= peak.workMsPerS) {
        this.#peaks.set(model, { workMsPerS, atMs: nowMs });
      }
    }
    return new Map(
      [...demand].map(([model, modelDemand]) => [model, {
        ...modelDemand,
        workMsPerS: this.#peaks.get(model)?.workMsPerS ??
          modelDemand.workMsPerS,
      }]),
    );
  }
}
