/** Claims: calls that may not be repeated run at most once. */
export { ClaimBook, ClaimEntry } from "./claims_book.ts";
export { ClaimRunner } from "./claims_runner.ts";
export type { ClaimRunnerOptions, Dispatch } from "./claims_runner.ts";
export { claimKey, ClaimStore } from "./claims_store.ts";
export type {
  ClaimObjects,
  ClaimTransactor,
  ClaimWriteEnd,
} from "./claims_store.ts";
export { ClaimPeers } from "./claims_types.ts";
export type {
  ClaimFate,
  ClaimOutcome,
  ClaimQuestion,
  ClaimRequest,
  ClaimRow,
  DispatchEnd,
  VersionedClaim,
} from "./claims_types.ts";
