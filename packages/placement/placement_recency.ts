/**
 * Remembers when models were last requested. Pattern of load: traffic has just
 * begun, or the planner has just taken over, and most models have not been
 * requested yet; evicting them for further replicas of the first busy ones
 * leaves their callers waiting for loads.
 */
import type * as core from "../core/mod.ts";

export class RequestRecency {
  readonly #requestedAtMs = new Map<core.ModelName, number>();
  #observedSinceMs: number | undefined;

  /** Records the models with demand at this time. */
  record(models: Iterable<core.ModelName>, nowMs: number): void {
    for (const model of models) {
      this.#requestedAtMs.set(model, nowMs);
      this.#observedSinceMs ??= nowMs;
    }
  }

  /**
   * Time since a model was last requested, in ms. For one that never was, the
   * time since any was: a short one says little about it. Infinity before the
   * first request.
   *
   * @example
   * ```ts
   * recency.record(demand.keys(), nowMs);
   * recency.idleMs(model, nowMs + 500); // 500
   * ```
   */
  idleMs(model: core.ModelName, nowMs: number): number {
    const sinceMs = this.#requestedAtMs.get(model) ?? this.#observedSinceMs;
    return sinceMs === undefined ? Infinity : nowMs - sinceMs;
  }
}
