/** Selects upstreams for requests, and queues requests that must wait. */
export { UpstreamRegistry, UpstreamState } from "./dispatch_registry.ts";
export type {
  InFlightRequest,
  ModelReplica,
  PeerLoad,
} from "./dispatch_registry.ts";
export { DemandTracker } from "./dispatch_demand.ts";
export type { DemandEntry } from "./dispatch_demand.ts";
export {
  estimateFirstEventMs,
  estimateRemainingMs,
  OutputLengthEstimator,
  StepTimeEstimator,
} from "./dispatch_estimate.ts";
export { UpstreamHealth } from "./dispatch_health.ts";
export type { UpstreamOutcome } from "./dispatch_health.ts";
export { toModelKey } from "./dispatch_model_key.ts";
export { PrefixCacheTracker } from "./dispatch_prefixes.ts";
export { QuietTime } from "./dispatch_quiet.ts";
export { RequestQueue } from "./dispatch_queue.ts";
export type { QueuedRequest, QueueWait } from "./dispatch_queue.ts";
export { SharedRetryBudget } from "./dispatch_retry_budget.ts";
export { LeavingUpstreams } from "./dispatch_leaving.ts";
export type { LeavingUpstream } from "./dispatch_leaving.ts";
export { chooseEngine, neededTokensOf } from "./dispatch_choice.ts";
export type {
  ChoiceContext,
  EngineChoice,
  RequestNeeds,
} from "./dispatch_choice.ts";
export {
  CheapestEngine,
  EngineSpread,
  SpreadByNode,
} from "./dispatch_spread.ts";
export type { CostedEngine } from "./dispatch_spread.ts";
export { chooseInstance } from "./dispatch_services.ts";
export {
  estimateQueueWaitMs,
  queueUntilMs,
  retryAfterMs,
  streamPatienceMs,
} from "./dispatch_waiting.ts";
export type { QueueView } from "./dispatch_waiting.ts";
