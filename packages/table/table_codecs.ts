/** Encodes, decodes and validates rows, edits and snapshots. */
import { err, ok, type Result } from "neverthrow";
import {
  array,
  Codec,
  enumeration,
  nullType,
  number,
  oneOf,
  optional,
  string,
} from "purify-ts";
import * as core from "../core/mod.ts";
import type {
  RevisedRow,
  TableDelta,
  TableEdit,
  TableRow,
  TableSnapshot,
} from "./table_types.ts";

enum KindTag {
  Model = "model",
  Adapter = "adapter",
}

export const TableRowCodec = Codec.interface({
  name: string,
  kind: enumeration(KindTag),
  baseModel: optional(string),
  version: string,
  weight: number,
  priority: number,
  limits: Codec.interface({ inProgressMax: optional(number) }),
  weightBytes: number,
  deadlineMs: number,
});

const RowChangeCodec = Codec.interface({
  name: string,
  row: oneOf([nullType, TableRowCodec]),
  expectRowRevision: optional(number),
});

const TableEditCodec = Codec.interface({
  editId: string,
  changes: array(RowChangeCodec),
  expectRevision: optional(number),
});

const RevisedRowCodec = Codec.interface({
  revision: number,
  row: TableRowCodec,
  editId: string,
  operatorId: string,
});

const SnapshotCodec = Codec.interface({
  revision: number,
  rows: array(RevisedRowCodec),
});

/**
 * Decodes an operator's edit.
 *
 * @returns the edit, or a message that describes the error.
 * @example
 * ```ts
 * const edit = table.decodeEdit(bodyText, operatorId);
 * ```
 */
export function decodeEdit(
  bodyText: string,
  operatorId: core.OperatorId,
): Result<TableEdit, string> {
  return core.decodeJson(bodyText, TableEditCodec)
    .map((body) => ({ ...body, operatorId }) as unknown as TableEdit);
}

/**
 * Decodes one stored row.
 *
 * @example
 * ```ts
 * const row = table.decodeRevisedRow(stored.value);
 * ```
 */
export function decodeRevisedRow(value: unknown): Result<RevisedRow, string> {
  return core.decodeValue(value, RevisedRowCodec)
    .map((row) => row as unknown as RevisedRow);
}

/**
 * Encodes a snapshot as JSON text.
 *
 * @example
 * ```ts
 * reply.snapshotJson = table.encodeSnapshot(tableCache.snapshot);
 * ```
 */
export function encodeSnapshot(snapshot: TableSnapshot): string {
  const rows = [...snapshot.rows.values()];
  return JSON.stringify({ revision: snapshot.revision, rows });
}

/**
 * Decodes a snapshot from JSON text.
 *
 * @example
 * ```ts
 * const snapshot = table.decodeSnapshot(reply.snapshotJson);
 * ```
 */
export function decodeSnapshot(text: string): Result<TableSnapshot, string> {
  return core.decodeJson(text, SnapshotCodec).map((body) =>
    makeSnapshot(body.revision, body.rows as unknown as RevisedRow[])
  );
}

const DeltaCodec = Codec.interface({
  baseRevision: number,
  revision: number,
  changed: array(RevisedRowCodec),
  deleted: array(string),
});

/**
 * Decodes a delta from JSON text.
 *
 * @example
 * ```ts
 * const delta = table.decodeDelta(reply.deltaJson);
 * ```
 */
export function decodeDelta(text: string): Result<TableDelta, string> {
  return core.decodeJson(text, DeltaCodec)
    .map((delta) => delta as unknown as TableDelta);
}

/**
 * Creates a snapshot from rows.
 *
 * @example
 * ```ts
 * const empty = table.makeSnapshot(0, []);
 * ```
 */
export function makeSnapshot(
  revision: number,
  rows: readonly RevisedRow[],
): TableSnapshot {
  return { revision, rows: new Map(rows.map((row) => [row.row.name, row])) };
}

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,99}$/;
const VERSION_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,39}$/;
const PRIORITY_MAX = 9;

/**
 * Validates one row on its own, without the rows that it refers to.
 *
 * @returns one message per error; empty if the row is valid.
 *
 * @example
 * ```ts
 * table.validateRow(row); // ["llama: weight must be at least 0"]
 * ```
 */
export function validateRow(row: TableRow): string[] {
  const checks: [boolean, string][] = [
    [NAME_PATTERN.test(row.name), "name has forbidden characters"],
    [VERSION_PATTERN.test(row.version), "version has forbidden characters"],
    [
      (row.kind === "adapter") === (row.baseModel !== undefined),
      "an adapter, and only an adapter, names its baseModel",
    ],
    [
      Number.isFinite(row.weight) && row.weight >= 0,
      "weight must be at least 0",
    ],
    [
      Number.isInteger(row.priority) && row.priority >= 0 &&
      row.priority <= PRIORITY_MAX,
      "priority must be a whole number from 0 to 9",
    ],
    [
      Number.isSafeInteger(row.weightBytes) && row.weightBytes > 0,
      "weightBytes must be a positive whole number",
    ],
    [
      Number.isFinite(row.deadlineMs) && row.deadlineMs > 0,
      "deadlineMs must be positive",
    ],
    [
      isValidLimit(row.limits.inProgressMax),
      "limits.inProgressMax must be whole",
    ],
  ];
  return checks
    .filter(([holds]) => !holds)
    .map(([, message]) => `${row.name}: ${message}`);
}

function isValidLimit(limit: number | undefined): boolean {
  return limit === undefined || (Number.isInteger(limit) && limit >= 1);
}

/**
 * Applies an edit to a snapshot as a whole.
 *
 * @returns the next snapshot, or the reasons why the edit is invalid.
 *
 * @example
 * ```ts
 * const next = table.applyEdit(snapshot, edit);
 * ```
 */
export function applyEdit(
  snapshot: TableSnapshot,
  edit: TableEdit,
): Result<TableSnapshot, string[]> {
  const errors = edit.changes.flatMap(validateChange);
  const revision = snapshot.revision + 1;
  const rows = new Map(snapshot.rows);
  for (const { name, row } of edit.changes) {
    if (row === null) rows.delete(name);
    else {
      const { editId, operatorId } = edit;
      rows.set(name, { revision, row, editId, operatorId });
    }
  }
  if (edit.changes.length === 0) errors.push("the edit changes nothing");
  if (
    new Set(edit.changes.map(({ name }) => name)).size < edit.changes.length
  ) {
    errors.push("the edit changes a row twice");
  }
  errors.push(...validateBaseModels(rows));
  return errors.length > 0 ? err(errors) : ok({ revision, rows });
}

function validateChange({ name, row }: TableEdit["changes"][number]): string[] {
  if (row === null) return [];
  const errors = validateRow(row);
  if (row.name !== name) errors.push(`${name}: row is named ${row.name}`);
  return errors;
}

function validateBaseModels(
  rows: ReadonlyMap<core.RowName, RevisedRow>,
): string[] {
  const errors: string[] = [];
  for (const { row } of rows.values()) {
    if (row.baseModel === undefined) continue;
    if (rows.get(row.baseModel)?.row.kind !== "model") {
      errors.push(`${row.name}: no model named ${row.baseModel}`);
    }
  }
  return errors;
}

/**
 * Returns the name of the row that an artifact is a version of.
 *
 * @example
 * ```ts
 * table.rowNameOf(artifactId); // "llama" for "llama@1"
 * ```
 */
export function rowNameOf(artifactId: core.ArtifactId): core.RowName {
  return core.brandId(artifactId.slice(0, artifactId.lastIndexOf("@")));
}

/**
 * Returns the id of the artifact for a row's current version.
 *
 * @example
 * ```ts
 * table.artifactIdOf(row); // "llama@1"
 * ```
 */
export function artifactIdOf(row: TableRow): core.ArtifactId {
  return core.brandId(`${row.name}@${row.version}`);
}
