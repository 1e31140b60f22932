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
  /** Time that a load of the model would take here. */
  readonly loadMs: (model: core.ModelName) => number;
}

/** What the planner looks at. */
export interface CopyView {
  readonly engines: readonly CopyEngine[];
  readonly demand: ReadonlyMap<core.ModelName, ModelDemand>;
  readonly sizeMb: (model: core.ModelName) => number;
  /** Demand that a model had before, to tell the tail from the forgotten. */
  readonly lastAskedMs: (model: core.ModelName) => number;
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
const WORK_PER_COPY_MS = 350;
/** Rate from which the loss of one engine must not stop a model. */
const SECOND_COPY_RATE_PER_S = 1.5;
/** Rate below which a model that nobody waits for is not wanted. */
const WANTED_RATE_PER_S = 0.05;
/** Cost of a victim's request on the way, in ms of work a second. */
const IN_FLIGHT_COST = 40;
/** Cost of taking the last copy of a model that was asked for lately. */
const LAST_COPY_COST = 2_000;
/** Time after which a last copy that nobody asked for costs little. */
const FORGOTTEN_AFTER_MS = 20_000;
/** Weight of load time against engine work in the choice of an engine. */
const LOAD_TIME_WEIGHT = 0.1;

interface Ranked {
  readonly model: core.ModelName;
  readonly copies: number;
  readonly demand: ModelDemand;
}

/** Plans copies by demand. */
export class CopyPlanner {
  readonly #view: CopyView;
  readonly #copies = new Map<core.ModelName, number>();
  readonly #workOf = new Map<core.UpstreamId, number>();
  readonly #taken = new Set<core.UpstreamId>();

  constructor(view: CopyView) {
    this.#view = view;
    for (const engine of view.engines) this.#count(engine);
    for (const engine of view.engines) {
      this.#workOf.set(engine.id, this.#workOn(engine));
    }
  }

  /** Copies that a model should have. */
  wanted(model: core.ModelName): number {
    const demand = this.#view.demand.get(model);
    if (!demand) return 0;
    if (demand.waiting === 0 && demand.ratePerS < WANTED_RATE_PER_S) return 0;
    const byWork = Math.ceil(demand.workMsPerS / WORK_PER_COPY_MS);
    const least = demand.ratePerS >= SECOND_COPY_RATE_PER_S ? 2 : 1;
    return Math.min(Math.max(byWork, least), this.#view.engines.length);
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
    const actions: CopyAction[] = [];
    for (const { model } of this.#deficits()) {
      const action = this.#place(model);
      if (!action) continue;
      this.#taken.add(action.engine);
      if (action.kind === "load") {
        this.#copies.set(model, this.copies(model) + 1);
      } else {
        const victims = this.copies(action.model) - 1;
        this.#copies.set(action.model, victims);
      }
      actions.push(action);
    }
    return actions;
  }

  #count({ isUsable, models }: CopyEngine): void {
    if (!isUsable) return;
    for (const [model, { phase }] of models) {
      if (phase !== "ready" && phase !== "loading") continue;
      this.#copies.set(model, this.copies(model) + 1);
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

  /** Models without a copy first, then those with the most work a copy. */
  #deficits(): Ranked[] {
    const ranked: Ranked[] = [];
    for (const [model, demand] of this.#view.demand) {
      const copies = this.copies(model);
      if (copies < this.wanted(model)) ranked.push({ model, copies, demand });
    }
    return ranked.sort((a, b) => {
      const aNone = a.copies === 0 ? 0 : 1;
      const bNone = b.copies === 0 ? 0 : 1;
      if (aNone !== bNone) return aNone - bNone;
      if (aNone === 0 && a.demand.waiting !== b.demand.waiting) {
        return b.demand.waiting - a.demand.waiting;
      }
      return this.#workShare(b.model) - this.#workShare(a.model);
    });
  }

  #place(model: core.ModelName): CopyAction | undefined {
    const sizeMb = this.#view.sizeMb(model);
    let best: CopyAction | undefined;
    let bestCost = Infinity;
    for (const engine of this.#view.engines) {
      if (!engine.isUsable || !engine.canOrder) continue;
      if (this.#taken.has(engine.id) || engine.models.has(model)) continue;
      const makesRoom = hasClosing(engine);
      const workMs = this.#workOf.get(engine.id) ?? 0;
      const loadMs = engine.loadMs(model) * LOAD_TIME_WEIGHT;
      if (engine.freeMb >= sizeMb) {
        const cost = workMs + loadMs;
        if (cost >= bestCost) continue;
        best = { kind: "load", engine: engine.id, model };
        bestCost = cost;
        continue;
      }
      if (makesRoom) continue;
      const victim = this.#victim(engine, model, sizeMb - engine.freeMb);
      if (!victim) continue;
      const cost = workMs + loadMs + victim.cost;
      if (cost >= bestCost) continue;
      best = {
        kind: "close",
        engine: engine.id,
        model: victim.model,
        inFavourOf: model,
      };
      bestCost = cost;
    }
    return best;
  }

  /** The copy that is missed least; several small ones go one by one. */
  #victim(
    engine: CopyEngine,
    inFavourOf: core.ModelName,
    neededMb: number,
  ): { model: core.ModelName; cost: number } | undefined {
    let best: { model: core.ModelName; cost: number } | undefined;
    for (const [model, copy] of engine.models) {
      if (copy.phase !== "ready") continue;
      const cost = this.#victimCost(model, copy, inFavourOf);
      if (cost === undefined) continue;
      const isEnough = this.#view.sizeMb(model) >= neededMb;
      const total = cost + (isEnough ? 0 : LAST_COPY_COST / 4);
      if (!best || total < best.cost) best = { model, cost: total };
    }
    return best;
  }

  #victimCost(
    model: core.ModelName,
    { inFlight }: ModelCopy,
    inFavourOf: core.ModelName,
  ): number | undefined {
    const copies = this.copies(model);
    const wanted = this.wanted(model);
    const cost = this.#workShare(model) + inFlight * IN_FLIGHT_COST;
    if (wanted === 0) {
      const idleMs = this.#view.lastAskedMs(model);
      const isForgotten = copies > 1 || idleMs >= FORGOTTEN_AFTER_MS;
      return cost + (isForgotten ? 0 : LAST_COPY_COST / 8);
    }
    if (copies > wanted) return cost;
    // A model with copies yields to one that has none at all.
    if (this.copies(inFavourOf) > 0) return undefined;
    if (copies > 1) return cost + LAST_COPY_COST / 2;
    const rate = this.#view.demand.get(model)?.ratePerS ?? 0;
    const wantedRate = this.#view.demand.get(inFavourOf)?.ratePerS ?? 0;
    return rate * 4 < wantedRate ? cost + LAST_COPY_COST : undefined;
  }
}

function hasClosing(engine: CopyEngine): boolean {
  for (const { phase } of engine.models.values()) {
    if (phase === "closing" || phase === "unloading") return true;
  }
  return false;
}
