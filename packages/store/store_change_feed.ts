/** A table service that also tells of changes as they are committed. */
import type { Result } from "neverthrow";
import type * as core from "../core/mod.ts";
import { TableService } from "./store_table_service.ts";
import type { StoredRow, StoreFailure } from "./store_types.ts";

/** Rows of one table at one moment; keys come without the table's name. */
export interface TableSnapshot {
  readonly rows: readonly StoredRow[];
  /** Version to follow from. */
  readonly version: number;
}

/** A row as it is now, or the mark that it is gone. */
export interface RowChange {
  readonly key: string;
  readonly version: number;
  /** Undefined when the row is gone. */
  readonly value: core.JsonValue | undefined;
}

/** What has changed since a version. */
export type TableChanges =
  | {
    readonly outcome: "changes";
    readonly changes: readonly RowChange[];
    readonly version: number;
  }
  /** The history asked for is gone: read the whole table. */
  | { readonly outcome: "historyGone" };

/** Rows are addressed by table and key, joined by a slash. */
export abstract class ChangeFeedTableService extends TableService {
  /** Reads one whole table. */
  abstract readTable(
    table: string,
  ): Promise<Result<TableSnapshot, StoreFailure>>;

  /** Waits for changes of one table after a version. */
  abstract follow(
    table: string,
    afterVersion: number,
    waitMs: number,
  ): Promise<Result<TableChanges, StoreFailure>>;
}
