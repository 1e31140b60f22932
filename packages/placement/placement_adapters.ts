/** Decides which adapters engines load and evict. */
import type * as core from "../core/mod.ts";

/** Demand for one adapter, over all nodes. */
export interface AdapterDemand {
  readonly model: core.ModelName;
  readonly adapter: string;
  readonly ratePerS: number;
  readonly waiting: number;
  /** Software versions at which some of the waiting requests have to run. */
  readonly pinnedVersions: ReadonlySet<core.SoftwareVersion>;
}

/** An adapter on an engine. */
export interface AdapterReplica {
  readonly model: core.ModelName;
  readonly adapter: string;
  readonly inFlight: number;
  readonly ratePerS: number;
  /** Whether it has been loaded for long enough to be evicted. */
  readonly isEvictable: boolean;
}

/** An engine, as input of the adapter plan. */
export interface AdapterEngine {
  readonly id: core.UpstreamId;
  readonly softwareVersion: core.SoftwareVersion;
  /** Whether new work may be planned for it. */
  readonly isUsable: boolean;
  /** Whether an order can be sent to it now. */
  readonly canOrder: boolean;
  /** Free adapter slots. */
  readonly slotsFree: number;
  readonly freeMb: number;
  /** Models that are loaded and not draining. */
  readonly models: ReadonlySet<core.ModelName>;
  readonly adapters: readonly AdapterReplica[];
  /** In-flight requests over all models. */
  readonly inFlight: number;
}

/** The load of an adapter, or the unload of one to make room. */
export interface AdapterAction {
  readonly kind: "load" | "unload";
  readonly engine: core.UpstreamId;
  readonly model: core.ModelName;
  readonly adapter: string;
}

/** Rate from which an adapter gets a second replica. */
const SECOND_REPLICA_RATE_PER_S = 2;

/**
 * Plans loads of adapters, those with most waiting requests first, on the
 * engine with the model and the fewest in-flight requests; where requests have
 * to run at a software version, on one of that version. An engine that is full
 * evicts its idle adapter with the lowest rate first. Each engine gets at most
 * one action.
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
  const plannedEngines = new Set<core.UpstreamId>();
  const byWaiting = [...demand].sort((a, b) => b.waiting - a.waiting);
  for (const entry of byWaiting) {
    const { model, adapter } = entry;
    for (const candidates of enginesToLoadOn(engines, entry)) {
      const engine = pickEngine(candidates, plannedEngines, model, adapter);
      const action = engine && actionOn(engine, model, adapter, sizeMb(model));
      if (!action) continue;
      plannedEngines.add(engine.id);
      actions.push(action);
    }
  }
  return actions;
}

/** Returns groups of engines; one of each has to load the adapter. */
function enginesToLoadOn(
  engines: readonly AdapterEngine[],
  demand: AdapterDemand,
): (readonly AdapterEngine[])[] {
  const ofPinnedVersions = [...demand.pinnedVersions]
    .map((version) =>
      engines.filter(({ softwareVersion, isUsable, models }) =>
        softwareVersion === version && isUsable && models.has(demand.model)
      )
    )
    .filter((group) => group.length > 0 && countReplicas(group, demand) === 0);
  if (ofPinnedVersions.length > 0) return ofPinnedVersions;
  return needsReplica(engines, demand) ? [engines] : [];
}

function needsReplica(
  engines: readonly AdapterEngine[],
  demand: AdapterDemand,
): boolean {
  const { ratePerS, waiting } = demand;
  const replicas = countReplicas(engines, demand);
  const isBusy = ratePerS >= SECOND_REPLICA_RATE_PER_S;
  if (replicas >= (isBusy ? 2 : 1)) return false;
  return waiting > 0 || (replicas === 0 && isBusy);
}

function countReplicas(
  engines: readonly AdapterEngine[],
  { model, adapter }: AdapterDemand,
): number {
  return engines.filter((engine) =>
    engine.isUsable && holds(engine, model, adapter)
  ).length;
}

function holds(
  { adapters }: AdapterEngine,
  model: core.ModelName,
  adapter: string,
): boolean {
  return adapters.some((replica) =>
    replica.model === model && replica.adapter === adapter
  );
}

function pickEngine(
  engines: readonly AdapterEngine[],
  plannedEngines: ReadonlySet<core.UpstreamId>,
  model: core.ModelName,
  adapter: string,
): AdapterEngine | undefined {
  let best: AdapterEngine | undefined;
  let bestCost = Infinity;
  for (const engine of engines) {
    if (!engine.isUsable || !engine.canOrder || plannedEngines.has(engine.id)) {
      continue;
    }
    if (!engine.models.has(model) || holds(engine, model, adapter)) continue;
    const cost = engine.inFlight + (engine.slotsFree > 0 ? 0 : 2);
    if (cost >= bestCost) continue;
    best = engine;
    bestCost = cost;
  }
  return best;
}

function actionOn(
  engine: AdapterEngine,
  model: core.ModelName,
  adapter: string,
  neededMb: number,
): AdapterAction | undefined {
  if (engine.slotsFree > 0 && engine.freeMb >= neededMb) {
    return { kind: "load", engine: engine.id, model, adapter };
  }
  const victim = engine.adapters
    .filter(({ inFlight, isEvictable }) => inFlight === 0 && isEvictable)
    .sort((a, b) => a.ratePerS - b.ratePerS)[0];
  if (!victim) return undefined;
  return {
    kind: "unload",
    engine: engine.id,
    model: victim.model,
    adapter: victim.adapter,
  };
}
