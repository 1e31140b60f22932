/** Placement that follows demand. */
import * as core from "../core/mod.ts";
import type { RowDemand } from "./placement_demand.ts";
import {
  adaptersOn,
  DraftPlan,
  type EvictionCost,
  makeAvailable,
  outdatedRows,
  place,
  rowsAwaitingLoad,
} from "./placement_draft.ts";
import {
  type PlacedArtifact,
  type PlacedEngine,
  type PlacementAction,
  PlacementPolicy,
  type PlacementView,
} from "./placement_policy.ts";
import type * as table from "../table/mod.ts";

/** How demand turns into moves. */
export interface DemandPlacementOptions {
  /** 0 spares moves, 1 spares waiting. */
  readonly attainmentWeight: number;
  /** Nothing is evicted sooner after it was loaded, in milliseconds. */
  readonly residentMinMs: number;
}

/** A row that waited so long may evict rows that are in use. */
const STARVED_AFTER_MS = 2_000;
/** Cost of evicting the last copy of a row in use, relative to its demand. */
const LAST_COPY_FACTOR = 10;
/** Fill of a row's engines above which a copy is added, by weight 0 and 1. */
const GROW_FILL_AT_0 = 0.95;
const GROW_FILL_AT_1 = 0.6;
const IDLE_COST = 0.001;
/** What was loaded for a waiting row stays so long even for a starved one. */
const STARVED_YOUTH_MS = 1_000;
/** Of rows asked for alike, the one that was held longest makes room. */
const YOUTH_COST = 0.5;

/** Follows demand, with hysteresis against needless moves. */
export class DemandPlacement extends PlacementPolicy {
  override readonly name = "demand";
  readonly #options: DemandPlacementOptions;

  constructor(options: DemandPlacementOptions) {
    super();
    this.#options = options;
  }

  override plan(view: PlacementView): PlacementAction[] {
    const draft = new DraftPlan(view);
    const costOf: EvictionCost = (artifact, engine, _view, wanted) =>
      this.#cost(artifact, engine, view, wanted);
    for (const row of [...rowsAwaitingLoad(view), ...outdatedRows(view)]) {
      makeAvailable(row, view, draft, costOf);
    }
    this.#grow(view, draft);
    return draft.actions;
  }

  /** Adds copies of rows whose engines are too full. */
  #grow(view: PlacementView, draft: DraftPlan): void {
    const { attainmentWeight } = this.#options;
    const limit = GROW_FILL_AT_0 +
      (GROW_FILL_AT_1 - GROW_FILL_AT_0) * attainmentWeight;
    const busy = [...view.demand.values()]
      .map((demand) => ({ demand, row: view.rows.get(demand.rowName)?.row }))
      .sort((a, b) => neededSlots(b.demand) - neededSlots(a.demand));
    for (const { demand, row } of busy) {
      if (row === undefined) continue;
      const holders = draft.holdersOf(row);
      if (holders.length === 0) continue;
      const slots = holders.reduce((sum, engine) => sum + engine.slots, 0);
      const fill = holders
        .reduce((sum, engine) => sum + engine.slotUsage * engine.slots, 0) /
        slots;
      if (fill < limit || neededSlots(demand) < slots * limit / 2) continue;
      const idleOnly: EvictionCost = (artifact, engine) =>
        this.#idleCost(artifact, engine, view);
      place(row, view, draft, idleOnly);
    }
  }

  /** What evicting an artifact costs while another row waits. */
  #cost(
    artifact: PlacedArtifact,
    engine: PlacedEngine,
    view: PlacementView,
    wanted: table.TableRow,
  ): number {
    const { rowName } = artifact;
    const row = rowName === undefined ? undefined : view.rows.get(rowName)?.row;
    if (row === undefined || rowName === undefined) return 0;
    const starved = view.waitedMs(wanted.name) > STARVED_AFTER_MS;
    const { residentMinMs } = this.#options;
    const youthMs = starved
      ? Math.min(residentMinMs, STARVED_YOUTH_MS)
      : residentMinMs;
    const demand = neededSlotsOf(artifact, engine, view);
    if (artifact.residentMs < youthMs && demand > 0) return Infinity;
    const copies =
      view.engines.filter((other) =>
        other.artifacts.some((held) => held.artifactId === artifact.artifactId)
      ).length;
    const isLast = copies <= 1;
    if (isLast && demand > 0 && !starved && row.priority > wanted.priority) {
      return Infinity;
    }
    const base = demand * row.weight * (isLast ? LAST_COPY_FACTOR : 1);
    const youth = YOUTH_COST * 1_000 / (1_000 + artifact.residentMs);
    return base + youth + recency(rowName, view) * IDLE_COST * row.weight;
  }

  /** As `#cost`, but only what nobody asks for may go. */
  #idleCost(
    artifact: PlacedArtifact,
    engine: PlacedEngine,
    view: PlacementView,
  ): number {
    if (artifact.rowName === undefined) return 0;
    if (artifact.residentMs < this.#options.residentMinMs) return Infinity;
    if (neededSlotsOf(artifact, engine, view) > 0.01) return Infinity;
    return recency(artifact.rowName, view);
  }
}

/** Slots that a row's demand keeps busy. */
function neededSlots(demand: RowDemand): number {
  const { ratePerS, serviceMs, waiting, inProgress } = demand;
  return Math.max(ratePerS * serviceMs / 1_000, waiting, inProgress);
}

/** Busy slots of an artifact's row and, on this engine, its adapters. */
function neededSlotsOf(
  artifact: PlacedArtifact,
  engine: PlacedEngine,
  view: PlacementView,
): number {
  const group = [artifact, ...adaptersOn(engine, artifact, view)];
  return group.reduce((sum, { rowName }) => {
    const demand = rowName === undefined ? undefined : view.demand.get(rowName);
    return sum + (demand === undefined ? 0 : neededSlots(demand));
  }, 0);
}

/** From 0, never used, to nearly 1, just used. */
function recency(rowName: core.RowName, view: PlacementView): number {
  const lastUsedMs = view.lastUsedAtMs(rowName);
  if (lastUsedMs === -Infinity) return 0;
  const idleS = Math.max(0, core.monotonicMs() - lastUsedMs) / 1_000;
  return 1 / (1 + idleS);
}
