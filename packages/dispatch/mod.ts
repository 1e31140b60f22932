/** Which upstream gets a request, and who waits or is refused. */
export { EngineBoard, EngineState } from "./dispatch_board.ts";
export type { EngineWork, HeldModel, OthersUse } from "./dispatch_board.ts";
export { DemandMeter } from "./dispatch_demand.ts";
export type { DemandLine } from "./dispatch_demand.ts";
export {
  estimateFirstEventMs,
  estimateLeftMs,
  ModelPace,
  OutputLength,
} from "./dispatch_estimate.ts";
export { UpstreamHealth } from "./dispatch_health.ts";
export type { UpstreamOutcome } from "./dispatch_health.ts";
export { PrefixMemory } from "./dispatch_prefixes.ts";
export { WaitingQueue } from "./dispatch_queue.ts";
export type { WaitingRequest } from "./dispatch_queue.ts";
export { SharedRetryBudget } from "./dispatch_retry_budget.ts";
export { chooseEngine } from "./dispatch_choice.ts";
export type { EngineChoice, RequestNeeds } from "./dispatch_choice.ts";
export { chooseInstance } from "./dispatch_services.ts";
