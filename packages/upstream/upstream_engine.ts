/** Model engines: completions, reports and orders. */
import { err, ok, type Result } from "neverthrow";
import { array, boolean, Codec, enumeration, number, string } from "purify-ts";
import { buildConnector, Client, type Dispatcher } from "undici";
import * as core from "../core/mod.ts";
import * as transport from "../transport/mod.ts";
import { readEvents } from "./upstream_stream.ts";
import type {
  AttemptFailure,
  CompletionAttempt,
  CompletionStream,
  DroppedResponses,
  EngineOrder,
  EngineReport,
} from "./upstream_types.ts";

/** Header that carries the attempt id, and is echoed by the upstream. */
export const ATTEMPT_ID_HEADER = "x-request-id";
/** Header with the request's priority; larger is more urgent. */
export const PRIORITY_HEADER = "x-priority";
/** Header with the time left, in milliseconds. */
export const DEADLINE_HEADER = "x-deadline-ms";
/** Headers with which an engine tells its load on every answer. */
export const RUNNING_HEADER = "x-engine-running";
export const WAITING_HEADER = "x-engine-waiting";

/** Header with which an engine says after how many events it goes on. */
export const RESUMED_AFTER_HEADER = "x-resumed-after";

/** Statuses with which an engine says that it ran nothing. */
const ENGINE_REFUSED_STATUSES = new Set([404, 429, 503]);
/** Statuses with which an engine rejects the request itself. */
const ENGINE_REJECTED_STATUSES = new Set([400, 413, 422]);

/** One connection to one incarnation of an engine; it is never reopened. */
export abstract class OrderSession {
  /** The report read over this very connection. */
  abstract readonly report: EngineReport;
  /** Sends an order once, if the connection still stands. */
  abstract send(
    order: EngineOrder,
  ): Promise<Result<void, transport.TransportFailure>>;
  abstract close(): Promise<void>;
}

/** A model engine. */
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
});

const AnswerIdCodec = Codec.interface({ id: string });

/** How to reach an engine. */
export interface HttpEngineOptions {
  readonly dispatcher: Dispatcher;
  /** Carries reports, apart from callers' requests. */
  readonly controlDispatcher: Dispatcher;
  readonly origin: string;
  readonly controlTimeoutMs: number;
  readonly dropped: DroppedResponses;
}

/**
 * The id that an engine's answer to an attempt must carry.
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
  answer: transport.TransportResponse,
): Result<EngineReport, transport.TransportFailure> {
  if (answer.status !== 200) {
    return err({ sent: "maybe", detail: `status ${answer.status}` });
  }
  return core.decodeJson(answer.bodyText, ReportCodec)
    .map((report) => report as unknown as EngineReport)
    .mapErr((detail) => ({ sent: "maybe" as const, detail }));
}

/** Speaks the engines' OpenAI-compatible protocol, `/status` and `/orders`. */
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
    const answer = await transport.send(controlDispatcher, {
      origin,
      path: "/status",
      method: "GET",
      timeoutMs: controlTimeoutMs,
    });
    return answer.andThen(decodeReport);
  }

  override async complete(
    attempt: CompletionAttempt,
  ): Promise<Result<string, AttemptFailure>> {
    const response = await this.#dispatch(attempt);
    if (response.isErr()) return err(response.error);
    try {
      const bodyText = await response.value.body.text();
      return this.#checkWhole(attempt, bodyText);
    } catch (thrown) {
      return err(afterSending(attempt, core.messageOf(thrown)));
    }
  }

  override async stream(
    attempt: CompletionAttempt,
  ): Promise<Result<CompletionStream, AttemptFailure>> {
    const response = await this.#dispatch(attempt);
    if (response.isErr()) return err(response.error);
    const { body, headers } = response.value;
    const from = attempt.resume?.events ?? 0;
    if (from > 0 && headers[RESUMED_AFTER_HEADER] !== String(from)) {
      await body.dump().catch(() => undefined);
      const detail = "the engine does not resume streams";
      return err({ fault: "broke", ran: "unknown", detail });
    }
    const completionId = completionIdOf(attempt.attemptId);
    const { dropped } = this.#options;
    return ok({
      completionId,
      events: readEvents(body, completionId, dropped, from),
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
    const answer = await transport.send(client, {
      origin,
      path: "/status",
      method: "GET",
      timeoutMs: controlTimeoutMs,
    });
    const report = answer.andThen(decodeReport);
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
      const response = await this.#options.dispatcher.request({
        origin: this.#options.origin,
        path: "/v1/chat/completions",
        method: "POST",
        headers: {
          "content-type": "application/json",
          [ATTEMPT_ID_HEADER]: attempt.attemptId,
          [PRIORITY_HEADER]: String(attempt.priority),
          [DEADLINE_HEADER]: String(Math.floor(attempt.deadlineMs)),
        },
        body: bodyOf(attempt),
        signal: attempt.signal,
      });
      return await this.#checkHead(attempt, response);
    } catch (thrown) {
      if (!transport.wasNotSent(thrown)) {
        return err(afterSending(attempt, core.messageOf(thrown)));
      }
      const detail = core.messageOf(thrown);
      return err({ fault: "unreachable", ran: "no", detail });
    }
  }

  async #checkHead(
    attempt: CompletionAttempt,
    response: Dispatcher.ResponseData,
  ): Promise<Result<Dispatcher.ResponseData, AttemptFailure>> {
    const echoed = response.headers[ATTEMPT_ID_HEADER];
    if (echoed === attempt.attemptId) this.#tellLoad(attempt, response);
    if (echoed !== attempt.attemptId) {
      this.#options.dropped.foreign++;
      await response.body.dump().catch(() => undefined);
      const detail = `answer for attempt ${String(echoed)}`;
      return err({ fault: "foreign", ran: "unknown", detail });
    }
    if (response.statusCode === 200) return ok(response);
    const bodyText = await response.body.text();
    return err(statusFailure(response.statusCode, bodyText));
  }

  /** Engines that tell their load with answers spare reports of it. */
  #tellLoad(
    attempt: CompletionAttempt,
    { headers }: Dispatcher.ResponseData,
  ): void {
    const running = Number(headers[RUNNING_HEADER]);
    const waiting = Number(headers[WAITING_HEADER]);
    if (Number.isInteger(running) && Number.isInteger(waiting)) {
      attempt.onLoad?.({ running, waiting });
    }
  }

  #checkWhole(
    attempt: CompletionAttempt,
    body: string,
  ): Result<string, AttemptFailure> {
    const decoded = core.decodeJson(body, AnswerIdCodec);
    if (decoded.isErr()) {
      return err({ fault: "broke", ran: "yes", detail: decoded.error });
    }
    if (decoded.value.id === completionIdOf(attempt.attemptId)) return ok(body);
    this.#options.dropped.foreign++;
    const detail = `answer with id ${decoded.value.id}`;
    return err({ fault: "foreign", ran: "unknown", detail });
  }
}

/** A resumed attempt brings along what the caller already has. */
function bodyOf({ bodyText, resume }: CompletionAttempt): string {
  if (resume === undefined) return bodyText;
  return JSON.stringify({ ...JSON.parse(bodyText), resume });
}

function afterSending(
  attempt: CompletionAttempt,
  detail: string,
): AttemptFailure {
  const fault = attempt.signal.aborted ? "late" : "broke";
  return { fault, ran: "unknown", detail };
}

function statusFailure(status: number, bodyText: string): AttemptFailure {
  const detail = `status ${status}: ${bodyText.slice(0, 200)}`;
  if (ENGINE_REFUSED_STATUSES.has(status)) {
    return { fault: "refused", ran: "no", detail };
  }
  if (ENGINE_REJECTED_STATUSES.has(status)) {
    return { fault: "rejected", ran: "no", detail };
  }
  return { fault: "broke", ran: "unknown", detail };
}

/** A connector that opens one connection and refuses to open another. */
function connectOnce(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  let used = false;
  return (options, callback) => {
    if (used) {
      callback(new Error("Order sessions never reconnect"), null);
      return;
    }
    used = true;
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
    const answer = await transport.send(this.#client, {
      origin: this.#origin,
      path: "/orders",
      method: "POST",
      headers: { "content-type": "application/json" },
      bodyText: JSON.stringify(order),
      timeoutMs: this.#timeoutMs,
    });
    return answer.map(() => undefined);
  }

  override async close(): Promise<void> {
    await this.#client.destroy();
  }
}
