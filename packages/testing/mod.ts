/** Test support shared by tests, the demo and the benchmarks. */
export {
  callService,
  complete,
  completionText,
  expectedText,
  stream,
} from "./testing_caller.ts";
export type {
  CallerResponse,
  CompletionCall,
  ServiceCall,
  StreamResult,
} from "./testing_caller.ts";
export { cutHeads, CutServer } from "./testing_cut_server.ts";
export type { CutKind } from "./testing_cut_server.ts";
export { makeUpstreamRecord, startThenHoldUp } from "./testing_fixtures.ts";
export { StartedProcess, startProcess } from "./testing_process.ts";
export {
  CALLER_TOKENS,
  makeAdapter,
  makeRow,
  makeSettings,
  OPERATOR_TOKENS,
} from "./testing_settings.ts";
export type { SettingsOverrides } from "./testing_settings.ts";
export { TestCluster, waitUntil } from "./testing_cluster.ts";
export type {
  EntryProcess,
  EntryStatus,
  TestClusterOptions,
} from "./testing_cluster.ts";
export { findFreePorts } from "./testing_ports.ts";
export { makeEngineSpec, OrderedEngine } from "./testing_ordered_engine.ts";
