/** A model engine that carries out orders as the platform specifies it. */
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import { makeUpstreamRecord } from "./testing_fixtures.ts";

/** Checks order counts and fences, and that what it is to load fits. */
export class OrderedEngine {
  startedAtMs = 0;
  orderCount = 0;
  highestToken = 0;
  /** Models that it holds, with their adapters. */
  readonly held = new Map<core.ModelName, Set<string>>();
  /** Orders that did not fit. */
  readonly overfilledBy: string[] = [];
  #order: fleet.Order | undefined;
  readonly #spec: fleet.EngineSpec;
  readonly #checksFences: boolean;

  constructor(spec: fleet.EngineSpec, checksFences: boolean) {
    this.#spec = spec;
    this.#checksFences = checksFences;
    this.restart();
  }

  /** Starts again under its id: without models, count and fence. */
  restart(): void {
    this.startedAtMs++;
    this.orderCount = 0;
    this.highestToken = 0;
    this.held.clear();
    this.#order = undefined;
  }

  get record(): fleet.UpstreamRecord {
    return makeUpstreamRecord({
      startedAtMs: this.startedAtMs,
      slots: this.#spec.slots,
      models: this.#models,
    });
  }

  get report(): fleet.EngineReport {
    return {
      startedAtMs: this.startedAtMs,
      models: this.#models,
      modelsInMemory: [],
      modelsOnDisk: [],
      loadingAdapters: [],
      isBusy: this.#order !== undefined,
      orderCount: this.orderCount,
    };
  }

  /** Carries an order out as it arrives, however late that is. */
  accept(order: fleet.Order): fleet.OrderReply {
    const { kind, model, adapter, fencingToken, expectedOrderCount } = order;
    if (this.#checksFences && fencingToken < this.highestToken) return "fenced";
    if (this.#order || expectedOrderCount !== this.orderCount) {
      return "conflict";
    }
    const held = this.held.get(model);
    if (adapter !== undefined && !held) return "otherEngine";
    const isHeld = adapter === undefined
      ? held !== undefined
      : held!.has(adapter);
    if (isHeld === (kind === "load")) return "alreadySo";
    this.orderCount++;
    this.highestToken = Math.max(this.highestToken, fencingToken);
    if (adapter === undefined) this.#order = order;
    else if (kind === "load") held!.add(adapter);
    else held!.delete(adapter);
    if (!this.#fits) this.#crash(order);
    return "accepted";
  }

  /** Completes the load or unload in progress. */
  finishOrder(): void {
    if (this.#order?.kind === "load") {
      this.held.set(this.#order.model, new Set());
    } else if (this.#order) this.held.delete(this.#order.model);
    this.#order = undefined;
  }

  get #models(): fleet.LoadedModel[] {
    return [...this.held].map(([model, adapters]) => ({
      model,
      adapters: [...adapters],
    }));
  }

  get #fits(): boolean {
    const { models, weightMemoryMb, adapterSlots } = this.#spec;
    let mb = 0;
    let slots = 0;
    if (this.#order?.kind === "load") {
      mb += models.get(this.#order.model)!.weightsMb;
    }
    for (const [model, adapters] of this.held) {
      const { weightsMb, adapterMb } = models.get(model)!;
      mb += weightsMb + adapters.size * adapterMb;
      slots += adapters.size;
    }
    return mb <= weightMemoryMb && slots <= adapterSlots;
  }

  #crash({ model, adapter, expectedOrderCount }: fleet.Order): void {
    const holds = [...this.held.keys()].join(" ");
    const name = adapter === undefined ? model : `${model}/${adapter}`;
    this.overfilledBy.push(`${name} at ${expectedOrderCount} beside ${holds}`);
    this.restart();
  }
}

/** Returns an engine of 200,000 MB for models of the given sizes. */
export function makeEngineSpec(
  sizesMb: Readonly<Record<string, number>>,
): fleet.EngineSpec {
  const models = Object.entries(sizesMb).map(([name, weightsMb]) => ({
    name: core.brandId<core.ModelName>(name),
    weightsMb,
    loadMs: 1,
    loadFromMemoryMs: 1,
    loadFromDiskMs: 1,
    adapterMb: 100,
  }));
  return {
    slots: 32,
    kvCacheTokens: 100_000,
    tokensPerEvent: 1,
    weightMemoryMb: 200_000,
    adapterSlots: 3,
    loadsPerS: 100,
    models: new Map(models.map((model) => [model.name, model])),
  };
}
