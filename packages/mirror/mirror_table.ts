/**
 * A copy of one table of the store, kept up to date from the store or from
 * another node's copy, in any order.
 */
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";
import { type ConfirmingRead, CopyCurrency } from "./mirror_currency.ts";
import { compareCursors, type Cursor } from "./mirror_cursor.ts";

/** Receives the rows and changes of a table. */
export abstract class TableListener {
  /** Applies all rows of the table, in place of those known before. */
  abstract applySnapshot(snapshot: store.TableSnapshot): void;
  abstract applyChange(change: store.RowChange): void;
}

/** A row in a delta, with its value as JSON text. */
export interface DeltaRow {
  readonly key: string;
  readonly version: number;
  /** Undefined if the row was deleted. */
  readonly valueJson: string | undefined;
}

/** Changes of one table between two positions. */
export interface TableDelta {
  /** Undefined if `rows` are all rows of the table. */
  readonly from: Cursor | undefined;
  readonly to: Cursor;
  readonly rows: readonly DeltaRow[];
}

/**
 * How a delta was applied: `gap` if changes before it are missing here, so that
 * the table has to be read from the store.
 */
export type MergeOutcome = "applied" | "alreadyKnown" | "gap";

/** Deleted rows that are remembered, so that deltas can contain them. */
const DELETED_ROWS_MAX = 512;

interface Row {
  readonly version: number;
  /** Version of the last change that matters; other nodes receive only those. */
  readonly changedVersion: number;
  readonly value: core.JsonValue | undefined;
  /** The value as JSON text, once it was needed. */
  valueJson?: string;
}

/** Options of a copy. */
export interface TableMirrorOptions {
  readonly name: string;
  readonly listener: TableListener;
  /**
   * The part of a row's value whose changes matter. A row in which only the
   * rest changes, such as a heartbeat's counter, is neither applied nor passed
   * on.
   */
  readonly significantPart?: (value: core.JsonValue) => core.JsonValue;
  /**
   * End of the last suspension of the process, if it matters as of when the copy
   * is current.
   */
  readonly resumedAtMs?: () => number;
}

/** A copy of one table. */
export class TableMirror {
  readonly name: string;
  /** As of when the copy is current; absent where that does not matter. */
  readonly currency: CopyCurrency | undefined;
  readonly #listener: TableListener;
  readonly #significantPart: (value: core.JsonValue) => core.JsonValue;
  readonly #rows = new Map<string, Row>();
  readonly #significantJson = new Map<string, string>();
  #cursor: Cursor | undefined;
  /** Deltas from before this version would lack deleted rows. */
  #deltasFromVersion = 0;
  #confirmedAtMs = -Infinity;

  constructor(options: TableMirrorOptions) {
    this.name = options.name;
    this.#listener = options.listener;
    const { resumedAtMs } = options;
    this.currency = resumedAtMs && new CopyCurrency(resumedAtMs);
    this.#significantPart = options.significantPart ?? ((value) => value);
  }

  /** The position up to which all changes are known. */
  get cursor(): Cursor | undefined {
    return this.#cursor;
  }

  /**
   * When the store last confirmed this copy to any node, on the monotonic
   * clock.
   */
  get confirmedAtMs(): number {
    return this.#confirmedAtMs;
  }

  /**
   * Records that the store had no changes after the position at that time.
   *
   * @param read the read that confirmed it, if it is known when that began.
   */
  confirm(
    cursor: Cursor | undefined,
    atMs: number,
    read?: ConfirmingRead,
  ): void {
    if (compareCursors(cursor, this.#cursor) > 0) return;
    if (cursor?.generation !== this.#cursor?.generation) return;
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
    if (read) this.currency?.record(read);
  }

  /**
   * Applies a full read of the store. Rows that are known in a later version
   * stay; a read of an earlier generation is ignored.
   */
  applySnapshot(snapshot: store.TableSnapshot): void {
    const to = {
      generation: snapshot.generation,
      version: snapshot.version,
    };
    const known = this.#cursor;
    if (known && to.generation < known.generation) return;
    if (!known || to.generation > known.generation) {
      this.#replaceAll(to, snapshot.rows);
      this.#listener.applySnapshot(snapshot);
      return;
    }
    const listed = new Set(snapshot.rows.map(({ key }) => key));
    for (const row of snapshot.rows) this.#applyRow(row, true);
    for (const [key, row] of this.#rows) {
      const isMissing = !listed.has(key) && row.version <= to.version;
      if (!isMissing || row.value === undefined) continue;
      this.#applyRow({ key, version: to.version, value: undefined }, true);
    }
    // Rows that came and went since the last position are not known here.
    if (to.version > known.version) this.#deltasFromVersion = to.version;
    this.#advance(to);
  }

  /** Applies changes that follow a position, as read from the store. */
  applyChanges(
    from: Cursor,
    toVersion: number,
    changes: readonly store.RowChange[],
  ): MergeOutcome {
    return this.#applyFrom(from, toVersion, changes, false);
  }

  /** @param mayHideDeletion as for `#applyRow`. */
  #applyFrom(
    from: Cursor,
    toVersion: number,
    changes: readonly store.RowChange[],
    mayHideDeletion: boolean,
  ): MergeOutcome {
    const known = this.#cursor;
    if (from.generation !== known?.generation) return "gap";
    if (from.version > known.version) return "gap";
    for (const change of changes) this.#applyRow(change, mayHideDeletion);
    this.#advance({ generation: from.generation, version: toVersion });
    return "applied";
  }

  /** Applies a delta of another node's copy. */
  merge(delta: TableDelta): MergeOutcome {
    if (compareCursors(delta.to, this.#cursor) <= 0) return "alreadyKnown";
    const rows = delta.rows.map(({ key, version, valueJson }) => ({
      key,
      version,
      value: valueJson === undefined
        ? undefined
        : JSON.parse(valueJson) as core.JsonValue,
    }));
    if (delta.from !== undefined) {
      return this.#applyFrom(delta.from, delta.to.version, rows, true);
    }
    const present = rows.flatMap(({ key, version, value }) =>
      value === undefined ? [] : [{ key, version, value }]
    );
    this.applySnapshot({ ...delta.to, rows: present });
    return "applied";
  }

  /**
   * Returns what another copy at `cursor` lacks: the changes since, or all rows
   * where changes are no longer known.
   *
   * @returns undefined if it lacks nothing; `tooLarge` if its size exceeds
   * `bytesMax`, and the other node should read the store.
   */
  deltaSince(
    cursor: Cursor | undefined,
    bytesMax: number,
  ): TableDelta | "tooLarge" | undefined {
    const to = this.#cursor;
    if (!to || compareCursors(cursor, to) >= 0) return undefined;
    const hasChanges = cursor !== undefined &&
      cursor.generation === to.generation &&
      cursor.version >= this.#deltasFromVersion;
    const rows: DeltaRow[] = [];
    let bytes = 0;
    for (const [key, row] of this.#rows) {
      if (hasChanges && row.changedVersion <= cursor.version) continue;
      if (!hasChanges && row.value === undefined) continue;
      if (row.value !== undefined) row.valueJson ??= JSON.stringify(row.value);
      bytes += key.length + (row.valueJson?.length ?? 0);
      if (bytes > bytesMax) return "tooLarge";
      rows.push({ key, version: row.version, valueJson: row.valueJson });
    }
    return { from: hasChanges ? cursor : undefined, to, rows };
  }

  #replaceAll(to: Cursor, rows: readonly store.StoredRow[]): void {
    this.#rows.clear();
    this.#significantJson.clear();
    const isRestored = this.#cursor !== undefined;
    for (const { key, version, value } of rows) {
      this.#rows.set(key, { version, changedVersion: version, value });
      // A row that its owner writes again after a restore is always passed on.
      if (isRestored) continue;
      this.#significantJson.set(key, this.#toSignificantJson(value));
    }
    this.#cursor = to;
    this.#deltasFromVersion = to.version;
  }

  /**
   * @param mayHideDeletion whether the row is the last state after several
   * changes, among which it may have been deleted and written again.
   */
  #applyRow(
    { key, version, value }: store.RowChange,
    mayHideDeletion: boolean,
  ): void {
    const known = this.#rows.get(key);
    if (known && version <= known.version) return;
    if (value === undefined) {
      this.#significantJson.delete(key);
      const isKnown = known?.value !== undefined;
      this.#rows.delete(key);
      this.#rows.set(key, { version, changedVersion: version, value });
      this.#forgetDeleted();
      if (isKnown) this.#listener.applyChange({ key, version, value });
      return;
    }
    const significantJson = this.#toSignificantJson(value);
    const isSame = known?.value !== undefined &&
      this.#significantJson.get(key) === significantJson;
    if (isSame) {
      // A copy that saw the deletion needs the row again.
      const changedVersion = mayHideDeletion ? version : known.changedVersion;
      this.#rows.set(key, { ...known, version, changedVersion });
      return;
    }
    this.#significantJson.set(key, significantJson);
    this.#rows.set(key, { version, changedVersion: version, value });
    this.#listener.applyChange({ key, version, value });
  }

  #toSignificantJson(value: core.JsonValue): string {
    return JSON.stringify(this.#significantPart(value));
  }

  /** Forgets the oldest deleted rows; the map is in order of insertion. */
  #forgetDeleted(): void {
    const deleted = [...this.#rows].filter(([, { value }]) =>
      value === undefined
    );
    for (const [key, { version }] of deleted.slice(0, -DELETED_ROWS_MAX)) {
      this.#rows.delete(key);
      this.#deltasFromVersion = Math.max(this.#deltasFromVersion, version);
    }
  }

  #advance(to: Cursor): void {
    if (compareCursors(to, this.#cursor) > 0) this.#cursor = to;
  }
}
