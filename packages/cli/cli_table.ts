/** `table show|diff|apply|edit|history`. */
import type { Command } from "commander";
import { parse, type ParseError } from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import * as core from "../core/mod.ts";
import * as table from "../table/mod.ts";
import {
  addEntryOptions,
  callEntry,
  type EntryOptions,
  fail,
  print,
  printJson,
} from "./cli_client.ts";

interface ShownRow {
  readonly revision: number;
  readonly row: table.TableRow;
}

interface ShownTable {
  readonly revision: number;
  readonly rows: readonly ShownRow[];
}

function showTable(
  options: EntryOptions,
): Promise<Result<ShownTable, string>> {
  return callEntry<ShownTable>(options, "GET", "/v1/table");
}

/** Reads a file that declares the rows of the whole table. */
async function readDeclaration(
  file: string,
): Promise<Result<table.TableRow[], string>> {
  const faults: ParseError[] = [];
  let parsed: unknown;
  try {
    parsed = parse(await readFile(file, "utf8"), faults, {
      allowTrailingComma: true,
    });
  } catch (thrown) {
    return err(`${file}: ${core.messageOf(thrown)}`);
  }
  const rows = (parsed as { rows?: unknown } | undefined)?.rows;
  if (faults.length > 0 || !Array.isArray(rows)) {
    return err(`${file}: expected {"rows": [...]} in JSON with comments`);
  }
  const messages: string[] = [];
  const decoded = rows.flatMap((row, index) =>
    core.decodeValue(row, table.TableRowCodec).match(
      (value) => [value as unknown as table.TableRow],
      (message) => {
        messages.push(`${file}: rows[${index}]: ${message}`);
        return [];
      },
    )
  );
  messages.push(...decoded.flatMap(table.validateRow));
  return messages.length > 0 ? err(messages.join("\n")) : ok(decoded);
}

/** The changes that turn the shown table into the declared one. */
function diff(
  shown: ShownTable,
  declared: readonly table.TableRow[],
): table.RowChange[] {
  const before = new Map(shown.rows.map((row) => [row.row.name, row]));
  const after = new Set(declared.map(({ name }) => name));
  const changes: table.RowChange[] = [];
  for (const row of declared) {
    const known = before.get(row.name);
    if (known && isSame(known.row, row)) continue;
    const expectRowRevision = known?.revision ?? 0;
    changes.push({ name: row.name, row, expectRowRevision });
  }
  for (const [name, { revision }] of before) {
    if (after.has(name)) continue;
    changes.push({ name, row: null, expectRowRevision: revision });
  }
  return changes;
}

function isSame(a: table.TableRow, b: table.TableRow): boolean {
  return JSON.stringify(sortKeys(a)) === JSON.stringify(sortKeys(b));
}

function sortKeys(value: unknown): unknown {
  if (typeof value !== "object" || value === null) return value;
  const entries = Object.entries(value)
    .sort(([a], [b]) => a < b ? -1 : 1)
    .map(([key, member]) => [key, sortKeys(member)]);
  return Object.fromEntries(entries);
}

function renderDiff(
  shown: ShownTable,
  changes: readonly table.RowChange[],
): string[] {
  const before = new Map(shown.rows.map(({ row }) => [row.name, row]));
  return changes.flatMap(({ name, row }) => {
    const old = before.get(name);
    const lines: string[] = [];
    if (old) lines.push(`- ${JSON.stringify(old)}`);
    if (row) lines.push(`+ ${JSON.stringify(row)}`);
    return lines;
  });
}

async function sendEdit(
  options: EntryOptions,
  edit: { changes: readonly table.RowChange[]; expectRevision?: number },
  editId: string,
): Promise<void> {
  const answer = await callEntry<{ revision: number }>(
    options,
    "POST",
    "/v1/table/edits",
    { editId, ...edit },
  );
  answer.match(
    ({ revision }) => print(`accepted at revision ${revision}`),
    (message) => fail(`${message} (edit id ${editId})`),
  );
}

async function runDiff(file: string, options: EntryOptions): Promise<void> {
  const declared = await readDeclaration(file);
  if (declared.isErr()) return fail(declared.error, 2);
  const shown = await showTable(options);
  if (shown.isErr()) return fail(shown.error);
  print(`revision ${shown.value.revision}`);
  print(...renderDiff(shown.value, diff(shown.value, declared.value)));
}

interface ApplyOptions extends EntryOptions {
  readonly expectRevision?: string;
  readonly editId?: string;
}

async function runApply(file: string, options: ApplyOptions): Promise<void> {
  const declared = await readDeclaration(file);
  if (declared.isErr()) return fail(declared.error, 2);
  const shown = await showTable(options);
  if (shown.isErr()) return fail(shown.error);
  const changes = diff(shown.value, declared.value);
  if (changes.length === 0) return print("nothing to change");
  print(...renderDiff(shown.value, changes));
  const expectRevision = options.expectRevision === undefined
    ? shown.value.revision
    : Number(options.expectRevision);
  const editId = options.editId ?? core.randomId<core.EditId>("ed");
  await sendEdit(options, { changes, expectRevision }, editId);
}

interface EditOptions extends EntryOptions {
  readonly set?: string[];
  readonly delete?: boolean;
  readonly editId?: string;
}

async function runEdit(name: string, options: EditOptions): Promise<void> {
  const shown = await showTable(options);
  if (shown.isErr()) return fail(shown.error);
  const known = shown.value.rows.find(({ row }) => row.name === name);
  if (!known) return fail(`no row named ${name}`);
  const row = options.delete
    ? ok<table.TableRow | null, string>(null)
    : setFields(known.row, options.set ?? []);
  if (row.isErr()) return fail(row.error, 2);
  const change: table.RowChange = {
    name: known.row.name,
    row: row.value,
    expectRowRevision: known.revision,
  };
  const editId = options.editId ?? core.randomId<core.EditId>("ed");
  await sendEdit(options, { changes: [change] }, editId);
}

function setFields(
  row: table.TableRow,
  assignments: readonly string[],
): Result<table.TableRow | null, string> {
  const changed = structuredClone(row) as unknown as Record<string, unknown>;
  for (const assignment of assignments) {
    const [path = "", ...rest] = assignment.split("=");
    const text = rest.join("=");
    const keys = path.split(".");
    const last = keys.pop() ?? "";
    let target = changed;
    for (const key of keys) target = target[key] as Record<string, unknown>;
    if (target === undefined) return err(`no field ${path}`);
    if (text === "") delete target[last];
    else target[last] = parseValue(text);
  }
  return core.decodeValue(changed, table.TableRowCodec)
    .map((value) => value as unknown as table.TableRow);
}

function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function collect(value: string, earlier: string[] = []): string[] {
  return [...earlier, value];
}

/** Adds `table` and what is below it. */
export function addTableCommands(program: Command): void {
  const command = program
    .command("table")
    .description("show and change the operators' table");
  addEntryOptions(command.command("show"))
    .description("print the table as JSON")
    .addHelpText("after", "\nExample:\n  carawaywind table show")
    .action(async (options) => printJson(await showTable(options)));
  addEntryOptions(command.command("diff"))
    .argument("<file>", "rows in JSON with comments")
    .description("print what applying a file would change")
    .addHelpText("after", "\nExample:\n  carawaywind table diff rows.jsonc")
    .action(runDiff);
  addEntryOptions(command.command("apply"))
    .argument("<file>", "rows in JSON with comments")
    .option("--expect-revision <n>", "refuse if the table is at another one")
    .option("--edit-id <id>", "the same id is never applied twice")
    .description("make the table what a file declares, as one edit")
    .addHelpText(
      "after",
      "\nExample:\n  carawaywind table apply rows.jsonc --expect-revision 12",
    )
    .action(runApply);
  addEntryOptions(command.command("edit"))
    .argument("<name>", "name of the row")
    .option("--set <field=value>", "a field to set; repeatable", collect)
    .option("--delete", "delete the row")
    .option("--edit-id <id>", "the same id is never applied twice")
    .description("change one row")
    .addHelpText(
      "after",
      "\nExample:\n  carawaywind table edit llama --set priority=7 " +
        "--set limits.inProgressMax=20",
    )
    .action(runEdit);
  addEntryOptions(command.command("history"))
    .option("--count <n>", "edits to print", "20")
    .description("print accepted edits, newest first, as JSON")
    .addHelpText("after", "\nExample:\n  carawaywind table history --count 5")
    .action(async (options) =>
      printJson(
        await callEntry(
          options,
          "GET",
          `/v1/table/history?count=${encodeURIComponent(options.count)}`,
        ),
      )
    );
}
