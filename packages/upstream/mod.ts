/** Clients of the upstreams: model engines and plain HTTP services. */
export {
  ATTEMPT_ID_HEADER,
  completionIdOf,
  DEADLINE_HEADER,
  Engine,
  HttpEngine,
  OrderSession,
  PRIORITY_HEADER,
  RESUMED_AFTER_HEADER,
} from "./upstream_engine.ts";
export type { HttpEngineOptions } from "./upstream_engine.ts";
export {
  CALLER_ID_HEADER,
  HttpPlainService,
  NOT_RUN_HEADER,
  PlainService,
} from "./upstream_service.ts";
export { readEvents, StreamValidator } from "./upstream_stream.ts";
export type {
  AttemptFailure,
  AttemptFault,
  CompletionAttempt,
  CompletionStream,
  DroppedResponses,
  EngineOrder,
  EngineReport,
  EngineRole,
  ResidentArtifact,
  ResolvedTransmission,
  ResponseLoad,
  ServiceAttempt,
  ServiceResponse,
  StreamEvent,
  StreamPosition,
} from "./upstream_types.ts";
