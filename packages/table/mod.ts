/** The operators' table: rows, edits, storage and a snapshot cache. */
export {
  applyEdit,
  artifactIdOf,
  decodeDelta,
  decodeEdit,
  decodeRevisedRow,
  decodeSnapshot,
  encodeSnapshot,
  makeSnapshot,
  rowNameOf,
  TableRowCodec,
  validateRow,
} from "./table_codecs.ts";
export { TableCache } from "./table_cache.ts";
export type { TableListener } from "./table_cache.ts";
export { TableStore } from "./table_store.ts";
export type { EditAcceptance, TableStoreOptions } from "./table_store.ts";
export type {
  AcceptedEdit,
  RevisedRow,
  RowChange,
  RowLimits,
  TableDelta,
  TableEdit,
  TableRow,
  TableSnapshot,
} from "./table_types.ts";
