/** Sends load and unload orders to engines and tracks what engines hold. */
export { EngineInventory, isUsable } from "./orders_inventory.ts";
export type { ModelPhase, TrackedModel } from "./orders_inventory.ts";
export { LateOrders } from "./orders_late.ts";
export type { EngineRoom, LateOrder } from "./orders_late.ts";
export { OrderLease } from "./orders_lease.ts";
export type {
  LeaseRenewal,
  LeaseRow,
  OrderLeaseOptions,
} from "./orders_lease.ts";
export { OrderSender } from "./orders_sender.ts";
export type {
  OrderRequest,
  OrderSenderOptions,
  PreviousOrders,
} from "./orders_sender.ts";
export { LoadRateLimiter } from "./orders_load_rate.ts";
