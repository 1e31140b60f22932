/**
 * Chooses the few nodes that follow the store for the whole fleet. Pattern of
 * load: each node that follows a table is woken by every change of it, so calls
 * to the store grow as nodes times changes unless the readers stay few.
 */
import * as core from "../core/mod.ts";

/** Nodes that follow the store at the same time, if there are more. */
const READERS = 3;
/** Up to this number of nodes, each follows the store by itself. */
const ALL_READ_UP_TO = 6;
/** Time after the longest wait of a reader at which a copy counts as stale. */
const STALE_MARGIN_MS = 500;
/** Interval between reads of a stale copy by the first node that is no reader. */
const STALE_READ_INTERVAL_MS = 500;
/** Nodes that together read a stale copy at that interval. */
const STALE_READERS_PER_INTERVAL = 4;

/** Position of a node among the live ones in the order in which they read. */
export interface ReaderRank {
  readonly rank: number;
  readonly nodes: number;
}

/**
 * Ranks a node among the live ones. Neighbours by name are spread, as they
 * share failure domains.
 *
 * @param prefer moves the nodes to the front that are to read, if possible.
 * @example
 * ```ts
 * const { rank } = mirror.rankReader(self, members.alive());
 * ```
 */
export function rankReader(
  self: core.InstanceId,
  alive: readonly core.InstanceId[],
  prefer: (nodes: readonly core.InstanceId[]) => readonly core.InstanceId[] = (
    nodes,
  ) => nodes,
): ReaderRank {
  const rank = prefer(core.rendezvous("store-reader", alive)).indexOf(self);
  return { rank: Math.max(0, rank), nodes: alive.length };
}

/**
 * Whether a node follows the store for others as well.
 *
 * @example
 * ```ts
 * mirror.isReader({ rank: 40, nodes: 78 }); // false
 * ```
 */
export function isReader(place: ReaderRank): boolean {
  return !readsForOthers(place) || place.rank < READERS;
}

/**
 * Whether a few nodes follow the store for a fleet of this size.
 *
 * @example
 * ```ts
 * mirror.readsForOthers({ rank: 2, nodes: 78 }); // true
 * ```
 */
export function readsForOthers({ nodes }: ReaderRank): boolean {
  return nodes > ALL_READ_UP_TO;
}

/**
 * Returns when a node that is no reader reads its copy from the store, as time
 * since the store last confirmed the copy, and since the node's last read, in
 * ms. The intervals grow with the rank, so that a store that is away gets few
 * calls from a large fleet, while the first nodes replace lost readers soon.
 *
 * @param waitMs longest time for which a reader waits for a change.
 * @example
 * ```ts
 * const rank = { rank: 7, nodes: 78 };
 * const { afterMs, intervalMs } = mirror.staleReadTimes(rank, 1_000);
 * ```
 */
export function staleReadTimes(
  { rank }: ReaderRank,
  waitMs: number,
): { afterMs: number; intervalMs: number } {
  const position = Math.max(0, rank - READERS);
  const intervalMs = STALE_READ_INTERVAL_MS *
    (1 + position / STALE_READERS_PER_INTERVAL);
  return { afterMs: waitMs + STALE_MARGIN_MS, intervalMs };
}
