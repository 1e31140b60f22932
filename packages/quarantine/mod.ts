/**
 * Quarantines prompt parts that end each upstream which answers them: evidence
 * from crashes and survivals of all nodes, and the parts held back.
 */
export { sharedPartKeys, toPartKey, toRunKey } from "./quarantine_keys.ts";
export { PromptQuarantine } from "./quarantine.ts";
export type {
  HoldSource,
  QuarantineReport,
  ReportedHold,
  ReportedRefusal,
} from "./quarantine.ts";
export type { ReportedEvidence } from "./quarantine_evidence.ts";
