/** The platform's services, each an abstract class with an HTTP client. */
export { HttpTableService, TableService } from "./table_service.ts";
export type { TableServiceUse } from "./table_service.ts";
export {
  HttpInstanceList,
  HttpObjectStore,
  HttpWeightStore,
  InstanceList,
  ObjectStore,
  WeightStore,
} from "./platform_services.ts";
export type { HttpServiceOptions } from "./platform_services.ts";
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
} from "./platform_types.ts";
export { TransactBatcher } from "./transact_batcher.ts";
export type { TransactBatcherOptions } from "./transact_batcher.ts";
