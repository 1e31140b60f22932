/** Placement by demand: loads what requests wait for, replicates busy rows. */
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

/** Settings of the demand policy. */
export interface DemandPlacementOptions {
  /** Trade-off from 0, fewest loads and unloads, to 1, shortest waits. */
  readonly attainmentWeight: number;
  /**
   * Minimum residence time before an eviction, in milliseconds. A waiting row
   * may evict artifacts without demand sooner, a starved one also others.
   */
  readonly residentMinMs: number;
}

/** Waiting time after which a row may evict rows that are in use. */
const STARVED_AFTER_MS = 2_000;
/** Factor on the cost of evicting the last replica of a row in use. */
const LAST_REPLICA_FACTOR = 10;
/** Slot usage above which a replica is added, by attainment weight 0 and 1. */
const GROW_USAGE_AT_0 = 0.95;
const GROW_USAGE_AT_1 = 0.6;
/** Eviction cost, per unit of row weight, of a row that was used just now. */
const RECENCY_COST = 0.001;
/** Time for which a loaded row in demand stays even if another one starves. */
const STARVED_RESIDENT_MIN_MS = 1_000;
/**
 * Eviction cost of an artifact that was just loaded. Of rows with the same
 * demand, the one resident for longest is evicted.
 */
const RECENT_LOAD_COST = 0.5;

/** Follows demand, with hysteresis against needless loads and unloads. */
export class DemandPlacement extends PlacementPolicy {
  override readonly name = "demand";
  readonly #options: DemandPlacementOptions;

  constructor(options: DemandPlacementOptions) {
    super();
    this.#options = options;
  }

  override plan(view: PlacementView): PlacementAction[] {
    const draft = new DraftPlan(view);
    const costOf: EvictionCost = (artifact, engine, _view, incoming) =>
      this.#evictionCost(artifact, engine, view, incoming);
    for (const row of [...rowsAwaitingLoad(view), ...outdatedRows(view)]) {
      makeAvailable(row, view, draft, costOf);
    }
    this.#addReplicas(view, draft);
    return draft.actions;
  }

  /** Adds replicas of rows whose engines are above the slot usage limit. */
  #addReplicas(view: PlacementView, draft: DraftPlan): void {
    const { attainmentWeight } = this.#options;
    const limit = GROW_USAGE_AT_0 +
      (GROW_USAGE_AT_1 - GROW_USAGE_AT_0) * attainmentWeight;
    const byNeed = [...view.demand.values()]
      .map((demand) => ({ demand, row: view.rows.get(demand.rowName)?.row }))
      .sort((a, b) => neededSlots(b.demand) - neededSlots(a.demand));
    for (const { demand, row } of byNeed) {
      if (row === undefined) continue;
      const holders = draft.holdersOf(row);
      if (holders.length === 0) continue;
      const slots = holders.reduce((sum, engine) => sum + engine.slots, 0);
      const usage = holders
        .reduce((sum, engine) => sum + engine.slotUsage * engine.slots, 0) /
        slots;
      if (usage < limit || neededSlots(demand) < slots * limit / 2) continue;
      const idleCostOf: EvictionCost = (artifact, engine) =>
        this.#idleEvictionCost(artifact, engine, view);
      place(row, view, draft, idleCostOf);
    }
  }

  /** Cost of evicting an artifact while another row waits. */
  #evictionCost(
    artifact: PlacedArtifact,
    engine: PlacedEngine,
    view: PlacementView,
    incoming: table.TableRow,
  ): number {
    const { rowName } = artifact;
    const row = rowName === undefined ? undefined : view.rows.get(rowName)?.row;
    if (row === undefined || rowName === undefined) return 0;
    const isStarved = view.waitedMs(incoming.name) > STARVED_AFTER_MS;
    const { residentMinMs } = this.#options;
    const protectedMs = isStarved
      ? Math.min(residentMinMs, STARVED_RESIDENT_MIN_MS)
      : residentMinMs;
    const demand = neededSlotsOf(artifact, engine, view);
    if (artifact.residentMs < protectedMs && demand > 0) return Infinity;
    const replicas =
      view.engines.filter((other) =>
        other.artifacts.some((held) => held.artifactId === artifact.artifactId)
      ).length;
    const isLast = replicas <= 1;
    if (
      isLast && demand > 0 && !isStarved && row.priority > incoming.priority
    ) {
      return Infinity;
    }
    const demandCost = demand * row.weight * (isLast ? LAST_REPLICA_FACTOR : 1);
    const recentLoadCost = RECENT_LOAD_COST * 1_000 /
      (1_000 + artifact.residentMs);
    return demandCost + recentLoadCost +
      recency(rowName, view) * RECENCY_COST * row.weight;
  }

  /** Like `#evictionCost`, but only artifacts without demand may be evicted. */
  #idleEvictionCost(
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

/** Engine slots that a row's demand occupies. */
function neededSlots(demand: RowDemand): number {
  const { ratePerS, serviceMs, waiting, inProgress } = demand;
  return Math.max(ratePerS * serviceMs / 1_000, waiting, inProgress);
}

/** Slots needed for an artifact's row and for its adapters on this engine. */
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

/** Recency of use, from 0 (never used) to nearly 1 (used just now). */
function recency(rowName: core.RowName, view: PlacementView): number {
  const lastUsedAtMs = view.lastUsedAtMs(rowName);
  if (lastUsedAtMs === -Infinity) return 0;
  const idleS = Math.max(0, core.monotonicMs() - lastUsedAtMs) / 1_000;
  return 1 / (1 + idleS);
}
