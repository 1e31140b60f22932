/** Table service in memory, whose calls can fail or hang. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../../core/mod.ts";
import * as store from "../../store/mod.ts";

const AWAY: store.StoreFailure = {
  effect: "none",
  reached: false,
  detail: "away",
};

/** Longer keys are rejected, with the whole transaction. */
const KEY_BYTES_MAX = 200;

/** Keeps committed writes; rejects the calls that a test wants to fail. */
export class MemoryTable extends store.TableService {
  readonly rows = new Map<string, core.JsonValue>();
  /** The rows of each committed transaction. */
  readonly transactions: store.RowWrite[][] = [];
  refusesReads = false;
  refusesWrites = false;
  /** If set, what reads return in place of the rows as they are. */
  rowsRead: ReadonlyMap<string, core.JsonValue> | undefined;
  /** Time that each read takes. */
  readMs = 0;
  reads = 0;
  readsInFlight = 0;
  readsInFlightMax = 0;
  currentGeneration = 1;

  override get generation(): number {
    return this.currentGeneration;
  }

  override async read(
    { prefixes = [] }: store.ReadRequest,
  ): Promise<Result<readonly store.StoredRow[], store.StoreFailure>> {
    this.reads++;
    this.readsInFlight++;
    this.readsInFlightMax = Math.max(this.readsInFlightMax, this.readsInFlight);
    if (this.readMs > 0) await core.sleep(this.readMs);
    this.readsInFlight--;
    if (this.refusesReads) return err(AWAY);
    const rows = [...this.rowsRead ?? this.rows].filter(([key]) =>
      prefixes.some((prefix) => key.startsWith(prefix))
    );
    return ok(rows.map(([key, value]) => ({ key, value, version: 1 })));
  }

  override transact({ writes }: store.Transaction) {
    const isTooLong = writes.some(({ key }) => key.length > KEY_BYTES_MAX);
    if (this.refusesWrites || isTooLong) return Promise.resolve(err(AWAY));
    this.transactions.push([...writes]);
    for (const { key, value } of writes) {
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, value);
    }
    return Promise.resolve(ok({ outcome: "committed" as const, version: 1 }));
  }

  /** Keys of the rows of a table. */
  keysOf(table: string): string[] {
    return [...this.rows.keys()].filter((key) => key.startsWith(`${table}/`));
  }
}
