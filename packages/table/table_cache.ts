/** The highest revision that this instance has seen; it never steps back. */
import * as core from "../core/mod.ts";
import { makeSnapshot } from "./table_codecs.ts";
import type { RevisedRow, TableDelta, TableSnapshot } from "./table_types.ts";

/** Deletions remembered for deltas. */
const DELETIONS_MAX = 1_000;

/** Called with every newer snapshot. */
export type TableListener = (snapshot: TableSnapshot) => void;

/** Keeps the newest snapshot and tells listeners about newer ones. */
export class TableCache {
  #snapshot: TableSnapshot = makeSnapshot(0, []);
  #known = false;
  readonly #listeners = new Set<TableListener>();
  /** Deleted rows, with the revision by which they were gone. */
  readonly #deleted = new Map<core.RowName, number>();
  /** Deltas from before this revision cannot be made. */
  #deltaFloor = 0;

  /** The newest snapshot. */
  get snapshot(): TableSnapshot {
    return this.#snapshot;
  }

  /** Whether a snapshot has been read from the store or a peer. */
  get hasSnapshot(): boolean {
    return this.#known;
  }

  /** The row of this name, if there is one. */
  row(name: core.RowName): RevisedRow | undefined {
    return this.#snapshot.rows.get(name);
  }

  /**
   * Takes a snapshot if it is newer than the one kept.
   *
   * @returns whether it was taken.
   */
  applyIfNewer(snapshot: TableSnapshot): boolean {
    const first = !this.#known;
    this.#known = true;
    if (snapshot.revision <= this.#snapshot.revision && !first) return false;
    core.invariant(
      snapshot.revision >= this.#snapshot.revision,
      2,
      `${this.#snapshot.revision} to ${snapshot.revision}`,
    );
    this.#noteDeletions(snapshot);
    this.#snapshot = snapshot;
    for (const listener of this.#listeners) listener(snapshot);
    return true;
  }

  /** What changed since a revision; undefined when that is not known. */
  deltaSince(baseRevision: number): TableDelta | undefined {
    if (baseRevision < this.#deltaFloor || !this.#known) return undefined;
    const { revision, rows } = this.#snapshot;
    const changed = [...rows.values()]
      .filter((row) => row.revision > baseRevision);
    const deleted = [...this.#deleted]
      .filter(([name, gone]) => gone > baseRevision && !rows.has(name))
      .map(([name]) => name);
    return { baseRevision, revision, changed, deleted };
  }

  /** Takes a delta if it starts where this table stands, or before. */
  applyDelta(delta: TableDelta): boolean {
    if (!this.#known || delta.baseRevision > this.#snapshot.revision) {
      return false;
    }
    const rows = new Map(this.#snapshot.rows);
    for (const name of delta.deleted) rows.delete(name);
    for (const row of delta.changed) rows.set(row.row.name, row);
    return this.applyIfNewer({ revision: delta.revision, rows });
  }

  #noteDeletions(next: TableSnapshot): void {
    if (this.#snapshot.revision === 0) this.#deltaFloor = next.revision;
    for (const name of this.#snapshot.rows.keys()) {
      if (!next.rows.has(name)) this.#deleted.set(name, next.revision);
    }
    for (const [name, gone] of this.#deleted) {
      if (this.#deleted.size <= DELETIONS_MAX) break;
      this.#deleted.delete(name);
      this.#deltaFloor = Math.max(this.#deltaFloor, gone);
    }
  }

  /** Registers a listener and returns its clean-up. */
  registerListener(listener: TableListener): core.Cleanup {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
