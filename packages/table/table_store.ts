/** The table as the table service keeps it, and edits to it. */
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

/** Attempts at one edit while other rows' edits win the race. */
const EDIT_ATTEMPTS_MAX = 20;
/** Attempts at learning the fate of an edit whose reply was lost. */
const LOST_REPLY_ATTEMPTS_MAX = 5;
const ATTEMPT_PAUSE_MS = 40;
const STORE_RETRY_AFTER_MS = 1_000;

const HeadCodec = Codec.interface({ revision: number });
const EditRecordCodec = Codec.interface({
  revision: number,
  changesHash: string,
});

/** An accepted edit and the snapshot that it made. */
export interface EditAcceptance {
  readonly revision: number;
  /** Absent when the edit had been accepted before. */
  readonly snapshot?: TableSnapshot;
}

interface StoredTable {
  readonly snapshot: TableSnapshot;
  readonly headVersion: number;
  readonly rowVersions: ReadonlyMap<string, number>;
  readonly edit: store.StoredRow | undefined;
}

type AttemptEnd =
  | { readonly kind: "accepted"; readonly acceptance: EditAcceptance }
  | { readonly kind: "failed"; readonly failure: core.Failure }
  | { readonly kind: "again"; readonly reason?: core.Failure };

const LOST_EVERY_RACE = core.refuse(
  core.EDIT_CONFLICT,
  "other edits keep winning the race",
  STORE_RETRY_AFTER_MS,
);

function storeFailure(failure: store.StoreFailure): core.Failure {
  return core.refuse(
    core.STORE_UNAVAILABLE,
    failure.detail,
    STORE_RETRY_AFTER_MS,
  );
}

function hashOfChanges(edit: TableEdit): string {
  const { changes, expectRevision } = edit;
  return core.hash32(JSON.stringify({ changes, expectRevision })).toString(36);
}

function historyKey(revision: number): string {
  return HISTORY_PREFIX + String(revision).padStart(HISTORY_DIGITS, "0");
}

/** Reads and edits the table in the table service. */
export class TableStore {
  readonly #service: store.TableService;

  constructor(service: store.TableService) {
    this.#service = service;
  }

  /** The revision that the store says is current; may lag. */
  async readRevision(): Promise<Result<number, core.Failure>> {
    const rows = await this.#service.read({ keys: [HEAD_KEY] });
    return rows.map((found) => revisionOf(found[0])).mapErr(storeFailure);
  }

  /** The whole table; may lag. */
  async readSnapshot(): Promise<Result<TableSnapshot, core.Failure>> {
    const stored = await this.#readTable();
    return stored.map(({ snapshot }) => snapshot);
  }

  /** The newest accepted edits, newest first. */
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
      .mapErr(storeFailure);
  }

  /**
   * Accepts an edit at most once, whatever happens to the replies.
   *
   * @param floorRevision a revision known to exist; older reads lag.
   *
   * @example
   * ```ts
   * const acceptance = await store.accept(edit);
   * ```
   */
  async commitEdit(
    edit: TableEdit,
    floorRevision = 0,
  ): Promise<Result<EditAcceptance, core.Failure>> {
    let failure = LOST_EVERY_RACE;
    for (let attempt = 0; attempt < EDIT_ATTEMPTS_MAX; attempt++) {
      const end = await this.#attempt(edit, floorRevision);
      if (end.kind === "accepted") return ok(end.acceptance);
      if (end.kind === "failed") return err(end.failure);
      failure = end.reason ?? LOST_EVERY_RACE;
      await core.sleep(core.jitterMs(ATTEMPT_PAUSE_MS));
    }
    return err(failure);
  }

  async #attempt(
    edit: TableEdit,
    floorRevision: number,
  ): Promise<AttemptEnd> {
    const stored = await this.#readTable(EDIT_PREFIX + edit.editId);
    if (stored.isErr()) return { kind: "failed", failure: stored.error };
    const known = this.#findEdit(edit, stored.value.edit);
    if (known) return known;
    const behind = laggingRead(edit, stored.value.snapshot, floorRevision);
    if (behind) return { kind: "again", reason: behind };
    const fault = expectationFault(edit, stored.value.snapshot);
    if (fault) return { kind: "failed", failure: fault };
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
  ): Promise<AttemptEnd> {
    const transaction = editTransaction(edit, stored, next);
    let lost = false;
    for (let attempt = 0; attempt < LOST_REPLY_ATTEMPTS_MAX; attempt++) {
      const outcome = await this.#service.transact(transaction);
      if (outcome.isOk()) {
        if (outcome.value.outcome === "committed") {
          const acceptance = { revision: next.revision, snapshot: next };
          return { kind: "accepted", acceptance };
        }
        return this.#afterConflict(edit, outcome.value.rows);
      }
      lost ||= outcome.error.effect === "unknown";
      if (!lost) {
        return { kind: "failed", failure: storeFailure(outcome.error) };
      }
      await core.sleep(core.jitterMs(ATTEMPT_PAUSE_MS * (attempt + 1)));
    }
    const failure: core.Failure = {
      ...core.fail(core.EDIT_OUTCOME_UNKNOWN, edit.editId, "unknown"),
      retryAfterMs: STORE_RETRY_AFTER_MS,
    };
    return { kind: "failed", failure };
  }

  #afterConflict(
    edit: TableEdit,
    rows: readonly store.StoredRow[],
  ): AttemptEnd {
    const editKey = EDIT_PREFIX + edit.editId;
    const known = this.#findEdit(edit, rows.find(({ key }) => key === editKey));
    if (known) return known;
    const lostRow = rows.find(({ key }) => key.startsWith(ROW_PREFIX));
    if (lostRow === undefined) return { kind: "again" };
    return { kind: "failed", failure: conflictWith(lostRow) };
  }

  #findEdit(
    edit: TableEdit,
    stored: store.StoredRow | undefined,
  ): AttemptEnd | undefined {
    if (stored === undefined || stored.version === 0) return undefined;
    const record = core.decodeValue(stored.value, EditRecordCodec);
    if (record.isOk() && record.value.changesHash === hashOfChanges(edit)) {
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
      .mapErr(storeFailure);
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

/** Why a read is too old to judge the edit by, if it is. */
function laggingRead(
  edit: TableEdit,
  snapshot: TableSnapshot,
  floorRevision: number,
): core.Failure | undefined {
  const rowRevisions = edit.changes.map((change) =>
    change.expectRowRevision ?? 0
  );
  const floor = Math.max(
    floorRevision,
    edit.expectRevision ?? 0,
    ...rowRevisions,
  );
  if (snapshot.revision >= floor) return undefined;
  return core.refuse(
    core.REVISION_MISMATCH,
    `the store shows revision ${snapshot.revision}, not yet ${floor}`,
    STORE_RETRY_AFTER_MS,
  );
}

function expectationFault(
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
    return core.refuse(core.EDIT_CONFLICT, describeWinner(name, revised));
  }
  return undefined;
}

function describeWinner(name: string, winner: RevisedRow | undefined): string {
  if (winner === undefined) return `row ${name} was deleted by another edit`;
  const { operatorId, editId, revision } = winner;
  return `row ${name} was changed by ${operatorId} with edit ${editId} ` +
    `at revision ${revision}`;
}

function conflictWith(stored: store.StoredRow): core.Failure {
  const name = stored.key.slice(ROW_PREFIX.length);
  const winner = decodeRevisedRow(stored.value).unwrapOr(undefined as never);
  return core.refuse(core.EDIT_CONFLICT, describeWinner(name, winner));
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
  const record = { revision, changesHash: hashOfChanges(edit) };
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
