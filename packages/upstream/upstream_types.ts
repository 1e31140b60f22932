/** Shapes spoken with engines and plain services. */
import type * as core from "../core/mod.ts";

/** Role of an engine in serving. */
export type EngineRole = "mixed" | "prefill" | "decode";

/** One artifact that an engine holds. */
export interface ResidentArtifact {
  readonly artifactId: core.ArtifactId;
  readonly weightBytes: number;
}

/** What became of one order, by the transmission that carried it. */
export interface ResolvedTransmission {
  readonly transmissionId: core.TransmissionId;
  readonly state: "applied" | "refused" | "failed";
}

/** An engine's own report; load lags behind the truth. */
export interface EngineReport {
  readonly upstreamId: core.UpstreamId;
  readonly incarnation: core.Incarnation;
  /** Grows with every report of one incarnation. */
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
}

/** An order to an engine. */
export interface EngineOrder {
  readonly transmissionId: core.TransmissionId;
  /** Version of the ledger row that records this transmission. */
  readonly fencing: number;
  readonly kind: "load" | "unload" | "role";
  readonly artifactId?: core.ArtifactId;
  readonly weightBytes?: number;
  readonly role?: EngineRole;
}

/** One attempt at a completion. */
export interface CompletionAttempt {
  readonly attemptId: core.AttemptId;
  readonly artifactId: core.ArtifactId;
  /** JSON text of the caller's request. */
  readonly bodyText: string;
  readonly priority: number;
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** What the caller has of the answer, where another engine broke off. */
  readonly resume?: StreamPosition;
  /** Called when the engine tells its load with the answer. */
  readonly onLoad?: (load: ResponseLoad) => void;
}

/** An engine's load at the moment of an answer. */
export interface ResponseLoad {
  readonly running: number;
  readonly waiting: number;
}

/** How far a stream has come. */
export interface StreamPosition {
  readonly events: number;
  readonly text: string;
}

/** One attempt at a service call. */
export interface ServiceAttempt {
  readonly attemptId: core.AttemptId;
  readonly callerId: core.CallerId;
  readonly path: string;
  readonly contentType: string;
  readonly bodyText: string;
  readonly key?: core.IdempotencyKey;
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** A whole answer of a service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly bodyText: string;
}

/** Why an attempt gave no whole answer. */
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

/** One event of a checked stream. */
export interface StreamEvent {
  /** The event's JSON text, to be passed on as it is. */
  readonly dataText: string;
  /** The text that it adds to the answer. */
  readonly contentText: string;
}

/** A stream whose events all belong to one attempt. */
export interface CompletionStream {
  /** Id that every event carries. */
  readonly completionId: string;
  /**
   * Yields events as they arrive together; the final result tells why the
   * stream was not whole, if so.
   */
  readonly events: AsyncGenerator<
    readonly StreamEvent[],
    AttemptFailure | undefined
  >;
}

/** Counters of answers that were dropped. */
export interface DroppedResponses {
  foreign: number;
  duplicate: number;
}
