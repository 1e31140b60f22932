/** Routing policies, the known state of the fleet, and the retry budget. */
export { RetryBudget } from "./routing_budget.ts";
export type { RetryBudgetOptions } from "./routing_budget.ts";
export { EngineView, Fleet, toEngineLoad } from "./routing_fleet.ts";
export type { EngineLoad } from "./routing_fleet.ts";
export {
  estimateCompletion,
  EstimatedRouting,
  LeastReportedRouting,
  RoundRobinRouting,
  RoutingPolicy,
} from "./routing_policy.ts";
export type {
  EngineEstimate,
  EstimatedRoutingOptions,
  RoutedRequest,
} from "./routing_policy.ts";
