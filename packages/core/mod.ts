/** Shared basics: result codes, failures, ids, time, logging, supervision. */
export {
  ANSWER_FOREIGN,
  ANSWER_LATE,
  BODY_INVALID,
  BODY_TOO_LARGE,
  BODY_TOO_SLOW,
  CLAIM_FATE_UNKNOWN,
  CLAIM_IN_FLIGHT,
  CLAIM_STORE_DOWN,
  DEADLINE_INVALID,
  DEADLINE_PASSED,
  DEADLINE_UNREACHABLE,
  EDIT_CONFLICT,
  EDIT_INVALID,
  EDIT_OUTCOME_UNKNOWN,
  INSTANCE_FULL,
  INSTANCE_ISOLATED,
  INSTANCE_LEAVING,
  INSTANCE_STOPPED,
  INTERNAL,
  KEY_INVALID,
  KEY_MISSING,
  KEY_REUSED,
  LIMIT_REACHED,
  MODEL_LOADING,
  MODEL_UNKNOWN,
  NO_UPSTREAM,
  OUTCOME_UNREADABLE,
  PEER_UNREACHABLE,
  PLATFORM_ANSWER_INVALID,
  RESULT_CODES,
  RETRY_BUDGET_SPENT,
  REVISION_MISMATCH,
  ROLE_FORBIDDEN,
  ROUTE_UNKNOWN,
  SERVICE_UNKNOWN,
  SETTINGS_INVALID,
  STORE_REPLY_LOST,
  STORE_UNAVAILABLE,
  STREAM_BROKEN,
  TABLE_NOT_READY,
  TOKEN_INVALID,
  UPSTREAM_BROKE,
  UPSTREAM_REFUSED,
  UPSTREAM_UNREACHABLE,
} from "./codes.ts";
export type { Ran, ResultCode } from "./codes.ts";
export {
  fail,
  messageOf,
  promisesNotRun,
  refuse,
  statusOf,
  toProblem,
} from "./failure.ts";
export type { Failure, Problem } from "./failure.ts";
export { brandId, randomId } from "./ids.ts";
export type {
  ArtifactId,
  AttemptId,
  CallerId,
  EditId,
  IdempotencyKey,
  Incarnation,
  InstanceId,
  KeyDigest,
  ModelName,
  Nonce,
  OperatorId,
  PromptPartKey,
  RequestId,
  RowName,
  ServiceName,
  SoftwareVersion,
  StreamKey,
  TeamName,
  TransmissionId,
  UpstreamId,
  UpstreamRunKey,
} from "./ids.ts";
export { Lifecycle, mergeCleanups } from "./lifecycle.ts";
export type { Cleanup } from "./lifecycle.ts";
export {
  Deadline,
  jitterMs,
  monotonicMs,
  nextPoll,
  sleep,
  WakeSignal,
} from "./clock.ts";
export { Logger, renderEvent, writeToStandardOutput } from "./log.ts";
export type { LogFields, LogOutput, LogValue } from "./log.ts";
export { SuspensionWatch } from "./suspension.ts";
export type { Clocks } from "./suspension.ts";
export { ChunkBuffer } from "./chunk_buffer.ts";
export { MemoryBudget, MemoryShare } from "./memory_budget.ts";
export { Supervisor, Task } from "./supervisor.ts";
export { hash32, rendezvous } from "./rendezvous.ts";
export { invariant, INVARIANT_MESSAGES, InvariantError } from "./invariants.ts";
export { decodeJson, decodeValue, parseJson, toJsonValue } from "./json.ts";
export type { JsonValue } from "./json.ts";
export { isUint32, toUint32 } from "./uint32.ts";
