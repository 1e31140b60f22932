/** Which adapter is loaded where, on demand. */
import type * as core from "../core/mod.ts";

/** Demand for one adapter, over all nodes. */
export interface AdapterDemand {
  readonly model: core.ModelName;
  readonly adapter: string;
  readonly ratePerS: number;
  readonly waiting: number;
}

/** An adapter on an engine. */
export interface AdapterReplica {
  readonly model: core.ModelName;
  readonly adapter: string;
  readonly inFlight: number;
  readonly ratePerS: number;
  /** Whether it has been there for long enough to make room for another. */
  readonly isEvictable: boolean;
}

/** One engine as the planner of adapters sees it. */
export interface AdapterEngine {
  readonly id: core.UpstreamId;
  readonly isUsable: boolean;
  readonly canOrder: boolean;
  readonly slotsFree: number;
  readonly freeMb: number;
  /** Models that can be used now. */
  readonly models: ReadonlySet<core.ModelName>;
  readonly adapters: readonly AdapterReplica[];
  /** Requests on the way for each model, and in all. */
  readonly inFlight: number;
}

/** One step: load an adapter, or unload one that makes room. */
export interface AdapterAction {
  readonly kind: "load" | "unload";
  readonly engine: core.UpstreamId;
  readonly model: core.ModelName;
  readonly adapter: string;
}

/** Rate from which an adapter gets a second copy. */
const SECOND_COPY_RATE_PER_S = 2;

/**
 * Plans adapters: those that requests wait for, on the least busy engine that
 * has the model; the adapter asked for least makes room.
 *
 * @example
 * ```ts
 * const actions = placement.planAdapters(engines, demand, () => 66);
 * ```
 */
export function planAdapters(
  engines: readonly AdapterEngine[],
  demand: readonly AdapterDemand[],
  sizeMb: (model: core.ModelName) => number,
): AdapterAction[] {
  const actions: AdapterAction[] = [];
  const taken = new Set<core.UpstreamId>();
  const ordered = [...demand].sort((a, b) => b.waiting - a.waiting);
  for (const { model, adapter, ratePerS, waiting } of ordered) {
    const copies = engines.filter((engine) =>
      engine.isUsable && holds(engine, model, adapter)
    ).length;
    const wanted = ratePerS >= SECOND_COPY_RATE_PER_S ? 2 : 1;
    if (copies >= wanted || (waiting === 0 && copies > 0)) {
      continue;
    }
    if (waiting === 0 && ratePerS < SECOND_COPY_RATE_PER_S) {
      continue;
    }
    const engine = pickEngine(engines, taken, model, adapter);
    if (!engine) {
      continue;
    }
    const action = stepAt(engine, model, adapter, sizeMb(model));
    if (!action) {
      continue;
    }
    taken.add(engine.id);
    actions.push(action);
  }
  return actions;
}

function holds(
  { adapters }: AdapterEngine,
  model: core.ModelName,
  adapter: string,
): boolean {
  return adapters.some((copy) =>
    copy.model === model && copy.adapter === adapter
  );
}

function pickEngine(
  engines: readonly AdapterEngine[],
  taken: ReadonlySet<core.UpstreamId>,
  model: core.ModelName,
  adapter: string,
): AdapterEngine | undefined {
  let best: AdapterEngine | undefined;
  let bestCost = Infinity;
  for (const engine of engines) {
    if (!engine.isUsable || !engine.canOrder || taken.has(engine.id)) continue;
    if (!engine.models.has(model) || holds(engine, model, adapter)) continue;
    const cost = engine.inFlight + (engine.slotsFree > 0 ? 0 : 2);
    if (cost >= bestCost) continue;
    best = engine;
    bestCost = cost;
  }
  return best;
}

function stepAt(
  engine: AdapterEngine,
  model: core.ModelName,
  adapter: string,
  neededMb: number,
): AdapterAction | undefined {
  if (engine.slotsFree > 0 && engine.freeMb >= neededMb) {
    return { kind: "load", engine: engine.id, model, adapter };
  }
  const idle = engine.adapters
    .filter(({ inFlight, isEvictable }) => inFlight === 0 && isEvictable)
    .sort((a, b) => a.ratePerS - b.ratePerS)[0];
  if (!idle) return undefined;
  return {
    kind: "unload",
    engine: engine.id,
    model: idle.model,
    adapter: idle.adapter,
  };
}
