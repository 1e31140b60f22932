/** Placement: demand, and which artifacts are loaded where. */
export { DemandBoard, LocalDemand } from "./placement_demand.ts";
export type { RowDemand } from "./placement_demand.ts";
export { DemandPlacement } from "./placement_demand_policy.ts";
export type { DemandPlacementOptions } from "./placement_demand_policy.ts";
export { LruPlacement } from "./placement_lru.ts";
export { PlacementPolicy } from "./placement_policy.ts";
export type {
  PlacedArtifact,
  PlacedEngine,
  PlacementAction,
  PlacementView,
} from "./placement_policy.ts";
export { planAdapters } from "./placement_adapters.ts";
export type {
  AdapterAction,
  AdapterCopy,
  AdapterDemand,
  AdapterEngine,
} from "./placement_adapters.ts";
export { mayUnload } from "./placement_closing.ts";
export type { ClosingCopy } from "./placement_closing.ts";
export { CopyPlanner } from "./placement_copies.ts";
export type {
  CopyAction,
  CopyEngine,
  CopyView,
  ModelCopy,
  ModelDemand,
} from "./placement_copies.ts";
