/** Commands that read settings: `serve` and `check`. */
import type { Command } from "commander";
import { err, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import process from "node:process";
import * as core from "../core/mod.ts";
import * as instance from "../instance/mod.ts";
import * as settings from "../settings/mod.ts";
import type * as signals from "../signals/mod.ts";
import { fail, print } from "./cli_client.ts";

/** Exit code for settings that cannot be read or are invalid. */
const EXIT_INVALID_SETTINGS = 2;

/** Reads a settings file and returns it, or the faults found, one a line. */
async function checkFile(
  file: string,
): Promise<Result<settings.Settings, string[]>> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (thrown) {
    return err([`${file}: ${core.messageOf(thrown)}`]);
  }
  return settings.checkSettings(text).mapErr((faults) =>
    faults.map((fault) => `${file}:${settings.renderFault(fault)}`)
  );
}

async function readSettings(
  file: string,
): Promise<settings.Settings | undefined> {
  const result = await checkFile(file);
  if (result.isOk()) return result.value;
  fail(result.error.join("\n"), EXIT_INVALID_SETTINGS);
  return undefined;
}

/** Checks the file for the next start; a running instance keeps its settings. */
async function recheckSettings(
  file: string,
  logger: core.Logger,
): Promise<void> {
  const result = await checkFile(file);
  if (result.isOk()) return logger.info("settings_checked");
  for (const fault of result.error) logger.error("settings_fault", { fault });
}

async function serve(file: string, held: signals.HeldSignals): Promise<void> {
  const exit = () => process.exit(0);
  held.register("SIGTERM", exit);
  held.register("SIGINT", exit);
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
  held.register("SIGTERM", stop);
  held.register("SIGINT", stop);
  held.register(
    "SIGHUP",
    () => void recheckSettings(file, entryInstance.logger),
  );
  // One faulty request must not end the others that the process serves.
  const reportUnhandled = (thrown: unknown) => {
    entryInstance.logger.error("unhandled", {
      detail: core.messageOf(thrown),
      at: thrown instanceof Error ? thrown.stack?.split("\n")[1] : undefined,
    });
  };
  process.on("unhandledRejection", reportUnhandled);
  process.on("uncaughtException", reportUnhandled);
  // Whoever reads the log may go away; to report that would fail again.
  process.stderr.on("error", () => undefined);
  try {
    print(JSON.stringify(await entryInstance.start()));
  } catch (thrown) {
    // An instance that cannot listen must not keep running half started.
    entryInstance.logger.error("start_failed", {
      detail: core.messageOf(thrown),
    });
    process.exit(1);
  }
}

/**
 * Adds `serve` and `check`.
 *
 * @param held signals that `serve` handles.
 */
export function addServeCommands(
  program: Command,
  held: signals.HeldSignals,
): void {
  program
    .command("serve")
    .description("run an entry instance until SIGTERM")
    .requiredOption("--settings <file>", "settings in JSON with comments")
    .addHelpText(
      "after",
      "\nExample:\n  carawaywind serve --settings entry.jsonc",
    )
    .action(({ settings: file }) => serve(file, held));
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
