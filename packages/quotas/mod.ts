/** Limits of teams over all nodes, by tokens that move between them. */
export { AdmittedQuota, QuotaGate } from "./quotas_gate.ts";
export { QuotaNode } from "./quotas_node.ts";
export type { QuotaMembership } from "./quotas_node.ts";
export { costOf, STRICT_BOUNDS, toLimit } from "./quotas_limit.ts";
export type { QuotaLimit } from "./quotas_limit.ts";
export { EXCHANGE_INTERVAL_MIN_MS, WAIT_MAX_MS } from "./quotas_account.ts";
export type { SentLot } from "./quotas_lots.ts";
export type {
  QuotaAnswer,
  QuotaDecision,
  QuotaGrant,
  QuotaHold,
  QuotaOffer,
  QuotaReason,
  QuotaRejection,
  QuotaReport,
  QuotaTicket,
  QuotaWaitEnd,
} from "./quotas_types.ts";
