/** Commands that read settings: `serve` and `check`. */
import type { Command } from "commander";
import { readFile } from "node:fs/promises";
import process from "node:process";
import * as core from "../core/mod.ts";
import * as instance from "../instance/mod.ts";
import * as settings from "../settings/mod.ts";
import { fail, print } from "./cli_client.ts";

/** Exit code for settings that cannot be read or are invalid. */
const EXIT_INVALID_SETTINGS = 2;

async function readSettings(
  file: string,
): Promise<settings.Settings | undefined> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (thrown) {
    fail(`${file}: ${core.messageOf(thrown)}`, EXIT_INVALID_SETTINGS);
    return undefined;
  }
  const result = settings.checkSettings(text);
  if (result.isOk()) return result.value;
  const lines = result.error.map((fault) =>
    `${file}:${settings.renderFault(fault)}`
  );
  fail(lines.join("\n"), EXIT_INVALID_SETTINGS);
  return undefined;
}

async function serve(file: string): Promise<void> {
  const entrySettings = await readSettings(file);
  if (entrySettings === undefined) return;
  const entryInstance = new instance.Instance(entrySettings);
  let stopPromise: Promise<void> | undefined;
  const stop = () => {
    stopPromise ??= entryInstance.stop().then(
      () => process.exit(0),
      (thrown) => {
        entryInstance.logger.error("stop_failed", {
          detail: core.messageOf(thrown),
        });
        process.exit(1);
      },
    );
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("unhandledRejection", (thrown) => {
    entryInstance.logger.error("unhandled", { detail: core.messageOf(thrown) });
  });
  const addresses = await entryInstance.start();
  print(JSON.stringify(addresses));
}

/** Adds `serve` and `check`. */
export function addServeCommands(program: Command): void {
  program
    .command("serve")
    .description("run an entry instance until SIGTERM")
    .requiredOption("--settings <file>", "settings in JSON with comments")
    .addHelpText(
      "after",
      "\nExample:\n  carawaywind serve --settings entry.jsonc",
    )
    .action(({ settings: file }) => serve(file));
  program
    .command("check")
    .description(
      "validate settings and print every error; exit 2 if there are any",
    )
    .requiredOption("--settings <file>", "settings in JSON with comments")
    .addHelpText(
      "after",
      "\nExample:\n  carawaywind check --settings entry.jsonc",
    )
    .action(async ({ settings: file }) => {
      const validSettings = await readSettings(file);
      if (validSettings) print(`${file}: in order`);
    });
}
