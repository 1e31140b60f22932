/** Defines a table service with a change feed for each table. */
import type { Result } from "neverthrow";
import type * as core from "../core/mod.ts";
import { TableService } from "./store_table_service.ts";
import type { StoredRow, StoreFailure } from "./store_types.ts";

/** Rows of one table at one version; keys do not include the table's name. */
export interface TableSnapshot {
  readonly rows: readonly StoredRow[];
  /** Version after which to follow changes. */
  readonly version: number;
  /** Generation of the table service to which the versions belong. */
  readonly generation: number;
}

/** The current state of a changed row. */
export interface RowChange {
  readonly key: string;
  readonly version: number;
  /** Undefined if the row was deleted. */
  readonly value: core.JsonValue | undefined;
}

/** The result of waiting for changes after a version. */
export type TableChanges =
  | {
    readonly outcome: "changes";
    readonly changes: readonly RowChange[];
    readonly version: number;
  }
  /** The requested history is no longer kept; read the whole table instead. */
  | { readonly outcome: "historyGone" };

/** Table service with a change feed; row keys have the form `table/key`. */
export abstract class ChangeFeedTableService extends TableService {
  /** Reads all rows of one table. */
  abstract readTable(
    table: string,
  ): Promise<Result<TableSnapshot, StoreFailure>>;

  /** Waits up to `waitMs` for changes of one table after a version. */
  abstract follow(
    table: string,
    afterVersion: number,
    waitMs: number,
  ): Promise<Result<TableChanges, StoreFailure>>;
}
