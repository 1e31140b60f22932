/** Polls the store for a newer table, in case no peer has sent it. */
import * as core from "../../core/mod.ts";
import type * as table from "../../table/mod.ts";

/** Polls the table's revision and reads the table when it is newer. */
export class TablePollTask extends core.Task {
  override readonly name = "poll-table";
  readonly #tableStore: table.TableStore;
  readonly #tableCache: table.TableCache;
  readonly #intervalMs: () => number;

  constructor(
    tableStore: table.TableStore,
    tableCache: table.TableCache,
    intervalMs: () => number,
  ) {
    super();
    this.#tableStore = tableStore;
    this.#tableCache = tableCache;
    this.#intervalMs = intervalMs;
  }

  override async run(signal: AbortSignal): Promise<void> {
    do {
      await this.poll();
    } while (await core.sleep(core.jitterMs(this.#intervalMs()), signal));
  }

  /** Reads the table now if the store's revision is newer or none was read. */
  async poll(): Promise<void> {
    const revision = await this.#tableStore.readRevision();
    if (revision.isErr()) return;
    const isNewer = revision.value > this.#tableCache.snapshot.revision;
    if (!isNewer && this.#tableCache.hasSnapshot) return;
    const snapshot = await this.#tableStore.readSnapshot();
    if (snapshot.isOk()) this.#tableCache.applyIfNewer(snapshot.value);
  }
}
