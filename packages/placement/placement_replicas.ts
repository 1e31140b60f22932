/** Decides how many replicas each model has, and on which engines. */
import type * as core from "../core/mod.ts";
import {
  hasDraining,
  isServing,
  type ModelReplica,
  type ReplicaAction,
  type ReplicaEngine,
  type ReplicaView,
} from "./placement_replica_view.ts";

/** Work planned for one replica, in ms per second; the rest is headroom. */
const WORK_PER_REPLICA_MS = 800;
/** Work that an engine can do for all its models, in ms per second. */
const WORK_PER_ENGINE_MS = 1_000;
/** Least fraction of its gain that a replica keeps on a saturated engine. */
const SATURATED_ENGINE_SHARE = 0.25;
/** Rate from which a model must survive the loss of one engine. */
const SECOND_REPLICA_RATE_PER_S = 2;
/** Value of a standby replica, as a fraction of the model's requests. */
const STANDBY_REPLICA_SHARE = 0.05;
/**
 * Time for which a replica is expected to be of use: demand shifts within
 * seconds.
 */
const HORIZON_MS = 4_000;
/** Least fraction of the horizon counted for a replica that is ready late. */
const HORIZON_SHARE_MIN = 0.1;
/** Time in which the backlog of a model is assumed to have arrived. */
const QUEUE_TIME_S = 2;
/**
 * Gain of a first replica at a version at which requests have to run, while
 * other versions hold the model: at least one request is queued.
 */
const PINNED_RATE_PER_S = 1 / QUEUE_TIME_S;
/** Time in which the gain of an unserved model grows by its initial value. */
const UNSERVED_AGING_MS = 3_000;
/** Rate assumed for a model that was requested just now; it falls when idle. */
const RECENT_RATE_PER_S = 0.5;
/** Least rate assumed for any model, also one that was never requested. */
const LONG_TAIL_RATE_PER_S = 0.01;
/**
 * Gain that a swap must exceed, in requests per second: its load takes from
 * the limited rate of the weight store.
 */
const SWAP_COST_PER_S = 0.05;
/**
 * Requests per second added to the loss of evicting a recently planned replica,
 * so that it is not evicted at once.
 */
const NEW_REPLICA_RATE_PER_S = 0.4;
/** Age up to which a replica counts as planned recently. */
const NEW_REPLICA_MS = 4_000;
/** Age from which a reservation is late: requests can run for seconds. */
const RESERVATION_LATE_MS = 1_000;
/**
 * Backlog from which a late reservation no longer counts as a replica, so that
 * memory is freed on another engine as well.
 */
const RESERVATION_LATE_QUEUE_MIN = 4;
/** Time that an engine takes to unload an idle model, as its reports show. */
const UNLOAD_MS = 150;
/** Cost of memory left free, per MB, so that small models fill small gaps. */
const UNUSED_COST_PER_MB = 1e-8;
/** Loads from the weight store kept back from models that are not requested. */
const STORE_LOADS_RESERVED = 1;
const MS_PER_S = 1_000;

/** A model for which one more replica would serve more requests. */
interface Deficit {
  readonly model: core.ModelName;
  /** Further requests per second that the replica would serve. */
  readonly gainPerS: number;
  /** The only version whose engines can serve them; undefined for any. */
  readonly softwareVersion?: core.SoftwareVersion;
}

/** An action that leads to a replica, and its net gain. */
interface Candidate {
  readonly action: ReplicaAction;
  /** Requests per second gained, after all losses and costs. */
  readonly netPerS: number;
  readonly needsStore: boolean;
}

/**
 * Plans replicas by the requests that they serve. A replica is added where it
 * would serve more requests than the replica it evicts serves now, taking into
 * account the time to drain, unload and load.
 */
export class ReplicaPlanner {
  readonly #view: ReplicaView;
  /** Replicas that are ready, being loaded or have memory reserved. */
  readonly #replicas = new Map<core.ModelName, number>();
  /**
   * Replicas that serve now. A loading replica does not make the last of them
   * evictable.
   */
  readonly #readyReplicas = new Map<core.ModelName, number>();
  /** Work of each engine for its models, in ms per second. */
  readonly #workMsByEngine = new Map<core.UpstreamId, number>();
  /** Engines that have an action in this plan or a reservation. */
  readonly #plannedEngines = new Set<core.UpstreamId>();
  #storeLoads: number;

  constructor(view: ReplicaView) {
    this.#view = view;
    this.#storeLoads = view.storeLoadsAvailable;
    for (const engine of view.engines) this.#countReplicas(engine);
    for (const engine of view.engines) {
      this.#workMsByEngine.set(engine.id, this.#workMsOn(engine));
    }
  }

  /** Replicas of a model that are ready, being loaded or planned. */
  replicas(model: core.ModelName): number {
    return this.#replicas.get(model) ?? 0;
  }

  /**
   * Plans the next actions, at most one per engine.
   *
   * @example
   * ```ts
   * const actions = new ReplicaPlanner(view).plan();
   * for (const action of actions) await carryOut(action);
   * ```
   */
  plan(): ReplicaAction[] {
    const actions = this.#loadReserved();
    for (const deficit of this.#deficits()) {
      const action = this.#place(deficit);
      if (!action) continue;
      this.#plannedEngines.add(action.engine);
      this.#replicas.set(
        targetModel(action),
        this.replicas(targetModel(action)) + 1,
      );
      if (action.kind === "drain") {
        this.#replicas.set(action.model, this.replicas(action.model) - 1);
        const ready = this.#readyReplicas.get(action.model) ?? 0;
        this.#readyReplicas.set(action.model, ready - 1);
      }
      actions.push(action);
    }
    return actions;
  }

  /** Loads the models for which memory has been freed. */
  #loadReserved(): ReplicaAction[] {
    const actions: ReplicaAction[] = [];
    for (const engine of this.#view.engines) {
      const model = engine.reservedFor;
      if (model === undefined || engine.models.has(model)) continue;
      this.#plannedEngines.add(engine.id);
      const sizeMb = this.#view.sizesMb.get(model) ?? Infinity;
      if (!engine.canOrder || engine.freeMb < sizeMb) continue;
      if (engine.needsStore(model)) {
        if (this.#storeLoads < 1) continue;
        this.#storeLoads -= 1;
      }
      actions.push({ kind: "load", engine: engine.id, model });
    }
    return actions;
  }

  #countReplicas(engine: ReplicaEngine): void {
    const { isUsable, models, reservedFor } = engine;
    if (!isUsable) return;
    if (
      reservedFor !== undefined && this.#expectsReserved(engine, reservedFor)
    ) {
      this.#replicas.set(reservedFor, this.replicas(reservedFor) + 1);
    }
    for (const [model, replica] of models) {
      if (!isServing(replica)) continue;
      this.#replicas.set(model, this.replicas(model) + 1);
      if (replica.phase !== "ready") continue;
      this.#readyReplicas.set(model, (this.#readyReplicas.get(model) ?? 0) + 1);
    }
  }

  /** Whether an engine will get a model for which its memory is reserved. */
  #expectsReserved(engine: ReplicaEngine, model: core.ModelName): boolean {
    return engine.reservedFor === model && !engine.models.has(model) &&
      !this.#isReservationLate(engine, model);
  }

  /** Whether memory reserved for a model with a backlog is not free in time. */
  #isReservationLate(
    { reservedMs, freeMb }: ReplicaEngine,
    model: core.ModelName,
  ): boolean {
    const isFreed = freeMb >= (this.#view.sizesMb.get(model) ?? Infinity);
    const waiting = this.#view.demand.get(model)?.waiting ?? 0;
    return !isFreed && waiting >= RESERVATION_LATE_QUEUE_MIN &&
      (reservedMs ?? 0) > RESERVATION_LATE_MS;
  }

  #workMsOn({ models }: ReplicaEngine): number {
    let workMs = 0;
    for (const [model, replica] of models) {
      if (isServing(replica)) workMs += this.#workMsPerReplica(model);
    }
    return workMs;
  }

  #workMsPerReplica(model: core.ModelName): number {
    const workMsPerS = this.#view.demand.get(model)?.workMsPerS ?? 0;
    return workMsPerS / Math.max(1, this.replicas(model));
  }

  /** Requests per second expected for a model. */
  #expectedRatePerS(model: core.ModelName): number {
    const demand = this.#view.demand.get(model);
    const idleS = this.#view.idleMs(model) / MS_PER_S;
    const recentPerS = RECENT_RATE_PER_S * Math.min(1, 1 / idleS);
    const observedPerS = Math.max(
      demand?.ratePerS ?? 0,
      (demand?.waiting ?? 0) / QUEUE_TIME_S,
    );
    return Math.max(observedPerS, recentPerS, LONG_TAIL_RATE_PER_S);
  }

  /** Requests per second that a number of replicas serves. */
  #servedPerS(model: core.ModelName, replicas: number): number {
    if (replicas <= 0) return 0;
    const ratePerS = this.#expectedRatePerS(model);
    const workMs = this.#view.demand.get(model)?.workMsPerS ?? 0;
    const capacityMs = replicas * WORK_PER_REPLICA_MS;
    const servedShare = workMs <= capacityMs ? 1 : capacityMs / workMs;
    const hasStandby = replicas > 1 && ratePerS >= SECOND_REPLICA_RATE_PER_S;
    return ratePerS * (servedShare + (hasStandby ? STANDBY_REPLICA_SHARE : 0));
  }

  #deficits(): Deficit[] {
    const deficits: Deficit[] = [];
    for (const model of this.#view.sizesMb.keys()) {
      const replicas = this.replicas(model);
      const unservedFactor = replicas === 0
        ? 1 + this.#view.unservedMs(model) / UNSERVED_AGING_MS
        : 1;
      const gainPerS = unservedFactor *
        (this.#servedPerS(model, replicas + 1) -
          this.#servedPerS(model, replicas));
      const missing = this.#missingVersions(model);
      for (const softwareVersion of missing) {
        const pinnedPerS = replicas === 0 ? gainPerS : PINNED_RATE_PER_S;
        deficits.push({ model, gainPerS: pinnedPerS, softwareVersion });
      }
      // The first replica is placed where it serves all queued requests.
      if (replicas === 0 && missing.length > 0) continue;
      if (gainPerS > 0) deficits.push({ model, gainPerS });
    }
    return deficits.sort((a, b) => b.gainPerS - a.gainPerS);
  }

  /**
   * Versions in service at which queued requests for a model have to run, and
   * whose engines neither hold it nor will.
   */
  #missingVersions(model: core.ModelName): core.SoftwareVersion[] {
    const pinned = this.#view.demand.get(model)?.pinnedVersions ?? [];
    return [...pinned].filter((version) => {
      const engines = this.#view.engines.filter(
        ({ isUsable, softwareVersion }) =>
          isUsable && softwareVersion === version,
      );
      return engines.length > 0 &&
        !engines.some((engine) =>
          isServing(engine.models.get(model)) ||
          this.#expectsReserved(engine, model)
        );
    });
  }

  #place(deficit: Deficit): ReplicaAction | undefined {
    let best: Candidate | undefined;
    for (const engine of this.#view.engines) {
      const found = this.#candidateOn(engine, deficit);
      if (found && found.netPerS > (best?.netPerS ?? 0)) best = found;
    }
    if (best?.action.kind === "load" && best.needsStore) this.#storeLoads -= 1;
    return best?.action;
  }

  /**
   * The best action for a model on an engine, if one gains. The gain of a first
   * replica, of all or of a version, does not depend on the engine's spare
   * capacity, that of others does.
   */
  #candidateOn(
    engine: ReplicaEngine,
    { model, gainPerS, softwareVersion }: Deficit,
  ): Candidate | undefined {
    if (!engine.isUsable || !engine.canOrder) return undefined;
    const isPinned = softwareVersion !== undefined;
    if (isPinned && engine.softwareVersion !== softwareVersion) {
      return undefined;
    }
    if (this.#plannedEngines.has(engine.id) || engine.models.has(model)) {
      return undefined;
    }
    const needsStore = engine.needsStore(model);
    const isRequested = gainPerS > LONG_TAIL_RATE_PER_S;
    const reservedLoads = isRequested ? 0 : STORE_LOADS_RESERVED;
    if (needsStore && this.#storeLoads < 1 + reservedLoads) return undefined;
    const sizeMb = this.#view.sizesMb.get(model) ?? Infinity;
    const loadMs = engine.loadMs(model);
    const workLeftMs = WORK_PER_ENGINE_MS -
      (this.#workMsByEngine.get(engine.id) ?? 0);
    const useShare = isPinned || this.replicas(model) === 0
      ? 1
      : Math.min(1, workLeftMs / WORK_PER_REPLICA_MS);
    const engineGainPerS = gainPerS *
      Math.max(SATURATED_ENGINE_SHARE, useShare);
    if (engine.freeMb >= sizeMb) {
      const unusedCost = (engine.freeMb - sizeMb) * UNUSED_COST_PER_MB;
      const action: ReplicaAction = { kind: "load", engine: engine.id, model };
      const netPerS = engineGainPerS * shareOfHorizon(loadMs) - unusedCost;
      return { action, netPerS, needsStore };
    }
    if (hasDraining(engine)) return undefined;
    return this.#bestSwapOn(engine, model, engineGainPerS, loadMs);
  }

  /** The eviction on an engine with the highest net gain, if one gains. */
  #bestSwapOn(
    engine: ReplicaEngine,
    model: core.ModelName,
    gainPerS: number,
    loadMs: number,
  ): Candidate | undefined {
    const sizeMb = this.#view.sizesMb.get(model) ?? Infinity;
    let best: Candidate | undefined;
    for (const [victim, replica] of engine.models) {
      if (replica.phase !== "ready") continue;
      if (this.#isLastOfPinned(engine, victim)) continue;
      const victimMb = this.#view.sizesMb.get(victim) ?? 0;
      if (victimMb < sizeMb - engine.freeMb) continue;
      const lossPerS = this.#evictionLossPerS(victim, replica);
      if (lossPerS === undefined) continue;
      const share = shareOfHorizon(replica.drainMs + UNLOAD_MS + loadMs);
      const netPerS = gainPerS * share - lossPerS - SWAP_COST_PER_S;
      if (netPerS <= (best?.netPerS ?? 0)) continue;
      best = {
        action: {
          kind: "drain",
          engine: engine.id,
          model: victim,
          inFavourOf: model,
        },
        netPerS,
        needsStore: engine.needsStore(model),
      };
    }
    return best;
  }

  /** Whether queued requests can run on no other replica, by their version. */
  #isLastOfPinned(engine: ReplicaEngine, model: core.ModelName): boolean {
    const { id, softwareVersion } = engine;
    const { pinnedVersions } = this.#view.demand.get(model) ?? {};
    if (!pinnedVersions?.has(softwareVersion)) return false;
    return !this.#view.engines.some((other) =>
      other.id !== id && other.isUsable &&
      other.softwareVersion === softwareVersion &&
      !this.#plannedEngines.has(other.id) &&
      other.models.get(model)?.phase === "ready"
    );
  }

  /** Requests per second lost with a replica; undefined if it must stay. */
  #evictionLossPerS(
    model: core.ModelName,
    { ageMs }: ModelReplica,
  ): number | undefined {
    const ready = this.#readyReplicas.get(model) ?? 0;
    const hasQueued = (this.#view.demand.get(model)?.waiting ?? 0) > 0;
    if (ready <= 1 && hasQueued) return undefined;
    const newReplicaPerS = ageMs < NEW_REPLICA_MS ? NEW_REPLICA_RATE_PER_S : 0;
    return newReplicaPerS + this.#servedPerS(model, ready) -
      this.#servedPerS(model, ready - 1);
  }
}

/** Fraction of the horizon that is left once a replica is ready. */
function shareOfHorizon(delayMs: number): number {
  return Math.max(HORIZON_SHARE_MIN, (HORIZON_MS - delayMs) / HORIZON_MS);
}

/** The model that gains a replica by an action. */
function targetModel(action: ReplicaAction): core.ModelName {
  return action.inFavourOf ?? action.model;
}
