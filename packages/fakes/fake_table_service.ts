/** Fake of the transactional table service, in memory. */
import { FakeServer } from "./fake_server.ts";

interface StoredRow {
  key: string;
  version: number;
  value: unknown;
}

interface Transaction {
  checks: { key: string; version: number }[];
  writes: { key: string; value: unknown }[];
}

/** The rows as they were until a commit replaced them. */
interface HistoryEntry {
  replacedAtMs: number;
  rows: Map<string, StoredRow>;
}

/**
 * A versioned key-value table with conditional transactions. Faults besides
 * those of `FakeServer`: `lagRead`, for reads only, which returns the rows as
 * they were `delayMs` ago.
 */
export class FakeTableService extends FakeServer {
  rows = new Map<string, StoredRow>();
  version = 0;
  reads = 0;
  writes = 0;
  writtenRows = 0;
  /** Whether earlier states are recorded; `lagRead` has no effect otherwise. */
  keepsHistory = false;
  readonly #history: HistoryEntry[] = [];

  constructor() {
    super();
    this.app.post("/v1/read", async (c) => {
      this.reads++;
      const request = await c.req.json<
        { keys?: string[]; prefixes?: string[] }
      >();
      const lag = this.faults.consume("lagRead");
      return c.json({ rows: this.read(request, lag?.delayMs ?? 0) });
    });
    this.app.post("/v1/transact", async (c) => {
      this.writes++;
      return c.json(this.transact(await c.req.json<Transaction>()));
    });
    this.app.get("/counts", (c) =>
      c.json({
        reads: this.reads,
        writes: this.writes,
        writtenRows: this.writtenRows,
        rows: this.rows.size,
      }));
  }

  /** Returns the rows with the given keys or prefixes, as of `lagMs` ago. */
  read(
    request: { keys?: string[]; prefixes?: string[] },
    lagMs = 0,
  ): StoredRow[] {
    const rows = this.#stateAt(lagMs);
    const found = (request.keys ?? []).flatMap((key) => rows.get(key) ?? []);
    for (const prefix of request.prefixes ?? []) {
      for (const row of rows.values()) {
        if (row.key.startsWith(prefix)) found.push(row);
      }
    }
    return found;
  }

  /** Commits a transaction if every row has the expected version. */
  transact(transaction: Transaction): object {
    const failedChecks = transaction.checks.filter(({ key, version }) =>
      (this.rows.get(key)?.version ?? 0) !== version
    );
    if (failedChecks.length > 0) {
      const rows = failedChecks.map(({ key }) =>
        this.rows.get(key) ?? { key, version: 0, value: null }
      );
      return { outcome: "conflict", rows };
    }
    this.#recordHistory();
    this.version++;
    this.writtenRows += transaction.writes.length;
    for (const { key, value } of transaction.writes) {
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, { key, version: this.version, value });
    }
    return { outcome: "committed", version: this.version };
  }

  #recordHistory(): void {
    if (!this.keepsHistory) return;
    this.#history.push({ replacedAtMs: Date.now(), rows: new Map(this.rows) });
  }

  #stateAt(lagMs: number): Map<string, StoredRow> {
    if (lagMs === 0) return this.rows;
    const atMs = Date.now() - lagMs;
    return this.#history.find(({ replacedAtMs }) => replacedAtMs > atMs)
      ?.rows ?? this.rows;
  }
}
