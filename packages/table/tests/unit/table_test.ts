import test from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as table from "../../mod.ts";

const editId = core.brandId<core.EditId>("ed-1");
const operatorId = core.brandId<core.OperatorId>("ana");

const llama = testing.makeRow("llama");
const fit = testing.makeAdapter("llama-fit", "llama");

function snapshot(
  revision: number,
  ...rows: readonly table.TableRow[]
): table.TableSnapshot {
  return table.makeSnapshot(
    revision,
    rows.map((row) => ({ revision, row, editId, operatorId })),
  );
}

test("the cached revision never decreases", (t) => {
  const cache = new table.TableCache();
  const revisions: number[] = [];
  cache.registerListener(({ revision }) => revisions.push(revision));
  t.true(cache.applyIfNewer(snapshot(3, testing.makeRow("llama"))));
  t.false(cache.applyIfNewer(snapshot(2)));
  t.false(cache.applyIfNewer(snapshot(3)));
  t.true(cache.applyIfNewer(snapshot(4)));
  t.is(cache.snapshot.revision, 4);
  t.deepEqual(revisions, [3, 4]);
});

test("an empty table counts as a snapshot once it has been read", (t) => {
  const cache = new table.TableCache();
  t.false(cache.hasSnapshot);
  cache.applyIfNewer(snapshot(0));
  t.true(cache.hasSnapshot);
});

test("deltas bring another cache to the same snapshot", (t) => {
  const source = new table.TableCache();
  const target = new table.TableCache();
  const first = snapshot(1, llama, fit);
  source.applyIfNewer(first);
  target.applyIfNewer(first);
  const edits: table.RowChange[][] = [
    [{ name: fit.name, row: null }],
    [{ name: llama.name, row: { ...llama, priority: 1 } }],
    [{ name: fit.name, row: fit }],
    [{ name: fit.name, row: null }],
  ];
  for (const changes of edits) {
    const edit = { editId, operatorId, changes };
    source.applyIfNewer(table.applyEdit(source.snapshot, edit)._unsafeUnwrap());
  }
  const delta = source.deltaSince(1);
  t.truthy(delta);
  if (!delta) return;
  const decoded = table.decodeDelta(JSON.stringify(delta))._unsafeUnwrap();
  t.true(target.applyDelta(decoded));
  t.deepEqual(target.snapshot, source.snapshot);
  t.false(target.applyDelta({ ...delta, baseRevision: 9, revision: 10 }));
  t.is(source.deltaSince(0), undefined);
});

test("snapshots round-trip through JSON", (t) => {
  const before = snapshot(7, testing.makeRow("llama"));
  const after = table.decodeSnapshot(table.encodeSnapshot(before));
  t.deepEqual(after._unsafeUnwrap(), before);
});

interface EditCase {
  readonly name: string;
  readonly changes: readonly table.RowChange[];
  readonly error: RegExp;
}

const invalidEdits: EditCase[] = [
  { name: "no changes", changes: [], error: /changes nothing/ },
  {
    name: "two changes of one row",
    changes: [{ name: llama.name, row: llama }, {
      name: llama.name,
      row: null,
    }],
    error: /a row twice/,
  },
  {
    name: "an adapter whose base model is deleted",
    changes: [{ name: llama.name, row: null }],
    error: /no model named llama/,
  },
  {
    name: "a mismatched row name",
    changes: [{ name: core.brandId("x"), row: llama }],
    error: /row is named llama/,
  },
  {
    name: "a priority out of range",
    changes: [{ name: llama.name, row: { ...llama, priority: 10 } }],
    error: /priority/,
  },
  {
    name: "zero weightBytes",
    changes: [{ name: llama.name, row: { ...llama, weightBytes: 0 } }],
    error: /weightBytes/,
  },
  {
    name: "a model that has a base model",
    changes: [{ name: llama.name, row: { ...llama, baseModel: fit.name } }],
    error: /baseModel/,
  },
];

for (const { name, changes, error } of invalidEdits) {
  test(`an edit with ${name} is rejected as a whole`, (t) => {
    const before = snapshot(1, llama, fit);
    const result = table.applyEdit(before, { editId, operatorId, changes });
    t.regex(result._unsafeUnwrapErr().join("; "), error);
  });
}

test("an edit produces the next revision", (t) => {
  const before = snapshot(1, llama, fit);
  const changes = [{ name: fit.name, row: null }];
  const after = table.applyEdit(before, { editId, operatorId, changes });
  t.is(after._unsafeUnwrap().revision, 2);
  t.deepEqual([...after._unsafeUnwrap().rows.keys()], [llama.name]);
});
