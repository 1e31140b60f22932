/** What tests, the demo and benchmarks share. */
export {
  callService,
  complete,
  expectedText,
  stream,
  textOf,
} from "./testing_caller.ts";
export type {
  CallerAnswer,
  CompletionCall,
  ServiceCall,
  StreamEnd,
} from "./testing_caller.ts";
export { StartedProcess, startProcess } from "./testing_process.ts";
export {
  CALLER_TOKENS,
  makeAdapter,
  makeRow,
  makeSettings,
  OPERATOR_TOKENS,
} from "./testing_settings.ts";
export type { SettingsChange } from "./testing_settings.ts";
export { until, World } from "./testing_world.ts";
export type { EntryProcess, WorldOptions } from "./testing_world.ts";
