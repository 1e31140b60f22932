/** Calls to plain services, of which some may not be repeated. */
import type { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import type * as claims from "../claims/mod.ts";
import * as core from "../core/mod.ts";
import type * as settings from "../settings/mod.ts";
import type * as upstream from "../upstream/mod.ts";
import { toFailure } from "./gateway_failure.ts";
import {
  callerTokens,
  problem,
  readDeadline,
  readKey,
} from "./gateway_request.ts";
import type {
  GatewayContext,
  GatewayDependencies,
  GatewayEnv,
} from "./gateway_types.ts";

const PREFIX = "/v1/services/";
const ATTEMPTS_MAX = 4;
const AVOID_MS = 1_000;
const RETRY_AFTER_MS = 500;

/** One caller's service call on its way through. */
interface ServiceCall {
  readonly callerId: core.CallerId;
  readonly service: settings.ServiceSettings;
  readonly path: string;
  readonly contentType: string;
  readonly bodyText: string;
  readonly key: core.IdempotencyKey | undefined;
  readonly mayRepeat: boolean;
  readonly deadline: core.Deadline;
}

type CallEnd = Result<claims.ClaimOutcome, core.Failure>;

/** Serves `POST /v1/services/{service}/{path...}`. */
export class ServiceHandler {
  readonly #parts: GatewayDependencies;
  readonly #tokens;
  #turn = 0;

  constructor(parts: GatewayDependencies) {
    this.#parts = parts;
    this.#tokens = callerTokens(parts.settings);
  }

  /** Answers one call. */
  async handle(context: GatewayContext): Promise<Response> {
    const startedAtMs = core.monotonicMs();
    this.#parts.metrics.count("requests");
    const call = await this.#read(context);
    if (call.isErr()) return this.#failed(context, call.error);
    const admitted = await this.#parts.admission.admit();
    if (admitted.isErr()) return this.#failed(context, admitted.error);
    try {
      const end = call.value.mayRepeat
        ? await this.#repeatable(call.value)
        : await this.#once(call.value);
      this.#noteEnd(call.value, startedAtMs, end);
      if (end.isErr()) return this.#failed(context, end.error);
      const { status, contentType, bodyText } = end.value;
      return context.body(bodyText, status as 200, {
        "content-type": contentType,
      });
    } finally {
      await admitted.value();
    }
  }

  async #read(
    context: GatewayContext,
  ): Promise<Result<ServiceCall, core.Failure>> {
    const callerId = this.#tokens.find(context.req.header("authorization"));
    if (!callerId) return err(core.refuse(core.TOKEN_INVALID, "who is this?"));
    const url = new URL(context.req.url);
    const [name = "", ...rest] = url.pathname.slice(PREFIX.length).split("/");
    const path = `/${rest.join("/")}${url.search}`;
    const service = this.#parts.settings.services
      .find((known) => known.name === name);
    if (!service) {
      return err(core.refuse(core.SERVICE_UNKNOWN, `no service named ${name}`));
    }
    const key = readKey(context);
    if (key.isErr()) return err(key.error);
    const mayRepeat = service.repeatablePaths
      .some((prefix) => startsWithPath(rest.join("/"), prefix));
    if (!mayRepeat && key.value === undefined) {
      return err(
        core.refuse(core.KEY_MISSING, "this call may not be repeated"),
      );
    }
    const bodyText = await context.req.text();
    return readDeadline(context, service.callMaxMs).map((deadline) => ({
      callerId,
      service,
      path,
      contentType: context.req.header("content-type") ??
        "application/octet-stream",
      bodyText,
      key: key.value,
      mayRepeat,
      deadline,
    }));
  }

  /** Tries instances in turn, inside the retry budget. */
  async #repeatable(call: ServiceCall): Promise<CallEnd> {
    this.#parts.retryBudget.recordRequest();
    let failure = noUpstream(call.service.name);
    for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
      if (call.deadline.isOver()) return err(lateFailure(failure));
      if (attempt > 0 && !this.#parts.retryBudget.trySpend()) {
        return err(failure);
      }
      const sent = await this.#send(call, call.deadline.remainingMs());
      if (sent === undefined) return err(failure);
      if (sent.isOk()) return ok(sent.value);
      failure = worse(failure, toFailure(sent.error));
    }
    return err(failure);
  }

  /** Runs a call that may not be repeated, under a claim. */
  async #once(call: ServiceCall): Promise<CallEnd> {
    const key = call.key;
    if (key === undefined) throw new Error("Call without a key");
    return await this.#parts.claims.run({
      callerId: call.callerId,
      key,
      bodyHash: hashOf(call),
      deadline: call.deadline,
    }, () => this.#dispatchOnce(call));
  }

  /** Goes to another instance only while nothing can have run. */
  async #dispatchOnce(call: ServiceCall): Promise<claims.DispatchResult> {
    let failure = noUpstream(call.service.name);
    for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
      if (call.deadline.isOver()) break;
      const sent = await this.#send(call, call.service.callMaxMs);
      if (sent === undefined) break;
      if (sent.isOk()) return { kind: "answered", outcome: sent.value };
      failure = toFailure(sent.error);
      if (sent.error.ran !== "no") return { kind: "unknown", failure };
    }
    return { kind: "notRun", failure };
  }

  /** One attempt at one instance; undefined when none is live. */
  async #send(
    call: ServiceCall,
    boundMs: number,
  ): Promise<
    Result<upstream.ServiceResponse, upstream.AttemptFailure> | undefined
  > {
    const { fleet, clients } = this.#parts;
    const live = fleet.usableServiceInstances(call.service.name);
    const listed = live[this.#turn++ % Math.max(1, live.length)];
    if (listed === undefined) return undefined;
    const attempt: upstream.ServiceAttempt = {
      attemptId: core.randomId<core.AttemptId>("at"),
      callerId: call.callerId,
      path: call.path,
      contentType: call.contentType,
      bodyText: call.bodyText,
      deadlineMs: boundMs,
      signal: AbortSignal.timeout(Math.max(1, Math.ceil(boundMs))),
      ...(call.key === undefined ? {} : { key: call.key }),
    };
    const answer = await clients.service(listed).call(attempt);
    if (answer.isErr()) fleet.avoidServiceInstance(listed.id, AVOID_MS);
    return answer;
  }

  #failed(context: GatewayContext, failure: core.Failure): Response {
    const counter = failure.ran === "no" ? "refusals" : "failures";
    this.#parts.metrics.count(counter);
    if (failure.ran !== "no") {
      this.#parts.logger.warn("service_call_failed", {
        code: failure.result.code,
        ran: failure.ran,
        detail: failure.detail,
      });
    }
    return problem(context, failure);
  }

  #noteEnd(call: ServiceCall, startedAtMs: number, end: CallEnd): void {
    const { metrics, burn } = this.#parts;
    const met = end.isOk() && !call.deadline.isOver();
    burn.record(call.callerId, call.service.name, met);
    if (end.isErr()) return;
    metrics.count("answers");
    metrics.time("service_call", core.monotonicMs() - startedAtMs);
  }
}

/**
 * Registers `POST /v1/services/{service}/{path...}`.
 *
 * @example
 * ```ts
 * gateway.registerServices(app, parts);
 * ```
 */
export function registerServices(
  app: Hono<GatewayEnv>,
  parts: GatewayDependencies,
): void {
  const handler = new ServiceHandler(parts);
  app.post(`${PREFIX}*`, (context) => handler.handle(context));
}

function startsWithPath(path: string, prefix: string): boolean {
  const bare = prefix.replace(/^\/+|\/+$/g, "");
  return bare === "" || path === bare || path.startsWith(`${bare}/`);
}

function hashOf(call: ServiceCall): string {
  const { service, path, contentType, bodyText } = call;
  return createHash("sha256")
    .update(JSON.stringify([service.name, path, contentType, bodyText]))
    .digest("base64url");
}

function noUpstream(name: string): core.Failure {
  return core.refuse(
    core.NO_UPSTREAM,
    `no instance of ${name} is live`,
    RETRY_AFTER_MS,
  );
}

/** The later failure, but never with a better `ran` than the earlier one. */
function worse(earlier: core.Failure, later: core.Failure): core.Failure {
  if (earlier.ran === "no" || later.ran !== "no") return later;
  return { ...later, ran: earlier.ran };
}

function lateFailure(failure: core.Failure): core.Failure {
  const code = failure.ran === "no" ? core.DEADLINE_PASSED : core.ANSWER_LATE;
  return core.fail(code, failure.detail, failure.ran);
}
