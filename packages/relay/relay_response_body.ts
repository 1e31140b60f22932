/** Relays the body of an upstream's response to the caller. */
import * as core from "../core/mod.ts";
import type * as transport from "../transport/mod.ts";
import { type Attempt, MEMORY_EXHAUSTED, outcomeOf } from "./relay_attempt.ts";
import { EventBoundaryTracker, EventStreamBuffer } from "./relay_events.ts";
import { responseMemory, ResponseRank } from "./relay_memory.ts";
import type { CallerResponse } from "./relay_response.ts";
import type { UpstreamAssignment } from "./relay_types.ts";
import type { WaitWatch } from "./relay_wait_watch.ts";

/**
 * How one attempt ended. A request that was not run may be sent again whatever
 * its kind.
 */
export type AttemptResult =
  | { readonly kind: "done"; readonly status: number }
  | { readonly kind: "notRun"; readonly detail: string }
  | { readonly kind: "mayHaveRun"; readonly detail: string };

/** A response whose head was accepted, and whose body is still to be read. */
export interface ReceivedResponse {
  readonly attempt: Attempt;
  readonly watch: WaitWatch;
  readonly status: number;
  readonly framing: transport.BodyFraming;
  /** Media type of the body, if the upstream names one. */
  readonly contentType: string | undefined;
  /** Headers to return to the caller. */
  readonly headers: Record<string, string | string[]>;
  /** Closes the connection, as its bytes are not the answer asked for. */
  readonly closeConnection: (reason: string) => void;
}

/** Gaps averaged into one sample, as chunks sometimes arrive in bursts. */
const GAP_SAMPLE_COUNT = 8;
/** Largest body that is relayed as a whole. */
const WHOLE_BODY_BYTES_MAX = 16 * 1024 * 1024;
/** Largest event of a stream. */
const EVENT_BYTES_MAX = 1024 * 1024;

/** Writes the bodies of one request's attempts to its caller. */
export class BodyRelay {
  readonly #response: CallerResponse;
  /** Whether only complete events are relayed, so that it can be resumed. */
  readonly #splitsEvents: boolean;
  readonly #signal: AbortSignal;
  readonly #eventBuffer: EventStreamBuffer;
  readonly #rank = new ResponseRank();
  /** Whether a part of a stream is being written to the caller. */
  #isWriting = false;
  /** Status with which the response was started. */
  #startedStatus: number | undefined;
  /** Version of the upstream that began the stream. */
  softwareVersion: core.SoftwareVersion | undefined;
  /** Whether the last stream ended inside an event, for the log. */
  endedInsideEvent: boolean | undefined;
  /** Longest time between the arrivals of two chunks, for the log. */
  gapMaxMs = 0;
  /** Longest time from a chunk's arrival until it was read, for the log. */
  lagMaxMs = 0;

  /**
   * @param signal aborted when the caller disconnects or its time is over.
   * @param lastEventId id of the last event that the caller has already.
   */
  constructor(
    response: CallerResponse,
    splitsEvents: boolean,
    signal: AbortSignal,
    lastEventId?: string,
  ) {
    this.#response = response;
    this.#splitsEvents = splitsEvents;
    this.#signal = signal;
    this.#eventBuffer = new EventStreamBuffer(lastEventId);
  }

  /** Id of the last event relayed, after which a stream is resumed. */
  get lastEventId(): string | undefined {
    return this.#eventBuffer.lastEventId;
  }

  /** Relays a body once it is complete; a truncated one is never relayed. */
  async relayWhole(
    assignment: UpstreamAssignment,
    { attempt, watch, status, headers }: ReceivedResponse,
  ): Promise<AttemptResult> {
    const chunks = new core.ChunkBuffer();
    let isEvicted = false;
    const rank = new ResponseRank();
    const memory = responseMemory.open(() => {
      isEvicted = true;
      chunks.clear();
      // Once it is being passed on, nothing but an abort frees its memory.
      if (this.#response.hasStarted) this.#response.abort();
      else attempt.cancel(MEMORY_EXHAUSTED, "broken");
    }, (bytes) => rank.of(bytes));
    for (;;) {
      const event = await watch.during(attempt.next());
      if (event.kind === "broken") {
        memory.set(0);
        assignment.onFailure(event.failure.cause);
        assignment.onEnd(outcomeOf(event.failure, this.#signal));
        return { kind: "mayHaveRun", detail: event.failure.detail };
      }
      if (isEvicted) {
        return this.#failOversized(assignment, attempt, MEMORY_EXHAUSTED);
      }
      if (event.kind === "end") break;
      chunks.append(event.data);
      memory.set(chunks.length);
      if (chunks.length > WHOLE_BODY_BYTES_MAX) {
        memory.set(0);
        return this.#failOversized(assignment, attempt, "body is too large");
      }
    }
    const nowMs = core.monotonicMs();
    if (status < 300) assignment.onFirstEvent(nowMs);
    assignment.onEnd(status < 500 ? "served" : "failed");
    const body = chunks.take();
    this.#response.start(status, {
      ...headers,
      "content-length": String(body.length),
    }, nowMs);
    rank.beginWrite();
    this.#response.end(body);
    this.#response.flushed().finally(() => memory.set(0));
    return { kind: "done", status };
  }

  /**
   * Relays a stream as it arrives. Only complete events of a resumable stream
   * are relayed, so that another upstream can resume after the last of them.
   * A stream that ends inside an event was broken off, also where its connection
   * was closed in order and nothing else marks the end.
   */
  async relayEvents(
    assignment: UpstreamAssignment,
    received: ReceivedResponse,
  ): Promise<AttemptResult> {
    const { attempt } = received;
    const rank = this.#rank;
    const memory = responseMemory.open(() => {
      this.#eventBuffer.discardPending();
      // What waits for a slow caller is freed by an abort alone.
      if (this.#isWriting) this.#response.abort();
      else attempt.cancel(MEMORY_EXHAUSTED, "broken");
    }, (bytes) => rank.of(bytes));
    try {
      return await this.#relayEvents(assignment, received, memory);
    } finally {
      memory.set(0);
    }
  }

  async #relayEvents(
    assignment: UpstreamAssignment,
    received: ReceivedResponse,
    memory: core.MemoryShare,
  ): Promise<AttemptResult> {
    const { attempt, watch, status, framing, contentType, headers } = received;
    this.#eventBuffer.beginAnswer();
    const hasEvents = isEventStream(contentType);
    const isContinuation = this.#response.hasStarted;
    if (isContinuation && (!hasEvents || status !== this.#startedStatus)) {
      const detail = `stream does not go on with status ${status}` +
        (hasEvents ? "" : ` and type ${contentType}`);
      received.closeConnection(detail);
      assignment.onEnd("failed");
      return { kind: "mayHaveRun", detail };
    }
    const splitsEvents = hasEvents && this.#splitsEvents;
    let lastChunkAtMs: number | undefined;
    let chunkCount = 0;
    let gapCount = 0;
    let gapsStartedAtMs = 0;
    const boundary = new EventBoundaryTracker();
    for (;;) {
      const event = await watch.during(attempt.next());
      if (event.kind !== "data") this.endedInsideEvent = boundary.isInsideEvent;
      if (event.kind === "broken") {
        assignment.onFailure(event.failure.cause);
        assignment.onEnd(outcomeOf(event.failure, this.#signal));
        this.#eventBuffer.discardPending();
        return { kind: "mayHaveRun", detail: event.failure.detail };
      }
      if (event.kind === "end") break;
      boundary.accept(event.data);
      assignment.onBytesReceived(event.atMs);
      const lagMs = core.monotonicMs() - event.atMs;
      this.lagMaxMs = Math.max(this.lagMaxMs, lagMs);
      if (lastChunkAtMs === undefined) {
        assignment.onFirstEvent(event.atMs);
        gapsStartedAtMs = event.atMs;
        gapCount = event.chunks - 1;
      } else {
        this.gapMaxMs = Math.max(this.gapMaxMs, event.atMs - lastChunkAtMs);
        gapCount += event.chunks;
        if (gapCount >= GAP_SAMPLE_COUNT) {
          assignment.onEventGap((event.atMs - gapsStartedAtMs) / gapCount);
          gapCount = 0;
          gapsStartedAtMs = event.atMs;
        }
      }
      lastChunkAtMs = event.atMs;
      chunkCount += event.chunks;
      const data = splitsEvents
        ? this.#eventBuffer.append(event.data)
        : event.data;
      const { pendingBytes } = this.#eventBuffer;
      memory.set(pendingBytes);
      if (pendingBytes > EVENT_BYTES_MAX) {
        this.#eventBuffer.discardPending();
        return this.#failOversized(assignment, attempt, "event is too large");
      }
      if (this.#eventBuffer.isOutOfPlace) {
        const detail = "stream does not go on after its last event";
        received.closeConnection(detail);
        assignment.onEnd("failed");
        return { kind: "mayHaveRun", detail };
      }
      if (data.length === 0) continue;
      if (!this.#response.hasStarted) {
        this.#startStream(assignment);
        this.#startedStatus = status;
        this.#response.start(status, headers, event.atMs);
      }
      this.#isWriting = true;
      memory.set(pendingBytes + data.length);
      this.#rank.beginWrite();
      await this.#response.write(data);
      this.#rank.endWrite();
      this.#isWriting = false;
    }
    // Without framing, a head alone may be all that an engine could send.
    const isCutBeforeEvents = chunkCount === 0 && framing === "close";
    if (hasEvents && (this.endedInsideEvent || isCutBeforeEvents)) {
      assignment.onFailure("broken");
      assignment.onEnd("failed");
      this.#eventBuffer.discardPending();
      const detail = isCutBeforeEvents
        ? "stream ended before its first event"
        : "stream ended inside an event";
      return { kind: "mayHaveRun", detail };
    }
    if (isContinuation && !this.#eventBuffer.hasGoneOn) {
      assignment.onEnd("failed");
      return { kind: "mayHaveRun", detail: "stream goes on with no event" };
    }
    assignment.onEnd("served");
    assignment.onStreamLength(chunkCount);
    // The line feed of a CRLF can arrive after the event has been passed on.
    const rest = this.#eventBuffer.takePending();
    if (!this.#response.hasStarted) {
      this.#startStream(assignment);
      this.#response.start(status, headers, core.monotonicMs());
    }
    this.#response.end(rest);
    return { kind: "done", status };
  }

  #startStream(assignment: UpstreamAssignment): void {
    this.softwareVersion = assignment.upstream.softwareVersion;
    assignment.onStreamStart(core.monotonicMs());
  }

  /** Gives up a response that exceeds a limit; its connection is closed. */
  #failOversized(
    assignment: UpstreamAssignment,
    attempt: Attempt,
    detail: string,
  ): AttemptResult {
    attempt.cancel(detail);
    assignment.onEnd("failed");
    return { kind: "mayHaveRun", detail };
  }
}

/** Whether a body consists of server-sent events; assumed where unnamed. */
function isEventStream(contentType: string | undefined): boolean {
  return contentType === undefined ||
    /^\s*text\/event-stream\s*(;|$)/i.test(contentType);
}
