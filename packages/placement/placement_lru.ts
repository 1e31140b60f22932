/** The baseline: load on demand, evict the least recently used. */
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

/** Baseline: load what is waited for, evict the least recently used. */
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

/** The more recent the use, the higher the cost. */
function lruCost(
  artifact: PlacedArtifact,
  _engine: PlacedEngine,
  view: PlacementView,
): number {
  if (artifact.rowName === undefined) return 0;
  const lastUsedMs = view.lastUsedAtMs(artifact.rowName);
  return Math.max(1, lastUsedMs === -Infinity ? 1 : lastUsedMs);
}
