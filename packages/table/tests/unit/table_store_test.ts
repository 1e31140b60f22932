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

function edit(id: string, weight: number): table.TableEdit {
  return {
    editId: core.brandId<core.EditId>(id),
    operatorId: core.brandId<core.OperatorId>("ana"),
    changes: [{
      name: core.brandId<core.RowName>("llama"),
      row: testing.makeRow("llama", { weight }),
    }],
  };
}

test("an edit waits for reads that lag by two seconds", async (t) => {
  const edits = new table.TableStore(new LaggingService(2_000));
  const first = await edits.commitEdit(edit("ed-1", 1));
  t.is(first._unsafeUnwrap().revision, 1);
  const second = await edits.commitEdit(edit("ed-2", 2), 1);
  t.is(second._unsafeUnwrap().revision, 2);
});

test("an edit is refused in time if the reads stay stale", async (t) => {
  const edits = new table.TableStore(new LaggingService(60_000));
  const startedAtMs = core.monotonicMs();
  const refused = await edits.commitEdit(edit("ed-1", 1), 1);
  const tookMs = core.monotonicMs() - startedAtMs;
  t.is(refused._unsafeUnwrapErr().result.code, core.REVISION_MISMATCH.code);
  t.true(tookMs >= 2_900 && tookMs < 4_000, `${tookMs} ms`);
});
