#!/usr/bin/env node
/** Entry point of the `carawaywind` command line. */
import process from "node:process";
import * as signals from "../signals/mod.ts";

// A signal that has no handler yet ends the process, and loading takes a while.
const isServe = process.argv[2] === "serve";
const held = isServe
  ? signals.holdSignals("SIGHUP", "SIGINT", "SIGTERM")
  : signals.holdSignals();
const program = await import("./cli_program.ts");
await program.run(held);
