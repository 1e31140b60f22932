/** Limits of rows, shared out over instances. */
export { LimitShares } from "./limits_shares.ts";
export type { LimitSharesOptions } from "./limits_shares.ts";
