/**
 * Follows a table of the store: a full read first, then its changes. In a large
 * fleet only a few nodes do; the others receive the changes from them.
 */
import * as core from "../core/mod.ts";
import * as mirror from "../mirror/mod.ts";
import type * as peers from "../peers/mod.ts";
import type * as store from "../store/mod.ts";
import { mergeNews, type TableOffer } from "./entry_table_news.ts";

/** Options for following a table. */
export interface FollowOptions {
  /**
   * Longest wait of one call; bounds how long a dead connection goes unnoticed.
   */
  readonly waitMs: number;
  /**
   * As `waitMs`, in a fleet in which a few nodes read for all: the others take
   * over only when a wait should have ended. Absent if the same.
   */
  readonly sharedWaitMs?: number;
  /** Pause after a change, so that further changes arrive in one batch. */
  readonly coalesceMs: number;
  /** As `coalesceMs`, in a fleet in which a few nodes read for all. */
  readonly sharedCoalesceMs?: number;
}

/** Pauses after failures, jittered so that nodes do not retry in step. */
const RETRY_DELAY_MIN_MS = 200;
const RETRY_DELAY_MAX_MS = 600;
/** Interval at which a node checks whether it has become a reader. */
const CHECK_INTERVAL_MS = 1_000;

/** Availability of the store, as seen by all tasks that follow a table. */
export class StoreHealth {
  lastFailureAtMs = -Infinity;
  readonly #logger: core.Logger;
  #isUnavailable = false;

  constructor(logger: core.Logger) {
    this.#logger = logger;
  }

  recordSuccess(): void {
    if (!this.#isUnavailable) return;
    this.#isUnavailable = false;
    this.#logger.info("dependency_regained", { dependency: "store" });
  }

  recordFailure(detail: string): void {
    this.lastFailureAtMs = core.monotonicMs();
    if (this.#isUnavailable) return;
    this.#isUnavailable = true;
    this.#logger.warn("dependency_lost", { dependency: "store", detail });
  }
}

/** Reads tables from other nodes. */
export abstract class PeerTables {
  /**
   * Returns what a copy at `position` lacks; undefined if the node did not
   * answer, or has no copy.
   */
  abstract read(
    holder: core.InstanceId,
    table: string,
    position: mirror.Cursor | undefined,
  ): Promise<peers.TableNews | undefined>;
}

/** Where a table is read from. */
export interface TableSources {
  readonly store: store.ChangeFeedTableService;
  readonly peers: PeerTables;
}

/** Keeps one table's copy up to date, from the store and from other nodes. */
export class FollowTask extends core.Task {
  override readonly name: string;
  readonly copy: mirror.TableMirror;
  readonly #store: store.ChangeFeedTableService;
  readonly #peers: PeerTables;
  readonly #logger: core.Logger;
  readonly #storeHealth: StoreHealth;
  readonly #options: FollowOptions;
  readonly #rank: () => mirror.ReaderRank;
  readonly #wakeSignal = new core.WakeSignal();
  #isReadRequested = false;
  /** Whether a read from another node is in progress. */
  #isReadingFromPeer = false;
  #failures = 0;
  /** Times in a row that the store lacked the history after a snapshot. */
  #historyLosses = 0;
  #readAtMs = -Infinity;
  /** When the copy that was last reported as stale had been confirmed. */
  #staleSinceMs: number | undefined;

  /** @param rank this node's position among those that may read the store. */
  constructor(
    sources: TableSources,
    copy: mirror.TableMirror,
    storeHealth: StoreHealth,
    options: FollowOptions,
    rank: () => mirror.ReaderRank,
    logger: core.Logger,
  ) {
    super();
    this.name = `follow-${copy.name}`;
    this.copy = copy;
    this.#options = options;
    this.#store = sources.store;
    this.#peers = sources.peers;
    this.#logger = logger;
    this.#storeHealth = storeHealth;
    this.#rank = rank;
  }

  /**
   * Makes the task read what another node has and this one lacks: from that
   * node, and from the store if that fails. Offers that arrive meanwhile are
   * ignored, as they are repeated at the next exchange.
   */
  requestRead(offer: TableOffer): void {
    if (this.#isReadingFromPeer) return;
    this.#isReadingFromPeer = true;
    this.#readFromPeer(offer).catch((thrown) => {
      const reason = core.messageOf(thrown);
      const table = this.copy.name;
      this.#logger.error("table_read_crashed", { table, reason });
    }).finally(() => this.#isReadingFromPeer = false);
  }

  async #readFromPeer({ holder, position }: TableOffer): Promise<void> {
    const startedAtMs = core.monotonicMs();
    const news = await this.#peers
      .read(holder, this.copy.name, this.copy.cursor);
    const outcome = news &&
      mergeNews(this.copy, news, core.monotonicMs(), startedAtMs);
    const isBehind = mirror.compareCursors(this.copy.cursor, position) < 0;
    this.#logRead(holder, outcome ?? "failed", startedAtMs);
    if (!isBehind) return;
    this.#isReadRequested = true;
    this.#wakeSignal.wake();
  }

  /**
   * Reads what has changed by now, whether or not this node follows the table.
   *
   * @returns whether the copy has all that the store had when this was called.
   */
  async refresh(): Promise<boolean> {
    const startedAtMs = core.monotonicMs();
    const { cursor } = this.copy;
    const isCurrent = cursor?.generation === this.#store.generation;
    if (cursor === undefined || !isCurrent) return this.#refreshWhole();
    const result = await this.#store
      .follow(this.copy.name, cursor.version, 0);
    if (result.isErr()) return false;
    const isRestored = cursor.generation !== this.#store.generation;
    if (isRestored || result.value.outcome === "historyGone") {
      return this.#refreshWhole();
    }
    const { changes, version } = result.value;
    const toVersion = Math.max(version, cursor.version);
    const outcome = this.copy.applyChanges(cursor, toVersion, changes);
    if (outcome === "gap") return this.#refreshWhole();
    this.#confirm(startedAtMs, startedAtMs);
    return true;
  }

  async #refreshWhole(): Promise<boolean> {
    const startedAtMs = core.monotonicMs();
    const snapshot = await this.#store.readTable(this.copy.name);
    if (snapshot.isErr()) return false;
    this.copy.applySnapshot(snapshot.value);
    this.#confirm(startedAtMs, startedAtMs);
    return this.copy.cursor?.generation === snapshot.value.generation;
  }

  /** Records a read of the store that confirmed the copy. */
  #confirm(atMs: number, startedAtMs: number): void {
    const read = { asOfMs: startedAtMs, askedAtMs: startedAtMs };
    this.copy.confirm(this.copy.cursor, atMs, read);
  }

  #logRead(from: string, outcome: string, startedAtMs: number): void {
    this.#logger.info("table_read", {
      table: this.copy.name,
      from,
      outcome,
      version: this.copy.cursor?.version,
      tookMs: Math.round(core.monotonicMs() - startedAtMs),
    });
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const pauseMs = await this.#step();
      if (pauseMs > 0) await this.#wakeSignal.wait(pauseMs, signal);
    }
  }

  /** Reads or follows the table if it is this node's turn; returns a pause. */
  async #step(): Promise<number> {
    const { cursor } = this.copy;
    const isRestored = cursor !== undefined &&
      cursor.generation < this.#store.generation;
    if (cursor === undefined || isRestored || this.#isReadRequested) {
      return await this.#readSnapshot();
    }
    const rank = this.#rank();
    const { waitMs: ownWaitMs, sharedWaitMs = ownWaitMs } = this.#options;
    const isShared = mirror.readsForOthers(rank);
    const longestMs = isShared ? sharedWaitMs : ownWaitMs;
    if (mirror.isReader(rank)) {
      return await this.#readChanges(cursor, longestMs, isShared);
    }
    const { afterMs, intervalMs } = mirror.staleReadTimes(rank, longestMs);
    // A reader's answer is as of the start of its read, so up to one wait older.
    const currentUntilMs = (this.copy.currency?.asOfMs ?? Infinity) + afterMs +
      longestMs;
    const dueAtMs = Math.max(
      Math.min(this.copy.confirmedAtMs + afterMs, currentUntilMs),
      this.#readAtMs + intervalMs,
    );
    const nowMs = core.monotonicMs();
    const waitMs = dueAtMs - nowMs;
    if (waitMs > 0) return Math.min(waitMs, CHECK_INTERVAL_MS);
    this.#noteStale(rank, nowMs - this.copy.confirmedAtMs);
    return await this.#readChanges(cursor, 0, isShared);
  }

  /** Logs once that the nodes which read for this one no longer do. */
  #noteStale({ rank, nodes }: mirror.ReaderRank, ageMs: number): void {
    if (this.#staleSinceMs === this.copy.confirmedAtMs) return;
    this.#staleSinceMs = this.copy.confirmedAtMs;
    this.#logger.info("table_stale", {
      table: this.copy.name,
      version: this.copy.cursor?.version,
      ageMs: Math.round(ageMs),
      rank,
      nodes,
    });
  }

  async #readSnapshot(): Promise<number> {
    this.#isReadRequested = false;
    this.#readAtMs = core.monotonicMs();
    const snapshot = await this.#store.readTable(this.copy.name);
    if (snapshot.isErr()) {
      this.#isReadRequested = true;
      return this.#recordFailure(snapshot.error.detail);
    }
    this.#recordSuccess();
    this.copy.applySnapshot(snapshot.value);
    this.#confirm(this.#readAtMs, this.#readAtMs);
    this.#logRead("store", "applied", this.#readAtMs);
    return 0;
  }

  /** @param isShared whether a few nodes read for all. */
  async #readChanges(
    cursor: mirror.Cursor,
    waitMs: number,
    isShared: boolean,
  ): Promise<number> {
    this.#readAtMs = core.monotonicMs();
    const result = await this.#store
      .follow(this.copy.name, cursor.version, waitMs);
    if (result.isErr()) return this.#recordFailure(result.error.detail);
    this.#recordSuccess();
    if (result.value.outcome === "historyGone") {
      this.#isReadRequested = true;
      return this.#historyLosses++ === 0
        ? 0
        : core.jitterMs(RETRY_DELAY_MAX_MS);
    }
    this.#historyLosses = 0;
    const { changes, version } = result.value;
    const outcome = this.copy.applyChanges(
      cursor,
      Math.max(version, cursor.version),
      changes,
    );
    if (outcome === "gap") this.#isReadRequested = true;
    else this.#confirm(core.monotonicMs(), this.#readAtMs);
    const { coalesceMs, sharedCoalesceMs = coalesceMs } = this.#options;
    const pauseMs = isShared ? sharedCoalesceMs : coalesceMs;
    return changes.length > 0 ? pauseMs : 0;
  }

  #recordSuccess(): void {
    this.#failures = 0;
    this.#storeHealth.recordSuccess();
  }

  #recordFailure(detail: string): number {
    this.#failures++;
    this.#storeHealth.recordFailure(detail);
    const delayMs = RETRY_DELAY_MIN_MS * 2 ** (this.#failures - 1);
    return core.jitterMs(Math.min(delayMs, RETRY_DELAY_MAX_MS));
  }
}
