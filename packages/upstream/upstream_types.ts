/** Types of the messages exchanged with engines and plain services. */
import type * as core from "../core/mod.ts";

/** Phases of inference that an engine runs. */
export type EngineRole = "mixed" | "prefill" | "decode";

/** An artifact resident on an engine. */
export interface ResidentArtifact {
  readonly artifactId: core.ArtifactId;
  readonly weightBytes: number;
}

/** Outcome of one order, identified by the transmission that carried it. */
export interface ResolvedTransmission {
  readonly transmissionId: core.TransmissionId;
  readonly state: "applied" | "refused" | "failed";
}

/** An engine's status report. Its load lags behind the actual load. */
export interface EngineReport {
  readonly upstreamId: core.UpstreamId;
  readonly incarnation: core.Incarnation;
  /** Increases with every report of one incarnation. */
  readonly sequence: number;
  readonly role: EngineRole;
  readonly capacityBytes: number;
  readonly kvReserveBytes: number;
  readonly roleOverheadBytes: number;
  readonly residents: readonly ResidentArtifact[];
  readonly resolved: readonly ResolvedTransmission[];
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  readonly leaving: boolean;
  /** Version of the engine's software, if it tells one. */
  readonly softwareVersion?: core.SoftwareVersion;
}

export interface EngineOrder {
  readonly transmissionId: core.TransmissionId;
  /**
   * Fencing token: version of the ledger row that records this transmission.
   */
  readonly fencing: number;
  readonly kind: "load" | "unload" | "role";
  readonly artifactId?: core.ArtifactId;
  readonly weightBytes?: number;
  readonly role?: EngineRole;
}

export interface CompletionAttempt {
  readonly attemptId: core.AttemptId;
  readonly artifactId: core.ArtifactId;
  /** JSON body of the caller's request. */
  readonly bodyText: string;
  readonly priority: number;
  /** Time remaining until the deadline, in milliseconds. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** What the caller has received, if the stream broke on another engine. */
  readonly resume?: StreamPosition;
  /** Called if the response headers contain the engine's load. */
  readonly onLoad?: (load: ResponseLoad) => void;
}

/** An engine's load at the time of a response. */
export interface ResponseLoad {
  readonly running: number;
  readonly waiting: number;
}

/** How much of a stream the caller has received. */
export interface StreamPosition {
  readonly events: number;
  readonly text: string;
}

export interface ServiceAttempt {
  readonly attemptId: core.AttemptId;
  readonly callerId: core.CallerId;
  readonly path: string;
  readonly contentType: string;
  readonly bodyText: string;
  readonly key?: core.IdempotencyKey;
  /** Time remaining until the deadline, in milliseconds. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** A complete response of a service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly bodyText: string;
}

/**
 * Why an attempt yielded no complete response: the upstream could not be
 * reached, did not run the request, found it invalid, broke the response off,
 * answered another attempt, or did not answer before the attempt was aborted.
 */
export type AttemptFault =
  | "unreachable"
  | "refused"
  | "rejected"
  | "broke"
  | "foreign"
  | "late";

/** A failed attempt, and whether the upstream may have run it. */
export interface AttemptFailure {
  readonly fault: AttemptFault;
  readonly ran: core.Ran;
  readonly detail: string;
}

/** One event of a validated stream. */
export interface StreamEvent {
  /** The event's JSON text, to be relayed unchanged. */
  readonly dataText: string;
  /** The text that it appends to the completion. */
  readonly contentText: string;
}

/** A stream whose events all belong to one attempt. */
export interface CompletionStream {
  /** Completion id of every event. */
  readonly completionId: string;
  /**
   * Yields events in batches as they arrive; its result is the failure if the
   * stream is incomplete.
   */
  readonly events: AsyncGenerator<
    readonly StreamEvent[],
    AttemptFailure | undefined
  >;
}

/** Counters of dropped responses and stream events. */
export interface DroppedResponses {
  foreign: number;
  duplicate: number;
}
