/** Mirrors of the store's tables, passed on between nodes. */
export { CopyCurrency } from "./mirror_currency.ts";
export type { ConfirmingRead } from "./mirror_currency.ts";
export { compareCursors } from "./mirror_cursor.ts";
export type { Cursor } from "./mirror_cursor.ts";
export {
  isReader,
  rankReader,
  readsForOthers,
  staleReadTimes,
} from "./mirror_readers.ts";
export type { ReaderRank } from "./mirror_readers.ts";
export { TableListener, TableMirror } from "./mirror_table.ts";
export type {
  DeltaRow,
  MergeOutcome,
  TableDelta,
  TableMirrorOptions,
} from "./mirror_table.ts";
