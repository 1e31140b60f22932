/** The highest revision that this instance has seen; it never steps back. */
import * as core from "../core/mod.ts";
import { makeSnapshot } from "./table_codecs.ts";
import type { RevisedRow, TableSnapshot } from "./table_types.ts";

/** Called with every newer snapshot. */
export type TableListener = (snapshot: TableSnapshot) => void;

/** Keeps the newest snapshot and tells listeners about newer ones. */
export class TableKeeper {
  #snapshot: TableSnapshot = makeSnapshot(0, []);
  #known = false;
  readonly #listeners = new Set<TableListener>();

  /** The newest snapshot. */
  get snapshot(): TableSnapshot {
    return this.#snapshot;
  }

  /** Whether a snapshot has been read from the store or a peer. */
  get isKnown(): boolean {
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
  offer(snapshot: TableSnapshot): boolean {
    const first = !this.#known;
    this.#known = true;
    if (snapshot.revision <= this.#snapshot.revision && !first) return false;
    core.invariant(
      snapshot.revision >= this.#snapshot.revision,
      2,
      `${this.#snapshot.revision} to ${snapshot.revision}`,
    );
    this.#snapshot = snapshot;
    for (const listener of this.#listeners) listener(snapshot);
    return true;
  }

  /** Registers a listener and returns its clean-up. */
  registerListener(listener: TableListener): core.Cleanup {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
