/** Tracks demand and decides which models and adapters engines load. */
export { DemandAggregator, LocalDemand } from "./placement_demand.ts";
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
  AdapterDemand,
  AdapterEngine,
  AdapterReplica,
} from "./placement_adapters.ts";
export { mayUnload } from "./placement_draining.ts";
export type { DrainingReplica } from "./placement_draining.ts";
export { ReplicaPlanner } from "./placement_replicas.ts";
export type {
  ModelDemand,
  ModelReplica,
  ReplicaAction,
  ReplicaEngine,
  ReplicaView,
} from "./placement_replica_view.ts";
export { RequestRecency } from "./placement_recency.ts";
export { PeakWork } from "./placement_peak_work.ts";
