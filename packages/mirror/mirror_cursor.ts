/** Positions in a table's sequence of changes. */

/**
 * A position in the changes of one table: every change up to `version` of the
 * given generation of the table service is known.
 */
export interface Cursor {
  /** Counts how often the table service was restored from an older copy. */
  readonly generation: number;
  readonly version: number;
}

/**
 * Orders two positions; an absent one comes before all others.
 *
 * @returns a negative number, 0 or a positive number.
 * @example
 * ```ts
 * if (mirror.compareCursors(theirs, ours) < 0) sendChanges();
 * ```
 */
export function compareCursors(
  a: Cursor | undefined,
  b: Cursor | undefined,
): number {
  if (a === undefined || b === undefined) {
    return Number(a !== undefined) - Number(b !== undefined);
  }
  return a.generation - b.generation || a.version - b.version;
}
