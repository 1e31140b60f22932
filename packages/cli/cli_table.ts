/** Commands on the table: `table show|diff|apply|edit|history`. */
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

interface RevisedRow {
  readonly revision: number;
  readonly row: table.TableRow;
}

interface TableResponse {
  readonly revision: number;
  readonly rows: readonly RevisedRow[];
}

function fetchTable(
  options: EntryOptions,
): Promise<Result<TableResponse, string>> {
  return callEntry<TableResponse>(options, "GET", "/v1/table");
}

/** Reads and validates a file that declares every row of the table. */
async function readDeclaredRows(
  file: string,
): Promise<Result<table.TableRow[], string>> {
  const parseErrors: ParseError[] = [];
  let parsed: unknown;
  try {
    parsed = parse(await readFile(file, "utf8"), parseErrors, {
      allowTrailingComma: true,
    });
  } catch (thrown) {
    return err(`${file}: ${core.messageOf(thrown)}`);
  }
  const rows = (parsed as { rows?: unknown } | undefined)?.rows;
  if (parseErrors.length > 0 || !Array.isArray(rows)) {
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

/**
 * Computes the changes that turn the current table into the declared one. Rows
 * that are not declared are deleted.
 */
function computeChanges(
  snapshot: TableResponse,
  declared: readonly table.TableRow[],
): table.RowChange[] {
  const currentRows = new Map(snapshot.rows.map((row) => [row.row.name, row]));
  const declaredNames = new Set(declared.map(({ name }) => name));
  const changes: table.RowChange[] = [];
  for (const row of declared) {
    const current = currentRows.get(row.name);
    if (current && isEqualRow(current.row, row)) continue;
    const expectRowRevision = current?.revision ?? 0;
    changes.push({ name: row.name, row, expectRowRevision });
  }
  for (const [name, { revision }] of currentRows) {
    if (declaredNames.has(name)) continue;
    changes.push({ name, row: null, expectRowRevision: revision });
  }
  return changes;
}

function isEqualRow(a: table.TableRow, b: table.TableRow): boolean {
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
  snapshot: TableResponse,
  changes: readonly table.RowChange[],
): string[] {
  const currentRows = new Map(snapshot.rows.map(({ row }) => [row.name, row]));
  return changes.flatMap(({ name, row }) => {
    const current = currentRows.get(name);
    const lines: string[] = [];
    if (current) lines.push(`- ${JSON.stringify(current)}`);
    if (row) lines.push(`+ ${JSON.stringify(row)}`);
    return lines;
  });
}

async function submitEdit(
  options: EntryOptions,
  edit: { changes: readonly table.RowChange[]; expectRevision?: number },
  editId: string,
): Promise<void> {
  const response = await callEntry<{ revision: number }>(
    options,
    "POST",
    "/v1/table/edits",
    { editId, ...edit },
  );
  response.match(
    ({ revision }) => print(`accepted at revision ${revision}`),
    (message) => fail(`${message} (edit id ${editId})`),
  );
}

async function runDiff(file: string, options: EntryOptions): Promise<void> {
  const declared = await readDeclaredRows(file);
  if (declared.isErr()) return fail(declared.error, 2);
  const snapshot = await fetchTable(options);
  if (snapshot.isErr()) return fail(snapshot.error);
  print(`revision ${snapshot.value.revision}`);
  print(
    ...renderDiff(
      snapshot.value,
      computeChanges(snapshot.value, declared.value),
    ),
  );
}

interface ApplyOptions extends EntryOptions {
  readonly expectRevision?: string;
  readonly editId?: string;
}

async function runApply(file: string, options: ApplyOptions): Promise<void> {
  const declared = await readDeclaredRows(file);
  if (declared.isErr()) return fail(declared.error, 2);
  const snapshot = await fetchTable(options);
  if (snapshot.isErr()) return fail(snapshot.error);
  const changes = computeChanges(snapshot.value, declared.value);
  if (changes.length === 0) return print("nothing to change");
  print(...renderDiff(snapshot.value, changes));
  const expectRevision = options.expectRevision === undefined
    ? snapshot.value.revision
    : Number(options.expectRevision);
  const editId = options.editId ?? core.randomId<core.EditId>("ed");
  await submitEdit(options, { changes, expectRevision }, editId);
}

interface EditOptions extends EntryOptions {
  readonly set?: string[];
  readonly delete?: boolean;
  readonly editId?: string;
}

async function runEdit(name: string, options: EditOptions): Promise<void> {
  const snapshot = await fetchTable(options);
  if (snapshot.isErr()) return fail(snapshot.error);
  const current = snapshot.value.rows.find(({ row }) => row.name === name);
  if (!current) return fail(`no row named ${name}`);
  const row = options.delete
    ? ok<table.TableRow | null, string>(null)
    : applyAssignments(current.row, options.set ?? []);
  if (row.isErr()) return fail(row.error, 2);
  const change: table.RowChange = {
    name: current.row.name,
    row: row.value,
    expectRowRevision: current.revision,
  };
  const editId = options.editId ?? core.randomId<core.EditId>("ed");
  await submitEdit(options, { changes: [change] }, editId);
}

function applyAssignments(
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

function appendValue(value: string, previous: string[] = []): string[] {
  return [...previous, value];
}

/** Adds `table` and its subcommands. */
export function addTableCommands(program: Command): void {
  const command = program
    .command("table")
    .description("show and edit the table of models and adapters");
  addEntryOptions(command.command("show"))
    .description("print the table as JSON")
    .addHelpText("after", "\nExample:\n  carawaywind table show")
    .action(async (options) => printJson(await fetchTable(options)));
  addEntryOptions(command.command("diff"))
    .argument("<file>", "rows in JSON with comments")
    .description("print the changes that applying a file would make")
    .addHelpText("after", "\nExample:\n  carawaywind table diff rows.jsonc")
    .action(runDiff);
  addEntryOptions(command.command("apply"))
    .argument("<file>", "rows in JSON with comments")
    .option(
      "--expect-revision <n>",
      "reject the edit if the table is at another revision",
    )
    .option(
      "--edit-id <id>",
      "idempotency id: an edit is applied at most once per id",
    )
    .description("replace the table by the rows of a file, as one edit")
    .addHelpText(
      "after",
      "\nExample:\n  carawaywind table apply rows.jsonc --expect-revision 12",
    )
    .action(runApply);
  addEntryOptions(command.command("edit"))
    .argument("<name>", "name of the row")
    .option("--set <field=value>", "a field to set; repeatable", appendValue)
    .option("--delete", "delete the row")
    .option(
      "--edit-id <id>",
      "idempotency id: an edit is applied at most once per id",
    )
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
