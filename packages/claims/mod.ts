/** Claims, which make calls that may not be repeated run at most once. */
export { ClaimEntry, ClaimRegistry } from "./claims_registry.ts";
export { ClaimRunner } from "./claims_runner.ts";
export type { ClaimRunnerOptions, Dispatch } from "./claims_runner.ts";
export { claimKey, ClaimStore } from "./claims_store.ts";
export type {
  ClaimObjects,
  ClaimTransactor,
  ClaimWriteResult,
} from "./claims_store.ts";
export { ClaimPeers } from "./claims_types.ts";
export type {
  ClaimFate,
  ClaimOutcome,
  ClaimQuery,
  ClaimRequest,
  ClaimRow,
  DispatchResult,
  VersionedClaim,
} from "./claims_types.ts";
