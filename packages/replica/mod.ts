/** Copies of the store's tables, passed on between nodes. */
export { compareCursors } from "./replica_cursor.ts";
export type { Cursor } from "./replica_cursor.ts";
export { isReader, rankReader, staleReadTimes } from "./replica_readers.ts";
export type { ReaderRank } from "./replica_readers.ts";
export { TableListener, TableReplica } from "./replica_table.ts";
export type {
  DeltaRow,
  MergeOutcome,
  TableDelta,
  TableReplicaOptions,
} from "./replica_table.ts";
