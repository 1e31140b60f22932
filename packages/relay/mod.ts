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
  BodyShedError,
  BodyTimeoutError,
  BodyTooLargeError,
  discardBody,
  readBody,
} from "./relay_body.ts";
export { receiveBody } from "./relay_body_intake.ts";
export type { BodyFailure, BodyLimits } from "./relay_body_intake.ts";
export {
  guardStart,
  RequestConnections,
  StartRefusedError,
  UpstreamConnections,
} from "./relay_connections.ts";
export type {
  CloseReason,
  RequestSender,
  SendOptions,
} from "./relay_connections.ts";
export { EventBoundaryTracker, EventStreamBuffer } from "./relay_events.ts";
export { UpstreamPools } from "./relay_pools.ts";
export type { ConnectionShare } from "./relay_pools.ts";
export { RelayTask } from "./relay_task.ts";
export type { RelayOutcome } from "./relay_task.ts";
export { ShedError, UpstreamSelector } from "./relay_types.ts";
export type {
  AttemptHistory,
  Rejection,
  RelayDependencies,
  RelayedRequest,
  UpstreamAssignment,
} from "./relay_types.ts";
export { CallerResponse } from "./relay_response.ts";
