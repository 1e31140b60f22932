/** The commands of the `carawaywind` command line. */
import { Command } from "commander";
import process from "node:process";
import type * as signals from "../signals/mod.ts";
import { addReportCommands } from "./cli_reports.ts";
import { addServeCommands } from "./cli_serve.ts";
import { addTableCommands } from "./cli_table.ts";

/**
 * Runs the command that the process was started with.
 *
 * @param held signals that have been held since the process was started.
 * @example
 * ```ts
 * await program.run(signals.holdSignals("SIGHUP", "SIGTERM"));
 * ```
 */
export async function run(held: signals.HeldSignals): Promise<void> {
  const program = new Command("carawaywind")
    .description("Serves many models and adapters on fewer accelerators")
    .version("0.1.0");
  addServeCommands(program, held);
  addTableCommands(program);
  addReportCommands(program);
  await program.parseAsync(process.argv);
}
