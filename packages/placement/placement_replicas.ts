/** How many copies of each model there are, and on which engines. */
import type * as core from "../core/mod.ts";

/** What callers ask of one model, over all nodes. */
export interface ModelDemand {
  readonly ratePerS: number;
  readonly waiting: number;
  /** Engine time that its requests need, in milliseconds a second. */
  readonly workMsPerS: number;
}

/** A copy of a model on an engine. */
export interface ModelReplica {
  readonly phase: "loading" | "ready" | "draining" | "unloading";
  /** Time until its requests on the way are expected to end, in ms. */
  readonly drainMs: number;
  /** Time since the copy was planned, in ms. */
  readonly ageMs: number;
}

/** One engine as the planner sees it. */
export interface ReplicaEngine {
  readonly id: core.UpstreamId;
  /** Whether new work may be planned for it. */
  readonly isUsable: boolean;
  /** Whether it takes an order now. */
  readonly canOrder: boolean;
  readonly freeMb: number;
  readonly models: ReadonlyMap<core.ModelName, ModelReplica>;
  /** Model for which room is being made here. */
  readonly reservedFor?: core.ModelName;
  /** Time for which room has been in the making, in ms. */
  readonly reservedMs?: number;
  /** Time that a load of the model would take here, in ms. */
  readonly loadMs: (model: core.ModelName) => number;
  /** Whether a load of the model would need the weight store. */
  readonly needsStore: (model: core.ModelName) => boolean;
}

/** What the planner looks at. */
export interface ReplicaView {
  readonly engines: readonly ReplicaEngine[];
  /** Sizes of all models that may be asked for, in MB. */
  readonly sizesMb: ReadonlyMap<core.ModelName, number>;
  readonly demand: ReadonlyMap<core.ModelName, ModelDemand>;
  /** Time since a model was last asked for, in ms; Infinity if never. */
  readonly idleMs: (model: core.ModelName) => number;
  /** Time for which a model without a copy has been asked for, in ms. */
  readonly unservedMs: (model: core.ModelName) => number;
  /** Loads from the weight store that may begin now. */
  readonly storeLoadsAvailable: number;
}

/** One step: load a model, or close one that makes room. */
export interface ReplicaAction {
  readonly kind: "load" | "drain";
  readonly engine: core.UpstreamId;
  readonly model: core.ModelName;
  /** For which model room is made. */
  readonly inFavourOf?: core.ModelName;
}

/** Work that one copy is meant to take, in ms a second; the rest is reserve. */
const WORK_PER_COPY_MS = 800;
/** Work that an engine can do for all its models, in ms a second. */
const WORK_PER_ENGINE_MS = 1_000;
/** Least share of a copy's use where an engine is full of work. */
const FULL_ENGINE_SHARE = 0.25;
/** Rate from which the loss of one engine must not stop a model. */
const SECOND_COPY_RATE_PER_S = 2;
/** Share of a model's requests that a copy held in reserve is worth. */
const SECOND_COPY_SHARE = 0.05;
/** Time for which a copy is expected to be of use: demand moves in seconds. */
const HORIZON_MS = 4_000;
/** Least part of that time counted for a copy that comes late. */
const LATE_SHARE = 0.1;
/** Time for which requests wait for a copy; those waiting came in that time. */
const WAIT_S = 2;
/** Time in which a model lacking a copy counts as asked for once more. */
const LACKING_MS = 3_000;
/** Rate of a model that was just asked for, and of one that never was. */
const RECENT_RATE_PER_S = 0.5;
const TAIL_RATE_PER_S = 0.01;
/** Requests a second that a swap must win: loads take from the weight store. */
const SWAP_LOSS_PER_S = 0.05;
/** Requests a second ascribed to a copy that was loaded only just now. */
const YOUNG_RATE_PER_S = 0.4;
const YOUNG_FOR_MS = 4_000;
/** Time after which room in the making is late: requests run on for seconds. */
const ROOM_LATE_MS = 1_000;
/** Requests that wait from which late room calls for other room as well. */
const ROOM_LATE_WAITING = 4;
/** Time for an engine to unload a model that is not in use, as reported. */
const UNLOAD_MS = 150;
/** Weight of room left unused, per MB: small models fill small gaps. */
const WASTE_PER_MB = 1e-8;
/** Loads from the weight store kept back from models nobody asks for. */
const STORE_RESERVE = 1;
const MS_PER_S = 1_000;

/** A model for which a further copy would serve more requests. */
interface Deficit {
  readonly model: core.ModelName;
  /** Requests a second that the copy would serve. */
  readonly gainPerS: number;
}

/** A way to get a copy, and the requests a second that it wins. */
interface Option {
  readonly action: ReplicaAction;
  readonly netPerS: number;
  readonly needsStore: boolean;
}

/**
 * Plans copies by the requests that they serve: a copy is added where it
 * serves more than the room that it takes serves now, after the time that
 * making room and loading take.
 */
export class ReplicaPlanner {
  readonly #view: ReplicaView;
  /** Copies that are there or on their way. */
  readonly #copies = new Map<core.ModelName, number>();
  /** Copies that serve now: only of these one can be spared. */
  readonly #ready = new Map<core.ModelName, number>();
  readonly #workOf = new Map<core.UpstreamId, number>();
  readonly #taken = new Set<core.UpstreamId>();
  #storeLoads: number;

  constructor(view: ReplicaView) {
    this.#view = view;
    this.#storeLoads = view.storeLoadsAvailable;
    for (const engine of view.engines) this.#count(engine);
    for (const engine of view.engines) {
      this.#workOf.set(engine.id, this.#workOn(engine));
    }
  }

  /** Copies that serve or are being loaded. */
  replicas(model: core.ModelName): number {
    return this.#copies.get(model) ?? 0;
  }

  /**
   * Plans the next steps, one an engine at most.
   *
   * @example
   * ```ts
   * for (const action of new CopyPlanner(view).plan()) await carryOut(action);
   * ```
   */
  plan(): ReplicaAction[] {
    const actions = this.#keepReservations();
    for (const deficit of this.#deficits()) {
      const action = this.#place(deficit);
      if (!action) continue;
      this.#taken.add(action.engine);
      this.#copies.set(model(action), this.replicas(model(action)) + 1);
      if (action.kind === "drain") {
        this.#copies.set(action.model, this.replicas(action.model) - 1);
        const ready = this.#ready.get(action.model) ?? 0;
        this.#ready.set(action.model, ready - 1);
      }
      actions.push(action);
    }
    return actions;
  }

  /** Loads what room has been made for. */
  #keepReservations(): ReplicaAction[] {
    const actions: ReplicaAction[] = [];
    for (const engine of this.#view.engines) {
      const model = engine.reservedFor;
      if (model === undefined || engine.models.has(model)) continue;
      this.#taken.add(engine.id);
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

  #count(engine: ReplicaEngine): void {
    const { isUsable, models, reservedFor } = engine;
    if (!isUsable) return;
    const isExpected = reservedFor !== undefined && !models.has(reservedFor) &&
      !this.#isRoomLate(engine, reservedFor);
    if (isExpected) {
      this.#copies.set(reservedFor, this.replicas(reservedFor) + 1);
    }
    for (const [model, { phase }] of models) {
      if (phase !== "ready" && phase !== "loading") continue;
      this.#copies.set(model, this.replicas(model) + 1);
      if (phase !== "ready") continue;
      this.#ready.set(model, (this.#ready.get(model) ?? 0) + 1);
    }
  }

  /** Whether many wait for room whose requests do not come to their end. */
  #isRoomLate(
    { reservedMs, freeMb }: ReplicaEngine,
    model: core.ModelName,
  ): boolean {
    const isMade = freeMb >= (this.#view.sizesMb.get(model) ?? Infinity);
    const waiting = this.#view.demand.get(model)?.waiting ?? 0;
    return !isMade && waiting >= ROOM_LATE_WAITING &&
      (reservedMs ?? 0) > ROOM_LATE_MS;
  }

  #workOn({ models }: ReplicaEngine): number {
    let workMs = 0;
    for (const [model, { phase }] of models) {
      if (phase === "ready" || phase === "loading") {
        workMs += this.#workShare(model);
      }
    }
    return workMs;
  }

  #workShare(model: core.ModelName): number {
    const workMsPerS = this.#view.demand.get(model)?.workMsPerS ?? 0;
    return workMsPerS / Math.max(1, this.replicas(model));
  }

  /** Requests a second expected for a model. */
  #rateOf(model: core.ModelName): number {
    const demand = this.#view.demand.get(model);
    const idleS = this.#view.idleMs(model) / MS_PER_S;
    const recent = RECENT_RATE_PER_S * Math.min(1, 1 / idleS);
    const seen = Math.max(
      demand?.ratePerS ?? 0,
      (demand?.waiting ?? 0) / WAIT_S,
    );
    return Math.max(seen, recent, TAIL_RATE_PER_S);
  }

  /** Requests a second that a number of copies serves. */
  #servedPerS(model: core.ModelName, copies: number): number {
    if (copies <= 0) return 0;
    const ratePerS = this.#rateOf(model);
    const workMs = this.#view.demand.get(model)?.workMsPerS ?? 0;
    const capacityMs = copies * WORK_PER_COPY_MS;
    const share = workMs <= capacityMs ? 1 : capacityMs / workMs;
    const isSpared = copies > 1 && ratePerS >= SECOND_COPY_RATE_PER_S;
    return ratePerS * (share + (isSpared ? SECOND_COPY_SHARE : 0));
  }

  #deficits(): Deficit[] {
    const deficits: Deficit[] = [];
    for (const model of this.#view.sizesMb.keys()) {
      const copies = this.replicas(model);
      const lacking = copies === 0
        ? 1 + this.#view.unservedMs(model) / LACKING_MS
        : 1;
      const gainPerS = lacking *
        (this.#servedPerS(model, copies + 1) -
          this.#servedPerS(model, copies));
      if (gainPerS > 0) deficits.push({ model, gainPerS });
    }
    return deficits.sort((a, b) => b.gainPerS - a.gainPerS);
  }

  #place(deficit: Deficit): ReplicaAction | undefined {
    let best: Option | undefined;
    for (const engine of this.#view.engines) {
      const option = this.#optionOn(engine, deficit);
      if (option && option.netPerS > (best?.netPerS ?? 0)) best = option;
    }
    if (best?.action.kind === "load" && best.needsStore) this.#storeLoads -= 1;
    return best?.action;
  }

  #optionOn(engine: ReplicaEngine, { model, gainPerS }: Deficit) {
    if (!engine.isUsable || !engine.canOrder) return undefined;
    if (this.#taken.has(engine.id) || engine.models.has(model)) {
      return undefined;
    }
    const needsStore = engine.needsStore(model);
    const isAskedFor = gainPerS > TAIL_RATE_PER_S;
    const reserve = isAskedFor ? 0 : STORE_RESERVE;
    if (needsStore && this.#storeLoads < 1 + reserve) return undefined;
    const sizeMb = this.#view.sizesMb.get(model) ?? Infinity;
    const loadMs = engine.loadMs(model);
    const workLeftMs = WORK_PER_ENGINE_MS - (this.#workOf.get(engine.id) ?? 0);
    const use = this.replicas(model) === 0
      ? 1
      : Math.min(1, workLeftMs / WORK_PER_COPY_MS);
    const fullGain = gainPerS * Math.max(FULL_ENGINE_SHARE, use);
    if (engine.freeMb >= sizeMb) {
      const wasted = (engine.freeMb - sizeMb) * WASTE_PER_MB;
      const action: ReplicaAction = { kind: "load", engine: engine.id, model };
      const netPerS = fullGain * shareOfHorizon(loadMs) - wasted;
      return { action, netPerS, needsStore };
    }
    if (hasClosing(engine)) return undefined;
    return this.#swapOn(engine, model, fullGain, loadMs);
  }

  /** The swap that wins most on an engine, if any wins. */
  #swapOn(
    engine: ReplicaEngine,
    model: core.ModelName,
    gainPerS: number,
    loadMs: number,
  ): Option | undefined {
    const sizeMb = this.#view.sizesMb.get(model) ?? Infinity;
    let best: Option | undefined;
    for (const [victim, copy] of engine.models) {
      if (copy.phase !== "ready") continue;
      const victimMb = this.#view.sizesMb.get(victim) ?? 0;
      if (victimMb < sizeMb - engine.freeMb) continue;
      const lossPerS = this.#lossOf(victim, copy);
      if (lossPerS === undefined) continue;
      const share = shareOfHorizon(copy.drainMs + UNLOAD_MS + loadMs);
      const netPerS = gainPerS * share - lossPerS - SWAP_LOSS_PER_S;
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

  /** Requests a second that are lost with a copy; undefined if it must stay. */
  #lossOf(
    model: core.ModelName,
    { ageMs }: ModelReplica,
  ): number | undefined {
    const ready = this.#ready.get(model) ?? 0;
    const isWaitedFor = (this.#view.demand.get(model)?.waiting ?? 0) > 0;
    if (ready <= 1 && isWaitedFor) return undefined;
    const youngPerS = ageMs < YOUNG_FOR_MS ? YOUNG_RATE_PER_S : 0;
    return youngPerS + this.#servedPerS(model, ready) -
      this.#servedPerS(model, ready - 1);
  }
}

/** Part of a copy's time of use that is left once it serves. */
function shareOfHorizon(readyMs: number): number {
  return Math.max(LATE_SHARE, (HORIZON_MS - readyMs) / HORIZON_MS);
}

/** The model that an action is for. */
function model(action: ReplicaAction): core.ModelName {
  return action.inFavourOf ?? action.model;
}

function hasClosing(engine: ReplicaEngine): boolean {
  for (const { phase } of engine.models.values()) {
    if (phase === "draining" || phase === "unloading") return true;
  }
  return false;
}
