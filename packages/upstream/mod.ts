/** Upstreams: model engines and plain services. */
export {
  answerIdOf,
  ATTEMPT_HEADER,
  Engine,
  HttpEngine,
  OrderSession,
  PRIORITY_HEADER,
  RESUMED_HEADER,
  TIME_LEFT_HEADER,
} from "./upstream_engine.ts";
export type { HttpEngineOptions } from "./upstream_engine.ts";
export {
  CALLER_HEADER,
  HttpPlainService,
  NOT_RUN_HEADER,
  PlainService,
} from "./upstream_service.ts";
export { readEvents, StreamChecker } from "./upstream_stream.ts";
export type {
  AnsweredLoad,
  AttemptFailure,
  AttemptFault,
  CompletionAttempt,
  CompletionStream,
  DroppedAnswers,
  EngineOrder,
  EngineReport,
  EngineRole,
  ResidentArtifact,
  ResolvedTransmission,
  ServiceAnswer,
  ServiceAttempt,
  StreamEvent,
  StreamPosition,
} from "./upstream_types.ts";
