/** Client of model engines: completions, status reports and orders. */
import { err, ok, type Result } from "neverthrow";
import {
  array,
  boolean,
  Codec,
  enumeration,
  number,
  optional,
  string,
} from "purify-ts";
import { type buildConnector, Client, type Dispatcher } from "undici";
import * as core from "../core/mod.ts";
import * as transport from "../transport/mod.ts";
import { readDropped } from "./upstream_dropped.ts";
import { readEvents } from "./upstream_stream.ts";
import type {
  AttemptFailure,
  CompletionAttempt,
  CompletionStream,
  DroppedResponses,
  EngineOrder,
  EngineReport,
} from "./upstream_types.ts";

/** Header with the attempt id, which the upstream echoes in its response. */
export const ATTEMPT_ID_HEADER = "x-request-id";
/** Header with the request's priority; larger values are more urgent. */
export const PRIORITY_HEADER = "x-priority";
/** Header with the time remaining until the deadline, in milliseconds. */
export const DEADLINE_HEADER = "x-deadline-ms";
/**
 * Headers with the engine's running and waiting requests, sent in responses.
 */
export const RUNNING_HEADER = "x-engine-running";
export const WAITING_HEADER = "x-engine-waiting";

/** Header with the number of events after which an engine resumes a stream. */
export const RESUMED_AFTER_HEADER = "x-resumed-after";

/** Statuses that state that the engine did not run the request. */
const ENGINE_REFUSED_STATUSES = new Set([404, 429, 503]);
/** Statuses that state that the request itself is invalid. */
const ENGINE_REJECTED_STATUSES = new Set([400, 413, 422]);

/**
 * One connection to one incarnation of an engine. It never reconnects, so that
 * an order cannot reach another incarnation than the one that sent `report`.
 */
export abstract class OrderSession {
  /** The report read over the connection that carries the orders. */
  abstract readonly report: EngineReport;
  /** Sends an order at most once; fails if the connection has been closed. */
  abstract send(
    order: EngineOrder,
  ): Promise<Result<void, transport.TransportFailure>>;
  abstract close(): Promise<void>;
}

export abstract class Engine {
  abstract report(): Promise<Result<EngineReport, transport.TransportFailure>>;
  abstract complete(
    attempt: CompletionAttempt,
  ): Promise<Result<string, AttemptFailure>>;
  abstract stream(
    attempt: CompletionAttempt,
  ): Promise<Result<CompletionStream, AttemptFailure>>;
  abstract openOrderSession(): Promise<
    Result<OrderSession, transport.TransportFailure>
  >;
}

enum RoleTag {
  Mixed = "mixed",
  Prefill = "prefill",
  Decode = "decode",
}

enum ResolvedTag {
  Applied = "applied",
  Refused = "refused",
  Failed = "failed",
}

const ReportCodec = Codec.interface({
  upstreamId: string,
  incarnation: string,
  sequence: number,
  role: enumeration(RoleTag),
  capacityBytes: number,
  kvReserveBytes: number,
  roleOverheadBytes: number,
  residents: array(
    Codec.interface({ artifactId: string, weightBytes: number }),
  ),
  resolved: array(
    Codec.interface({
      transmissionId: string,
      state: enumeration(ResolvedTag),
    }),
  ),
  running: number,
  waiting: number,
  slots: number,
  firstTokenMs: number,
  tokenMs: number,
  leaving: boolean,
  softwareVersion: optional(string),
});

const CompletionIdCodec = Codec.interface({ id: string });

export interface HttpEngineOptions {
  readonly dispatcher: Dispatcher;
  /** Dispatcher for reports, separate from that for callers' requests. */
  readonly controlDispatcher: Dispatcher;
  readonly origin: string;
  readonly controlTimeoutMs: number;
  readonly dropped: DroppedResponses;
}

/**
 * Returns the id that an engine's completion must have for an attempt.
 *
 * @example
 * ```ts
 * upstream.completionIdOf(attemptId); // "chatcmpl-at-…"
 * ```
 */
export function completionIdOf(attemptId: core.AttemptId): string {
  return `chatcmpl-${attemptId}`;
}

function decodeReport(
  response: transport.TransportResponse,
): Result<EngineReport, transport.TransportFailure> {
  if (response.status !== 200) {
    return err({ sent: "maybe", detail: `status ${response.status}` });
  }
  return core.decodeJson(response.bodyText, ReportCodec)
    .map((report) => report as unknown as EngineReport)
    .mapErr((detail) => ({ sent: "maybe" as const, detail }));
}

/** HTTP client of the OpenAI-compatible API, `/status` and `/orders`. */
export class HttpEngine extends Engine {
  readonly #options: HttpEngineOptions;

  constructor(options: HttpEngineOptions) {
    super();
    this.#options = options;
  }

  override async report(): Promise<
    Result<EngineReport, transport.TransportFailure>
  > {
    const { controlDispatcher, origin, controlTimeoutMs } = this.#options;
    const response = await transport.send(controlDispatcher, {
      origin,
      path: "/status",
      method: "GET",
      timeoutMs: controlTimeoutMs,
    });
    return response.andThen(decodeReport);
  }

  override async complete(
    attempt: CompletionAttempt,
  ): Promise<Result<string, AttemptFailure>> {
    const response = await this.#dispatch(attempt);
    if (response.isErr()) return err(response.error);
    try {
      const bodyText = await response.value.body.text();
      return this.#validateCompletion(attempt, bodyText);
    } catch (thrown) {
      return err(toSendFailure(attempt, core.messageOf(thrown)));
    }
  }

  override async stream(
    attempt: CompletionAttempt,
  ): Promise<Result<CompletionStream, AttemptFailure>> {
    const response = await this.#dispatch(attempt);
    if (response.isErr()) return err(response.error);
    const { body, headers } = response.value;
    const resumedAfter = attempt.resume?.events ?? 0;
    if (
      resumedAfter > 0 && headers[RESUMED_AFTER_HEADER] !== String(resumedAfter)
    ) {
      await readDropped(body).catch(() => undefined);
      const detail = "the engine does not resume streams";
      return err({ fault: "broke", ran: "unknown", detail });
    }
    const completionId = completionIdOf(attempt.attemptId);
    const { dropped } = this.#options;
    return ok({
      completionId,
      events: readEvents(body, completionId, dropped, resumedAfter),
    });
  }

  override async openOrderSession(): Promise<
    Result<OrderSession, transport.TransportFailure>
  > {
    const { origin, controlTimeoutMs } = this.#options;
    const client = new Client(origin, {
      connect: connectOnce(controlTimeoutMs),
      pipelining: 1,
      keepAliveTimeout: controlTimeoutMs * 4,
    });
    const response = await transport.send(client, {
      origin,
      path: "/status",
      method: "GET",
      timeoutMs: controlTimeoutMs,
    });
    const report = response.andThen(decodeReport);
    if (report.isOk()) {
      return ok(
        new HttpOrderSession(client, origin, controlTimeoutMs, report.value),
      );
    }
    await client.destroy();
    return err(report.error);
  }

  async #dispatch(
    attempt: CompletionAttempt,
  ): Promise<Result<Dispatcher.ResponseData, AttemptFailure>> {
    try {
      const dispatcher = transport.trackProgress(this.#options.dispatcher);
      const response = await dispatcher.request({
        origin: this.#options.origin,
        path: "/v1/chat/completions",
        method: "POST",
        headers: {
          "content-type": "application/json",
          [ATTEMPT_ID_HEADER]: attempt.attemptId,
          [PRIORITY_HEADER]: String(attempt.priority),
          [DEADLINE_HEADER]: String(Math.floor(attempt.deadlineMs)),
        },
        body: buildBody(attempt),
        signal: attempt.signal,
      });
      return await this.#validateHead(attempt, response);
    } catch (thrown) {
      if (!transport.wasNotSent(thrown)) {
        return err(toSendFailure(attempt, core.messageOf(thrown)));
      }
      const detail = core.messageOf(thrown);
      return err({ fault: "unreachable", ran: "no", detail });
    }
  }

  async #validateHead(
    attempt: CompletionAttempt,
    response: Dispatcher.ResponseData,
  ): Promise<Result<Dispatcher.ResponseData, AttemptFailure>> {
    const echoedId = response.headers[ATTEMPT_ID_HEADER];
    if (echoedId === attempt.attemptId) this.#reportLoad(attempt, response);
    if (echoedId !== attempt.attemptId) {
      this.#options.dropped.foreign++;
      await readDropped(response.body).catch(() => undefined);
      const detail = `answer for attempt ${String(echoedId)}`;
      return err({ fault: "foreign", ran: "unknown", detail });
    }
    if (response.statusCode === 200) return ok(response);
    const bodyText = await readDropped(response.body).catch(core.messageOf);
    return err(toStatusFailure(response.statusCode, bodyText));
  }

  /** Passes on the load in the response headers, which saves status reports. */
  #reportLoad(
    attempt: CompletionAttempt,
    { headers }: Dispatcher.ResponseData,
  ): void {
    const running = Number(headers[RUNNING_HEADER]);
    const waiting = Number(headers[WAITING_HEADER]);
    if (Number.isInteger(running) && Number.isInteger(waiting)) {
      attempt.onLoad?.({ running, waiting });
    }
  }

  #validateCompletion(
    attempt: CompletionAttempt,
    body: string,
  ): Result<string, AttemptFailure> {
    const decoded = core.decodeJson(body, CompletionIdCodec);
    if (decoded.isErr()) {
      return err({ fault: "broke", ran: "yes", detail: decoded.error });
    }
    if (decoded.value.id === completionIdOf(attempt.attemptId)) return ok(body);
    this.#options.dropped.foreign++;
    const detail = `answer with id ${decoded.value.id}`;
    return err({ fault: "foreign", ran: "unknown", detail });
  }
}

/** Adds to a resumed attempt what the caller has already received. */
function buildBody({ bodyText, resume }: CompletionAttempt): string {
  if (resume === undefined) return bodyText;
  return JSON.stringify({ ...JSON.parse(bodyText), resume });
}

function toSendFailure(
  attempt: CompletionAttempt,
  detail: string,
): AttemptFailure {
  const fault = attempt.signal.aborted ? "late" : "broke";
  return { fault, ran: "unknown", detail };
}

function toStatusFailure(status: number, bodyText: string): AttemptFailure {
  const detail = `status ${status}: ${bodyText.slice(0, 200)}`;
  if (ENGINE_REFUSED_STATUSES.has(status)) {
    return { fault: "refused", ran: "no", detail };
  }
  if (ENGINE_REJECTED_STATUSES.has(status)) {
    return { fault: "rejected", ran: "no", detail };
  }
  return { fault: "broke", ran: "unknown", detail };
}

/** Returns a connector that opens one connection and fails to open another. */
function connectOnce(timeoutMs: number): buildConnector.connector {
  const connect = transport.connector(timeoutMs);
  let isUsed = false;
  return (options, callback) => {
    if (isUsed) {
      callback(new Error("Order sessions never reconnect"), null);
      return;
    }
    isUsed = true;
    connect(options, callback);
  };
}

class HttpOrderSession extends OrderSession {
  readonly report: EngineReport;
  readonly #client: Client;
  readonly #origin: string;
  readonly #timeoutMs: number;

  constructor(
    client: Client,
    origin: string,
    timeoutMs: number,
    report: EngineReport,
  ) {
    super();
    this.#client = client;
    this.#origin = origin;
    this.#timeoutMs = timeoutMs;
    this.report = report;
  }

  override async send(
    order: EngineOrder,
  ): Promise<Result<void, transport.TransportFailure>> {
    const response = await transport.send(this.#client, {
      origin: this.#origin,
      path: "/orders",
      method: "POST",
      headers: { "content-type": "application/json" },
      bodyText: JSON.stringify(order),
      timeoutMs: this.#timeoutMs,
    });
    return response.map(() => undefined);
  }

  override async close(): Promise<void> {
    await this.#client.destroy();
  }
}
