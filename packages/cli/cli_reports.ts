/** `entries`, `status`, `burn` and `codes`. */
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

interface EntriesAnswer {
  readonly entries: readonly { readonly address: string }[];
}

interface BurnAnswer {
  readonly lines: readonly metrics.BurnLine[];
}

async function collectBurn(options: EntryOptions): Promise<{
  lines: metrics.BurnLine[];
  unreached: string[];
}> {
  const listed = await callEntry<EntriesAnswer>(options, "GET", "/v1/entries");
  const addresses = listed.match(
    ({ entries }) => entries.map(({ address }) => address),
    () => [options.entry],
  );
  const lines: metrics.BurnLine[] = [];
  const unreached: string[] = [];
  for (const entry of addresses) {
    const answer = await callEntry<BurnAnswer>(
      { ...options, entry },
      "GET",
      "/v1/burn",
    );
    if (answer.isErr()) unreached.push(`${entry}: ${answer.error}`);
    else lines.push(...answer.value.lines);
  }
  return { lines: metrics.mergeBurn(lines), unreached };
}

function renderBurn(lines: readonly metrics.BurnLine[]): string[] {
  const windows = Object.keys(metrics.BURN_WINDOWS_MS) as metrics.BurnWindow[];
  const head = ["subject", "name", ...windows].join("\t");
  const body = lines.map(({ subject, name, windows: counts }) => {
    const cells = windows.map((window) => {
      const count = counts[window];
      const rate = metrics.burnRate(count).toFixed(2);
      return `${rate} (${count.missed}/${count.total})`;
    });
    return [subject, name, ...cells].join("\t");
  });
  return [head, ...body];
}

async function runBurn(
  options: EntryOptions & { json?: boolean },
): Promise<void> {
  const { lines, unreached } = await collectBurn(options);
  if (options.json) {
    const report = { objective: metrics.OBJECTIVE, lines, unreached };
    print(JSON.stringify(report, null, 2));
  } else {
    print(`objective ${metrics.OBJECTIVE}; a burn above 1 misses it`);
    print(...renderBurn(lines));
  }
  if (unreached.length > 0) fail(`not counted:\n${unreached.join("\n")}`);
}

function renderCodes(): string[] {
  return core.RESULT_CODES.map(({ code, name, httpStatus, meaning }) =>
    `${code}\t${name}\t${httpStatus}\t${meaning}`
  );
}

/** Adds the commands that only read. */
export function addReportCommands(program: Command): void {
  addEntryOptions(program.command("entries"))
    .description("print the entry instances that callers should use, as JSON")
    .addHelpText("after", "\nExample:\n  carawaywind entries")
    .action(async (options) =>
      printJson(await callEntry(options, "GET", "/v1/entries"))
    );
  addEntryOptions(program.command("status"))
    .description("print what one instance knows, as JSON")
    .addHelpText("after", "\nExample:\n  carawaywind status")
    .action(async (options) =>
      printJson(await callEntry(options, "GET", "/v1/status"))
    );
  addEntryOptions(program.command("burn"))
    .option("--json", "print JSON")
    .description("print service-level burn by caller and by model")
    .addHelpText("after", "\nExample:\n  carawaywind burn --json")
    .action(runBurn);
  program.command("codes")
    .option("--json", "print JSON")
    .description("print the numbered result codes")
    .addHelpText("after", "\nExample:\n  carawaywind codes")
    .action(({ json }) =>
      json
        ? print(JSON.stringify(core.RESULT_CODES, null, 2))
        : print(...renderCodes())
    );
}
