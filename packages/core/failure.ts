/** The typed failure of fallible operations, and its problem document. */
import type { Ran, ResultCode } from "./codes.ts";

/** Why an operation failed, and whether the request was run. */
export interface Failure {
  readonly result: ResultCode;
  readonly detail: string;
  readonly ran: Ran;
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number;
}

/**
 * Statuses that promise that a request has not run and never will: callers repeat
 * also requests that must not run twice.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const STATUS_BAD_GATEWAY = 502;

/** Body of an `application/problem+json` response (RFC 9457). */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly code: number;
  readonly ran: Ran;
  readonly retryAfterMs?: number;
  /** The same fields for clients that read an `error` member. */
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
  };
}

/**
 * Whether a status promises that the request has not run and never will.
 *
 * @example
 * ```ts
 * core.promisesNotRun(503); // true
 * ```
 */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/**
 * Returns the status with which a failure is reported. It promises that the
 * request has not run only if that is certain, whatever the result code says.
 *
 * @example
 * ```ts
 * core.statusOf(core.fail(core.UPSTREAM_REFUSED, "full", "unknown")); // 502
 * ```
 */
export function statusOf({ result, ran }: Failure): number {
  const { httpStatus } = result;
  return ran !== "no" && promisesNotRun(httpStatus)
    ? STATUS_BAD_GATEWAY
    : httpStatus;
}

/**
 * Creates the failure of a request that was rejected without being run.
 *
 * @example
 * ```ts
 * return err(core.refuse(core.MODEL_UNKNOWN, `no row named ${name}`));
 * ```
 */
export function refuse(
  result: ResultCode,
  detail: string,
  retryAfterMs?: number,
): Failure {
  return retryAfterMs === undefined
    ? { result, detail, ran: "no" }
    : { result, detail, ran: "no", retryAfterMs };
}

/**
 * Creates a failure with a given `ran`, for requests that may have been run.
 *
 * @example
 * ```ts
 * return err(core.fail(core.UPSTREAM_BROKE, "connection reset", "unknown"));
 * ```
 */
export function fail(
  result: ResultCode,
  detail: string,
  ran: Ran,
): Failure {
  return { result, detail, ran };
}

/**
 * Renders a failure as a problem document.
 *
 * @example
 * ```ts
 * response.json(core.toProblem(failure), core.statusOf(failure));
 * ```
 */
export function toProblem(failure: Failure): Problem {
  const problem = {
    type: `urn:carawaywind:code:${failure.result.code}`,
    title: failure.result.name,
    status: statusOf(failure),
    detail: failure.detail,
    code: failure.result.code,
    ran: failure.ran,
    error: {
      message: failure.detail,
      type: failure.result.name,
      code: String(failure.result.code),
    },
  };
  return failure.retryAfterMs === undefined
    ? problem
    : { ...problem, retryAfterMs: Math.ceil(failure.retryAfterMs) };
}

/**
 * Returns the message of a thrown value of any type.
 *
 * @example
 * ```ts
 * core.messageOf(new Error("reset")); // "reset"
 * ```
 */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
