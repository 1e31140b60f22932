/**
 * What one engine holds, exactly: its own word, and the orders that it has
 * accepted since. Every order names the count of orders that the account is
 * built on, so an engine that has accepted anything else refuses it.
 */
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";

/** Where a model stands on an engine. */
export type ModelPhase = "loading" | "ready" | "closing" | "unloading";

/** A model on an engine, with its adapters. */
export interface AccountedModel {
  phase: ModelPhase;
  /** When a load is expected to end, on the monotonic clock. */
  readyAtMs: number;
  /** Adapters, with the time at which each is expected to be loaded. */
  readonly adapters: Map<string, number>;
}

/** A model as requests see it. */
export interface UsableModel {
  readonly isUsable: boolean;
  /** Adapters that are loaded. */
  readonly adapters: ReadonlySet<string>;
  /** When a load is expected to end, on the monotonic clock. */
  readonly readyAtMs: number;
}

/**
 * Whether requests may be sent to a model. A load whose time is over counts as
 * ended: an engine that is not ready yet refuses them without running them.
 *
 * @example
 * ```ts
 * const usable = orders.isUsable(account.models.get(name)!, nowMs);
 * ```
 */
export function isUsable(model: AccountedModel, nowMs: number): boolean {
  if (model.phase === "ready") return true;
  return model.phase === "loading" && model.readyAtMs <= nowMs;
}

/** The account of one incarnation of an engine. */
export class EngineAccount {
  readonly models = new Map<core.ModelName, AccountedModel>();
  #orderCount: number | undefined;
  #hasUnknownWork = false;
  #copiesInMemory: ReadonlySet<core.ModelName>;
  #copiesOnDisk: ReadonlySet<core.ModelName>;

  constructor(record: fleet.UpstreamRecord) {
    this.#copiesInMemory = new Set(record.modelsInMemory);
    this.#copiesOnDisk = new Set(record.modelsOnDisk);
    this.#take(record.models, []);
  }

  /** Orders accepted by the engine; undefined before its first report. */
  get orderCount(): number | undefined {
    return this.#orderCount;
  }

  /** Whether a model is on its way in or out: no other order is taken. */
  get isBusy(): boolean {
    for (const { phase } of this.models.values()) {
      if (phase === "loading" || phase === "unloading") return true;
    }
    return false;
  }

  /** Weights and adapters held, coming or not yet gone, in MB. */
  usedMb(spec: fleet.EngineSpec): number {
    let usedMb = 0;
    for (const [name, { adapters }] of this.models) {
      const model = spec.models.get(name);
      // A model that the configuration no longer names may fill the engine.
      if (!model) return spec.weightMemoryMb;
      usedMb += model.weightsMb + adapters.size * model.adapterMb;
    }
    return usedMb;
  }

  /** Adapters held or coming, over all models. */
  get adapterCount(): number {
    let count = 0;
    for (const { adapters } of this.models.values()) count += adapters.size;
    return count;
  }

  /** What may be sent requests now, or will be. */
  held(nowMs: number): Map<core.ModelName, UsableModel> {
    return new Map(
      [...this.models].map(([name, model]) => [name, {
        isUsable: isUsable(model, nowMs),
        adapters: new Set(
          [...model.adapters].filter(([, readyAtMs]) => readyAtMs <= nowMs)
            .map(([adapter]) => adapter),
        ),
        readyAtMs: model.readyAtMs,
      }]),
    );
  }

  /** Time that a load would take, and whether the weight store is asked. */
  loadTime(model: fleet.ModelSpec): { ms: number; isFromStore: boolean } {
    if (this.#copiesInMemory.has(model.name)) {
      return { ms: model.loadFromMemoryMs, isFromStore: false };
    }
    if (this.#copiesOnDisk.has(model.name)) {
      return { ms: model.loadFromDiskMs, isFromStore: false };
    }
    return { ms: model.loadMs, isFromStore: true };
  }

  /** Applies an order that the engine has accepted. */
  accepted(order: fleet.Order, takesMs: number, nowMs: number): void {
    this.#orderCount = order.expectedOrderCount + 1;
    const readyAtMs = nowMs + takesMs;
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
   * Takes the engine's report. One that lags behind orders already accepted is
   * of no use, unless it is too late for that: then an order was counted here
   * that the engine did not count.
   *
   * @returns whether the report was used.
   */
  reported(report: fleet.EngineReport, mayLag = true): boolean {
    if (mayLag && report.orderCount < (this.#orderCount ?? 0)) return false;
    const isKnown = report.orderCount === this.#orderCount;
    this.#copiesInMemory = new Set(report.modelsInMemory);
    this.#copiesOnDisk = new Set(report.modelsOnDisk);
    this.#orderCount = report.orderCount;
    if (report.isBusy) {
      // What another's order does shows only when it has ended.
      this.#hasUnknownWork ||= !isKnown || !this.isBusy;
      return !this.#hasUnknownWork;
    }
    this.#hasUnknownWork = false;
    this.#take(report.models, report.loadingAdapters);
    return true;
  }

  #take(
    holdings: readonly fleet.LoadedModel[],
    coming: readonly (readonly [core.ModelName, string])[],
  ): void {
    const known = new Map(this.models);
    this.models.clear();
    for (const { model, adapters } of holdings) {
      const before = known.get(model);
      const loaded = new Map(adapters.map((adapter) => [adapter, 0]));
      this.models.set(model, {
        phase: before?.phase === "closing" ? "closing" : "ready",
        readyAtMs: 0,
        adapters: loaded,
      });
    }
    for (const [model, adapter] of coming) {
      const held = this.models.get(model);
      const readyAtMs = known.get(model)?.adapters.get(adapter) ?? Infinity;
      held?.adapters.set(adapter, readyAtMs);
    }
  }
}
