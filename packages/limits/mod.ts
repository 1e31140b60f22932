/** Concurrency limits of table rows, divided among instances. */
export { LimitShares } from "./limits_shares.ts";
export type { LimitSharesOptions } from "./limits_shares.ts";
