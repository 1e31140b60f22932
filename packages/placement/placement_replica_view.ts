/** What a replica plan is made from, and the actions that it leads to. */
import type * as core from "../core/mod.ts";

/** Demand for one model, over all nodes. */
export interface ModelDemand {
  readonly ratePerS: number;
  /** Queued requests. */
  readonly waiting: number;
  /** Engine time that its requests need, in milliseconds per second. */
  readonly workMsPerS: number;
  /** Software versions at which some of the queued requests have to run. */
  readonly pinnedVersions: ReadonlySet<core.SoftwareVersion>;
}

/** A replica of a model on an engine. */
export interface ModelReplica {
  readonly phase: "loading" | "ready" | "draining" | "unloading";
  /** Expected time until its in-flight requests end, in ms. */
  readonly drainMs: number;
  /** Time since the replica was planned, in ms. */
  readonly ageMs: number;
}

/** An engine, as input of the plan. */
export interface ReplicaEngine {
  readonly id: core.UpstreamId;
  readonly softwareVersion: core.SoftwareVersion;
  /** Whether new work may be planned for it. */
  readonly isUsable: boolean;
  /** Whether an order can be sent to it now. */
  readonly canOrder: boolean;
  readonly freeMb: number;
  readonly models: ReadonlyMap<core.ModelName, ModelReplica>;
  /** Model for which memory is being freed or kept free on this engine. */
  readonly reservedFor?: core.ModelName;
  /** Time since that reservation was made, in ms. */
  readonly reservedMs?: number;
  /** Time that a load of the model would take on this engine, in ms. */
  readonly loadMs: (model: core.ModelName) => number;
  /** Whether a load of the model would read from the weight store. */
  readonly needsStore: (model: core.ModelName) => boolean;
}

/** Input of a replica plan. */
export interface ReplicaView {
  readonly engines: readonly ReplicaEngine[];
  /** Sizes of all models that may be requested, in MB. */
  readonly sizesMb: ReadonlyMap<core.ModelName, number>;
  readonly demand: ReadonlyMap<core.ModelName, ModelDemand>;
  /** Time since a model was last requested, in ms; Infinity if never. */
  readonly idleMs: (model: core.ModelName) => number;
  /** Time for which an unserved model has been requested, in ms. */
  readonly unservedMs: (model: core.ModelName) => number;
  /** Loads from the weight store that may start now. */
  readonly storeLoadsAvailable: number;
}

/** The load of a model, or the drain of one that is evicted for another. */
export interface ReplicaAction {
  readonly kind: "load" | "drain";
  readonly engine: core.UpstreamId;
  readonly model: core.ModelName;
  /** Model for which the drained one is evicted. */
  readonly inFavourOf?: core.ModelName;
}

/** Whether a replica serves, or will once it is loaded. */
export function isServing(replica: ModelReplica | undefined): boolean {
  return replica?.phase === "ready" || replica?.phase === "loading";
}

/** Whether memory of an engine is about to be freed. */
export function hasDraining(engine: ReplicaEngine): boolean {
  for (const { phase } of engine.models.values()) {
    if (phase === "draining" || phase === "unloading") return true;
  }
  return false;
}
