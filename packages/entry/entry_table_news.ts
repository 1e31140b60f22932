/** Passes changes of the store's tables between nodes. */
import { create } from "@bufbuild/protobuf";
import * as mirror from "../mirror/mod.ts";
import * as peers from "../peers/mod.ts";

/**
 * Size of the changes of one table in a message. A node that lacks more reads
 * the store, as links between nodes are slower.
 */
const CHANGES_BYTES_MAX = 32_768;
/** Upper limit of the age in a message; a copy of this age is stale. */
const CONFIRMED_AGE_MAX_MS = 600_000;

/** A table whose changes are passed on. */
export interface SharedTable {
  readonly copy: mirror.TableMirror;
  /** Makes this node read the table from the store. */
  requestRead(): void;
}

/** The tables of this node, and what it knows of its parent's copies. */
export class TableNewsExchange {
  readonly #tables: readonly SharedTable[];
  readonly #parentCursors = new Map<string, mirror.Cursor>();
  #parent: string | undefined;

  constructor(tables: readonly SharedTable[]) {
    this.#tables = tables;
  }

  /** News for the parent: positions, and changes that it is known to lack. */
  forParent(parent: string, nowMs: number): peers.TableNews[] {
    if (parent !== this.#parent) this.#parentCursors.clear();
    this.#parent = parent;
    return this.#tables.flatMap(({ copy }) => {
      const known = this.#parentCursors.get(copy.name);
      const isAhead = known !== undefined &&
        mirror.compareCursors(copy.cursor, known) > 0;
      return makeNews(copy, isAhead ? known : copy.cursor, nowMs);
    });
  }

  /** News for a child that has sent its positions. */
  forChild(theirs: readonly peers.TableNews[], nowMs: number) {
    return this.#tables.flatMap(({ copy }) => {
      const news = theirs.find(({ table }) => table === copy.name);
      return makeNews(copy, toCursor(news?.position), nowMs);
    });
  }

  /** Applies news of the parent and remembers its positions. */
  applyFromParent(news: readonly peers.TableNews[], nowMs: number): void {
    for (const { table, position } of news) {
      const cursor = toCursor(position);
      if (cursor) this.#parentCursors.set(table, cursor);
    }
    this.apply(news, nowMs);
  }

  /** Applies news of another node. */
  apply(news: readonly peers.TableNews[], nowMs: number): void {
    for (const each of news) {
      const table = this.#tables.find(({ copy }) => copy.name === each.table);
      const to = toCursor(each.position);
      if (!table || !to) continue;
      if (each.mustRead) table.requestRead();
      if (each.changes) {
        const outcome = table.copy.merge({
          from: toCursor(each.changes.from),
          to,
          rows: each.changes.rows.map(({ key, version, valueJson }) => ({
            key,
            version,
            valueJson,
          })),
        });
        if (outcome === "gap") table.requestRead();
      }
      table.copy.confirm(to, nowMs - each.confirmedAgeMs);
    }
  }
}

function toCursor(
  position: { generation: number; version: number } | undefined,
): mirror.Cursor | undefined {
  if (!position) return undefined;
  const { generation, version } = position;
  return { generation, version };
}

function makeNews(
  copy: mirror.TableMirror,
  theirs: mirror.Cursor | undefined,
  nowMs: number,
): peers.TableNews[] {
  if (!copy.cursor) return [];
  const delta = copy.deltaSince(theirs, CHANGES_BYTES_MAX);
  const ageMs = Math.min(nowMs - copy.confirmedAtMs, CONFIRMED_AGE_MAX_MS);
  return [create(peers.TableNewsSchema, {
    table: copy.name,
    position: copy.cursor,
    confirmedAgeMs: Math.max(0, Math.ceil(ageMs)),
    mustRead: delta === "tooLarge",
    ...(delta === undefined || delta === "tooLarge" ? {} : {
      changes: {
        ...(delta.from ? { from: delta.from } : {}),
        rows: delta.rows.map(({ key, version, valueJson }) => ({
          key,
          version,
          ...(valueJson === undefined ? {} : { valueJson }),
        })),
      },
    }),
  })];
}
