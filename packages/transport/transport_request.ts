/** Sends HTTP requests once, without retries. */
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import * as core from "../core/mod.ts";
import { limitStart } from "./transport_start_limit.ts";
import { guardUnframedBodies } from "./transport_unframed.ts";

/** Errors of opening a connection. An open one may end with them as well. */
const NOT_CONNECTED_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);
const CONNECTING_SYSCALLS = new Set(["connect", "bind"]);
/** Errors that are raised only before the first byte of a request. */
const NOT_STARTED_CODES = new Set([
  "UND_ERR_CONNECT_TIMEOUT",
  "STARTED_TOO_LATE",
]);

/** Largest response body, unless a request sets another limit. */
const BODY_BYTES_MAX = 8 * 1024 * 1024;

/** Why a request has no response, and whether it may have been received. */
export interface TransportFailure {
  readonly sent: "no" | "maybe";
  readonly detail: string;
}

/** A response with its complete body. */
export interface TransportResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyText: string;
}

export interface TransportRequest {
  readonly origin: string;
  readonly path: string;
  readonly method: "GET" | "POST" | "PUT" | "DELETE" | "PATCH";
  readonly headers?: Readonly<Record<string, string>>;
  readonly bodyText?: string;
  /**
   * Time limit for the whole exchange, from connecting to the end of the body.
   * A request is not sent after it, also by a process that was held up.
   */
  readonly timeoutMs: number;
  /**
   * Time limit for the body alone, for large ones over slow links. `timeoutMs`
   * then limits the time until the head, and between two pieces of the body.
   */
  readonly bodyTimeoutMs?: number;
  /** Largest response body; a larger one fails the exchange. */
  readonly bodyBytesMax?: number;
  /** Aborts the exchange before the time limit. */
  readonly signal?: AbortSignal;
  /**
   * Closes the connection after the exchange, so that no request is sent on a
   * stale idle connection.
   */
  readonly closeConnection?: boolean;
}

/**
 * Whether an error proves that no byte of a request was sent.
 *
 * @example
 * ```ts
 * transport.wasNotSent(error); // true for `connect ECONNREFUSED`
 * ```
 */
export function wasNotSent(thrown: unknown): boolean {
  // A host name may stand for several addresses, each of which was tried.
  if (thrown instanceof AggregateError) {
    return thrown.errors.length > 0 && thrown.errors.every(wasNotSent);
  }
  const { code, syscall } = (thrown ?? {}) as NodeJS.ErrnoException;
  if (code === undefined) return false;
  return NOT_STARTED_CODES.has(code) ||
    NOT_CONNECTED_CODES.has(code) && CONNECTING_SYSCALLS.has(syscall ?? "");
}

/**
 * Converts an error thrown by the HTTP client into a typed failure.
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
 * Flattens response headers to single strings; repeated ones are joined by
 * commas.
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

/** The reason with which `AbortSignal.timeout` aborts as well. */
function timeoutError(): DOMException {
  const message = "The operation was aborted due to timeout";
  return new DOMException(message, "TimeoutError");
}

/**
 * Returns a signal that aborts after a time-out or with the given signal.
 * `AbortSignal.any` does not do here: Node.js 20 collects an
 * `AbortSignal.timeout` that nothing else holds, which then never aborts.
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
  const limitMs = Math.max(1, Math.ceil(timeoutMs));
  if (signal === undefined) return AbortSignal.timeout(limitMs);
  const controller = new AbortController();
  const finish = (reason: unknown) => {
    clearTimeout(timer);
    signal.removeEventListener("abort", onAbort);
    controller.abort(reason);
  };
  const onAbort = () => finish(signal.reason);
  const timer = setTimeout(() => {
    finish(timeoutError());
  }, limitMs);
  timer.unref();
  if (signal.aborted) onAbort();
  else signal.addEventListener("abort", onAbort, { once: true });
  return controller.signal;
}

/** Time limits of an exchange whose body has a limit of its own. */
class BodyDeadline {
  readonly #aborter = new AbortController();
  readonly #intervalMs: number;
  readonly #signal: AbortSignal | undefined;
  readonly #onAbort = () => this.#aborter.abort(this.#signal?.reason);
  #endsAtMs = Infinity;
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(intervalMs: number, signal: AbortSignal | undefined) {
    this.#intervalMs = intervalMs;
    this.#signal = signal;
    if (signal?.aborted) this.#onAbort();
    else signal?.addEventListener("abort", this.#onAbort, { once: true });
    this.noteProgress();
  }

  get signal(): AbortSignal {
    return this.#aborter.signal;
  }

  /** Starts the time of the body. */
  startBody(timeoutMs: number): void {
    this.#endsAtMs = core.monotonicMs() + timeoutMs;
    this.noteProgress();
  }

  noteProgress(): void {
    clearTimeout(this.#timer);
    const leftMs = this.#endsAtMs - core.monotonicMs();
    this.#timer = setTimeout(() => {
      this.#aborter.abort(timeoutError());
    }, Math.max(0, Math.min(this.#intervalMs, leftMs)));
  }

  close(): void {
    clearTimeout(this.#timer);
    this.#signal?.removeEventListener("abort", this.#onAbort);
  }
}

/** Reads a body to its end; leaving the loop closes the connection. */
async function readText(
  body: AsyncIterable<Uint8Array>,
  bytesMax: number,
  deadline: BodyDeadline | undefined,
): Promise<string> {
  const collector = new core.ChunkBuffer();
  for await (const chunk of body) {
    deadline?.noteProgress();
    collector.append(chunk);
    if (collector.length > bytesMax) {
      throw new Error(`body exceeds ${bytesMax} bytes`);
    }
  }
  return collector.take().toString("utf8");
}

/**
 * Sends one request and reads the whole response.
 *
 * @returns the response, whatever its status, or the failure if there is none.
 * @example
 * ```ts
 * const response = await transport.send(agent, {
 *   origin: "http://127.0.0.1:9000", path: "/status", method: "GET",
 *   timeoutMs: 1_000,
 * });
 * ```
 */
export async function send(
  dispatcher: Dispatcher,
  request: TransportRequest,
): Promise<Result<TransportResponse, TransportFailure>> {
  const { timeoutMs, bodyTimeoutMs } = request;
  const deadline = bodyTimeoutMs === undefined
    ? undefined
    : new BodyDeadline(timeoutMs, request.signal);
  try {
    const startBeforeMs = core.monotonicMs() + timeoutMs;
    const bytesMax = request.bodyBytesMax ?? BODY_BYTES_MAX;
    const limited = limitStart(dispatcher, startBeforeMs);
    const response = await guardUnframedBodies(limited, bytesMax).request({
      origin: request.origin,
      path: request.path,
      method: request.method,
      headers: { ...request.headers },
      body: request.bodyText ?? null,
      signal: deadline?.signal ?? timeoutSignal(timeoutMs, request.signal),
      reset: request.closeConnection ?? false,
    });
    if (bodyTimeoutMs !== undefined) deadline?.startBody(bodyTimeoutMs);
    const bodyText = await readText(response.body, bytesMax, deadline);
    const headers = flattenHeaders(response.headers);
    return ok({ status: response.statusCode, headers, bodyText });
  } catch (thrown) {
    return err(toTransportFailure(thrown));
  } finally {
    deadline?.close();
  }
}
