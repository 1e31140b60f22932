/** Follows one table of the store: a whole read, then its changes. */
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";

/** How a table is followed. */
export interface FollowOptions {
  /** Longest wait of one call, so that a silent connection shows. */
  readonly waitMs: number;
  /** Pause after a change, in which further ones gather. */
  readonly gatherMs: number;
}

/** Pause after a failure; jittered, so that nodes do not call together. */
const RETRY_DELAY_MS = 200;

/** Takes a table's rows and changes. */
export abstract class TableListener {
  /** Every row, in place of whatever was known. */
  abstract replace(snapshot: store.TableSnapshot): void;
  abstract change(change: store.RowChange): void;
}

/** When the store last failed, and whether it is lost, over all followers. */
export class StoreWatch {
  lastFailureAtMs = -Infinity;
  readonly #logger: core.Logger;
  #isLost = false;

  constructor(logger: core.Logger) {
    this.#logger = logger;
  }

  /** Notes an answer. */
  answered(): void {
    if (!this.#isLost) return;
    this.#isLost = false;
    this.#logger.info("dependency_regained", { dependency: "store" });
  }

  /** Notes a failure. */
  failed(detail: string): void {
    this.lastFailureAtMs = core.monotonicMs();
    if (this.#isLost) return;
    this.#isLost = true;
    this.#logger.warn("dependency_lost", { dependency: "store", detail });
  }
}

/** Keeps one listener up to date. */
export class FollowTask extends core.Task {
  override readonly name: string;
  readonly #store: store.FollowedTableService;
  readonly #table: string;
  readonly #listener: TableListener;
  readonly #watch: StoreWatch;
  readonly #options: FollowOptions;

  constructor(
    tables: store.FollowedTableService,
    table: string,
    listener: TableListener,
    watch: StoreWatch,
    options: FollowOptions,
  ) {
    super();
    this.#options = options;
    this.name = `follow-${table}`;
    this.#store = tables;
    this.#table = table;
    this.#listener = listener;
    this.#watch = watch;
  }

  override async run(signal: AbortSignal): Promise<void> {
    let version: number | undefined;
    while (!signal.aborted) {
      version = version === undefined
        ? await this.#readWhole()
        : await this.#followOn(version);
      if (version === undefined || this.#hasFailed) {
        await core.sleep(core.jitterMs(RETRY_DELAY_MS), signal);
      } else if (this.#hasChanged && this.#options.gatherMs > 0) {
        await core.sleep(this.#options.gatherMs, signal);
      }
    }
  }

  #hasFailed = false;
  #hasChanged = false;

  async #readWhole(): Promise<number | undefined> {
    const snapshot = await this.#store.readTable(this.#table);
    this.#hasFailed = snapshot.isErr();
    if (snapshot.isErr()) {
      this.#watch.failed(snapshot.error.detail);
      return undefined;
    }
    this.#watch.answered();
    this.#listener.replace(snapshot.value);
    return snapshot.value.version;
  }

  async #followOn(version: number): Promise<number | undefined> {
    const answer = await this.#store
      .follow(this.#table, version, this.#options.waitMs);
    this.#hasFailed = answer.isErr();
    this.#hasChanged = false;
    if (answer.isErr()) {
      this.#watch.failed(answer.error.detail);
      return version;
    }
    this.#watch.answered();
    if (answer.value.outcome === "historyGone") return undefined;
    this.#hasChanged = answer.value.changes.length > 0;
    for (const change of answer.value.changes) this.#listener.change(change);
    return Math.max(version, answer.value.version);
  }
}
