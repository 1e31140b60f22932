/** Client of plain HTTP services: one call yields one response. */
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import * as core from "../core/mod.ts";
import * as transport from "../transport/mod.ts";
import { ATTEMPT_ID_HEADER, DEADLINE_HEADER } from "./upstream_engine.ts";
import type {
  AttemptFailure,
  ServiceAttempt,
  ServiceResponse,
} from "./upstream_types.ts";

/** Header that states that the service did not run the call. */
export const NOT_RUN_HEADER = "x-not-run";
/** Header with the caller's id. */
export const CALLER_ID_HEADER = "x-caller-id";

export abstract class PlainService {
  /** Sends a call once and never retries it. */
  abstract call(
    attempt: ServiceAttempt,
  ): Promise<Result<ServiceResponse, AttemptFailure>>;
}

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
    const response = await transport.send(this.#dispatcher, {
      origin: this.#origin,
      path: attempt.path,
      method: "POST",
      headers: buildHeaders(attempt),
      bodyText: attempt.bodyText,
      timeoutMs: attempt.deadlineMs,
      signal: attempt.signal,
      closeConnection: true,
    });
    if (response.isErr()) return err(toAttemptFailure(response.error, attempt));
    return validateResponse(response.value, attempt);
  }
}

function buildHeaders(attempt: ServiceAttempt): Record<string, string> {
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

function validateResponse(
  response: transport.TransportResponse,
  attempt: ServiceAttempt,
): Result<ServiceResponse, AttemptFailure> {
  const echoedId = response.headers[ATTEMPT_ID_HEADER];
  if (echoedId !== undefined && echoedId !== attempt.attemptId) {
    const detail = `answer for attempt ${echoedId}`;
    return err({ fault: "foreign", ran: "unknown", detail });
  }
  if (response.headers[NOT_RUN_HEADER] !== undefined) {
    const detail = `status ${response.status}`;
    return err({ fault: "refused", ran: "no", detail });
  }
  if (core.promisesNotRun(response.status)) {
    // Passed on, it would promise what the service did not state.
    const detail = `status ${response.status}, which may follow a run`;
    return err({ fault: "broke", ran: "unknown", detail });
  }
  return ok({
    status: response.status,
    contentType: response.headers["content-type"] ?? "application/octet-stream",
    bodyText: response.bodyText,
  });
}
