import test from "ava";
import { ok, type Result } from "neverthrow";
import * as core from "../../../core/mod.ts";
import * as store from "../../../store/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as table from "../../mod.ts";

/** Serves reads that show the state of some time ago. */
class LaggingService extends store.TableService {
  readonly #lagMs: number;
  readonly #states: { atMs: number; rows: store.StoredRow[] }[] = [
    { atMs: -Infinity, rows: [] },
  ];
  #version = 0;

  constructor(lagMs: number) {
    super();
    this.#lagMs = lagMs;
  }

  override read(
    { keys = [], prefixes = [] }: store.ReadRequest,
  ): Promise<Result<readonly store.StoredRow[], store.StoreFailure>> {
    const shownMs = core.monotonicMs() - this.#lagMs;
    const { rows } = this.#states.findLast(({ atMs }) => atMs <= shownMs)!;
    return Promise.resolve(
      ok(
        rows.filter(({ key }) =>
          keys.includes(key) ||
          prefixes.some((prefix) => key.startsWith(prefix))
        ),
      ),
    );
  }

  override transact(
    { writes }: store.Transaction,
  ): Promise<Result<store.TransactOutcome, store.StoreFailure>> {
    const version = ++this.#version;
    const rows = new Map(
      this.#states.at(-1)!.rows.map((row) => [row.key, row]),
    );
    for (const { key, value } of writes) rows.set(key, { key, value, version });
    this.#states.push({ atMs: core.monotonicMs(), rows: [...rows.values()] });
    return Promise.resolve(ok({ outcome: "committed", version }));
  }
}

/** Takes some time for each call; commits if every row has its version. */
class SlowService extends store.TableService {
  commits = 0;
  conflicts = 0;
  readonly #callMs: number;
  readonly #rows = new Map<string, store.StoredRow>();

  constructor(callMs: number) {
    super();
    this.#callMs = callMs;
  }

  override async read(
    { keys = [], prefixes = [] }: store.ReadRequest,
  ): Promise<Result<readonly store.StoredRow[], store.StoreFailure>> {
    await core.sleep(this.#callMs);
    return ok(
      [...this.#rows.values()].filter(({ key }) =>
        keys.includes(key) || prefixes.some((prefix) => key.startsWith(prefix))
      ),
    );
  }

  override async transact(
    { checks, writes }: store.Transaction,
  ): Promise<Result<store.TransactOutcome, store.StoreFailure>> {
    await core.sleep(this.#callMs);
    const current = checks.map(({ key }) =>
      this.#rows.get(key) ?? { key, version: 0, value: null }
    );
    const rows = current.filter((row, n) => row.version !== checks[n]?.version);
    if (rows.length > 0) {
      this.conflicts++;
      return ok({ outcome: "conflict", rows });
    }
    const version = ++this.commits;
    for (const { key, value } of writes) {
      this.#rows.set(key, { key, value, version });
    }
    return ok({ outcome: "committed", version });
  }
}

function edit(id: string, weight: number, name = "llama"): table.TableEdit {
  return {
    editId: core.brandId<core.EditId>(id),
    operatorId: core.brandId<core.OperatorId>("ana"),
    changes: [{
      name: core.brandId<core.RowName>(name),
      row: testing.makeRow(name, { weight }),
    }],
  };
}

test("an edit waits for reads that lag by two seconds", async (t) => {
  const edits = new table.TableStore(new LaggingService(2_000), {
    editMaxMs: 3_000,
  });
  const first = await edits.commitEdit(edit("ed-1", 1));
  t.is(first._unsafeUnwrap().revision, 1);
  const second = await edits.commitEdit(edit("ed-2", 2), 1);
  t.is(second._unsafeUnwrap().revision, 2);
});

test("an edit is refused in time if the reads stay stale", async (t) => {
  const edits = new table.TableStore(new LaggingService(60_000), {
    editMaxMs: 3_000,
  });
  const startedAtMs = core.monotonicMs();
  const refused = await edits.commitEdit(edit("ed-1", 1), 1);
  const tookMs = core.monotonicMs() - startedAtMs;
  t.is(refused._unsafeUnwrapErr().result.code, core.REVISION_MISMATCH.code);
  t.true(tookMs >= 2_900 && tookMs < 4_000, `${tookMs} ms`);
});

// Guards against edits of different rows that are refused as conflicting because
// the store is slow, although the settings leave them the time.
test("edits of different rows at a slow store all succeed in the time set", async (t) => {
  const service = new SlowService(500);
  const edits = new table.TableStore(service, { editMaxMs: 20_000 });
  const results = await Promise.all(
    Array.from(
      { length: 4 },
      (_, n) => edits.commitEdit(edit(`ed-${n}`, 1, `row-${n}`)),
    ),
  );
  const outcomes = results.map((result) =>
    result.match(({ revision }) => revision, ({ detail }) => detail)
  );
  t.deepEqual([...outcomes].sort(), [1, 2, 3, 4]);
  // Each round has a winner, so there are at most 3 + 2 + 1 losers.
  t.true(service.conflicts <= 6, `${service.conflicts} conflicts`);
});
