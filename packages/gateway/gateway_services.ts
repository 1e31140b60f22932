/**
 * Calls to plain services: repeatable calls are retried, all others run at most
 * once, under a claim.
 */
import type { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import type * as claims from "../claims/mod.ts";
import * as core from "../core/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as transport from "../transport/mod.ts";
import type * as upstream from "../upstream/mod.ts";
import { stoppedFailure } from "./gateway_admission.ts";
import { toFailure } from "./gateway_failure.ts";
import {
  makeCallerTokens,
  problemResponse,
  readDeadline,
  readIdempotencyKey,
} from "./gateway_request.ts";
import type {
  GatewayContext,
  GatewayDependencies,
  GatewayEnv,
} from "./gateway_types.ts";

const PATH_PREFIX = "/v1/services/";
const ATTEMPTS_MAX = 4;
/** How long an instance is avoided after a call to it failed. */
const AVOIDANCE_MS = 1_000;
const RETRY_AFTER_MS = 500;

/** A validated service call. */
interface ServiceCall {
  readonly callerId: core.CallerId;
  readonly service: settings.ServiceSettings;
  readonly path: string;
  readonly contentType: string;
  readonly bodyText: string;
  readonly key: core.IdempotencyKey | undefined;
  readonly isRepeatable: boolean;
  readonly deadline: core.Deadline;
}

type CallResult = Result<claims.ClaimOutcome, core.Failure>;

/** Serves `POST /v1/services/{service}/{path...}`. */
export class ServiceHandler {
  readonly #dependencies: GatewayDependencies;
  readonly #callerTokens;
  #roundRobinIndex = 0;

  constructor(dependencies: GatewayDependencies) {
    this.#dependencies = dependencies;
    this.#callerTokens = makeCallerTokens(dependencies.settings);
  }

  /** Handles one call. */
  async handle(context: GatewayContext): Promise<Response> {
    const startedAtMs = core.monotonicMs();
    this.#dependencies.metrics.increment("requests");
    const call = await this.#read(context);
    if (call.isErr()) return this.#failureResponse(context, call.error);
    const aborter = new AbortController();
    const { admission } = this.#dependencies;
    const admitted = await admission.admit(aborter);
    if (admitted.isErr()) return this.#failureResponse(context, admitted.error);
    try {
      const result = (call.value.isRepeatable
        ? await this.#callRepeatable(call.value, aborter.signal)
        : await this.#callAtMostOnce(call.value, aborter.signal))
        .mapErr((failure) =>
          admission.hasEndedRequests && failure.result !== core.CLAIM_IN_FLIGHT
            ? stoppedFailure(failure.ran)
            : failure
        );
      this.#recordResult(call.value, startedAtMs, result);
      if (result.isErr()) {
        return this.#failureResponse(context, result.error);
      }
      const { status, contentType, bodyText } = result.value;
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
    const callerId = this.#callerTokens.find(
      context.req.header("authorization"),
    );
    if (!callerId) return err(core.refuse(core.TOKEN_INVALID, "who is this?"));
    const url = new URL(context.req.url);
    const [name = "", ...rest] = url.pathname.slice(PATH_PREFIX.length).split(
      "/",
    );
    const path = `/${rest.join("/")}${url.search}`;
    const service = this.#dependencies.settings.services
      .find((candidate) => candidate.name === name);
    if (!service) {
      return err(core.refuse(core.SERVICE_UNKNOWN, `no service named ${name}`));
    }
    const key = readIdempotencyKey(context);
    if (key.isErr()) return err(key.error);
    const isRepeatable = service.repeatablePaths
      .some((prefix) => matchesPathPrefix(rest.join("/"), prefix));
    if (!isRepeatable && key.value === undefined) {
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
      isRepeatable,
      deadline,
    }));
  }

  /** Sends a repeatable call, retrying other instances within the budget. */
  async #callRepeatable(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<CallResult> {
    this.#dependencies.retryBudget.recordRequest();
    let failure = noInstanceFailure(call.service.name);
    for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
      if (call.deadline.isOver()) return err(deadlineFailure(failure));
      if (signal.aborted) return err(failure);
      if (attempt > 0 && !this.#dependencies.retryBudget.trySpend()) {
        return err(failure);
      }
      const timeoutMs = call.deadline.remainingMs();
      const result = await this.#sendAttempt(call, timeoutMs, signal);
      if (result === undefined) return err(failure);
      if (result.isOk()) return ok(result.value);
      failure = withEarlierRan(failure, toFailure(result.error));
    }
    return err(failure);
  }

  /** Runs a call that must not run twice, under a claim on its key. */
  async #callAtMostOnce(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const key = call.key;
    if (key === undefined) throw new Error("Call without a key");
    return await this.#dependencies.claims.run({
      callerId: call.callerId,
      key,
      bodyHash: hashCall(call),
      deadline: call.deadline,
      signal,
    }, () => this.#dispatchUnderClaim(call));
  }

  /**
   * Dispatches a claimed call. Another instance is tried only while it is
   * certain that no instance has run the call.
   */
  async #dispatchUnderClaim(call: ServiceCall): Promise<claims.DispatchResult> {
    let failure = noInstanceFailure(call.service.name);
    for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
      if (call.deadline.isOver()) break;
      const result = await this.#sendAttempt(call, call.service.callMaxMs);
      if (result === undefined) break;
      if (result.isOk()) return { kind: "answered", outcome: result.value };
      failure = toFailure(result.error);
      if (result.error.ran !== "no") return { kind: "unknown", failure };
    }
    return { kind: "notRun", failure };
  }

  /** Sends the call to the next usable instance; undefined if there is none. */
  async #sendAttempt(
    call: ServiceCall,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<
    Result<upstream.ServiceResponse, upstream.AttemptFailure> | undefined
  > {
    const { fleet, clients } = this.#dependencies;
    const instances = fleet.usableServiceInstances(call.service.name);
    const listed =
      instances[this.#roundRobinIndex++ % Math.max(1, instances.length)];
    if (listed === undefined) return undefined;
    const attempt: upstream.ServiceAttempt = {
      attemptId: core.randomId<core.AttemptId>("at"),
      callerId: call.callerId,
      path: call.path,
      contentType: call.contentType,
      bodyText: call.bodyText,
      deadlineMs: timeoutMs,
      signal: transport.timeoutSignal(timeoutMs, signal),
      ...(call.key === undefined ? {} : { key: call.key }),
    };
    const response = await clients.service(listed).call(attempt);
    if (response.isErr()) fleet.avoidServiceInstance(listed.id, AVOIDANCE_MS);
    return response;
  }

  #failureResponse(context: GatewayContext, failure: core.Failure): Response {
    const counter = failure.ran === "no" ? "refusals" : "failures";
    this.#dependencies.metrics.increment(counter);
    if (failure.ran !== "no") {
      this.#dependencies.logger.warn("service_call_failed", {
        code: failure.result.code,
        ran: failure.ran,
        detail: failure.detail,
      });
    }
    return problemResponse(context, failure);
  }

  #recordResult(
    call: ServiceCall,
    startedAtMs: number,
    result: CallResult,
  ): void {
    const { metrics, burn } = this.#dependencies;
    const isInTime = result.isOk() && !call.deadline.isOver();
    burn.record(call.callerId, call.service.name, isInTime);
    if (result.isErr()) return;
    metrics.increment("answers");
    metrics.recordDuration("service_call", core.monotonicMs() - startedAtMs);
  }
}

/**
 * Registers `POST /v1/services/{service}/{path...}`.
 *
 * @example
 * ```ts
 * gateway.registerServices(app, dependencies);
 * ```
 */
export function registerServices(
  app: Hono<GatewayEnv>,
  dependencies: GatewayDependencies,
): void {
  const handler = new ServiceHandler(dependencies);
  app.post(`${PATH_PREFIX}*`, (context) => handler.handle(context));
}

function matchesPathPrefix(path: string, prefix: string): boolean {
  const trimmedPrefix = prefix.replace(/^\/+|\/+$/g, "");
  return trimmedPrefix === "" || path === trimmedPrefix ||
    path.startsWith(`${trimmedPrefix}/`);
}

function hashCall(call: ServiceCall): string {
  const { service, path, contentType, bodyText } = call;
  return createHash("sha256")
    .update(JSON.stringify([service.name, path, contentType, bodyText]))
    .digest("base64url");
}

function noInstanceFailure(name: string): core.Failure {
  return core.refuse(
    core.NO_UPSTREAM,
    `no instance of ${name} is live`,
    RETRY_AFTER_MS,
  );
}

/**
 * Returns the later failure. Its `ran` is never `no` if an earlier attempt ran
 * or may have run.
 */
function withEarlierRan(
  earlier: core.Failure,
  later: core.Failure,
): core.Failure {
  if (earlier.ran === "no" || later.ran !== "no") return later;
  return { ...later, ran: earlier.ran };
}

function deadlineFailure(failure: core.Failure): core.Failure {
  const code = failure.ran === "no" ? core.DEADLINE_PASSED : core.ANSWER_LATE;
  return core.fail(code, failure.detail, failure.ran);
}
