/**
 * Relays requests, opaque bodies and event streams between callers and
 * upstreams.
 */
export { Attempt, startAttempt } from "./relay_attempt.ts";
export type {
  AttemptFailure,
  AttemptHead,
  BodyEvent,
} from "./relay_attempt.ts";
export {
  BodyTimeoutError,
  BodyTooLargeError,
  discardBody,
  readBody,
} from "./relay_body.ts";
export { EventStreamBuffer } from "./relay_events.ts";
export { UpstreamPools } from "./relay_pools.ts";
export { RelayTask, UpstreamSelector } from "./relay_task.ts";
export type {
  Rejection,
  RelayDependencies,
  RelayedRequest,
  RelayOutcome,
  UpstreamAssignment,
} from "./relay_task.ts";
export { CallerResponse } from "./relay_response.ts";
