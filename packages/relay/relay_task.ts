/**
 * Relays one request: selects an upstream, sends the request, retries it where
 * that is safe, and writes the response to the caller.
 */
import * as core from "../core/mod.ts";
import * as fleet from "../fleet/mod.ts";
import type * as transport from "../transport/mod.ts";
import { RequestConnections } from "./relay_connections.ts";
import { loggedParts } from "./relay_logged_parts.ts";
import type { CallerResponse } from "./relay_response.ts";
import {
  type Attempt,
  type AttemptHead,
  outcomeOf,
  startAttempt,
} from "./relay_attempt.ts";
import { type AttemptResult, BodyRelay } from "./relay_response_body.ts";
import { RelayRetries, type ResponseProgress } from "./relay_retries.ts";
import type { WaitWatch } from "./relay_wait_watch.ts";
import {
  type Rejection,
  type RelayDependencies,
  type RelayedRequest,
  ShedError,
  type UpstreamAssignment,
} from "./relay_types.ts";

/** How a request ended, as seen by its caller. */
export type RelayOutcome = "done" | "refused" | "failed" | "callerLeft";

const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;
const STATUS_MISDIRECTED = 421;
/** Characters of an upstream's id in the list of refusals. */
const LOGGED_UPSTREAM_LENGTH = 32;
/** Retry-After for requests that ended without having run on an upstream. */
const REJECTED_RETRY_AFTER_MS = 500;

export class RelayTask {
  readonly #request: RelayedRequest;
  readonly #response: CallerResponse;
  readonly #dependencies: RelayDependencies;
  readonly #signal: AbortSignal;
  readonly #retries: RelayRetries;
  readonly #bodyRelay: BodyRelay;
  readonly #connections: RequestConnections;
  #attempt: Attempt | undefined;
  #upstream: fleet.UpstreamRecord | undefined;
  #selectionFields: core.LogFields = {};
  #framing: transport.BodyFraming | undefined;
  #outcome: RelayOutcome = "failed";
  #waitedMs = 0;
  /** Refusals that were believed; at most one for each sending. */
  readonly #refusals: string[] = [];

  /**
   * @param signal aborted when the caller disconnects or the deadline passes.
   */
  constructor(
    request: RelayedRequest,
    response: CallerResponse,
    dependencies: RelayDependencies,
    signal: AbortSignal,
  ) {
    this.#request = request;
    this.#response = response;
    this.#dependencies = dependencies;
    this.#signal = signal;
    this.#connections = new RequestConnections(request.caller.requestId);
    this.#retries = new RelayRetries(request, dependencies, signal);
    const { isResumable } = request.route;
    const { takenUpStream } = request.caller;
    this.#bodyRelay = new BodyRelay(
      response,
      isResumable,
      signal,
      isResumable ? takenUpStream?.lastEventId : undefined,
    );
  }

  /** Whether an upstream may have run the request. */
  get mayHaveRun(): boolean {
    return this.#retries.runCount > 0;
  }

  /** Whether the request was sent to an upstream, also if it did not run. */
  get wasSent(): boolean {
    return this.#retries.sendCount > 0;
  }

  /** Runs the request to its end. The response is always ended or aborted. */
  async run(): Promise<RelayOutcome> {
    const cancelAttempt = () =>
      this.#attempt?.cancel("caller disconnected or deadline passed");
    this.#signal.addEventListener("abort", cancelAttempt, { once: true });
    try {
      await this.#runAttempts();
      return this.#outcome;
    } finally {
      this.#signal.removeEventListener("abort", cancelAttempt);
      this.#retries.releaseReserved();
    }
  }

  #progress(): ResponseProgress {
    const softwareVersion = this.#request.softwareVersion ??
      this.#bodyRelay.softwareVersion;
    return {
      hasStarted: this.#response.hasStarted,
      ...(softwareVersion === undefined ? {} : { softwareVersion }),
    };
  }

  async #runAttempts(): Promise<void> {
    for (;;) {
      const selectionStartedAtMs = core.monotonicMs();
      const assignment = await this.#retries.select(this.#progress());
      this.#waitedMs += core.monotonicMs() - selectionStartedAtMs;
      // A process that was held up may not have noticed that the caller left.
      if (assignment.isOk()) await core.nextPoll();
      if (this.#signal.aborted) {
        if (assignment.isOk()) assignment.value.onEnd("cancelled");
        return this.#finishAborted();
      }
      if (assignment.isErr()) return this.#reject(assignment.error);
      if (assignment.value.isWithdrawn()) {
        assignment.value.onEnd("cancelled");
        continue;
      }
      const result = await this.#send(assignment.value);
      if (result.kind === "done") return this.#logEnd("done", result.status);
      if (this.#signal.aborted) return this.#finishAborted();
      const { id } = assignment.value.upstream;
      if (await this.#retries.maySendAgain(result, id)) continue;
      return this.#reject({
        reason: result.detail,
        retryAfterMs: REJECTED_RETRY_AFTER_MS,
      });
    }
  }

  async #send(assignment: UpstreamAssignment): Promise<AttemptResult> {
    const { dialect } = this.#dependencies;
    const { caller, team, deadlineAtMs, method, path, body } = this.#request;
    const { upstream } = assignment;
    const { lastEventId } = this.#bodyRelay;
    this.#upstream = upstream;
    this.#selectionFields = assignment.logFields;
    this.#retries.sendCount++;
    const attempt = startAttempt(assignment.dispatcher, {
      path,
      method,
      headers: dialect.writeRequest({
        caller,
        upstream,
        deadlineMs: deadlineAtMs - core.monotonicMs(),
        priority: fleet.priorityOf(this.#request),
        ...(lastEventId === undefined ? {} : { lastEventId }),
        ...(team === undefined ? {} : { team: team.name }),
      }),
      body: body.length > 0 ? body : null,
      startBeforeMs: deadlineAtMs,
      connections: this.#connections,
    });
    this.#attempt = attempt;
    const watch = this.#retries
      .watchAttempt(attempt, upstream.id, () => this.#progress());
    try {
      return await this.#receive(assignment, attempt, watch);
    } finally {
      watch.stop();
    }
  }

  /** Waits for the response and relays it. */
  async #receive(
    assignment: UpstreamAssignment,
    attempt: Attempt,
    watch: WaitWatch,
  ): Promise<AttemptResult> {
    const head = await watch.during(attempt.head);
    if (head.isErr()) {
      const { sent, detail, cause } = head.error;
      assignment.onFailure(cause);
      assignment.onEnd(outcomeOf(head.error, this.#signal));
      if (sent === "no") return { kind: "notRun", detail };
      this.#retries.runCount++;
      return { kind: "mayHaveRun", detail };
    }
    this.#framing = head.value.framing;
    assignment.onBytesReceived(core.monotonicMs());
    return await this.#handleResponse(assignment, attempt, watch, head.value);
  }

  /** Decides by its head whether a response is relayed, and relays it. */
  async #handleResponse(
    assignment: UpstreamAssignment,
    attempt: Attempt,
    watch: WaitWatch,
    head: AttemptHead,
  ): Promise<AttemptResult> {
    const upstreamResponse = this.#dependencies.dialect.readResponse(
      head.status,
      head.headers,
    );
    const { requestId, isNotRun, isLeaving, quietMs, rateLimit } =
      upstreamResponse;
    if (isLeaving) assignment.onLeaving(false, core.monotonicMs());
    if (quietMs !== undefined) assignment.onQuiet(quietMs, core.monotonicMs());
    // On a connection that was used before, it may be a copy of an earlier one.
    const isAnonymousRefusal = isNotRun && requestId === undefined &&
      this.#connections.isLastNew;
    if (requestId !== this.#request.caller.requestId && !isAnonymousRefusal) {
      const detail = requestId === undefined
        ? "response without a request id"
        : "response has a different request id";
      this.#closeConnection(assignment, attempt, detail);
      assignment.onEnd("failed");
      this.#retries.runCount++;
      return { kind: "mayHaveRun", detail };
    }
    // A late copy may name a limit that was lowered or lifted since.
    const perS = rateLimit?.perS;
    if (perS !== undefined) assignment.onRateLimit(perS, core.monotonicMs());
    if (upstreamResponse.isNotRun) {
      if (isAnonymousRefusal) {
        // A copy of it would count for whatever request is sent there next.
        const reason = "refusal without a request id";
        this.#closeConnection(assignment, attempt, reason);
      } else await this.#drop(assignment, attempt);
      this.#noteRefusal(assignment.upstream.id, head.status);
      const lacksModel = head.status === STATUS_MISDIRECTED;
      assignment.onNotRun(lacksModel, core.monotonicMs());
      assignment.onEnd("shed");
      return {
        kind: "notRun",
        detail: `upstream did not run the request: status ${head.status}`,
      };
    }
    this.#retries.runCount++;
    if (!upstreamResponse.isSigned || upstreamResponse.isEncoded) {
      attempt.cancel("response is unsigned or encoded in transit");
      assignment.onEnd("failed");
      return {
        kind: "mayHaveRun",
        detail: "response is unsigned or encoded in transit",
      };
    }
    if (!rateLimit) assignment.onRateLimit(undefined, core.monotonicMs());
    const isSuccess = head.status < 300;
    if (
      !isSuccess && (this.#mustWithhold(head) || this.#retries.tryTakeRetry())
    ) {
      await this.#drop(assignment, attempt);
      assignment.onEnd("failed");
      return {
        kind: "mayHaveRun",
        detail: `upstream failed: status ${head.status}`,
      };
    }
    if (isLeaving) assignment.onLeaving(true, core.monotonicMs());
    const headers = upstreamResponse.returnedHeaders;
    const contentType = head.headers["content-type"];
    const received = {
      attempt,
      watch,
      status: head.status,
      framing: head.framing,
      contentType: contentType === undefined ? undefined : String(contentType),
      headers,
      closeConnection: (reason: string) =>
        this.#closeConnection(assignment, attempt, reason),
    };
    return isSuccess && this.#request.route.kind === "stream"
      ? await this.#bodyRelay.relayEvents(assignment, received)
      : await this.#bodyRelay.relayWhole(assignment, received);
  }

  /**
   * Whether a failure cannot be passed on: it follows the first events of a
   * stream, or its status promises that the request has not run, which the
   * upstream did not state.
   */
  #mustWithhold({ status }: AttemptHead): boolean {
    return this.#response.hasStarted || core.promisesNotRun(status);
  }

  /** Lets a response end that is not passed on, or ends it. */
  async #drop(assignment: UpstreamAssignment, attempt: Attempt): Promise<void> {
    const failure = await attempt.drop();
    if (failure?.cause !== "cancelled" || this.#signal.aborted) return;
    assignment.onConnectionClosed(failure.detail);
  }

  /** Ends an attempt whose connection is not to be used again. */
  #closeConnection(
    assignment: UpstreamAssignment,
    attempt: Attempt,
    reason: string,
  ): void {
    attempt.cancel(reason);
    this.#connections.closeLast();
    assignment.onConnectionClosed(reason);
  }

  /** Rejects a request that has not run; fails it if it may have run. */
  #reject({ reason, retryAfterMs }: Rejection): void {
    if (this.#retries.runCount > 0) {
      return this.#fail(STATUS_BAD_GATEWAY, reason);
    }
    const headers = this.#dependencies.dialect.writeRejection(retryAfterMs);
    this.#response.start(STATUS_UNAVAILABLE, {
      ...headers,
      "content-length": "0",
    }, core.monotonicMs());
    this.#response.end();
    this.#logEnd("refused", STATUS_UNAVAILABLE, reason);
  }

  /** Reports an error, or aborts a response that has already started. */
  #fail(status: number, reason: string): void {
    if (this.#response.hasStarted) this.#response.abort();
    else {
      this.#response.start(
        status,
        { "content-length": "0" },
        core.monotonicMs(),
      );
      this.#response.end();
    }
    this.#logEnd("failed", status, reason);
  }

  /** Ends a request whose caller disconnected or whose deadline passed. */
  #finishAborted(): void {
    const cause = core.messageOf(this.#signal.reason);
    if (!this.#response.isWritable) return this.#logEnd("callerLeft", 0, cause);
    if (this.#retries.runCount > 0) {
      return this.#fail(STATUS_GATEWAY_TIMEOUT, cause);
    }
    const { reason } = this.#signal;
    return this.#reject({
      reason: cause,
      retryAfterMs: reason instanceof ShedError
        ? reason.retryAfterMs
        : REJECTED_RETRY_AFTER_MS,
    });
  }

  /**
   * Notes who refused the request, and whether anything was sent before on that
   * connection, of which the refusal could be a late copy.
   */
  #noteRefusal(upstream: core.UpstreamId, status: number): void {
    const id = upstream.slice(0, LOGGED_UPSTREAM_LENGTH);
    const connection = this.#connections.isLastNew ? "new" : "kept";
    this.#refusals.push(`${id}:${status}:${connection}`);
  }

  #logEnd(outcome: RelayOutcome, status: number, reason?: string): void {
    const { caller, route, team, receivedAtMs } = this.#request;
    this.#outcome = outcome;
    const nowMs = core.monotonicMs();
    const firstByteAtMs = this.#response.firstByteAtMs;
    this.#dependencies.logger.info("request_end", {
      request: caller.requestId,
      route: route.name,
      team: team?.name,
      outcome,
      status,
      reason,
      model: caller.model,
      adapter: caller.adapter,
      parts: loggedParts(caller),
      takesUp: caller.takenUpStream?.firstRequestId,
      upstream: this.#upstream?.id,
      softwareVersion: this.#upstream?.softwareVersion,
      sendings: this.#retries.sendCount,
      runs: this.#retries.runCount,
      refusals: this.#refusals.join(",") || undefined,
      abandoned: this.#retries.abandonedCount || undefined,
      framing: this.#framing,
      insideEvent: this.#bodyRelay.endedInsideEvent,
      firstMs: firstByteAtMs === undefined
        ? undefined
        : Math.round(firstByteAtMs - receivedAtMs),
      gapMaxMs: Math.round(this.#bodyRelay.gapMaxMs),
      lagMaxMs: Math.round(this.#bodyRelay.lagMaxMs),
      waitedMs: Math.round(this.#waitedMs),
      totalMs: Math.round(nowMs - receivedAtMs),
      ...this.#selectionFields,
    });
  }
}
