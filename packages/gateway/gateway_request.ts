/** Reads and validates the request headers that handlers share. */
import { err, ok, type Result } from "neverthrow";
import { createHash, timingSafeEqual } from "node:crypto";
import * as core from "../core/mod.ts";
import type * as settings from "../settings/mod.ts";
import type { GatewayAdmission } from "./gateway_admission.ts";
import type { GatewayContext } from "./gateway_types.ts";

/** Header with the time until the caller's deadline, in milliseconds. */
export const DEADLINE_HEADER = "carawaywind-deadline-ms";
/** Header with the idempotency key of a call that must not run twice. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

const DEADLINE_MAX_MS = 86_400_000;
const IDEMPOTENCY_KEY_PATTERN = /^[A-Za-z0-9._:~+-]{1,200}$/;
const BEARER_PATTERN = /^Bearer (\S+)$/i;

function hashToken(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}

/**
 * Maps bearer tokens to ids. A lookup compares the hashes of all tokens, each
 * in constant time, so that timing reveals nothing about them.
 */
export class TokenRegistry<Id extends string> {
  readonly #digests: { id: Id; digest: Buffer }[];

  constructor(tokens: readonly { id: string; token: string }[]) {
    this.#digests = tokens.map(({ id, token }) => ({
      id: core.brandId<Id>(id),
      digest: hashToken(token),
    }));
  }

  /** Returns the id of the bearer token in an Authorization header, if known. */
  find(header: string | undefined): Id | undefined {
    const token = BEARER_PATTERN.exec(header ?? "")?.[1];
    if (token === undefined) return undefined;
    const presentedDigest = hashToken(token);
    let found: Id | undefined;
    for (const entry of this.#digests) {
      if (timingSafeEqual(entry.digest, presentedDigest)) found = entry.id;
    }
    return found;
  }
}

/** Makes the registry of the callers' tokens. */
export function makeCallerTokens(
  validSettings: settings.Settings,
): TokenRegistry<core.CallerId> {
  return new TokenRegistry(
    validSettings.callers.map(({ callerId, token }) => ({
      id: callerId,
      token,
    })),
  );
}

/** Makes the registry of the operators' tokens. */
export function makeOperatorTokens(
  validSettings: settings.Settings,
): TokenRegistry<core.OperatorId> {
  return new TokenRegistry(
    validSettings.operators.map(({ operatorId, token }) => ({
      id: operatorId,
      token,
    })),
  );
}

/** Reads the deadline header; without one the deadline is `defaultMs` away. */
export function readDeadline(
  context: GatewayContext,
  defaultMs: number,
): Result<core.Deadline, core.Failure> {
  const header = context.req.header(DEADLINE_HEADER);
  if (header === undefined) return ok(new core.Deadline(defaultMs));
  const remainingMs = Number(header);
  const isValid = header.trim() !== "" && remainingMs > 0 &&
    remainingMs <= DEADLINE_MAX_MS;
  if (isValid) return ok(new core.Deadline(remainingMs));
  return err(
    core.refuse(
      core.DEADLINE_INVALID,
      `${DEADLINE_HEADER} must be from 1 to ${DEADLINE_MAX_MS}`,
    ),
  );
}

/** Reads and validates the idempotency key, if one was sent. */
export function readIdempotencyKey(
  context: GatewayContext,
): Result<core.IdempotencyKey | undefined, core.Failure> {
  const header = context.req.header(IDEMPOTENCY_KEY_HEADER);
  if (header === undefined) return ok(undefined);
  if (IDEMPOTENCY_KEY_PATTERN.test(header)) {
    return ok(core.brandId<core.IdempotencyKey>(header));
  }
  return err(
    core.refuse(
      core.KEY_INVALID,
      "use 1 to 200 letters, digits and . _ : ~ + -",
    ),
  );
}

/** Makes the response that reports a failure as a problem document. */
export function problemResponse(
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
  return context.body(body, core.statusOf(failure) as 500, headers);
}

/**
 * Returns an aborter that aborts when the caller's connection closes before the
 * response has been sent completely.
 */
export function makeAborter(context: GatewayContext): AbortController {
  const aborter = new AbortController();
  const { outgoing } = context.env;
  const onClose = () => {
    if (!outgoing.writableFinished) aborter.abort();
  };
  outgoing.once("close", onClose);
  if (outgoing.destroyed) onClose();
  return aborter;
}

/**
 * Closes the caller's connection after the response if the instance is leaving,
 * unless further responses are owed on it. To be called before the head of the
 * response is written.
 */
export function closeIfLeaving(
  context: GatewayContext,
  admission: GatewayAdmission,
): void {
  if (admission.phase === "serving") return;
  if (context.env.hasLaterRequests()) return;
  // Not by a header of the response: to add one, Hono would make another
  // response, which throws if the status allows no body.
  context.env.outgoing.shouldKeepAlive = false;
}
