/** Types of the operators' table. */
import type * as core from "../core/mod.ts";

/** Limits of one row, summed over all instances. */
export interface RowLimits {
  /** Maximum number of in-flight requests; absent means no limit. */
  readonly inProgressMax?: number;
}

/** One row: a model or an adapter. */
export interface TableRow {
  readonly name: core.RowName;
  readonly kind: "model" | "adapter";
  /** The model that an adapter extends. */
  readonly baseModel?: core.RowName;
  readonly version: string;
  /** Weight in placement, relative to other rows; at least 0. */
  readonly weight: number;
  /** 0 to 9; larger is served first. */
  readonly priority: number;
  readonly limits: RowLimits;
  /** Accelerator memory that the weights occupy, in bytes. */
  readonly weightBytes: number;
  /** Default deadline of requests that set none, in milliseconds. */
  readonly deadlineMs: number;
}

/** A row with the revision that last changed it. */
export interface RevisedRow {
  readonly revision: number;
  readonly row: TableRow;
  readonly editId: core.EditId;
  readonly operatorId: core.OperatorId;
}

/** The whole table at one revision. */
export interface TableSnapshot {
  readonly revision: number;
  readonly rows: ReadonlyMap<core.RowName, RevisedRow>;
}

/** Changes between two revisions. */
export interface TableDelta {
  readonly baseRevision: number;
  readonly revision: number;
  readonly changed: readonly RevisedRow[];
  readonly deleted: readonly core.RowName[];
}

/** The change of one row; a null row deletes it. */
export interface RowChange {
  readonly name: core.RowName;
  readonly row: TableRow | null;
  /** Row revision that the edit is based on; 0 for a new row. */
  readonly expectRowRevision?: number;
}

/** An edit, which is applied atomically. */
export interface TableEdit {
  readonly editId: core.EditId;
  readonly operatorId: core.OperatorId;
  readonly changes: readonly RowChange[];
  /** Table revision that the edit is based on. */
  readonly expectRevision?: number;
}

/** An accepted edit as stored in the history. */
export interface AcceptedEdit {
  readonly editId: core.EditId;
  readonly operatorId: core.OperatorId;
  readonly revision: number;
  readonly acceptedAt: string;
  readonly changes: readonly RowChange[];
}
