/** The platform's services, each an abstract class with an HTTP client. */
export { FollowedTableService } from "./store_followed_table.ts";
export type {
  RowChange,
  TableChanges,
  TableSnapshot,
} from "./store_followed_table.ts";
export { HttpTableService, TableService } from "./store_table_service.ts";
export type { TableServiceUse } from "./store_table_service.ts";
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
