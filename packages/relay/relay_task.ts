/** The life of one relayed request, from its receipt to its last byte. */
import { Buffer } from "node:buffer";
import type { Result } from "neverthrow";
import type { Dispatcher } from "undici";
import * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type { CallerAnswer } from "./relay_answer.ts";
import {
  type Attempt,
  type AttemptHead,
  startAttempt,
} from "./relay_attempt.ts";
import { EventCutter } from "./relay_events.ts";

/** A request as it was received, with the route it takes. */
export interface RelayedRequest {
  readonly caller: fleet.CallerRequest;
  readonly route: fleet.RouteSpec;
  readonly service: core.ServiceName;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly receivedAtMs: number;
  /** When its caller or the route's timeout ends it. */
  readonly endsAtMs: number;
}

/** An upstream chosen for a request, and what to tell of the outcome. */
export interface Placement {
  readonly upstream: fleet.UpstreamRecord;
  readonly dispatcher: Dispatcher;
  /** What decided the choice, for the log. */
  readonly basis: core.LogFields;
  /** The upstream's first event, or whole answer, has arrived. */
  answered(nowMs: number): void;
  /** Bytes have arrived from the upstream. */
  heard(nowMs: number): void;
  /** The upstream did not run it; it may have said that it lacks the model. */
  refused(lacksModel: boolean, nowMs: number): void;
  /** A whole stream had so many events. */
  noteLength(events: number): void;
  /** Some events of a stream were this far apart on average. */
  noteGap(gapMs: number): void;
  /** The request has ended there. */
  end(outcome: dispatch.UpstreamOutcome | "shed" | "cancelled"): void;
}

/** Why a request is not sent, and when coming back makes sense. */
export interface Refusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** Finds upstreams for requests. */
export abstract class Placer {
  /** Chooses an upstream, waiting for one where that is worth while. */
  abstract place(
    request: RelayedRequest,
    tried: ReadonlySet<core.UpstreamId>,
    signal: AbortSignal,
  ): Promise<Result<Placement, Refusal>>;

  /** Takes one further sending from the retry budget. */
  abstract tryRetry(service: core.ServiceName): boolean;
}

/** What a relay uses. */
export interface RelayTools {
  readonly dialect: fleet.HttpDialect;
  readonly placer: Placer;
  readonly logger: core.Logger;
}

/** How a request ended for its caller. */
export type RelayOutcome = "done" | "refused" | "failed" | "callerLeft";

/** How one attempt ended. */
type AttemptEnd =
  | { readonly kind: "done"; readonly status: number }
  | { readonly kind: "notRun"; readonly detail: string }
  | { readonly kind: "mayHaveRun"; readonly detail: string };

const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;
const STATUS_MISDIRECTED = 421;
/** Sendings that no upstream ran, after which a request is refused. */
const NOT_RUN_SENDINGS_MAX = 6;
/** Silence of a stream after which it goes on elsewhere; callers leave at 2 s. */
const STREAM_SILENCE_MS = 1_200;
/** Gaps that are averaged: pieces arrive in bunches at times. */
const GAPS_AVERAGED = 8;
/** Suggested to callers when upstreams turned a request away. */
const SHED_RETRY_AFTER_MS = 500;

/** Relays one request. */
export class RelayTask {
  readonly #request: RelayedRequest;
  readonly #answer: CallerAnswer;
  readonly #tools: RelayTools;
  readonly #signal: AbortSignal;
  readonly #tried = new Set<core.UpstreamId>();
  readonly #cutter = new EventCutter();
  #attempt: Attempt | undefined;
  #runs = 0;
  #sendings = 0;
  #upstream: core.UpstreamId | undefined;
  #basis: core.LogFields = {};
  #outcome: RelayOutcome = "failed";
  #waitedMs = 0;
  /** Whether a further run has been paid for from the retry budget. */
  #hasRetry = false;
  /** Longest pauses between pieces: as they came, and until they were read. */
  #gapMaxMs = 0;
  #lagMaxMs = 0;

  /** @param signal aborted when the caller leaves or time is over. */
  constructor(
    request: RelayedRequest,
    answer: CallerAnswer,
    tools: RelayTools,
    signal: AbortSignal,
  ) {
    this.#request = request;
    this.#answer = answer;
    this.#tools = tools;
    this.#signal = signal;
  }

  /** Runs the request to its end; the answer is always ended or broken. */
  async run(): Promise<RelayOutcome> {
    const stop = () => this.#attempt?.cancel("request ended early");
    this.#signal.addEventListener("abort", stop, { once: true });
    try {
      await this.#attempts();
      return this.#outcome;
    } finally {
      this.#signal.removeEventListener("abort", stop);
    }
  }

  async #attempts(): Promise<void> {
    for (;;) {
      const askedAtMs = core.monotonicMs();
      const placed = await this.#tools.placer
        .place(this.#request, this.#tried, this.#signal);
      this.#waitedMs += core.monotonicMs() - askedAtMs;
      if (this.#signal.aborted) return this.#endAborted();
      if (placed.isErr()) return this.#refuse(placed.error);
      const end = await this.#send(placed.value);
      if (end.kind === "done") return this.#logEnd("done", end.status);
      if (this.#signal.aborted) return this.#endAborted();
      if (end.kind === "notRun") {
        const again = this.#sendings < NOT_RUN_SENDINGS_MAX &&
          this.#tools.placer.tryRetry(this.#request.service);
        if (!again) {
          return this.#refuse({
            reason: end.detail,
            retryAfterMs: SHED_RETRY_AFTER_MS,
          });
        }
        continue;
      }
      this.#tried.add(placed.value.upstream.id);
      if (!this.#mayRunAgain()) {
        return this.#fail(STATUS_BAD_GATEWAY, end.detail);
      }
    }
  }

  /** Whether the request may run once more, the retry budget left aside. */
  #isRepeatable(runs: number): boolean {
    const { route } = this.#request;
    const isRepeatable = route.kind === "safe" ||
      (route.kind === "stream" && route.isResumable);
    return isRepeatable && runs < route.attemptsMax;
  }

  /** Whether a further run has been, or can be, paid for. */
  #mayRunAgain(): boolean {
    const mayRun = this.#hasRetry || this.#takesRetry();
    this.#hasRetry = false;
    return mayRun;
  }

  /** Pays for a further run from the retry budget, if there may be one. */
  #takesRetry(): boolean {
    this.#hasRetry = this.#isRepeatable(this.#runs) &&
      this.#tools.placer.tryRetry(this.#request.service);
    return this.#hasRetry;
  }

  /**
   * Waits for an upstream. One that stays silent is given up if the request
   * may run elsewhere and the retry budget allows it; else the wait goes on.
   *
   * @param runs runs of the request, this attempt included.
   */
  async #patiently<T>(
    attempt: Attempt,
    awaited: Promise<T>,
    runs: number,
  ): Promise<T> {
    const { route, service } = this.#request;
    if (!this.#isRepeatable(runs) || this.#hasRetry) return await awaited;
    const isStream = route.kind === "stream";
    const patienceMs = isStream
      ? Math.max(route.latencyTargetMs, STREAM_SILENCE_MS)
      : route.latencyTargetMs;
    const timer = setTimeout(() => {
      if (!this.#tools.placer.tryRetry(service)) return;
      this.#hasRetry = true;
      attempt.cancel("silent for too long");
    }, patienceMs);
    try {
      return await awaited;
    } finally {
      clearTimeout(timer);
    }
  }

  async #send(placement: Placement): Promise<AttemptEnd> {
    const { dialect } = this.#tools;
    const { caller, route, endsAtMs, method, path, body } = this.#request;
    const { upstream } = placement;
    const { lastEventId } = this.#cutter;
    this.#upstream = upstream.id;
    this.#basis = placement.basis;
    this.#sendings++;
    const attempt = startAttempt(placement.dispatcher, {
      path,
      method,
      headers: dialect.writeRequest({
        caller,
        upstream,
        deadlineMs: endsAtMs - core.monotonicMs(),
        priority: route.priority,
        ...(lastEventId === undefined ? {} : { lastEventId }),
      }),
      body: body.length > 0 ? body : null,
    });
    this.#attempt = attempt;
    const head = await this.#patiently(attempt, attempt.head, this.#runs + 1);
    if (head.isErr()) {
      const { sent, detail } = head.error;
      if (this.#signal.aborted) placement.end("cancelled");
      else placement.end(sent === "no" ? "unreachable" : "failed");
      if (sent === "no") return { kind: "notRun", detail };
      this.#runs++;
      return { kind: "mayHaveRun", detail };
    }
    placement.heard(core.monotonicMs());
    return await this.#takeAnswer(placement, attempt, head.value);
  }

  async #takeAnswer(
    placement: Placement,
    attempt: Attempt,
    head: AttemptHead,
  ): Promise<AttemptEnd> {
    const facts = this.#tools.dialect.readResponse(head.status, head.headers);
    if (facts.requestId !== this.#request.caller.requestId && !facts.isNotRun) {
      attempt.cancel("answer belongs to another request");
      placement.end("failed");
      this.#runs++;
      return { kind: "mayHaveRun", detail: "foreign answer" };
    }
    if (facts.isNotRun) {
      // The rest of such an answer is read, so that the connection stays.
      const lacksModel = head.status === STATUS_MISDIRECTED;
      placement.refused(lacksModel, core.monotonicMs());
      placement.end("shed");
      return { kind: "notRun", detail: `upstream refused: ${head.status}` };
    }
    this.#runs++;
    if (!facts.isSigned || facts.isEncoded) {
      attempt.cancel("answer is not the upstream's own");
      placement.end("failed");
      return { kind: "mayHaveRun", detail: "unsealed answer" };
    }
    const isSuccess = head.status < 300;
    // An error cannot be passed on after the first events of a stream.
    if (!isSuccess && (this.#answer.hasBegun || this.#takesRetry())) {
      // The rest of such an answer is read, so that the connection stays.
      placement.end("failed");
      return { kind: "mayHaveRun", detail: `upstream failed: ${head.status}` };
    }
    const headers = facts.returnedHeaders;
    return isSuccess && this.#request.route.kind === "stream"
      ? await this.#passEvents(placement, attempt, head.status, headers)
      : await this.#passWhole(placement, attempt, head.status, headers);
  }

  /** Passes on a body once it is whole. */
  async #passWhole(
    placement: Placement,
    attempt: Attempt,
    status: number,
    headers: Record<string, string | string[]>,
  ): Promise<AttemptEnd> {
    const pieces: Buffer[] = [];
    for (;;) {
      const piece = await this.#patiently(attempt, attempt.next(), this.#runs);
      if (piece.kind === "broken") {
        placement.end(this.#signal.aborted ? "cancelled" : "failed");
        return { kind: "mayHaveRun", detail: piece.failure.detail };
      }
      if (piece.kind === "end") break;
      pieces.push(piece.data);
    }
    const nowMs = core.monotonicMs();
    if (status < 300) placement.answered(nowMs);
    placement.end(status < 500 ? "served" : "failed");
    const body = Buffer.concat(pieces);
    this.#answer.begin(status, {
      ...headers,
      "content-length": String(body.length),
    }, nowMs);
    this.#answer.end(body);
    return { kind: "done", status };
  }

  /** Passes on events as they arrive. */
  async #passEvents(
    placement: Placement,
    attempt: Attempt,
    status: number,
    headers: Record<string, string | string[]>,
  ): Promise<AttemptEnd> {
    const isCut = this.#request.route.isResumable;
    let lastAtMs: number | undefined;
    let pieces = 0;
    let gaps = 0;
    let gapsFromMs = 0;
    for (;;) {
      const piece = await this.#patiently(attempt, attempt.next(), this.#runs);
      if (piece.kind === "broken") {
        placement.end(this.#signal.aborted ? "cancelled" : "failed");
        this.#cutter.dropRest();
        return { kind: "mayHaveRun", detail: piece.failure.detail };
      }
      if (piece.kind === "end") break;
      placement.heard(piece.atMs);
      const lagMs = core.monotonicMs() - piece.atMs;
      this.#lagMaxMs = Math.max(this.#lagMaxMs, lagMs);
      if (lastAtMs === undefined) {
        placement.answered(piece.atMs);
        gapsFromMs = piece.atMs;
      } else {
        this.#gapMaxMs = Math.max(this.#gapMaxMs, piece.atMs - lastAtMs);
        if (++gaps === GAPS_AVERAGED) {
          placement.noteGap((piece.atMs - gapsFromMs) / gaps);
          gaps = 0;
          gapsFromMs = piece.atMs;
        }
      }
      lastAtMs = piece.atMs;
      pieces++;
      const data = isCut ? this.#cutter.push(piece.data) : piece.data;
      if (data.length === 0) continue;
      if (!this.#answer.hasBegun) {
        this.#answer.begin(status, headers, piece.atMs);
      }
      await this.#answer.write(data);
    }
    if (isCut && this.#cutter.restBytes > 0) {
      placement.end("failed");
      this.#cutter.dropRest();
      return { kind: "mayHaveRun", detail: "stream ended inside an event" };
    }
    placement.end("served");
    placement.noteLength(pieces);
    if (!this.#answer.hasBegun) {
      this.#answer.begin(status, headers, core.monotonicMs());
    }
    this.#answer.end();
    return { kind: "done", status };
  }

  #refuse({ reason, retryAfterMs }: Refusal): void {
    if (this.#runs > 0) return this.#fail(STATUS_BAD_GATEWAY, reason);
    const headers = this.#tools.dialect.writeRejection(retryAfterMs);
    this.#answer.begin(STATUS_UNAVAILABLE, {
      ...headers,
      "content-length": "0",
    }, core.monotonicMs());
    this.#answer.end();
    this.#logEnd("refused", STATUS_UNAVAILABLE, reason);
  }

  #fail(status: number, reason: string): void {
    if (this.#answer.hasBegun) this.#answer.breakOff();
    else {
      this.#answer.begin(status, { "content-length": "0" }, core.monotonicMs());
      this.#answer.end();
    }
    this.#logEnd("failed", status, reason);
  }

  /** The caller has left, or the time is over. */
  #endAborted(): void {
    const reason = core.messageOf(this.#signal.reason);
    if (!this.#answer.isOpen) return this.#logEnd("callerLeft", 0, reason);
    if (this.#runs > 0) return this.#fail(STATUS_GATEWAY_TIMEOUT, reason);
    return this.#refuse({ reason, retryAfterMs: SHED_RETRY_AFTER_MS });
  }

  #logEnd(outcome: RelayOutcome, status: number, reason?: string): void {
    const { caller, route, receivedAtMs } = this.#request;
    this.#outcome = outcome;
    const nowMs = core.monotonicMs();
    const firstAtMs = this.#answer.firstByteAtMs;
    this.#tools.logger.info("request_end", {
      request: caller.requestId,
      route: route.name,
      outcome,
      status,
      reason,
      model: caller.model,
      adapter: caller.adapter,
      upstream: this.#upstream,
      sendings: this.#sendings,
      runs: this.#runs,
      firstMs: firstAtMs === undefined
        ? undefined
        : Math.round(firstAtMs - receivedAtMs),
      gapMaxMs: Math.round(this.#gapMaxMs),
      lagMaxMs: Math.round(this.#lagMaxMs),
      waitedMs: Math.round(this.#waitedMs),
      totalMs: Math.round(nowMs - receivedAtMs),
      ...this.#basis,
    });
  }
}
