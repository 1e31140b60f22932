/** Placement: demand, and which artifacts are loaded where. */
export { DemandBoard, LocalDemand } from "./placement_demand.ts";
export type { RowDemand } from "./placement_demand.ts";
export {
  DemandPlacement,
  LruPlacement,
  PlacementPolicy,
} from "./placement_policy.ts";
export type {
  DemandPlacementOptions,
  PlacedArtifact,
  PlacedEngine,
  PlacementAction,
  PlacementView,
} from "./placement_policy.ts";
