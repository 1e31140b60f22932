/** Relays of opaque bodies and event streams between callers and upstreams. */
export { Attempt, startAttempt } from "./relay_attempt.ts";
export type {
  AttemptFailure,
  AttemptHead,
  AttemptPiece,
} from "./relay_attempt.ts";
export { BodyTooLargeError, readBody } from "./relay_body.ts";
export { EventCutter } from "./relay_events.ts";
export { UpstreamPools } from "./relay_pools.ts";
export { Placer, RelayTask } from "./relay_task.ts";
export type {
  Placement,
  Refusal,
  RelayedRequest,
  RelayOutcome,
  RelayTools,
} from "./relay_task.ts";
export { CallerAnswer } from "./relay_answer.ts";
