/** Caches the newest known table snapshot, whose revision never decreases. */
import * as core from "../core/mod.ts";
import { makeSnapshot } from "./table_codecs.ts";
import type { RevisedRow, TableDelta, TableSnapshot } from "./table_types.ts";

/** Maximum number of deletions that are kept to build deltas. */
const DELETIONS_MAX = 1_000;

/** Called with each newer snapshot. */
export type TableListener = (snapshot: TableSnapshot) => void;

/** Holds the newest snapshot and notifies listeners of each newer one. */
export class TableCache {
  #snapshot: TableSnapshot = makeSnapshot(0, []);
  #loaded = false;
  readonly #listeners = new Set<TableListener>();
  /** Deleted rows, with the first known revision that lacks them. */
  readonly #deleted = new Map<core.RowName, number>();
  /** Lowest base revision for which a delta can be built. */
  #minBaseRevision = 0;

  /** The newest snapshot; revision 0 without rows until one has been read. */
  get snapshot(): TableSnapshot {
    return this.#snapshot;
  }

  /** Whether a snapshot has been read from the store or a peer. */
  get hasSnapshot(): boolean {
    return this.#loaded;
  }

  /** The row of this name, if there is one. */
  row(name: core.RowName): RevisedRow | undefined {
    return this.#snapshot.rows.get(name);
  }

  /**
   * Replaces the snapshot if the given one is newer, or is the first.
   *
   * @returns whether it was replaced.
   */
  applyIfNewer(snapshot: TableSnapshot): boolean {
    const isFirst = !this.#loaded;
    this.#loaded = true;
    if (snapshot.revision <= this.#snapshot.revision && !isFirst) return false;
    core.invariant(
      snapshot.revision >= this.#snapshot.revision,
      2,
      `${this.#snapshot.revision} to ${snapshot.revision}`,
    );
    this.#recordDeletions(snapshot);
    this.#snapshot = snapshot;
    for (const listener of this.#listeners) listener(snapshot);
    return true;
  }

  /** Changes since a revision; undefined if they are no longer known. */
  deltaSince(baseRevision: number): TableDelta | undefined {
    if (baseRevision < this.#minBaseRevision || !this.#loaded) return undefined;
    const { revision, rows } = this.#snapshot;
    const changed = [...rows.values()]
      .filter((row) => row.revision > baseRevision);
    const deleted = [...this.#deleted]
      .filter(([name, deletedRevision]) =>
        deletedRevision > baseRevision && !rows.has(name)
      )
      .map(([name]) => name);
    return { baseRevision, revision, changed, deleted };
  }

  /** Applies a delta if its base revision is not above the current revision. */
  applyDelta(delta: TableDelta): boolean {
    if (!this.#loaded || delta.baseRevision > this.#snapshot.revision) {
      return false;
    }
    const rows = new Map(this.#snapshot.rows);
    for (const name of delta.deleted) rows.delete(name);
    for (const row of delta.changed) rows.set(row.row.name, row);
    return this.applyIfNewer({ revision: delta.revision, rows });
  }

  #recordDeletions(next: TableSnapshot): void {
    if (this.#snapshot.revision === 0) this.#minBaseRevision = next.revision;
    for (const name of this.#snapshot.rows.keys()) {
      if (!next.rows.has(name)) this.#deleted.set(name, next.revision);
    }
    for (const [name, deletedRevision] of this.#deleted) {
      if (this.#deleted.size <= DELETIONS_MAX) break;
      this.#deleted.delete(name);
      this.#minBaseRevision = Math.max(this.#minBaseRevision, deletedRevision);
    }
  }

  /** Registers a listener; the returned function removes it. */
  registerListener(listener: TableListener): core.Cleanup {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
