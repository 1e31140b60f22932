/** Reads the table from the store, in case no peer brought it. */
import * as core from "../../core/mod.ts";
import type * as table from "../../table/mod.ts";

/** Polls the revision and reads the table when it is newer. */
export class TablePollTask extends core.Task {
  override readonly name = "poll-table";
  readonly #store: table.TableStore;
  readonly #keeper: table.TableCache;
  readonly #intervalMs: () => number;

  constructor(
    store: table.TableStore,
    keeper: table.TableCache,
    intervalMs: () => number,
  ) {
    super();
    this.#store = store;
    this.#keeper = keeper;
    this.#intervalMs = intervalMs;
  }

  override async run(signal: AbortSignal): Promise<void> {
    do {
      await this.poll();
    } while (await core.sleep(core.jitterMs(this.#intervalMs()), signal));
  }

  /** Reads the table now if the store has a newer one. */
  async poll(): Promise<void> {
    const revision = await this.#store.readRevision();
    if (revision.isErr()) return;
    const isNewer = revision.value > this.#keeper.snapshot.revision;
    if (!isNewer && this.#keeper.hasSnapshot) return;
    const snapshot = await this.#store.readSnapshot();
    if (snapshot.isOk()) this.#keeper.applyIfNewer(snapshot.value);
  }
}
