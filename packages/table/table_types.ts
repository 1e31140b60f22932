/** Shapes of the operators' table. */
import type * as core from "../core/mod.ts";

/** Limits of one row, over all instances together. */
export interface RowLimits {
  /** Requests in progress at most; absent means no limit. */
  readonly inProgressMax?: number;
}

/** One row: a model or an adapter. */
export interface TableRow {
  readonly name: core.RowName;
  readonly kind: "model" | "adapter";
  /** The model that an adapter sits on. */
  readonly baseModel?: core.RowName;
  readonly version: string;
  /** Share of attention relative to other rows; at least 0. */
  readonly weight: number;
  /** 0 to 9; larger is served first. */
  readonly priority: number;
  readonly limits: RowLimits;
  /** Accelerator memory that the weights take. */
  readonly weightBytes: number;
  /** Deadline of requests that bring none. */
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

/** What changed from one revision to another. */
export interface TableDelta {
  readonly baseRevision: number;
  readonly revision: number;
  readonly changed: readonly RevisedRow[];
  readonly deleted: readonly core.RowName[];
}

/** One row's change; null deletes the row. */
export interface RowChange {
  readonly name: core.RowName;
  readonly row: TableRow | null;
  /** Revision of the row that the operator saw; 0 for a new row. */
  readonly expectRowRevision?: number;
}

/** An edit, applied as a whole or not at all. */
export interface TableEdit {
  readonly editId: core.EditId;
  readonly operatorId: core.OperatorId;
  readonly changes: readonly RowChange[];
  /** Revision of the table that the operator saw. */
  readonly expectRevision?: number;
}

/** An accepted edit as the history keeps it. */
export interface AcceptedEdit {
  readonly editId: core.EditId;
  readonly operatorId: core.OperatorId;
  readonly revision: number;
  readonly acceptedAt: string;
  readonly changes: readonly RowChange[];
}
