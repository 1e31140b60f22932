/** Clients of the platform's services: abstract classes and HTTP clients. */
export { ChangeFeedTableService } from "./store_change_feed.ts";
export type {
  RowChange,
  TableChanges,
  TableSnapshot,
} from "./store_change_feed.ts";
export { GenerationTracker, toOrdinal } from "./store_generation.ts";
export { HttpTableService, TableService } from "./store_table_service.ts";
export type { TableServiceCounters } from "./store_table_service.ts";
export {
  HttpInstanceList,
  HttpObjectStore,
  HttpWeightStore,
  InstanceList,
  ObjectStore,
  WeightStore,
} from "./store_services.ts";
export type { HttpServiceOptions } from "./store_services.ts";
export type {
  ArtifactManifest,
  ListedInstance,
  ListedKind,
  ReadRequest,
  RowCheck,
  RowWrite,
  StoredRow,
  StoreFailure,
  Transaction,
  TransactOutcome,
} from "./store_types.ts";
export { TransactBatcher } from "./store_transact_batcher.ts";
export type { TransactBatcherOptions } from "./store_transact_batcher.ts";
