/** Read-only commands: `entries`, `status`, `burn` and `codes`. */
import type { Command } from "commander";
import * as core from "../core/mod.ts";
import * as metrics from "../metrics/mod.ts";
import {
  addEntryOptions,
  callEntry,
  type EntryOptions,
  fail,
  print,
  printJson,
} from "./cli_client.ts";

interface EntriesResponse {
  readonly entries: readonly { readonly address: string }[];
}

interface BurnResponse {
  readonly lines: readonly metrics.BurnLine[];
}

async function collectBurn(options: EntryOptions): Promise<{
  lines: metrics.BurnLine[];
  unreached: string[];
}> {
  const entryList = await callEntry<EntriesResponse>(
    options,
    "GET",
    "/v1/entries",
  );
  const addresses = entryList.match(
    ({ entries }) => entries.map(({ address }) => address),
    () => [options.entry],
  );
  const lines: metrics.BurnLine[] = [];
  const unreached: string[] = [];
  for (const entry of addresses) {
    const response = await callEntry<BurnResponse>(
      { ...options, entry },
      "GET",
      "/v1/burn",
    );
    if (response.isErr()) unreached.push(`${entry}: ${response.error}`);
    else lines.push(...response.value.lines);
  }
  return { lines: metrics.mergeBurn(lines), unreached };
}

function renderBurn(lines: readonly metrics.BurnLine[]): string[] {
  const windows = Object.keys(metrics.BURN_WINDOWS_MS) as metrics.BurnWindow[];
  const header = ["subject", "name", ...windows].join("\t");
  const rows = lines.map(({ subject, name, windows: counts }) => {
    const cells = windows.map((window) => {
      const count = counts[window];
      const rate = metrics.burnRate(count).toFixed(2);
      return `${rate} (${count.missed}/${count.total})`;
    });
    return [subject, name, ...cells].join("\t");
  });
  return [header, ...rows];
}

async function runBurn(
  options: EntryOptions & { json?: boolean },
): Promise<void> {
  const { lines, unreached } = await collectBurn(options);
  if (options.json) {
    const report = { objective: metrics.OBJECTIVE, lines, unreached };
    print(JSON.stringify(report, null, 2));
  } else {
    print(`objective ${metrics.OBJECTIVE}; a burn rate above 1 misses it`);
    print(...renderBurn(lines));
  }
  if (unreached.length > 0) {
    fail(`not counted, request failed:\n${unreached.join("\n")}`);
  }
}

function renderCodes(): string[] {
  return core.RESULT_CODES.map(({ code, name, httpStatus, meaning }) =>
    `${code}\t${name}\t${httpStatus}\t${meaning}`
  );
}

/** Adds `entries`, `status`, `burn` and `codes`. */
export function addReportCommands(program: Command): void {
  addEntryOptions(program.command("entries"))
    .description("print the entry instances that accept callers, as JSON")
    .addHelpText("after", "\nExample:\n  carawaywind entries")
    .action(async (options) =>
      printJson(await callEntry(options, "GET", "/v1/entries"))
    );
  addEntryOptions(program.command("status"))
    .description("print the state of one entry instance, as JSON")
    .addHelpText("after", "\nExample:\n  carawaywind status")
    .action(async (options) =>
      printJson(await callEntry(options, "GET", "/v1/status"))
    );
  addEntryOptions(program.command("burn"))
    .option("--json", "print JSON")
    .description("print the service-level burn rate of each caller and model")
    .addHelpText("after", "\nExample:\n  carawaywind burn --json")
    .action(runBurn);
  program.command("codes")
    .option("--json", "print JSON")
    .description("print the result codes with their HTTP status and meaning")
    .addHelpText("after", "\nExample:\n  carawaywind codes")
    .action(({ json }) =>
      json
        ? print(JSON.stringify(core.RESULT_CODES, null, 2))
        : print(...renderCodes())
    );
}
