/** Orders to engines: who may send them, and what engines hold by them. */
export { EngineAccount, isUsable } from "./orders_account.ts";
export type { AccountedModel, ModelPhase } from "./orders_account.ts";
export { OrderLease } from "./orders_lease.ts";
export type { LeaseRow, OrderLeaseOptions } from "./orders_lease.ts";
export { OrderSender } from "./orders_sender.ts";
export type {
  OrdersBefore,
  OrderSenderOptions,
  WantedOrder,
} from "./orders_sender.ts";
export { LoadRate } from "./orders_load_rate.ts";
