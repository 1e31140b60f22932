/** Logs: one line of key=value pairs for each event. */
import { type ConsolaInstance, createConsola, type LogObject } from "consola";
import process from "node:process";

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

function writeLine(line: LogObject): void {
  const text = line.args.map(String).join(" ");
  const head = `time=${line.date.toISOString()} level=${line.type}`;
  process.stderr.write(`${head} ${text}\n`);
}

/** Writes events with fields that stay the same for a whole process. */
export class Logger {
  readonly #consola: ConsolaInstance;
  readonly #common: LogFields;

  constructor(common: LogFields = {}, level = 3) {
    this.#common = common;
    this.#consola = createConsola({ level, reporters: [{ log: writeLine }] });
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
