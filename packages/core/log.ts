/** Structured logging: one line of key=value pairs for each event. */
import { type ConsolaInstance, createConsola, type LogObject } from "consola";
import process from "node:process";
import { monotonicMs } from "./clock.ts";

/** A value that a log line can carry. */
export type LogValue = string | number | boolean | undefined;

/** The key=value pairs of one log line. */
export type LogFields = Readonly<Record<string, LogValue>>;

const PLAIN_VALUE = /^[A-Za-z0-9_.:/@+-]+$/;

function renderValue(value: LogValue): string {
  const text = String(value);
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text);
}

/**
 * Renders one event as key=value pairs.
 *
 * @example
 * ```ts
 * core.renderEvent("edit_accepted", { revision: 7 });
 * // event=edit_accepted revision=7
 * ```
 */
export function renderEvent(event: string, fields: LogFields): string {
  const pairs = [`event=${event}`];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) pairs.push(`${key}=${renderValue(value)}`);
  }
  return pairs.join(" ");
}

/** Receives complete lines, newline included. */
export type LogOutput = (line: string) => void;

/** Limit of lines per second; with 200 bytes a line this is 50 KB/s. */
const LINES_PER_S_MAX = 250;
/** Limit of bytes buffered for a slow reader of standard output. */
const BUFFERED_BYTES_MAX = 256 * 1024;
const MS_PER_S = 1_000;

let windowStartMs = -Infinity;
let windowLines = 0;
let droppedLines = 0;

/**
 * Writes to standard output without waiting for its reader. Lines beyond the
 * rate or buffer limit are dropped; the next written line is preceded by their
 * number.
 *
 * @example
 * ```ts
 * const logger = new core.Logger({}, core.writeToStandardOutput);
 * ```
 */
export function writeToStandardOutput(line: string): void {
  const nowMs = monotonicMs();
  if (nowMs - windowStartMs >= MS_PER_S) {
    windowStartMs = nowMs;
    windowLines = 0;
  }
  const isOverLimit = ++windowLines > LINES_PER_S_MAX ||
    process.stdout.writableLength > BUFFERED_BYTES_MAX;
  if (isOverLimit) {
    droppedLines++;
    return;
  }
  if (droppedLines > 0) {
    process.stdout.write(`event=log_lines_dropped lines=${droppedLines}\n`);
    droppedLines = 0;
  }
  process.stdout.write(line);
}

function writeToStandardError(line: string): void {
  process.stderr.write(line);
}

function renderLine(line: LogObject): string {
  const text = line.args.map(String).join(" ");
  const head = `time=${line.date.toISOString()} level=${line.type}`;
  return `${head} ${text}\n`;
}

/** Writes events, each with the common fields of the process. */
export class Logger {
  readonly #consola: ConsolaInstance;
  readonly #common: LogFields;

  constructor(
    common: LogFields = {},
    output: LogOutput = writeToStandardError,
    level = 3,
  ) {
    this.#common = common;
    const log = (line: LogObject) => output(renderLine(line));
    this.#consola = createConsola({ level, reporters: [{ log }] });
  }

  /** Logs an event of normal operation. */
  info(event: string, fields: LogFields = {}): void {
    this.#consola.info(renderEvent(event, { ...this.#common, ...fields }));
  }

  /** Logs an event that an operator may need to investigate. */
  warn(event: string, fields: LogFields = {}): void {
    this.#consola.warn(renderEvent(event, { ...this.#common, ...fields }));
  }

  /** Logs an event that should never happen. */
  error(event: string, fields: LogFields = {}): void {
    this.#consola.error(renderEvent(event, { ...this.#common, ...fields }));
  }
}
