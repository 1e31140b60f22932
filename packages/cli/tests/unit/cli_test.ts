import test from "ava";
import { execFile } from "node:child_process";
import { writeFile } from "node:fs/promises";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

interface Ran {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

function run(...args: string[]): Promise<Ran> {
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      ["dist/packages/cli/main.js", ...args],
      (error, stdout, stderr) => {
        const exitCode = error === null ? 0 : Number(error.code);
        resolve({ exitCode, stdout, stderr });
      },
    );
  });
}

const world = new testing.TestCluster({
  entries: 2,
  engines: 1,
  rows: [testing.makeRow("llama"), testing.makeAdapter("fit", "llama")],
});
let folder = "";

test.before(async () => {
  folder = await mkdtemp(join(tmpdir(), "carawaywind-cli-"));
  await world.start();
});

test.after.always(async () => {
  await world.stop();
  await rm(folder, { recursive: true, force: true });
});

function asOperator(...args: string[]): Promise<Ran> {
  const entry = world.entries[0]?.ready.callerAddress ?? "";
  const token = testing.OPERATOR_TOKENS.ben;
  return run(...args, "--entry", entry, "--token", token);
}

async function declare(name: string, rows: readonly unknown[]) {
  const file = join(folder, name);
  await writeFile(file, `// declared\n${JSON.stringify({ rows })}`);
  return file;
}

test.serial("check accepts the example and names faults", async (t) => {
  const fine = await run("check", "--settings", "docs/entry.example.jsonc");
  t.is(fine.exitCode, 0, fine.stderr);
  const file = join(folder, "bad.jsonc");
  await writeFile(file, '{ "instanceId": 5 }');
  const bad = await run("check", "--settings", file);
  t.is(bad.exitCode, 2);
  t.regex(bad.stderr, /bad\.jsonc:1:17 instanceId: must be a name/);
  t.regex(bad.stderr, /listen: is missing/);
  const none = await run("check", "--settings", join(folder, "absent"));
  t.is(none.exitCode, 2);
});

test.serial("table: show, diff, apply, edit, history", async (t) => {
  const shown = await asOperator("table", "show");
  t.is(JSON.parse(shown.stdout).rows.length, 2);
  const file = await declare("rows.jsonc", [
    testing.makeRow("llama", { priority: 8 }),
    testing.makeRow("mistral"),
  ]);
  const diff = await asOperator("table", "diff", file);
  t.regex(diff.stdout, /\+ .*"priority":8/);
  t.regex(diff.stdout, /- .*"fit"/);
  const stale = await asOperator(
    "table",
    "apply",
    file,
    "--expect-revision",
    "0",
  );
  t.is(stale.exitCode, 1);
  t.regex(stale.stderr, new RegExp(String(core.REVISION_MISMATCH.code)));
  const applied = await asOperator("table", "apply", file);
  t.regex(applied.stdout, /accepted at revision 2/);
  const again = await asOperator("table", "apply", file);
  t.regex(again.stdout, /nothing to change/);
  const edited = await asOperator(
    "table",
    "edit",
    "llama",
    "--set",
    "limits.inProgressMax=4",
  );
  t.regex(edited.stdout, /accepted at revision 3/, edited.stderr);
  const history = await asOperator("table", "history", "--count", "2");
  const { edits } = JSON.parse(history.stdout);
  t.deepEqual(
    edits.map((edit: { revision: number }) => edit.revision),
    [3, 2],
  );
  t.is(edits[0].operatorId, "ben");
  t.is(edits[0].changes[0].row.limits.inProgressMax, 4);
});

test.serial("a declaration with faults changes nothing", async (t) => {
  const file = await declare("bad-rows.jsonc", [
    testing.makeRow("llama", { priority: 80 }),
    { name: "nobody" },
  ]);
  const refused = await asOperator("table", "apply", file);
  t.is(refused.exitCode, 2);
  t.regex(refused.stderr, /rows\[1\]/);
  t.regex(refused.stderr, /priority/);
});

test.serial("entries, status and burn report", async (t) => {
  const origin = world.entries[0]?.ready.callerAddress ?? "";
  await testing.complete(origin, { model: "llama", prompt: "x" });
  const entries = JSON.parse((await asOperator("entries")).stdout);
  t.is(entries.entries.length, 2);
  const status = JSON.parse((await asOperator("status")).stdout);
  t.is(status.instanceId, "entry-1");
  const burn = JSON.parse((await asOperator("burn", "--json")).stdout);
  const subjects = burn.lines.map((line: { name: string }) => line.name);
  t.true(subjects.includes("kiosk"));
  t.true(subjects.includes("llama"));
  const text = await asOperator("burn");
  t.regex(text.stdout, /caller\tkiosk\t0\.00 \(0\/1\)/);
});

test.serial("codes lists every code; a wrong token is told", async (t) => {
  const codes = JSON.parse((await run("codes", "--json")).stdout);
  t.is(codes.length, core.RESULT_CODES.length);
  const entry = world.entries[0]?.ready.callerAddress ?? "";
  const denied = await run("status", "--entry", entry, "--token", "x");
  t.is(denied.exitCode, 1);
  t.regex(denied.stderr, /1003 TOKEN_INVALID/);
});
