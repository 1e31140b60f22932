/** Follows a table of the store: a full read first, then its changes. */
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";

/** Options for following a table. */
export interface FollowOptions {
  /**
   * Longest wait of one call; bounds how long a dead connection goes unnoticed.
   */
  readonly waitMs: number;
  /** Pause after a change, so that further changes arrive in one batch. */
  readonly coalesceMs: number;
}

/** Pause after a failure, jittered so that nodes do not retry in step. */
const RETRY_DELAY_MS = 200;

/** Receives the rows and changes of a table. */
export abstract class TableListener {
  /** Applies all rows of the table, in place of those known before. */
  abstract applySnapshot(snapshot: store.TableSnapshot): void;
  abstract applyChange(change: store.RowChange): void;
}

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

/** Follows one table and passes its rows and changes to a listener. */
export class FollowTask extends core.Task {
  override readonly name: string;
  readonly #store: store.ChangeFeedTableService;
  readonly #table: string;
  readonly #listener: TableListener;
  readonly #storeHealth: StoreHealth;
  readonly #options: FollowOptions;

  constructor(
    store: store.ChangeFeedTableService,
    table: string,
    listener: TableListener,
    storeHealth: StoreHealth,
    options: FollowOptions,
  ) {
    super();
    this.#options = options;
    this.name = `follow-${table}`;
    this.#store = store;
    this.#table = table;
    this.#listener = listener;
    this.#storeHealth = storeHealth;
  }

  override async run(signal: AbortSignal): Promise<void> {
    let version: number | undefined;
    while (!signal.aborted) {
      version = version === undefined
        ? await this.#readSnapshot()
        : await this.#readChanges(version);
      if (version === undefined || this.#hasFailed) {
        await core.sleep(core.jitterMs(RETRY_DELAY_MS), signal);
      } else if (this.#hasChanged && this.#options.coalesceMs > 0) {
        await core.sleep(this.#options.coalesceMs, signal);
      }
    }
  }

  #hasFailed = false;
  #hasChanged = false;

  async #readSnapshot(): Promise<number | undefined> {
    const snapshot = await this.#store.readTable(this.#table);
    this.#hasFailed = snapshot.isErr();
    if (snapshot.isErr()) {
      this.#storeHealth.recordFailure(snapshot.error.detail);
      return undefined;
    }
    this.#storeHealth.recordSuccess();
    this.#listener.applySnapshot(snapshot.value);
    return snapshot.value.version;
  }

  async #readChanges(version: number): Promise<number | undefined> {
    const result = await this.#store
      .follow(this.#table, version, this.#options.waitMs);
    this.#hasFailed = result.isErr();
    this.#hasChanged = false;
    if (result.isErr()) {
      this.#storeHealth.recordFailure(result.error.detail);
      return version;
    }
    this.#storeHealth.recordSuccess();
    if (result.value.outcome === "historyGone") return undefined;
    this.#hasChanged = result.value.changes.length > 0;
    for (const row of result.value.changes) this.#listener.applyChange(row);
    return Math.max(version, result.value.version);
  }
}
