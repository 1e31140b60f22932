/** Validates settings text against the schema; reports all faults at once. */
import {
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import { type FieldRule, SETTINGS_SCHEMA } from "./settings_schema.ts";
import type { Settings } from "./settings_types.ts";

/** An invalid setting and its position in the text. */
export interface SettingsFault {
  readonly line: number;
  readonly column: number;
  /** Path such as `listen.callerPort`; empty for the whole text. */
  readonly field: string;
  readonly message: string;
}

type ReportFault = (node: Node, field: string, message: string) => void;

/**
 * Parses and validates settings, which are JSON with comments.
 *
 * @returns the settings, or every fault in the text.
 * @example
 * ```ts
 * const checked = settings.checkSettings(text);
 * if (checked.isErr()) checked.error.forEach(printFault);
 * ```
 */
export function checkSettings(text: string): Result<Settings, SettingsFault[]> {
  const syntaxErrors: ParseError[] = [];
  const root = parseTree(text, syntaxErrors, { allowTrailingComma: true });
  const faults: SettingsFault[] = syntaxErrors.map(({ error, offset }) => ({
    ...positionOf(text, offset),
    field: "",
    message: printParseErrorCode(error),
  }));
  if (root === undefined) {
    faults.push({ line: 1, column: 1, field: "", message: "no settings" });
    return err(faults);
  }
  const value = readField(root, "", SETTINGS_SCHEMA, (node, field, message) => {
    faults.push({ ...positionOf(text, node.offset), field, message });
  });
  if (faults.length === 0) {
    const crossFieldFaults = findCrossFieldFaults(value as Settings);
    faults.push(...crossFieldFaults.map(({ field, message }) => ({
      ...positionOf(text, root.offset),
      field,
      message,
    })));
  }
  return faults.length > 0 ? err(faults) : ok(value as Settings);
}

/**
 * Renders a fault as one line.
 *
 * @example
 * ```ts
 * settings.renderFault(fault); // "3:5 listen.callerPort: must be …"
 * ```
 */
export function renderFault(fault: SettingsFault): string {
  const { line, column, field, message } = fault;
  return `${line}:${column} ${field || "(text)"}: ${message}`;
}

function positionOf(
  text: string,
  offset: number,
): { line: number; column: number } {
  const linesBefore = text.slice(0, offset).split("\n");
  return {
    line: linesBefore.length,
    column: (linesBefore.at(-1)?.length ?? 0) + 1,
  };
}

function readField(
  node: Node,
  field: string,
  rule: FieldRule,
  report: ReportFault,
): unknown {
  switch (rule.kind) {
    case "object":
      return readObject(node, field, rule, report);
    case "list":
      return readList(node, field, rule, report);
    case "number":
      return readNumber(node, field, rule, report);
    case "flag":
      if (typeof node.value !== "boolean") {
        report(node, field, "must be true or false");
      }
      return node.value;
    case "choice":
      if (!rule.names.includes(node.value)) {
        report(node, field, `must be one of ${rule.names.join(", ")}`);
      }
      return node.value;
    case "text":
      if (typeof node.value !== "string" || !rule.pattern?.test(node.value)) {
        report(node, field, `must be ${rule.hint}`);
      }
      return node.value;
  }
}

function readNumber(
  node: Node,
  field: string,
  rule: FieldRule & { kind: "number" },
  report: ReportFault,
): unknown {
  const { min, max, isInteger } = rule;
  const value: unknown = node.value;
  const isValid = typeof value === "number" && value >= min && value <= max &&
    (!isInteger || Number.isInteger(value));
  if (!isValid) {
    const noun = isInteger ? "a whole number" : "a number";
    report(node, field, `must be ${noun} from ${min} to ${max}`);
  }
  return value;
}

function readList(
  node: Node,
  field: string,
  rule: FieldRule & { kind: "list" },
  report: ReportFault,
): unknown {
  if (node.type !== "array") {
    report(node, field, "must be a list");
    return [];
  }
  return (node.children ?? []).map((child, index) =>
    readField(child, `${field}[${index}]`, rule.item, report)
  );
}

function readObject(
  node: Node,
  field: string,
  rule: FieldRule & { kind: "object" },
  report: ReportFault,
): unknown {
  if (node.type !== "object") {
    report(node, field, "must be an object");
    return {};
  }
  const found = new Map<string, Node>();
  for (const property of node.children ?? []) {
    const [key, value] = property.children ?? [];
    if (key === undefined || value === undefined) continue;
    const name = String(key.value);
    if (found.has(name)) report(key, joinPath(field, name), "is given twice");
    found.set(name, value);
    if (!(name in rule.fields)) {
      report(key, joinPath(field, name), describeUnknownField(name, rule));
    }
  }
  const result: Record<string, unknown> = {};
  for (const [name, fieldRule] of Object.entries(rule.fields)) {
    const child = found.get(name);
    result[name] = child
      ? readField(child, joinPath(field, name), fieldRule, report)
      : readAbsent(node, joinPath(field, name), fieldRule, report);
  }
  return result;
}

function joinPath(field: string, name: string): string {
  return field === "" ? name : `${field}.${name}`;
}

const UNIT_SUFFIX = /(Ms|S|Seconds|Bytes|Kb|Mb|Kib|Mib)$/;

function describeUnknownField(
  name: string,
  rule: FieldRule & { kind: "object" },
): string {
  const baseName = name.replace(UNIT_SUFFIX, "");
  const intendedField = Object.keys(rule.fields)
    .find((candidate) => candidate.replace(UNIT_SUFFIX, "") === baseName);
  return intendedField === undefined
    ? "is not a known field"
    : `has the wrong unit; the field is ${intendedField}`;
}

function readAbsent(
  node: Node,
  field: string,
  rule: FieldRule,
  report: ReportFault,
): unknown {
  if (rule.kind === "list" && rule.optional) return [];
  if (rule.kind === "object" && rule.optional) {
    return readObject({ ...node, children: [] }, field, rule, report);
  }
  if ("defaultValue" in rule && rule.defaultValue !== undefined) {
    return rule.defaultValue;
  }
  report(node, field, "is missing");
  return undefined;
}

/** Finds invalid combinations of fields that are valid individually. */
function findCrossFieldFaults(
  value: Settings,
): { field: string; message: string }[] {
  const faults: { field: string; message: string }[] = [];
  const { peers, engines, listen, callers, operators } = value;
  const handoverMs = peers.exchangeIntervalMs * 2 + engines.reportIntervalMs;
  if (engines.silentAfterMs < handoverMs) {
    faults.push({
      field: "engines.silentAfterMs",
      message: "must be at least twice peers.exchangeIntervalMs and " +
        "engines.reportIntervalMs together, so a new watcher can take over",
    });
  }
  if (listen.callerPort !== 0 && listen.callerPort === listen.peerPort) {
    faults.push({
      field: "listen.peerPort",
      message: "must differ from listen.callerPort",
    });
  }
  const tokens = [...callers, ...operators].map(({ token }) => token);
  if (new Set(tokens).size < tokens.length) {
    faults.push({ field: "callers", message: "two tokens are the same" });
  }
  return faults;
}
