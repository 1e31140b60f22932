/**
 * Serves completions: selects an engine, relays its response and retries failed
 * attempts on other engines.
 */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as routing from "../routing/mod.ts";
import * as transport from "../transport/mod.ts";
import type * as upstream from "../upstream/mod.ts";
import { closeIfLeaving, problemResponse } from "./gateway_request.ts";
import { stoppedFailure } from "./gateway_admission.ts";
import {
  CompletionReader,
  type CompletionRequest,
} from "./gateway_completion_request.ts";
import {
  type AttemptProgress,
  EngineSelector,
} from "./gateway_engine_selector.ts";
import { toFailure } from "./gateway_failure.ts";
import { StreamRelay } from "./gateway_relay.ts";
import type {
  GatewayContext,
  GatewayDependencies,
  GatewayEnv,
} from "./gateway_types.ts";

const ATTEMPTS_MAX = 4;
/** How long an engine is avoided after it was unreachable. */
const UNREACHABLE_AVOIDANCE_MS = 1_000;
/** How long an engine is avoided after it refused a request. */
const REFUSED_AVOIDANCE_MS = 100;
const LIMIT_RETRY_AFTER_MS = 500;
/** Rejections by full engines after which a request counts them as failures. */
const FULL_REJECTIONS_MAX = 20;

/** An attempt that failed, on an engine with other requests. */
interface FailedAttempt {
  readonly view: routing.EngineView;
  /** Other requests on the engine when the attempt was sent to it. */
  readonly othersInFlight: number;
  readonly failure: upstream.AttemptFailure;
}

/** Serves `POST /v1/chat/completions`. */
export class CompletionHandler {
  readonly #dependencies: GatewayDependencies;
  readonly #reader: CompletionReader;
  readonly #selector: EngineSelector;

  constructor(dependencies: GatewayDependencies) {
    this.#dependencies = dependencies;
    this.#reader = new CompletionReader(dependencies);
    this.#selector = new EngineSelector(dependencies);
  }

  /** Handles one request. */
  async handle(context: GatewayContext): Promise<Response> {
    const startedAtMs = core.monotonicMs();
    this.#dependencies.metrics.increment("requests");
    const completion = await this.#reader.read(context);
    if (completion.isErr()) {
      return this.#failureResponse(context, completion.error);
    }
    const admitted = await this.#admit(completion.value);
    if (admitted.isErr()) {
      this.#recordResult(completion.value, startedAtMs, admitted.error);
      return this.#failureResponse(context, admitted.error);
    }
    try {
      this.#dependencies.retryBudget.recordRequest();
      const relay = new StreamRelay(
        context.env.outgoing,
        () => closeIfLeaving(context, this.#dependencies.admission),
      );
      const response = (await this.#serve(completion.value, relay))
        .mapErr((failure) =>
          this.#dependencies.admission.hasEndedRequests
            ? stoppedFailure(failure.ran)
            : failure
        );
      const failure = response.isErr() ? response.error : undefined;
      this.#recordResult(completion.value, startedAtMs, failure);
      if (response.isOk()) return response.value;
      if (!relay.hasStarted) {
        return this.#failureResponse(context, response.error);
      }
      this.#abortStream(completion.value, relay, response.error);
      return RESPONSE_ALREADY_SENT;
    } finally {
      await admitted.value();
    }
  }

  async #admit(
    completion: CompletionRequest,
  ): Promise<Result<core.Cleanup, core.Failure>> {
    const { admission, limits, demand } = this.#dependencies;
    const admitted = await admission.admit(completion.aborter);
    if (admitted.isErr()) return admitted;
    const { row } = completion;
    const endRequest = demand.beginRequest(row.name);
    const release = core.mergeCleanups(admitted.value, endRequest);
    const { inProgressMax } = row.limits;
    if (inProgressMax === undefined) return ok(release);
    const releaseShare = await limits
      .admit(row.name, inProgressMax, completion.deadline);
    if (releaseShare) return ok(core.mergeCleanups(release, releaseShare));
    await release();
    if (completion.deadline.isOver()) {
      const detail = `no share of the limit of ${row.name} in time`;
      return err(core.refuse(core.DEADLINE_PASSED, detail));
    }
    return err(
      core.refuse(
        core.LIMIT_REACHED,
        `${row.name} has ${inProgressMax} requests in progress`,
        LIMIT_RETRY_AFTER_MS,
      ),
    );
  }

  async #serve(
    completion: CompletionRequest,
    relay: StreamRelay,
  ): Promise<Result<Response, core.Failure>> {
    const progress: AttemptProgress = {
      arrivedAtMs: core.monotonicMs(),
      attempts: 0,
      fullRejections: 0,
      ran: "no",
      lastFailure: core.refuse(core.NO_UPSTREAM, "no engine is live"),
      triedIds: new Set(),
    };
    while (
      !completion.deadline.isOver() && !completion.aborter.signal.aborted
    ) {
      const view = await this.#selector.select(completion, progress);
      if (view.isErr()) return err(withRan(view.error, progress.ran));
      const othersInFlight = view.value.inFlight - 1;
      const softwareVersion = view.value.load?.softwareVersion;
      const response = await this.#attempt(completion, view.value, relay);
      if (relay.hasStarted) progress.streamOrigin ??= { softwareVersion };
      const finalFailure = response.isErr()
        ? this.#handleFailure(completion, progress, {
          view: view.value,
          othersInFlight,
          failure: response.error,
        })
        : undefined;
      // Only now it is known whether the engine is full.
      this.#selector.wake();
      if (response.isOk()) return ok(response.value);
      if (finalFailure) return err(withRan(finalFailure, progress.ran));
    }
    const detail = completion.aborter.signal.aborted
      ? "caller gone"
      : "too late";
    const code = progress.ran === "no"
      ? core.DEADLINE_PASSED
      : core.ANSWER_LATE;
    return err(core.fail(code, detail, progress.ran));
  }

  /** Sends a request to an engine on which it counts as in flight already. */
  async #attempt(
    completion: CompletionRequest,
    view: routing.EngineView,
    relay: StreamRelay,
  ): Promise<Result<Response, upstream.AttemptFailure>> {
    const { clients, demand } = this.#dependencies;
    const remainingMs = completion.deadline.remainingMs();
    const attempt: upstream.CompletionAttempt = {
      attemptId: core.randomId<core.AttemptId>("at"),
      artifactId: completion.artifactId,
      bodyText: completion.bodyText,
      priority: completion.row.priority,
      deadlineMs: remainingMs,
      signal: transport.timeoutSignal(remainingMs, completion.aborter.signal),
      onLoad: (load) => view.applyResponseLoad(load),
      ...(relay.hasStarted ? { resume: relay.position } : {}),
    };
    const engine = clients.engine(view);
    const startedAtMs = core.monotonicMs();
    try {
      const response = completion.isStreaming
        ? await this.#stream(engine, attempt, relay)
        : await this.#complete(completion, engine, attempt);
      if (response.isOk()) {
        const durationMs = core.monotonicMs() - startedAtMs;
        view.recordServiceTime(durationMs);
        demand.recordServiceTime(completion.row.name, durationMs);
      }
      return response;
    } finally {
      view.localInFlight--;
    }
  }

  async #complete(
    completion: CompletionRequest,
    engine: upstream.Engine,
    attempt: upstream.CompletionAttempt,
  ): Promise<Result<Response, upstream.AttemptFailure>> {
    const response = await engine.complete(attempt);
    return response.map((bodyText) =>
      completion.context.body(bodyText, 200, {
        "content-type": "application/json",
      })
    );
  }

  async #stream(
    engine: upstream.Engine,
    attempt: upstream.CompletionAttempt,
    relay: StreamRelay,
  ): Promise<Result<Response, upstream.AttemptFailure>> {
    const startedAtMs = core.monotonicMs();
    const opened = await engine.stream(attempt);
    if (opened.isErr()) return err(opened.error);
    const failure = await relay.relayEvents(opened.value, () => {
      const firstTokenMs = core.monotonicMs() - startedAtMs;
      this.#dependencies.metrics.recordDuration("first_token", firstTokenMs);
    });
    if (failure === undefined) return ok(RESPONSE_ALREADY_SENT);
    const fault = attempt.signal.aborted ? "late" : failure.fault;
    return err({ ...failure, fault });
  }

  #abortStream(
    completion: CompletionRequest,
    relay: StreamRelay,
    failure: core.Failure,
  ): void {
    const { hasEndedRequests } = this.#dependencies.admission;
    const isLate = completion.deadline.isOver();
    const code = hasEndedRequests
      ? core.INSTANCE_STOPPED
      : isLate
      ? core.ANSWER_LATE
      : core.STREAM_BROKEN;
    relay.abort(core.fail(code, failure.detail, "yes"));
    if (this.#isCallerGone(completion)) return;
    this.#dependencies.metrics.increment("streams_broken");
    this.#dependencies.logger.warn("stream_broken", {
      callerId: completion.callerId,
      model: completion.row.name,
      code: code.code,
      detail: failure.detail,
    });
  }

  /**
   * Records a failed attempt.
   *
   * @returns the failure that ends the request, or undefined to retry.
   */
  #handleFailure(
    completion: CompletionRequest,
    progress: AttemptProgress,
    failed: FailedAttempt,
  ): core.Failure | undefined {
    const { view, failure } = failed;
    progress.lastFailure = toFailure(failure);
    if (this.#mustWaitForPlace(progress, failed)) return undefined;
    progress.attempts++;
    progress.triedIds.add(view.upstreamId);
    if (failure.ran !== "no") progress.ran = "unknown";
    const nowMs = core.monotonicMs();
    if (failure.fault === "unreachable") {
      view.avoidUntilMs = nowMs + UNREACHABLE_AVOIDANCE_MS;
    }
    if (failure.fault === "refused") {
      view.avoidUntilMs = nowMs + REFUSED_AVOIDANCE_MS;
    }
    if (failure.fault === "rejected" || failure.fault === "late") {
      return progress.lastFailure;
    }
    if (
      completion.aborter.signal.aborted || progress.attempts >= ATTEMPTS_MAX
    ) {
      return progress.lastFailure;
    }
    if (!this.#dependencies.retryBudget.trySpend()) {
      return core.refuse(
        core.RETRY_BUDGET_SPENT,
        progress.lastFailure.detail,
        LIMIT_RETRY_AFTER_MS,
      );
    }
    this.#dependencies.metrics.increment("retries");
    return undefined;
  }

  /**
   * Whether the engine rejected a request because it was full: the request then
   * waits for a place, which is no failure of the engine.
   */
  #mustWaitForPlace(
    progress: AttemptProgress,
    { view, othersInFlight, failure }: FailedAttempt,
  ): boolean {
    if (failure.fault !== "refused" || progress.ran !== "no") return false;
    if (progress.fullRejections >= FULL_REJECTIONS_MAX) return false;
    if (!view.recordFull(othersInFlight, core.monotonicMs())) return false;
    progress.fullRejections++;
    return true;
  }

  #failureResponse(context: GatewayContext, failure: core.Failure): Response {
    const counter = failure.ran === "no" ? "refusals" : "failures";
    this.#dependencies.metrics.increment(counter);
    if (failure.ran !== "no") {
      this.#dependencies.logger.warn("completion_failed", {
        code: failure.result.code,
        ran: failure.ran,
        detail: failure.detail,
      });
    }
    return problemResponse(context, failure);
  }

  #isCallerGone({ aborter }: CompletionRequest): boolean {
    const { admission } = this.#dependencies;
    return aborter.signal.aborted && !admission.hasEndedRequests;
  }

  #recordResult(
    completion: CompletionRequest,
    startedAtMs: number,
    failure: core.Failure | undefined,
  ): void {
    if (this.#isCallerGone(completion)) return;
    const { metrics, burn } = this.#dependencies;
    const isInTime = failure === undefined && !completion.deadline.isOver();
    burn.record(completion.callerId, completion.row.name, isInTime);
    if (failure) return;
    metrics.increment("answers");
    metrics.recordDuration("whole_answer", core.monotonicMs() - startedAtMs);
  }
}

/**
 * Registers `POST /v1/chat/completions`.
 *
 * @example
 * ```ts
 * gateway.registerCompletions(app, dependencies);
 * ```
 */
export function registerCompletions(
  app: Hono<GatewayEnv>,
  dependencies: GatewayDependencies,
): void {
  const handler = new CompletionHandler(dependencies);
  app.post("/v1/chat/completions", (context) => handler.handle(context));
}

function withRan(failure: core.Failure, ran: core.Ran): core.Failure {
  return failure.ran === "no" && ran !== "no" ? { ...failure, ran } : failure;
}
