/** Logs: one line of key=value pairs for each event. */
import { type ConsolaInstance, createConsola, type LogObject } from "consola";
import process from "node:process";
import { monotonicMs } from "./clock.ts";

/** A value that a log line can carry. */
export type LogValue = string | number | boolean | undefined;

/** The pairs of one log line. */
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

/** Takes whole lines, newline included. */
export type LogOutput = (line: string) => void;

/** Lines written in one second at most: 200 bytes each are 50 KB a second. */
const LINES_PER_S_MAX = 250;
/** Bytes that may wait for the reader of standard output. */
const WAITING_BYTES_MAX = 256 * 1024;
const MS_PER_S = 1_000;

let windowFromMs = -Infinity;
let windowLines = 0;
let droppedLines = 0;

/**
 * Writes to standard output, never waiting for its reader: lines beyond the
 * bound are dropped and counted.
 *
 * @example
 * ```ts
 * const logger = new core.Logger({}, core.writeToStandardOutput);
 * ```
 */
export function writeToStandardOutput(line: string): void {
  const nowMs = monotonicMs();
  if (nowMs - windowFromMs >= MS_PER_S) {
    windowFromMs = nowMs;
    windowLines = 0;
  }
  const isFull = ++windowLines > LINES_PER_S_MAX ||
    process.stdout.writableLength > WAITING_BYTES_MAX;
  if (isFull) {
    droppedLines++;
    return;
  }
  if (droppedLines > 0) {
    process.stdout.write(`event=log_lines_dropped lines=${droppedLines}\n`);
    droppedLines = 0;
  }
  process.stdout.write(line);
}

function toStandardError(line: string): void {
  process.stderr.write(line);
}

function renderLine(line: LogObject): string {
  const text = line.args.map(String).join(" ");
  const head = `time=${line.date.toISOString()} level=${line.type}`;
  return `${head} ${text}\n`;
}

/** Writes events with fields that stay the same for a whole process. */
export class Logger {
  readonly #consola: ConsolaInstance;
  readonly #common: LogFields;

  constructor(
    common: LogFields = {},
    output: LogOutput = toStandardError,
    level = 3,
  ) {
    this.#common = common;
    const log = (line: LogObject) => output(renderLine(line));
    this.#consola = createConsola({ level, reporters: [{ log }] });
  }

  /** Logs an ordinary event. */
  info(event: string, fields: LogFields = {}): void {
    this.#consola.info(renderEvent(event, { ...this.#common, ...fields }));
  }

  /** Logs an event that an operator may have to look into. */
  warn(event: string, fields: LogFields = {}): void {
    this.#consola.warn(renderEvent(event, { ...this.#common, ...fields }));
  }

  /** Logs an event that should never happen. */
  error(event: string, fields: LogFields = {}): void {
    this.#consola.error(renderEvent(event, { ...this.#common, ...fields }));
  }
}
