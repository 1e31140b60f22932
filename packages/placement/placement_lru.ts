/** Baseline placement: loads on demand, evicts the least recently used. */
import {
  DraftPlan,
  makeAvailable,
  rowsAwaitingLoad,
} from "./placement_draft.ts";
import {
  type PlacedArtifact,
  type PlacedEngine,
  type PlacementAction,
  PlacementPolicy,
  type PlacementView,
} from "./placement_policy.ts";

/** Loads rows that requests wait for, evicts the least recently used. */
export class LruPlacement extends PlacementPolicy {
  override readonly name = "lru";

  override plan(view: PlacementView): PlacementAction[] {
    const draft = new DraftPlan(view);
    for (const row of rowsAwaitingLoad(view)) {
      makeAvailable(row, view, draft, lruCost);
    }
    return draft.actions;
  }
}

/** Eviction cost that grows with the time of last use. */
function lruCost(
  artifact: PlacedArtifact,
  _engine: PlacedEngine,
  view: PlacementView,
): number {
  if (artifact.rowName === undefined) return 0;
  const lastUsedAtMs = view.lastUsedAtMs(artifact.rowName);
  return Math.max(1, lastUsedAtMs === -Infinity ? 1 : lastUsedAtMs);
}
