/** Reads the table from the table service and commits edits to it. */
import { err, ok, type Result } from "neverthrow";
import { Codec, number, string } from "purify-ts";
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";
import { applyEdit, decodeRevisedRow, makeSnapshot } from "./table_codecs.ts";
import type {
  AcceptedEdit,
  RevisedRow,
  TableEdit,
  TableSnapshot,
} from "./table_types.ts";

const HEAD_KEY = "table/head";
const ROW_PREFIX = "table/rows/";
const EDIT_PREFIX = "table/edits/";
const HISTORY_PREFIX = "table/history/";
const HISTORY_DIGITS = 12;

/** Attempts to determine the outcome of an edit whose reply was lost. */
const LOST_REPLY_ATTEMPTS_MAX = 5;
const RETRY_DELAY_MS = 40;
const STORE_RETRY_AFTER_MS = 1_000;

const HeadCodec = Codec.interface({ revision: number });
const EditRecordCodec = Codec.interface({
  revision: number,
  changesHash: string,
});

/** Limits of a `TableStore`. */
export interface TableStoreOptions {
  /**
   * Time for which an edit is retried while reads are stale or other edits
   * conflict. Operators expect an edit to be in force within it.
   */
  readonly editMaxMs: number;
}

/** The revision and snapshot that an accepted edit produced. */
export interface EditAcceptance {
  readonly revision: number;
  /** Absent if the edit had already been accepted by an earlier attempt. */
  readonly snapshot?: TableSnapshot;
}

interface StoredTable {
  readonly snapshot: TableSnapshot;
  readonly headVersion: number;
  readonly rowVersions: ReadonlyMap<string, number>;
  readonly edit: store.StoredRow | undefined;
}

type AttemptResult =
  | { readonly kind: "accepted"; readonly acceptance: EditAcceptance }
  | { readonly kind: "failed"; readonly failure: core.Failure }
  | { readonly kind: "retry"; readonly reason?: core.Failure };

const TOO_MANY_CONFLICTS = core.refuse(
  core.EDIT_CONFLICT,
  "other edits keep winning the race",
  STORE_RETRY_AFTER_MS,
);

function toFailure(failure: store.StoreFailure): core.Failure {
  return core.refuse(
    core.STORE_UNAVAILABLE,
    failure.detail,
    STORE_RETRY_AFTER_MS,
  );
}

function hashChanges(edit: TableEdit): string {
  const { changes, expectRevision } = edit;
  return core.hash32(JSON.stringify({ changes, expectRevision })).toString(36);
}

function historyKey(revision: number): string {
  return HISTORY_PREFIX + String(revision).padStart(HISTORY_DIGITS, "0");
}

/** Stores the table in the table service. */
export class TableStore {
  readonly #service: store.TableService;
  readonly #options: TableStoreOptions;

  constructor(service: store.TableService, options: TableStoreOptions) {
    this.#service = service;
    this.#options = options;
  }

  /** Reads the current revision; may be stale. */
  async readRevision(): Promise<Result<number, core.Failure>> {
    const rows = await this.#service.read({ keys: [HEAD_KEY] });
    return rows.map((found) => revisionOf(found[0])).mapErr(toFailure);
  }

  /** Reads the whole table; may be stale. */
  async readSnapshot(): Promise<Result<TableSnapshot, core.Failure>> {
    const stored = await this.#readTable();
    return stored.map(({ snapshot }) => snapshot);
  }

  /** Reads at most `countMax` accepted edits, newest first. */
  async readHistory(
    countMax: number,
  ): Promise<Result<AcceptedEdit[], core.Failure>> {
    const head = await this.readRevision();
    if (head.isErr()) return err(head.error);
    const keys: string[] = [];
    for (let n = head.value; n > 0 && keys.length < countMax; n--) {
      keys.push(historyKey(n));
    }
    const rows = await this.#service.read({ keys });
    return rows
      .map((found) => found.map((row) => row.value as unknown as AcceptedEdit))
      .mapErr(toFailure);
  }

  /**
   * Commits an edit at most once, even if replies are lost: a retry with the
   * same edit id and changes returns the revision of the first commit.
   *
   * @param minRevision a revision known to exist; older reads are stale and are
   * retried.
   *
   * @example
   * ```ts
   * const acceptance = await store.commitEdit(edit);
   * ```
   */
  async commitEdit(
    edit: TableEdit,
    minRevision = 0,
  ): Promise<Result<EditAcceptance, core.Failure>> {
    const endsAtMs = core.monotonicMs() + this.#options.editMaxMs;
    let failure = TOO_MANY_CONFLICTS;
    do {
      const result = await this.#attempt(edit, minRevision);
      if (result.kind === "accepted") return ok(result.acceptance);
      if (result.kind === "failed") return err(result.failure);
      failure = result.reason ?? TOO_MANY_CONFLICTS;
      await core.sleep(core.jitterMs(RETRY_DELAY_MS));
    } while (core.monotonicMs() < endsAtMs);
    return err(failure);
  }

  async #attempt(
    edit: TableEdit,
    minRevision: number,
  ): Promise<AttemptResult> {
    const stored = await this.#readTable(EDIT_PREFIX + edit.editId);
    if (stored.isErr()) return { kind: "failed", failure: stored.error };
    const earlier = this.#findEarlierEdit(edit, stored.value.edit);
    if (earlier) return earlier;
    const staleRead = checkReadIsCurrent(
      edit,
      stored.value.snapshot,
      minRevision,
    );
    if (staleRead) return { kind: "retry", reason: staleRead };
    const mismatch = checkExpectations(edit, stored.value.snapshot);
    if (mismatch) return { kind: "failed", failure: mismatch };
    const next = applyEdit(stored.value.snapshot, edit);
    if (next.isErr()) {
      const detail = next.error.join("; ");
      const failure = core.refuse(core.EDIT_INVALID, detail);
      return { kind: "failed", failure };
    }
    return this.#commit(edit, stored.value, next.value);
  }

  async #commit(
    edit: TableEdit,
    stored: StoredTable,
    next: TableSnapshot,
  ): Promise<AttemptResult> {
    const transaction = editTransaction(edit, stored, next);
    let mayHaveCommitted = false;
    for (let attempt = 0; attempt < LOST_REPLY_ATTEMPTS_MAX; attempt++) {
      const outcome = await this.#service.transact(transaction);
      if (outcome.isOk()) {
        if (outcome.value.outcome === "committed") {
          const acceptance = { revision: next.revision, snapshot: next };
          return { kind: "accepted", acceptance };
        }
        return this.#resolveConflict(edit, outcome.value.rows);
      }
      mayHaveCommitted ||= outcome.error.effect === "unknown";
      if (!mayHaveCommitted) {
        return { kind: "failed", failure: toFailure(outcome.error) };
      }
      await core.sleep(core.jitterMs(RETRY_DELAY_MS * (attempt + 1)));
    }
    const failure: core.Failure = {
      ...core.fail(core.EDIT_OUTCOME_UNKNOWN, edit.editId, "unknown"),
      retryAfterMs: STORE_RETRY_AFTER_MS,
    };
    return { kind: "failed", failure };
  }

  #resolveConflict(
    edit: TableEdit,
    rows: readonly store.StoredRow[],
  ): AttemptResult {
    const editKey = EDIT_PREFIX + edit.editId;
    const earlier = this.#findEarlierEdit(
      edit,
      rows.find(({ key }) => key === editKey),
    );
    if (earlier) return earlier;
    const conflictingRow = rows.find(({ key }) => key.startsWith(ROW_PREFIX));
    if (conflictingRow === undefined) return { kind: "retry" };
    return { kind: "failed", failure: conflictFailure(conflictingRow) };
  }

  #findEarlierEdit(
    edit: TableEdit,
    stored: store.StoredRow | undefined,
  ): AttemptResult | undefined {
    if (stored === undefined || stored.version === 0) return undefined;
    const record = core.decodeValue(stored.value, EditRecordCodec);
    if (record.isOk() && record.value.changesHash === hashChanges(edit)) {
      const acceptance = { revision: record.value.revision };
      return { kind: "accepted", acceptance };
    }
    const detail = `edit id ${edit.editId} was used for another edit`;
    return { kind: "failed", failure: core.refuse(core.EDIT_INVALID, detail) };
  }

  async #readTable(
    editKey?: string,
  ): Promise<Result<StoredTable, core.Failure>> {
    const found = await this.#service.read({
      keys: editKey === undefined ? [HEAD_KEY] : [HEAD_KEY, editKey],
      prefixes: [ROW_PREFIX],
    });
    return found
      .map((rows) => toStoredTable(rows, editKey))
      .mapErr(toFailure);
  }
}

function revisionOf(head: store.StoredRow | undefined): number {
  if (head === undefined) return 0;
  return core.decodeValue(head.value, HeadCodec)
    .map(({ revision }) => revision)
    .unwrapOr(0);
}

function toStoredTable(
  rows: readonly store.StoredRow[],
  editKey: string | undefined,
): StoredTable {
  const head = rows.find(({ key }) => key === HEAD_KEY);
  const tableRows = rows.filter(({ key }) => key.startsWith(ROW_PREFIX));
  const decoded = tableRows.flatMap(({ value }): RevisedRow[] =>
    decodeRevisedRow(value).match((row) => [row], () => [])
  );
  return {
    snapshot: makeSnapshot(revisionOf(head), decoded),
    headVersion: head?.version ?? 0,
    rowVersions: new Map(tableRows.map(({ key, version }) => [key, version])),
    edit: rows.find(({ key }) => key === editKey),
  };
}

/** Returns a failure if the read is too stale to validate the edit against. */
function checkReadIsCurrent(
  edit: TableEdit,
  snapshot: TableSnapshot,
  knownRevision: number,
): core.Failure | undefined {
  const rowRevisions = edit.changes.map((change) =>
    change.expectRowRevision ?? 0
  );
  const minRevision = Math.max(
    knownRevision,
    edit.expectRevision ?? 0,
    ...rowRevisions,
  );
  if (snapshot.revision >= minRevision) return undefined;
  return core.refuse(
    core.REVISION_MISMATCH,
    `the store shows revision ${snapshot.revision}, not yet ${minRevision}`,
    STORE_RETRY_AFTER_MS,
  );
}

function checkExpectations(
  edit: TableEdit,
  snapshot: TableSnapshot,
): core.Failure | undefined {
  const { expectRevision } = edit;
  if (expectRevision !== undefined && expectRevision !== snapshot.revision) {
    return core.refuse(
      core.REVISION_MISMATCH,
      `the table is at revision ${snapshot.revision}, not ${expectRevision}`,
    );
  }
  for (const { name, expectRowRevision } of edit.changes) {
    const revised = snapshot.rows.get(name);
    const revision = revised?.revision ?? 0;
    if (expectRowRevision === undefined) continue;
    if (expectRowRevision === revision) continue;
    return core.refuse(core.EDIT_CONFLICT, describeConflict(name, revised));
  }
  return undefined;
}

function describeConflict(
  name: string,
  current: RevisedRow | undefined,
): string {
  if (current === undefined) return `row ${name} was deleted by another edit`;
  const { operatorId, editId, revision } = current;
  return `row ${name} was changed by ${operatorId} with edit ${editId} ` +
    `at revision ${revision}`;
}

function conflictFailure(stored: store.StoredRow): core.Failure {
  const name = stored.key.slice(ROW_PREFIX.length);
  const current = decodeRevisedRow(stored.value).unwrapOr(undefined as never);
  return core.refuse(core.EDIT_CONFLICT, describeConflict(name, current));
}

function editTransaction(
  edit: TableEdit,
  stored: StoredTable,
  next: TableSnapshot,
): store.Transaction {
  const editKey = EDIT_PREFIX + edit.editId;
  const rowKeys = edit.changes.map(({ name }) => ROW_PREFIX + name);
  const { revision } = next;
  const accepted: AcceptedEdit = {
    editId: edit.editId,
    operatorId: edit.operatorId,
    revision,
    acceptedAt: new Date().toISOString(),
    changes: edit.changes,
  };
  const record = { revision, changesHash: hashChanges(edit) };
  return {
    checks: [
      { key: HEAD_KEY, version: stored.headVersion },
      { key: editKey, version: 0 },
      ...rowKeys.map((key) => ({
        key,
        version: stored.rowVersions.get(key) ?? 0,
      })),
    ],
    writes: [
      { key: HEAD_KEY, value: { revision } },
      { key: editKey, value: record },
      { key: historyKey(revision), value: core.toJsonValue(accepted) },
      ...edit.changes.map(({ name }) => ({
        key: ROW_PREFIX + name,
        value: core.toJsonValue(next.rows.get(name) ?? null),
      })),
    ],
  };
}
