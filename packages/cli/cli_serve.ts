/** `serve` and `check`. */
import type { Command } from "commander";
import { readFile } from "node:fs/promises";
import process from "node:process";
import * as core from "../core/mod.ts";
import * as instance from "../instance/mod.ts";
import * as settings from "../settings/mod.ts";
import { fail, print } from "./cli_client.ts";

/** Exit code for settings with faults. */
const EXIT_FAULTS = 2;

async function readSettings(
  file: string,
): Promise<settings.Settings | undefined> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (thrown) {
    fail(`${file}: ${core.messageOf(thrown)}`, EXIT_FAULTS);
    return undefined;
  }
  const checked = settings.checkSettings(text);
  if (checked.isOk()) return checked.value;
  const lines = checked.error.map((fault) =>
    `${file}:${settings.renderFault(fault)}`
  );
  fail(lines.join("\n"), EXIT_FAULTS);
  return undefined;
}

async function serve(file: string): Promise<void> {
  const checked = await readSettings(file);
  if (checked === undefined) return;
  const running = new instance.Instance(checked);
  let stopping: Promise<void> | undefined;
  const stop = () => {
    stopping ??= running.stop().then(
      () => process.exit(0),
      (thrown) => {
        running.logger.error("stop_failed", { detail: core.messageOf(thrown) });
        process.exit(1);
      },
    );
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("unhandledRejection", (thrown) => {
    running.logger.error("unhandled", { detail: core.messageOf(thrown) });
  });
  const addresses = await running.start();
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
    .description("check settings and print every fault; exit 2 if any")
    .requiredOption("--settings <file>", "settings in JSON with comments")
    .addHelpText(
      "after",
      "\nExample:\n  carawaywind check --settings entry.jsonc",
    )
    .action(async ({ settings: file }) => {
      const checked = await readSettings(file);
      if (checked) print(`${file}: in order`);
    });
}
