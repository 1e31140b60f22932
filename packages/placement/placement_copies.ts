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
export interface ModelCopy {
  readonly phase: "loading" | "ready" | "closing" | "unloading";
  readonly inFlight: number;
  /** Time since the copy was planned, in ms. */
  readonly ageMs: number;
}

/** One engine as the planner sees it. */
export interface CopyEngine {
  readonly id: core.UpstreamId;
  /** Whether new work may be planned for it. */
  readonly isUsable: boolean;
  /** Whether it takes an order now. */
  readonly canOrder: boolean;
  readonly freeMb: number;
  readonly models: ReadonlyMap<core.ModelName, ModelCopy>;
  /** Model for which room is being made here. */
  readonly reservedFor?: core.ModelName;
  /** Time that a load of the model would take here, in ms. */
  readonly loadMs: (model: core.ModelName) => number;
  /** Whether a load of the model would need the weight store. */
  readonly needsStore: (model: core.ModelName) => boolean;
}

/** What the planner looks at. */
export interface CopyView {
  readonly engines: readonly CopyEngine[];
  /** Sizes of all models that may be asked for, in MB. */
  readonly sizesMb: ReadonlyMap<core.ModelName, number>;
  readonly demand: ReadonlyMap<core.ModelName, ModelDemand>;
  /** Time since a model was last asked for, in ms; Infinity if never. */
  readonly idleMs: (model: core.ModelName) => number;
  /** Loads from the weight store that may begin now. */
  readonly storeLoads: number;
}

/** One step: load a model, or close one that makes room. */
export interface CopyAction {
  readonly kind: "load" | "close";
  readonly engine: core.UpstreamId;
  readonly model: core.ModelName;
  /** For which model room is made. */
  readonly inFavourOf?: core.ModelName;
}

/** Work that one copy is meant to take, in ms a second; the rest is reserve. */
const WORK_PER_COPY_MS = 800;
/** Rate from which the loss of one engine must not stop a model. */
const SECOND_COPY_RATE_PER_S = 2;
/** Cost of a victim's requests on the way: an unload waits for all to end. */
const IN_USE_COST = 500;
const IN_FLIGHT_COST = 40;
/** Cost of a victim that was loaded only just now. */
const YOUNG_COPY_COST = 400;
const YOUNG_FOR_MS = 4_000;
/** Cost of taking a model's last copy, fading with the time it was not used. */
const LAST_COPY_COST = 1_500;
const LAST_COPY_HALF_LIFE_MS = 10_000;
/** Time for which a rare model's only copy is kept from busy models. */
const RARE_KEPT_MS = 12_000;
/** Cost of taking the second copy of a model that should survive a crash. */
const SPARE_COPY_COST = 300;
/** Weight of load time against engine work in the choice of an engine. */
const LOAD_TIME_WEIGHT = 0.1;
/** Weight of room left unused, per MB: small models fill small gaps. */
const WASTE_WEIGHT = 0.002;
/** Loads from the weight store kept back from models nobody asks for. */
const STORE_RESERVE = 1;

/** Why a model should get a copy; the lower goes first. */
const enum Urgency {
  AskedFor = 0,
  Overloaded = 1,
  Spare = 2,
  Tail = 3,
}

interface Deficit {
  readonly model: core.ModelName;
  readonly urgency: Urgency;
  readonly weight: number;
}

/**
 * Plans copies: every model that may be asked for keeps one as far as there is
 * room, and the busy ones get as many as their work needs.
 */
export class CopyPlanner {
  readonly #view: CopyView;
  /** Copies that are there or on their way. */
  readonly #copies = new Map<core.ModelName, number>();
  /** Copies that serve now: only of these one can be spared. */
  readonly #ready = new Map<core.ModelName, number>();
  readonly #workOf = new Map<core.UpstreamId, number>();
  readonly #taken = new Set<core.UpstreamId>();
  #storeLoads: number;

  constructor(view: CopyView) {
    this.#view = view;
    this.#storeLoads = view.storeLoads;
    for (const engine of view.engines) this.#count(engine);
    for (const engine of view.engines) {
      this.#workOf.set(engine.id, this.#workOn(engine));
    }
  }

  /** Copies that a model's work needs. */
  wanted(model: core.ModelName): number {
    const workMsPerS = this.#view.demand.get(model)?.workMsPerS ?? 0;
    const byWork = Math.ceil(workMsPerS / WORK_PER_COPY_MS);
    return Math.max(1, Math.min(byWork, this.#view.engines.length));
  }

  /** Copies that serve or are being loaded. */
  copies(model: core.ModelName): number {
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
  plan(): CopyAction[] {
    const actions = this.#keepReservations();
    for (const deficit of this.#deficits()) {
      const action = this.#place(deficit);
      if (!action) continue;
      this.#taken.add(action.engine);
      this.#copies.set(model(action), this.copies(model(action)) + 1);
      if (action.kind === "close") {
        this.#copies.set(action.model, this.copies(action.model) - 1);
        const ready = this.#ready.get(action.model) ?? 0;
        this.#ready.set(action.model, ready - 1);
      }
      actions.push(action);
    }
    return actions;
  }

  /** Loads what room has been made for. */
  #keepReservations(): CopyAction[] {
    const actions: CopyAction[] = [];
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

  #count({ isUsable, models, reservedFor }: CopyEngine): void {
    if (!isUsable) return;
    if (reservedFor !== undefined && !models.has(reservedFor)) {
      this.#copies.set(reservedFor, this.copies(reservedFor) + 1);
    }
    for (const [model, { phase }] of models) {
      if (phase !== "ready" && phase !== "loading") continue;
      this.#copies.set(model, this.copies(model) + 1);
      if (phase !== "ready") continue;
      this.#ready.set(model, (this.#ready.get(model) ?? 0) + 1);
    }
  }

  #workOn({ models }: CopyEngine): number {
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
    return workMsPerS / Math.max(1, this.copies(model));
  }

  #deficits(): Deficit[] {
    const deficits: Deficit[] = [];
    for (const model of this.#view.sizesMb.keys()) {
      const deficit = this.#deficit(model);
      if (deficit) deficits.push(deficit);
    }
    return deficits.sort((a, b) =>
      a.urgency - b.urgency || b.weight - a.weight
    );
  }

  #deficit(model: core.ModelName): Deficit | undefined {
    const demand = this.#view.demand.get(model);
    const copies = this.copies(model);
    if (copies === 0) {
      const isAskedFor = (demand?.waiting ?? 0) > 0;
      return isAskedFor
        ? { model, urgency: Urgency.AskedFor, weight: demand!.waiting }
        : {
          model,
          urgency: Urgency.Tail,
          weight: demand?.ratePerS ?? -this.#view.idleMs(model),
        };
    }
    if (copies < this.wanted(model)) {
      const weight = this.#workShare(model);
      return { model, urgency: Urgency.Overloaded, weight };
    }
    const isBusy = (demand?.ratePerS ?? 0) >= SECOND_COPY_RATE_PER_S;
    return isBusy && copies < 2
      ? { model, urgency: Urgency.Spare, weight: demand!.ratePerS }
      : undefined;
  }

  #place({ model, urgency }: Deficit): CopyAction | undefined {
    const sizeMb = this.#view.sizesMb.get(model) ?? Infinity;
    let best: CopyAction | undefined;
    let bestCost = Infinity;
    let bestNeedsStore = false;
    for (const engine of this.#view.engines) {
      if (!engine.isUsable || !engine.canOrder) continue;
      if (this.#taken.has(engine.id) || engine.models.has(model)) continue;
      const needsStore = engine.needsStore(model);
      const reserve = urgency === Urgency.Tail ? STORE_RESERVE : 0;
      if (needsStore && this.#storeLoads < 1 + reserve) continue;
      const base = (this.#workOf.get(engine.id) ?? 0) +
        engine.loadMs(model) * LOAD_TIME_WEIGHT;
      if (engine.freeMb >= sizeMb) {
        const cost = base + (engine.freeMb - sizeMb) * WASTE_WEIGHT;
        if (cost >= bestCost) continue;
        best = { kind: "load", engine: engine.id, model };
        bestCost = cost;
        bestNeedsStore = needsStore;
        continue;
      }
      if (hasClosing(engine)) continue;
      const victim = this.#victim(engine, urgency, sizeMb - engine.freeMb);
      if (!victim) continue;
      const cost = base + victim.cost;
      if (cost >= bestCost) continue;
      best = {
        kind: "close",
        engine: engine.id,
        model: victim.model,
        inFavourOf: model,
      };
      bestCost = cost;
      bestNeedsStore = needsStore;
    }
    if (best?.kind === "load" && bestNeedsStore) this.#storeLoads -= 1;
    return best;
  }

  /** The copy that is missed least among those large enough. */
  #victim(
    engine: CopyEngine,
    urgency: Urgency,
    neededMb: number,
  ): { model: core.ModelName; cost: number } | undefined {
    let best: { model: core.ModelName; cost: number } | undefined;
    for (const [model, copy] of engine.models) {
      if (copy.phase !== "ready") continue;
      if ((this.#view.sizesMb.get(model) ?? 0) < neededMb) continue;
      const cost = this.#victimCost(model, copy, urgency);
      if (cost === undefined) continue;
      if (!best || cost < best.cost) best = { model, cost };
    }
    return best;
  }

  /** What closing a copy costs; undefined where the urgency forbids it. */
  #victimCost(
    model: core.ModelName,
    { inFlight, ageMs }: ModelCopy,
    urgency: Urgency,
  ): number | undefined {
    // Before callers have asked for anything, what is busy is not known.
    if (urgency === Urgency.Tail && this.#view.demand.size === 0) {
      return undefined;
    }
    const copies = this.#ready.get(model) ?? 0;
    const demand = this.#view.demand.get(model);
    const young = ageMs < YOUNG_FOR_MS ? YOUNG_COPY_COST : 0;
    const cost = this.#workShare(model) + young +
      (inFlight > 0 ? IN_USE_COST + inFlight * IN_FLIGHT_COST : 0);
    if (copies > this.wanted(model)) {
      const isSpare = copies === 2 &&
        (demand?.ratePerS ?? 0) >= SECOND_COPY_RATE_PER_S;
      if (!isSpare) return urgency === Urgency.Tail && young ? undefined : cost;
      return urgency <= Urgency.Overloaded ? cost + SPARE_COPY_COST : undefined;
    }
    if (urgency > Urgency.Overloaded || copies > 1) return undefined;
    if ((demand?.waiting ?? 0) > 0) return undefined;
    const idleMs = this.#view.idleMs(model);
    // Another copy for a busy model is not worth a rare one's only copy.
    if (urgency === Urgency.Overloaded && idleMs < RARE_KEPT_MS) {
      return undefined;
    }
    const fade = 0.5 ** (idleMs / LAST_COPY_HALF_LIFE_MS);
    return cost + LAST_COPY_COST * fade;
  }
}

/** The model that an action is for. */
function model(action: CopyAction): core.ModelName {
  return action.inFavourOf ?? action.model;
}

function hasClosing(engine: CopyEngine): boolean {
  for (const { phase } of engine.models.values()) {
    if (phase === "closing" || phase === "unloading") return true;
  }
  return false;
}
