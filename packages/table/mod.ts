/** The operators' table: rows, edits, and the newest revision seen. */
export {
  applyEdit,
  artifactOf,
  decodeDelta,
  decodeEdit,
  decodeRevisedRow,
  decodeSnapshot,
  encodeSnapshot,
  makeSnapshot,
  nameOf,
  rowFaults,
  TableRowCodec,
} from "./table_codecs.ts";
export { TableKeeper } from "./table_keeper.ts";
export type { TableListener } from "./table_keeper.ts";
export { TableStore } from "./table_store.ts";
export type { EditAcceptance } from "./table_store.ts";
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
