/** Plain services: one call, one answer. */
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import * as transport from "../transport/mod.ts";
import { ATTEMPT_ID_HEADER, DEADLINE_HEADER } from "./upstream_engine.ts";
import type {
  AttemptFailure,
  ServiceAttempt,
  ServiceResponse,
} from "./upstream_types.ts";

/** Header with which a service says that it did not run a call. */
export const NOT_RUN_HEADER = "x-not-run";
/** Header that names the caller to a service. */
export const CALLER_ID_HEADER = "x-caller-id";

/** A plain service instance. */
export abstract class PlainService {
  /** Sends a call once; never sends it again by itself. */
  abstract call(
    attempt: ServiceAttempt,
  ): Promise<Result<ServiceResponse, AttemptFailure>>;
}

/** Speaks HTTP to a plain service. */
export class HttpPlainService extends PlainService {
  readonly #dispatcher: Dispatcher;
  readonly #origin: string;

  constructor(dispatcher: Dispatcher, origin: string) {
    super();
    this.#dispatcher = dispatcher;
    this.#origin = origin;
  }

  override async call(
    attempt: ServiceAttempt,
  ): Promise<Result<ServiceResponse, AttemptFailure>> {
    const answer = await transport.send(this.#dispatcher, {
      origin: this.#origin,
      path: attempt.path,
      method: "POST",
      headers: headersOf(attempt),
      bodyText: attempt.bodyText,
      timeoutMs: attempt.deadlineMs,
      signal: attempt.signal,
      closeConnection: true,
    });
    if (answer.isErr()) return err(toAttemptFailure(answer.error, attempt));
    return checkAnswer(answer.value, attempt);
  }
}

function headersOf(attempt: ServiceAttempt): Record<string, string> {
  return {
    "content-type": attempt.contentType,
    [ATTEMPT_ID_HEADER]: attempt.attemptId,
    [CALLER_ID_HEADER]: attempt.callerId,
    [DEADLINE_HEADER]: String(Math.floor(attempt.deadlineMs)),
    ...(attempt.key === undefined ? {} : { "idempotency-key": attempt.key }),
  };
}

function toAttemptFailure(
  failure: transport.TransportFailure,
  attempt: ServiceAttempt,
): AttemptFailure {
  if (failure.sent === "no") {
    return { fault: "unreachable", ran: "no", detail: failure.detail };
  }
  const fault = attempt.signal.aborted ? "late" : "broke";
  return { fault, ran: "unknown", detail: failure.detail };
}

function checkAnswer(
  answer: transport.TransportResponse,
  attempt: ServiceAttempt,
): Result<ServiceResponse, AttemptFailure> {
  const echoed = answer.headers[ATTEMPT_ID_HEADER];
  if (echoed !== undefined && echoed !== attempt.attemptId) {
    const detail = `answer for attempt ${echoed}`;
    return err({ fault: "foreign", ran: "unknown", detail });
  }
  if (answer.headers[NOT_RUN_HEADER] !== undefined) {
    const detail = `status ${answer.status}`;
    return err({ fault: "refused", ran: "no", detail });
  }
  return ok({
    status: answer.status,
    contentType: answer.headers["content-type"] ?? "application/octet-stream",
    bodyText: answer.bodyText,
  });
}
