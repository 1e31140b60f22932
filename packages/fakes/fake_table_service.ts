/** A transactional table service in memory. */
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

interface PastState {
  untilMs: number;
  rows: Map<string, StoredRow>;
}

/**
 * Faults: `outage`, `reset`, `blackhole`, `slow`, `loseReply` and, for reads
 * alone, `lagRead` with `delayMs` saying how far back the reply looks.
 */
export class FakeTableService extends FakeServer {
  rows = new Map<string, StoredRow>();
  version = 0;
  reads = 0;
  writes = 0;
  writtenRows = 0;
  /** Older states, kept for lagging reads only while `keepsHistory`. */
  keepsHistory = false;
  readonly #past: PastState[] = [];

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

  /** Reads rows as they were some time ago. */
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

  /** Commits a transaction if every check holds. */
  transact(transaction: Transaction): object {
    const failed = transaction.checks.filter(({ key, version }) =>
      (this.rows.get(key)?.version ?? 0) !== version
    );
    if (failed.length > 0) {
      const rows = failed.map(({ key }) =>
        this.rows.get(key) ?? { key, version: 0, value: null }
      );
      return { outcome: "conflict", rows };
    }
    this.#remember();
    this.version++;
    this.writtenRows += transaction.writes.length;
    for (const { key, value } of transaction.writes) {
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, { key, version: this.version, value });
    }
    return { outcome: "committed", version: this.version };
  }

  #remember(): void {
    if (!this.keepsHistory) return;
    this.#past.push({ untilMs: Date.now(), rows: new Map(this.rows) });
  }

  #stateAt(lagMs: number): Map<string, StoredRow> {
    if (lagMs === 0) return this.rows;
    const atMs = Date.now() - lagMs;
    return this.#past.find(({ untilMs }) => untilMs > atMs)?.rows ?? this.rows;
  }
}
