/** One HTTP request, once: nothing here ever sends a request again. */
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import * as core from "../core/mod.ts";

/** Connect errors: the only proof that no byte of a request left. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Why a request has no answer, and whether it may have been received. */
export interface TransportFailure {
  readonly sent: "no" | "maybe";
  readonly detail: string;
}

/** An answer read to its end. */
export interface TransportResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyText: string;
}

/** What to send. */
export interface TransportRequest {
  readonly origin: string;
  readonly path: string;
  readonly method: "GET" | "POST" | "PUT" | "DELETE" | "PATCH";
  readonly headers?: Readonly<Record<string, string>>;
  readonly bodyText?: string;
  /** Time for the whole exchange. */
  readonly timeoutMs: number;
  /** Aborts the exchange early. */
  readonly signal?: AbortSignal;
  /** Use a connection of its own, so that no stale one is met. */
  readonly closeConnection?: boolean;
}

/**
 * Tells whether an error proves that a request was not sent.
 *
 * @example
 * ```ts
 * transport.wasNotSent(error); // true for ECONNREFUSED
 * ```
 */
export function wasNotSent(thrown: unknown): boolean {
  const code = (thrown as { code?: unknown } | null)?.code;
  return typeof code === "string" && NOT_SENT_CODES.has(code);
}

/**
 * Turns a thrown client error into a typed failure.
 *
 * @example
 * ```ts
 * catch (thrown) { return err(transport.toTransportFailure(thrown)); }
 * ```
 */
export function toTransportFailure(thrown: unknown): TransportFailure {
  return {
    sent: wasNotSent(thrown) ? "no" : "maybe",
    detail: core.messageOf(thrown),
  };
}

/**
 * Flattens response headers to single strings.
 *
 * @example
 * ```ts
 * const headers = transport.flattenHeaders(response.headers);
 * ```
 */
export function flattenHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    flat[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return flat;
}

/**
 * Joins a time-out and an optional signal.
 *
 * @example
 * ```ts
 * const signal = transport.timeoutSignal(2_000, request.signal);
 * ```
 */
export function timeoutSignal(
  timeoutMs: number,
  signal?: AbortSignal,
): AbortSignal {
  const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
  return signal ? AbortSignal.any([signal, timeout]) : timeout;
}

/**
 * Sends one request and reads the whole answer.
 *
 * @returns the answer with any status, or why there is none.
 * @example
 * ```ts
 * const answer = await transport.send(agent, {
 *   origin: "http://127.0.0.1:9000", path: "/status", method: "GET",
 *   timeoutMs: 1_000,
 * });
 * ```
 */
export async function send(
  dispatcher: Dispatcher,
  request: TransportRequest,
): Promise<Result<TransportResponse, TransportFailure>> {
  try {
    const response = await dispatcher.request({
      origin: request.origin,
      path: request.path,
      method: request.method,
      headers: { ...request.headers },
      body: request.bodyText ?? null,
      signal: timeoutSignal(request.timeoutMs, request.signal),
      reset: request.closeConnection ?? false,
    });
    const bodyText = await response.body.text();
    const headers = flattenHeaders(response.headers);
    return ok({ status: response.statusCode, headers, bodyText });
  } catch (thrown) {
    return err(toTransportFailure(thrown));
  }
}
