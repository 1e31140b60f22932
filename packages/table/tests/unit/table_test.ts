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

test("a keeper never steps back", (t) => {
  const keeper = new table.TableCache();
  const revisions: number[] = [];
  keeper.registerListener(({ revision }) => revisions.push(revision));
  t.true(keeper.applyIfNewer(snapshot(3, testing.makeRow("llama"))));
  t.false(keeper.applyIfNewer(snapshot(2)));
  t.false(keeper.applyIfNewer(snapshot(3)));
  t.true(keeper.applyIfNewer(snapshot(4)));
  t.is(keeper.snapshot.revision, 4);
  t.deepEqual(revisions, [3, 4]);
});

test("an empty table is known once it has been read", (t) => {
  const keeper = new table.TableCache();
  t.false(keeper.hasSnapshot);
  keeper.applyIfNewer(snapshot(0));
  t.true(keeper.hasSnapshot);
});

test("deltas bring another keeper to the same table", (t) => {
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

test("snapshots survive the way over JSON", (t) => {
  const before = snapshot(7, testing.makeRow("llama"));
  const after = table.decodeSnapshot(table.encodeSnapshot(before));
  t.deepEqual(after._unsafeUnwrap(), before);
});

interface EditCase {
  readonly name: string;
  readonly changes: readonly table.RowChange[];
  readonly fault: RegExp;
}

const faulty: EditCase[] = [
  { name: "nothing", changes: [], fault: /changes nothing/ },
  {
    name: "a row twice",
    changes: [{ name: llama.name, row: llama }, {
      name: llama.name,
      row: null,
    }],
    fault: /a row twice/,
  },
  {
    name: "an adapter without its model",
    changes: [{ name: llama.name, row: null }],
    fault: /no model named llama/,
  },
  {
    name: "another name inside",
    changes: [{ name: core.brandId("x"), row: llama }],
    fault: /row is named llama/,
  },
  {
    name: "a priority out of range",
    changes: [{ name: llama.name, row: { ...llama, priority: 10 } }],
    fault: /priority/,
  },
  {
    name: "weights without bytes",
    changes: [{ name: llama.name, row: { ...llama, weightBytes: 0 } }],
    fault: /weightBytes/,
  },
  {
    name: "a model with a base",
    changes: [{ name: llama.name, row: { ...llama, baseModel: fit.name } }],
    fault: /baseModel/,
  },
];

for (const { name, changes, fault } of faulty) {
  test(`an edit of ${name} is refused as a whole`, (t) => {
    const before = snapshot(1, llama, fit);
    const end = table.applyEdit(before, { editId, operatorId, changes });
    t.regex(end._unsafeUnwrapErr().join("; "), fault);
  });
}

test("an edit makes the next revision", (t) => {
  const before = snapshot(1, llama, fit);
  const changes = [{ name: fit.name, row: null }];
  const after = table.applyEdit(before, { editId, operatorId, changes });
  t.is(after._unsafeUnwrap().revision, 2);
  t.deepEqual([...after._unsafeUnwrap().rows.keys()], [llama.name]);
});
