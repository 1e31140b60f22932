/** HTTP client for the operator API of entry instances, and output helpers. */
import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import process from "node:process";
import { Agent } from "undici";
import * as transport from "../transport/mod.ts";

const REQUEST_TIMEOUT_MS = 15_000;

/** Origin of the entry instance, and the bearer token of each request. */
export interface EntryOptions {
  readonly entry: string;
  readonly token: string;
}

/**
 * Adds `--entry` and `--token` to a command. Both are required unless their
 * environment variables are set.
 */
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
 * Sends a request to an entry instance and parses the JSON response body. The
 * request times out after 15 seconds.
 *
 * @returns the body of a response with status 200, otherwise an error message
 *   for the operator.
 * @example
 * ```ts
 * const status = await callEntry(options, "GET", "/v1/status");
 * ```
 */
export async function callEntry<ResponseBody>(
  options: EntryOptions,
  method: "GET" | "POST",
  path: string,
  body?: unknown,
): Promise<Result<ResponseBody, string>> {
  const agent = new Agent();
  const response = await transport.send(agent, {
    origin: options.entry,
    path,
    method,
    headers: {
      authorization: `Bearer ${options.token}`,
      "content-type": "application/json",
    },
    timeoutMs: REQUEST_TIMEOUT_MS,
    ...(body === undefined ? {} : { bodyText: JSON.stringify(body) }),
  });
  await agent.close();
  if (response.isErr()) {
    return err(`${options.entry}: ${response.error.detail}`);
  }
  const { status, bodyText } = response.value;
  if (status === 200) return ok(JSON.parse(bodyText) as ResponseBody);
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

/** Prints a message to standard error and sets the exit code of the process. */
export function fail(message: string, exitCode = 1): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = exitCode;
}

/** Prints a response body as JSON, or reports its error with exit code 1. */
export function printJson<ResponseBody>(
  result: Result<ResponseBody, string>,
): void {
  result.match(
    (value) => print(JSON.stringify(value, null, 2)),
    (message) => fail(message),
  );
}
