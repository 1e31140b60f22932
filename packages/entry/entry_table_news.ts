/** Passes changes of the store's tables between nodes. */
import { create } from "@bufbuild/protobuf";
import type * as core from "../core/mod.ts";
import * as mirror from "../mirror/mod.ts";
import * as peers from "../peers/mod.ts";

/**
 * Size of the changes of one table in a digest or view. A node that lacks more
 * reads them in a call of its own, as it would be told the same at each exchange
 * meanwhile.
 */
const CHANGES_BYTES_MAX = 32_768;
/** Upper limit of the age in a message; a copy of this age is stale. */
const CONFIRMED_AGE_MAX_MS = 600_000;

/** A node that has changes of a table which this node lacks. */
export interface TableOffer {
  readonly holder: core.InstanceId;
  /** Position of the holder's copy. */
  readonly position: mirror.Cursor;
}

/** A table whose changes are passed on. */
export interface SharedTable {
  readonly copy: mirror.TableMirror;
  /** Makes this node read the table, from that node or from the store. */
  requestRead(offer: TableOffer): void;
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
  applyFromParent(
    parent: core.InstanceId,
    news: readonly peers.TableNews[],
    nowMs: number,
    askedAtMs: number,
  ): void {
    for (const { table, position } of news) {
      const cursor = toCursor(position);
      if (cursor) this.#parentCursors.set(table, cursor);
    }
    this.apply(parent, news, nowMs, askedAtMs);
  }

  /**
   * Applies news of another node.
   *
   * @param askedAtMs when this node asked for them; absent if they came unasked,
   * so that they may have waited in a connection.
   */
  apply(
    node: core.InstanceId,
    news: readonly peers.TableNews[],
    nowMs: number,
    askedAtMs?: number,
  ): void {
    for (const each of news) {
      const table = this.#tables.find(({ copy }) => copy.name === each.table);
      const position = toCursor(each.position);
      if (!table || !position) continue;
      const outcome = mergeNews(table.copy, each, nowMs, askedAtMs);
      // A copy may have come to the position since it sent its own.
      const isBehind = mirror.compareCursors(table.copy.cursor, position) < 0;
      if (outcome === "gap" || each.mustRead && isBehind) {
        table.requestRead({ holder: node, position });
      }
    }
  }

  /** Returns all that another node's copy of a table lacks. */
  readTable(
    { table, position }: peers.ReadTableRequest,
    nowMs: number,
  ): peers.ReadTableReply {
    const shared = this.#tables.find(({ copy }) => copy.name === table);
    const [news] = shared
      ? makeNews(shared.copy, toCursor(position), nowMs, Infinity)
      : [];
    return create(peers.ReadTableReplySchema, news ? { news } : {});
  }
}

/**
 * Applies another node's news of a table to a copy.
 *
 * @param askedAtMs when this node asked for them, if it did.
 * @example
 * ```ts
 * const isApplied = mergeNews(copy, news, core.monotonicMs()) === "applied";
 * ```
 */
export function mergeNews(
  copy: mirror.TableMirror,
  { position, changes, confirmedAgeMs, asOfAgeMs }: peers.TableNews,
  nowMs: number,
  askedAtMs?: number,
): mirror.MergeOutcome {
  const to = toCursor(position);
  if (!to) return "alreadyKnown";
  const outcome = changes === undefined ? "alreadyKnown" : copy.merge({
    from: toCursor(changes.from),
    to,
    rows: changes.rows.map(({ key, version, valueJson }) => ({
      key,
      version,
      valueJson,
    })),
  });
  // The age was taken after the call began, so this is no later than the read.
  const read = asOfAgeMs === undefined || askedAtMs === undefined
    ? undefined
    : { asOfMs: askedAtMs - asOfAgeMs, askedAtMs };
  copy.confirm(to, nowMs - confirmedAgeMs, read);
  return outcome;
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
  bytesMax = CHANGES_BYTES_MAX,
): peers.TableNews[] {
  if (!copy.cursor) return [];
  const delta = copy.deltaSince(theirs, bytesMax);
  const ageMs = Math.min(nowMs - copy.confirmedAtMs, CONFIRMED_AGE_MAX_MS);
  return [create(peers.TableNewsSchema, {
    table: copy.name,
    position: copy.cursor,
    confirmedAgeMs: Math.max(0, Math.ceil(ageMs)),
    ...asOfAge(copy, nowMs),
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

function asOfAge(
  { currency }: mirror.TableMirror,
  nowMs: number,
): Pick<peers.TableNews, "asOfAgeMs"> {
  const ageMs = nowMs - (currency?.asOfMs ?? -Infinity);
  if (ageMs > CONFIRMED_AGE_MAX_MS) return {};
  return { asOfAgeMs: Math.max(0, Math.ceil(ageMs)) };
}
