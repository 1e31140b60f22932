/** Decides whether a request fits into the memory of an engine. */
export { EngineMemory } from "./admission_memory.ts";
export type {
  MemoryClaim,
  OthersMemoryUse,
  TicketedClaim,
} from "./admission_memory.ts";
export { OwnParts } from "./admission_parts.ts";
export type { NodesView } from "./admission_parts.ts";
export {
  AdmissionRule,
  Competition,
  OptimisticRule,
} from "./admission_rule.ts";
export type { AdmissionRequest, EngineRoom } from "./admission_rule.ts";
export { CLAIMS_TOLD_MAX, SharesRule } from "./admission_shares.ts";
export { safeArrivalsMean } from "./admission_arrivals.ts";
