/**
 * Tracks exactly what one engine holds: its last report, and the orders that
 * it has accepted since. Every order names the order count that the inventory
 * is based on, so an engine that has accepted any other order rejects it.
 */
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";

/** State of a model on an engine. */
export type ModelPhase = "loading" | "ready" | "draining" | "unloading";

/** A model on an engine, with its adapters. */
export interface TrackedModel {
  phase: ModelPhase;
  /** When a load is expected to end, on the monotonic clock. */
  readyAtMs: number;
  /** Adapters, with the time at which each is expected to be loaded. */
  readonly adapters: Map<string, number>;
}

/** A model as the routing of requests sees it. */
export interface ModelAvailability {
  readonly isUsable: boolean;
  /** Adapters that are loaded. */
  readonly adapters: ReadonlySet<string>;
  /** When its load is expected to end, on the monotonic clock. */
  readonly readyAtMs?: number;
}

/**
 * Whether requests may be sent to a model. A load whose expected time has
 * passed counts as complete: an engine that is not ready yet rejects requests
 * without running them.
 *
 * @example
 * ```ts
 * const usable = orders.isUsable(inventory.models.get(name)!, nowMs);
 * ```
 */
export function isUsable(model: TrackedModel, nowMs: number): boolean {
  if (model.phase === "ready") return true;
  return model.phase === "loading" && model.readyAtMs <= nowMs;
}

/** The inventory of one incarnation of an engine. */
export class EngineInventory {
  readonly models = new Map<core.ModelName, TrackedModel>();
  #orderCount: number | undefined;
  /** Whether the engine carries out work that the inventory does not show. */
  #hasUnknownWork = false;
  #cachedInMemory: ReadonlySet<core.ModelName>;
  #cachedOnDisk: ReadonlySet<core.ModelName>;

  constructor(record: fleet.UpstreamRecord) {
    this.#cachedInMemory = new Set(record.modelsInMemory);
    this.#cachedOnDisk = new Set(record.modelsOnDisk);
    this.#replaceModels(record.models, []);
  }

  /** Orders accepted by the engine; undefined before its first report. */
  get orderCount(): number | undefined {
    return this.#orderCount;
  }

  /** Whether a model is loading or unloading, which excludes other orders. */
  get isBusy(): boolean {
    for (const { phase } of this.models.values()) {
      if (phase === "loading" || phase === "unloading") return true;
    }
    return false;
  }

  /** Memory of weights and adapters held, loading or being unloaded, in MB. */
  usedMb(spec: fleet.EngineSpec): number {
    let usedMb = 0;
    for (const [name, { adapters }] of this.models) {
      const model = spec.models.get(name);
      // The size of a model that was removed from the configuration is unknown:
      // it may fill the engine.
      if (!model) return spec.weightMemoryMb;
      usedMb += model.weightsMb + adapters.size * model.adapterMb;
    }
    return usedMb;
  }

  /** Adapters that are loaded or loading, over all models. */
  get adapterCount(): number {
    let count = 0;
    for (const { adapters } of this.models.values()) count += adapters.size;
    return count;
  }

  /** Whether the model or adapter of an order is held, or being loaded. */
  holds(
    { model, adapter }: Pick<fleet.Order, "model" | "adapter">,
  ): boolean {
    const held = this.models.get(model);
    if (adapter === undefined) return held !== undefined;
    return held?.adapters.has(adapter) ?? false;
  }

  /** Models that requests may be sent to, now or once they are loaded. */
  availability(nowMs: number): Map<core.ModelName, ModelAvailability> {
    return new Map(
      [...this.models].map(([name, model]) => [name, {
        isUsable: isUsable(model, nowMs),
        adapters: new Set(
          [...model.adapters].filter(([, readyAtMs]) => readyAtMs <= nowMs)
            .map(([adapter]) => adapter),
        ),
        ...(model.phase === "loading" ? { readyAtMs: model.readyAtMs } : {}),
      }]),
    );
  }

  /** Expected time of a load, and whether it reads from the weight store. */
  loadTime(model: fleet.ModelSpec): { ms: number; isFromStore: boolean } {
    if (this.#cachedInMemory.has(model.name)) {
      return { ms: model.loadFromMemoryMs, isFromStore: false };
    }
    if (this.#cachedOnDisk.has(model.name)) {
      return { ms: model.loadFromDiskMs, isFromStore: false };
    }
    return { ms: model.loadMs, isFromStore: true };
  }

  /** Applies an order that the engine has accepted. */
  applyAccepted(order: fleet.Order, expectedMs: number, nowMs: number): void {
    this.#orderCount = order.expectedOrderCount + 1;
    const readyAtMs = nowMs + expectedMs;
    const { model, adapter, kind } = order;
    const held = this.models.get(model);
    if (adapter !== undefined) {
      if (kind === "load") held?.adapters.set(adapter, readyAtMs);
      else held?.adapters.delete(adapter);
    } else if (kind === "load") {
      this.models.set(model, {
        phase: "loading",
        readyAtMs,
        adapters: new Map(),
      });
    } else if (held) {
      held.phase = "unloading";
      held.readyAtMs = nowMs;
    }
  }

  /**
   * Applies a report of the engine. A report with a lower order count lags
   * behind accepted orders and is ignored. Once it is too late for a lag,
   * a lower count means that the engine did not count an order that was counted
   * here, and the report is used.
   *
   * @param mayLag whether the report may lag behind the last order.
   * @returns whether the report was used.
   */
  applyReport(report: fleet.EngineReport, mayLag = true): boolean {
    if (mayLag && report.orderCount < (this.#orderCount ?? 0)) return false;
    const isKnown = report.orderCount === this.#orderCount;
    this.#cachedInMemory = new Set(report.modelsInMemory);
    this.#cachedOnDisk = new Set(report.modelsOnDisk);
    this.#orderCount = report.orderCount;
    if (report.isBusy) {
      // The effect of another holder's order shows only after it has ended.
      this.#hasUnknownWork ||= !isKnown || !this.isBusy;
      return !this.#hasUnknownWork;
    }
    this.#hasUnknownWork = false;
    this.#replaceModels(report.models, report.loadingAdapters);
    return true;
  }

  #replaceModels(
    listed: readonly fleet.LoadedModel[],
    loadingAdapters: readonly (readonly [core.ModelName, string])[],
  ): void {
    const known = new Map(this.models);
    this.models.clear();
    for (const { model, adapters } of listed) {
      const previous = known.get(model);
      const loaded = new Map(adapters.map((adapter) => [adapter, 0]));
      this.models.set(model, {
        phase: previous?.phase === "draining" ? "draining" : "ready",
        readyAtMs: 0,
        adapters: loaded,
      });
    }
    for (const [model, adapter] of loadingAdapters) {
      const held = this.models.get(model);
      const readyAtMs = known.get(model)?.adapters.get(adapter) ?? Infinity;
      held?.adapters.set(adapter, readyAtMs);
    }
  }
}
