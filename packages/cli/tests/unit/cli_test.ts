import test from "ava";
import { execFile } from "node:child_process";
import { writeFile } from "node:fs/promises";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

function runCommand(...args: string[]): Promise<CommandResult> {
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

const cluster = new testing.TestCluster({
  entries: 2,
  engines: 1,
  rows: [testing.makeRow("llama"), testing.makeAdapter("fit", "llama")],
});
let directory = "";

test.before(async () => {
  directory = await mkdtemp(join(tmpdir(), "carawaywind-cli-"));
  await cluster.start();
});

test.after.always(async () => {
  await cluster.stop();
  await rm(directory, { recursive: true, force: true });
});

function runAsOperator(...args: string[]): Promise<CommandResult> {
  const entry = cluster.entries[0]?.ready.callerAddress ?? "";
  const token = testing.OPERATOR_TOKENS.ben;
  return runCommand(...args, "--entry", entry, "--token", token);
}

async function writeDeclaration(name: string, rows: readonly unknown[]) {
  const file = join(directory, name);
  await writeFile(file, `// declared\n${JSON.stringify({ rows })}`);
  return file;
}

test.serial("check accepts the example and prints all errors", async (t) => {
  const valid = await runCommand(
    "check",
    "--settings",
    "docs/entry.example.jsonc",
  );
  t.is(valid.exitCode, 0, valid.stderr);
  const file = join(directory, "bad.jsonc");
  await writeFile(file, '{ "instanceId": 5 }');
  const invalid = await runCommand("check", "--settings", file);
  t.is(invalid.exitCode, 2);
  t.regex(invalid.stderr, /bad\.jsonc:1:17 instanceId: must be a name/);
  t.regex(invalid.stderr, /listen: is missing/);
  const missing = await runCommand(
    "check",
    "--settings",
    join(directory, "absent"),
  );
  t.is(missing.exitCode, 2);
});

test.serial("table: show, diff, apply, edit, history", async (t) => {
  const shown = await runAsOperator("table", "show");
  t.is(JSON.parse(shown.stdout).rows.length, 2);
  const file = await writeDeclaration("rows.jsonc", [
    testing.makeRow("llama", { priority: 8 }),
    testing.makeRow("mistral"),
  ]);
  const diff = await runAsOperator("table", "diff", file);
  t.regex(diff.stdout, /\+ .*"priority":8/);
  t.regex(diff.stdout, /- .*"fit"/);
  const stale = await runAsOperator(
    "table",
    "apply",
    file,
    "--expect-revision",
    "0",
  );
  t.is(stale.exitCode, 1);
  t.regex(stale.stderr, new RegExp(String(core.REVISION_MISMATCH.code)));
  const applied = await runAsOperator("table", "apply", file);
  t.regex(applied.stdout, /accepted at revision 2/);
  const again = await runAsOperator("table", "apply", file);
  t.regex(again.stdout, /nothing to change/);
  const edited = await runAsOperator(
    "table",
    "edit",
    "llama",
    "--set",
    "limits.inProgressMax=4",
  );
  t.regex(edited.stdout, /accepted at revision 3/, edited.stderr);
  const history = await runAsOperator("table", "history", "--count", "2");
  const { edits } = JSON.parse(history.stdout);
  t.deepEqual(
    edits.map((edit: { revision: number }) => edit.revision),
    [3, 2],
  );
  t.is(edits[0].operatorId, "ben");
  t.is(edits[0].changes[0].row.limits.inProgressMax, 4);
});

test.serial("apply rejects a declaration with invalid rows", async (t) => {
  const file = await writeDeclaration("bad-rows.jsonc", [
    testing.makeRow("llama", { priority: 80 }),
    { name: "nobody" },
  ]);
  const rejected = await runAsOperator("table", "apply", file);
  t.is(rejected.exitCode, 2);
  t.regex(rejected.stderr, /rows\[1\]/);
  t.regex(rejected.stderr, /priority/);
});

test.serial("entries, status and burn print their reports", async (t) => {
  const origin = cluster.entries[0]?.ready.callerAddress ?? "";
  await testing.complete(origin, { model: "llama", prompt: "x" });
  const entries = JSON.parse((await runAsOperator("entries")).stdout);
  t.is(entries.entries.length, 2);
  const status = JSON.parse((await runAsOperator("status")).stdout);
  t.is(status.instanceId, "entry-1");
  const burn = JSON.parse((await runAsOperator("burn", "--json")).stdout);
  const subjects = burn.lines.map((line: { name: string }) => line.name);
  t.true(subjects.includes("kiosk"));
  t.true(subjects.includes("llama"));
  const text = await runAsOperator("burn");
  t.regex(text.stdout, /caller\tkiosk\t0\.00 \(0\/1\)/);
});

test.serial("codes lists every code; a bad token is reported", async (t) => {
  const codes = JSON.parse((await runCommand("codes", "--json")).stdout);
  t.is(codes.length, core.RESULT_CODES.length);
  const entry = cluster.entries[0]?.ready.callerAddress ?? "";
  const denied = await runCommand("status", "--entry", entry, "--token", "x");
  t.is(denied.exitCode, 1);
  t.regex(denied.stderr, /1003 TOKEN_INVALID/);
});
