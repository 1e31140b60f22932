/** Order in which waiting requests are served, fair between teams. */
export { ArrivalOrder, ServiceOrder } from "./fairness_order.ts";
export type {
  OrderedRequest,
  QueueAhead,
  QueuePlace,
} from "./fairness_order.ts";
export { LAG_MAX_MS, LEAD_MAX_MS, WorkCounters } from "./fairness_counters.ts";
export type { TeamKey } from "./fairness_counters.ts";
export { TeamOrder } from "./fairness_teams.ts";
export type { TeamOrderOptions } from "./fairness_teams.ts";
export { ShareWatch, toLogFields } from "./fairness_watch.ts";
export type { UnderservedTeam } from "./fairness_watch.ts";
export { TeamTotals } from "./fairness_totals.ts";
