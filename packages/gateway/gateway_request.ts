/** What handlers read from a request, checked. */
import { err, ok, type Result } from "neverthrow";
import { createHash, timingSafeEqual } from "node:crypto";
import * as core from "../core/mod.ts";
import type * as settings from "../settings/mod.ts";
import type { GatewayContext } from "./gateway_types.ts";

/** Header with the time that the caller has left, in milliseconds. */
export const DEADLINE_HEADER = "carawaywind-deadline-ms";
/** Header that names a call that may not be repeated. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

const DEADLINE_MAX_MS = 86_400_000;
const KEY_PATTERN = /^[A-Za-z0-9._:~+-]{1,200}$/;
const BEARER = /^Bearer (\S+)$/i;

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}

/** Finds who a bearer token names, in constant time for each token. */
export class TokenBook<Id extends string> {
  readonly #digests: { id: Id; digest: Buffer }[];

  constructor(tokens: readonly { id: string; token: string }[]) {
    this.#digests = tokens.map(({ id, token }) => ({
      id: core.brandId<Id>(id),
      digest: digest(token),
    }));
  }

  /** The id that an Authorization header names, if any. */
  find(header: string | undefined): Id | undefined {
    const token = BEARER.exec(header ?? "")?.[1];
    if (token === undefined) return undefined;
    const given = digest(token);
    let found: Id | undefined;
    for (const entry of this.#digests) {
      if (timingSafeEqual(entry.digest, given)) found = entry.id;
    }
    return found;
  }
}

/** Makes the book of callers. */
export function callerTokens(
  checked: settings.Settings,
): TokenBook<core.CallerId> {
  return new TokenBook(
    checked.callers.map(({ callerId, token }) => ({ id: callerId, token })),
  );
}

/** Makes the book of operators. */
export function operatorTokens(
  checked: settings.Settings,
): TokenBook<core.OperatorId> {
  return new TokenBook(
    checked.operators.map(({ operatorId, token }) => ({
      id: operatorId,
      token,
    })),
  );
}

/** Reads the deadline header; `byDefaultMs` where there is none. */
export function readDeadline(
  context: GatewayContext,
  byDefaultMs: number,
): Result<core.Deadline, core.Failure> {
  const header = context.req.header(DEADLINE_HEADER);
  if (header === undefined) return ok(new core.Deadline(byDefaultMs));
  const remainingMs = Number(header);
  const fits = header.trim() !== "" && remainingMs > 0 &&
    remainingMs <= DEADLINE_MAX_MS;
  if (fits) return ok(new core.Deadline(remainingMs));
  return err(
    core.refuse(
      core.DEADLINE_INVALID,
      `${DEADLINE_HEADER} must be from 1 to ${DEADLINE_MAX_MS}`,
    ),
  );
}

/** Reads the idempotency key, if one was sent. */
export function readKey(
  context: GatewayContext,
): Result<core.IdempotencyKey | undefined, core.Failure> {
  const header = context.req.header(IDEMPOTENCY_KEY_HEADER);
  if (header === undefined) return ok(undefined);
  if (KEY_PATTERN.test(header)) {
    return ok(core.brandId<core.IdempotencyKey>(header));
  }
  return err(
    core.refuse(
      core.KEY_INVALID,
      "use 1 to 200 letters, digits and . _ : ~ + -",
    ),
  );
}

/** Answers with a problem document. */
export function problem(
  context: GatewayContext,
  failure: core.Failure,
): Response {
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
  };
  if (failure.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(failure.retryAfterMs / 1_000));
    headers["retry-after-ms"] = String(Math.ceil(failure.retryAfterMs));
  }
  const body = JSON.stringify(core.toProblem(failure));
  return context.body(body, failure.result.httpStatus as 500, headers);
}

/** Aborted when the caller's connection goes away before the answer ended. */
export function callerGone(context: GatewayContext): AbortSignal {
  const controller = new AbortController();
  const { outgoing } = context.env;
  outgoing.once("close", () => {
    if (!outgoing.writableFinished) controller.abort();
  });
  return controller.signal;
}
