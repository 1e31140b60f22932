#!/usr/bin/env node
/** Entry point of the `carawaywind` command line. */
import { Command } from "commander";
import process from "node:process";
import { addReportCommands } from "./cli_reports.ts";
import { addServeCommands } from "./cli_serve.ts";
import { addTableCommands } from "./cli_table.ts";

const program = new Command("carawaywind")
  .description("Serves many models and adapters on fewer accelerators")
  .version("0.1.0");
addServeCommands(program);
addTableCommands(program);
addReportCommands(program);
await program.parseAsync(process.argv);
