/** Calls to an entry instance on behalf of an operator. */
import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import process from "node:process";
import { Agent } from "undici";
import * as transport from "../transport/mod.ts";

const TIMEOUT_MS = 15_000;

/** Where to call and as whom. */
export interface EntryOptions {
  readonly entry: string;
  readonly token: string;
}

/** Adds `--entry` and `--token` to a command. */
export function addEntryOptions(command: Command): Command {
  const { CARAWAYWIND_ENTRY, CARAWAYWIND_TOKEN } = process.env;
  return command
    .requiredOption(
      "--entry <url>",
      "origin of an entry instance (or CARAWAYWIND_ENTRY)",
      CARAWAYWIND_ENTRY,
    )
    .requiredOption(
      "--token <token>",
      "bearer token (or CARAWAYWIND_TOKEN)",
      CARAWAYWIND_TOKEN,
    );
}

/**
 * Calls an entry instance and reads its JSON answer.
 *
 * @returns the answer, or a message for the operator.
 * @example
 * ```ts
 * const answer = await callEntry(options, "GET", "/v1/status");
 * ```
 */
export async function callEntry<Answer>(
  options: EntryOptions,
  method: "GET" | "POST",
  path: string,
  body?: unknown,
): Promise<Result<Answer, string>> {
  const agent = new Agent();
  const answer = await transport.send(agent, {
    origin: options.entry,
    path,
    method,
    headers: {
      authorization: `Bearer ${options.token}`,
      "content-type": "application/json",
    },
    timeoutMs: TIMEOUT_MS,
    ...(body === undefined ? {} : { bodyText: JSON.stringify(body) }),
  });
  await agent.close();
  if (answer.isErr()) return err(`${options.entry}: ${answer.error.detail}`);
  const { status, bodyText } = answer.value;
  if (status === 200) return ok(JSON.parse(bodyText) as Answer);
  return err(renderProblem(status, bodyText));
}

function renderProblem(status: number, bodyText: string): string {
  try {
    const { code, title, detail } = JSON.parse(bodyText);
    return `${code} ${title}: ${detail}`;
  } catch {
    return `status ${status}: ${bodyText}`;
  }
}

/** Prints lines to standard output. */
export function print(...lines: string[]): void {
  for (const line of lines) process.stdout.write(`${line}\n`);
}

/** Prints a message to standard error and sets the exit code. */
export function fail(message: string, exitCode = 1): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = exitCode;
}

/** Prints an answer as JSON, or the message that came in its place. */
export function printJson<Answer>(answer: Result<Answer, string>): void {
  answer.match(
    (value) => print(JSON.stringify(value, null, 2)),
    (message) => fail(message),
  );
}
