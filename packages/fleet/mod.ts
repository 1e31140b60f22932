/**
 * Types of the fleet's configuration, and the interfaces that a platform
 * implements to run an entry node.
 */
export { EngineControl } from "./fleet_control.ts";
export type { EngineReport, Order, OrderReply } from "./fleet_control.ts";
export { HttpDialect } from "./fleet_dialect.ts";
export type {
  CallerRequest,
  DirectoryQuery,
  NamedRateLimit,
  PromptPart,
  ReadOptions,
  TakenUpStream,
  UpstreamRequest,
  UpstreamResponse,
} from "./fleet_dialect.ts";
export { STREAM_PATIENCE_MIN_MS } from "./fleet_patience.ts";
export { priorityOf } from "./fleet_priority.ts";
export { FleetSource } from "./fleet_source.ts";
export type {
  EngineSpec,
  EntrySettings,
  FleetConfig,
  ListenAddress,
  LoadedModel,
  MachineSpec,
  ModelSpec,
  QuotaBounds,
  QuotaSpec,
  QuotaUnit,
  RouteKind,
  RouteSpec,
  RouteTarget,
  ServiceSpec,
  TeamSpec,
  UpstreamRecord,
} from "./fleet_types.ts";
