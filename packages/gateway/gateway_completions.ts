/** Completions: route, attempt, retry elsewhere, relay. */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as routing from "../routing/mod.ts";
import type * as upstream from "../upstream/mod.ts";
import { problem } from "./gateway_request.ts";
import {
  type Completion,
  CompletionReader,
} from "./gateway_completion_request.ts";
import { ColdRows } from "./gateway_cold_start.ts";
import { toFailure } from "./gateway_failure.ts";
import { StreamRelay } from "./gateway_relay.ts";
import type {
  GatewayContext,
  GatewayDependencies,
  GatewayEnv,
} from "./gateway_types.ts";

const ATTEMPTS_MAX = 4;
/** An engine that could not be reached is left alone for so long. */
const AVOID_UNREACHABLE_MS = 1_000;
const AVOID_FULL_MS = 100;
const LIMIT_RETRY_MS = 500;

/** What attempts at one completion have come to so far. */
interface Progress {
  attempts: number;
  ran: core.Ran;
  lastFailure: core.Failure;
  readonly tried: Set<core.UpstreamId>;
}

/** Serves `POST /v1/chat/completions`. */
export class CompletionHandler {
  readonly #parts: GatewayDependencies;
  readonly #reader: CompletionReader;
  readonly #cold: ColdRows;

  constructor(parts: GatewayDependencies) {
    this.#parts = parts;
    this.#reader = new CompletionReader(parts);
    this.#cold = new ColdRows(parts);
  }

  /** Answers one request. */
  async handle(context: GatewayContext): Promise<Response> {
    const startedAtMs = core.monotonicMs();
    this.#parts.metrics.count("requests");
    const completion = await this.#reader.read(context);
    if (completion.isErr()) return this.#refused(context, completion.error);
    const admitted = await this.#admit(completion.value);
    if (admitted.isErr()) {
      this.#noteEnd(completion.value, startedAtMs, admitted.error);
      return this.#refused(context, admitted.error);
    }
    try {
      this.#parts.retryBudget.recordRequest();
      const relay = new StreamRelay(context.env.outgoing);
      const answer = await this.#serve(completion.value, relay);
      const failure = answer.isErr() ? answer.error : undefined;
      this.#noteEnd(completion.value, startedAtMs, failure);
      if (answer.isOk()) return answer.value;
      if (!relay.hasStarted) return this.#refused(context, answer.error);
      this.#breakStream(completion.value, relay, answer.error);
      return RESPONSE_ALREADY_SENT;
    } finally {
      await admitted.value();
    }
  }

  async #admit(
    completion: Completion,
  ): Promise<Result<core.Cleanup, core.Failure>> {
    const { admission, limits, demand } = this.#parts;
    const entered = await admission.admit();
    if (entered.isErr()) return entered;
    const { row } = completion;
    const ended = demand.beginRequest(row.name);
    const leave = core.mergeCleanups(entered.value, ended);
    const { inProgressMax } = row.limits;
    if (inProgressMax === undefined) return ok(leave);
    const left = await limits.enter(row.name, inProgressMax);
    if (left) return ok(core.mergeCleanups(leave, left));
    await leave();
    return err(
      core.refuse(
        core.LIMIT_REACHED,
        `${row.name} has ${inProgressMax} requests in progress`,
        LIMIT_RETRY_MS,
      ),
    );
  }

  async #serve(
    completion: Completion,
    relay: StreamRelay,
  ): Promise<Result<Response, core.Failure>> {
    const progress: Progress = {
      attempts: 0,
      ran: "no",
      lastFailure: core.refuse(core.NO_UPSTREAM, "no engine is live"),
      tried: new Set(),
    };
    while (!completion.deadline.isOver() && !completion.gone.aborted) {
      const view = await this.#choose(completion, progress);
      if (view.isErr()) return err(withRan(view.error, progress.ran));
      const answer = await this.#attempt(completion, view.value, relay);
      if (answer.isOk()) return ok(answer.value);
      const final = this.#judge(completion, view.value, answer.error, progress);
      if (final) return err(withRan(final, progress.ran));
    }
    const detail = completion.gone.aborted ? "caller gone" : "too late";
    const code = progress.ran === "no"
      ? core.DEADLINE_PASSED
      : core.ANSWER_LATE;
    return err(core.fail(code, detail, progress.ran));
  }

  /** Chooses an engine, or waits for one to hold the artifact. */
  async #choose(
    completion: Completion,
    progress: Progress,
  ): Promise<Result<routing.EngineView, core.Failure>> {
    const { fleet, policy } = this.#parts;
    const { artifactId } = completion;
    const holders = fleet.usableEngines().filter((view) =>
      view.holds(artifactId)
    );
    const untried = holders
      .filter(({ upstreamId }) => !progress.tried.has(upstreamId));
    if (untried.length === 0 && progress.tried.size > 0 && holders.length > 0) {
      return err(progress.lastFailure);
    }
    if (untried.length === 0) return await this.#waitForHolder(completion);
    const request = this.#routed(completion);
    const view = policy.choose(untried, request);
    if (!view) return err(progress.lastFailure);
    return this.#inTime(completion, view, request, untried);
  }

  async #waitForHolder(
    completion: Completion,
  ): Promise<Result<routing.EngineView, core.Failure>> {
    const waited = await this.#cold.wait(
      completion.row,
      completion.deadline,
      this.#answerMs(completion),
      completion.gone,
    );
    if (waited.isErr()) return err(waited.error);
    const { fleet, policy } = this.#parts;
    const holders = fleet.usableEngines()
      .filter((view) => view.holds(completion.artifactId));
    const view = policy.choose(holders, this.#routed(completion));
    if (view) return ok(view);
    return err(core.refuse(core.NO_UPSTREAM, "no engine is live"));
  }

  /** How long an idle engine would take to answer. */
  #answerMs({ tokensMax }: Completion): number {
    const loads = this.#parts.fleet.usableEngines().flatMap(({ load }) =>
      load ?? []
    );
    if (loads.length === 0) return 0;
    return Math.min(
      ...loads.map(({ firstTokenMs, tokenMs }) =>
        firstTokenMs + tokenMs * tokensMax
      ),
    );
  }

  /** Refuses at once what cannot be answered before its deadline. */
  #inTime(
    completion: Completion,
    view: routing.EngineView,
    request: routing.RoutedRequest,
    holders: readonly routing.EngineView[],
  ): Result<routing.EngineView, core.Failure> {
    const { completionInMs: wholeInMs } = routing.estimateCompletion(
      view,
      request,
    );
    const remainingMs = completion.deadline.remainingMs();
    if (wholeInMs <= remainingMs) return ok(view);
    const soonestMs = Math.min(
      ...holders.map((other) =>
        routing.estimateCompletion(other, request).completionInMs
      ),
    );
    if (soonestMs <= remainingMs) return ok(view);
    return err(
      core.refuse(
        core.DEADLINE_UNREACHABLE,
        `an answer takes about ${Math.ceil(soonestMs)} ms, ` +
          `${Math.floor(remainingMs)} ms are left`,
        soonestMs - remainingMs,
      ),
    );
  }

  #routed(completion: Completion): routing.RoutedRequest {
    return {
      artifactId: completion.artifactId,
      tokensMax: completion.tokensMax,
      prefixHash: completion.prefixHash,
      priority: completion.row.priority,
      remainingMs: completion.deadline.remainingMs(),
    };
  }

  async #attempt(
    completion: Completion,
    view: routing.EngineView,
    relay: StreamRelay,
  ): Promise<Result<Response, upstream.AttemptFailure>> {
    const { clients, demand } = this.#parts;
    const remainingMs = completion.deadline.remainingMs();
    const attempt: upstream.CompletionAttempt = {
      attemptId: core.randomId<core.AttemptId>("at"),
      artifactId: completion.artifactId,
      bodyText: completion.bodyText,
      priority: completion.row.priority,
      deadlineMs: remainingMs,
      signal: AbortSignal.any([
        completion.gone,
        AbortSignal.timeout(Math.max(1, Math.ceil(remainingMs))),
      ]),
      onLoad: (load) => view.applyAnswerLoad(load),
      ...(relay.hasStarted ? { resume: relay.position } : {}),
    };
    const engine = clients.engine(view);
    const startedAtMs = core.monotonicMs();
    view.localInFlight++;
    try {
      const answer = completion.streams
        ? await this.#stream(engine, attempt, relay)
        : await this.#complete(completion, engine, attempt);
      if (answer.isOk()) {
        const durationMs = core.monotonicMs() - startedAtMs;
        view.recordServiceTime(durationMs);
        demand.recordServiceTime(completion.row.name, durationMs);
      }
      return answer;
    } finally {
      view.localInFlight--;
    }
  }

  async #complete(
    completion: Completion,
    engine: upstream.Engine,
    attempt: upstream.CompletionAttempt,
  ): Promise<Result<Response, upstream.AttemptFailure>> {
    const answer = await engine.complete(attempt);
    return answer.map((bodyText) =>
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
      this.#parts.metrics.time("first_token", firstTokenMs);
    });
    if (failure === undefined) return ok(RESPONSE_ALREADY_SENT);
    const fault = attempt.signal.aborted ? "late" : failure.fault;
    return err({ ...failure, fault });
  }

  #breakStream(
    completion: Completion,
    relay: StreamRelay,
    failure: core.Failure,
  ): void {
    const isLate = completion.deadline.isOver();
    const code = isLate ? core.ANSWER_LATE : core.STREAM_BROKEN;
    relay.abort(core.fail(code, failure.detail, "yes"));
    if (completion.gone.aborted) return;
    this.#parts.metrics.count("streams_broken");
    this.#parts.logger.warn("stream_broken", {
      callerId: completion.callerId,
      model: completion.row.name,
      code: code.code,
      detail: failure.detail,
    });
  }

  /** Notes a failed attempt; returns the failure that ends the request. */
  #judge(
    completion: Completion,
    view: routing.EngineView,
    failure: upstream.AttemptFailure,
    progress: Progress,
  ): core.Failure | undefined {
    progress.attempts++;
    progress.tried.add(view.upstreamId);
    if (failure.ran !== "no") progress.ran = "unknown";
    progress.lastFailure = toFailure(failure);
    const nowMs = core.monotonicMs();
    if (failure.fault === "unreachable") {
      view.avoidUntilMs = nowMs + AVOID_UNREACHABLE_MS;
    }
    if (failure.fault === "refused") view.avoidUntilMs = nowMs + AVOID_FULL_MS;
    if (failure.fault === "rejected" || failure.fault === "late") {
      return progress.lastFailure;
    }
    if (completion.gone.aborted || progress.attempts >= ATTEMPTS_MAX) {
      return progress.lastFailure;
    }
    if (!this.#parts.retryBudget.trySpend()) {
      return core.refuse(
        core.RETRY_BUDGET_SPENT,
        progress.lastFailure.detail,
        LIMIT_RETRY_MS,
      );
    }
    this.#parts.metrics.count("retries");
    return undefined;
  }

  #refused(context: GatewayContext, failure: core.Failure): Response {
    const counter = failure.ran === "no" ? "refusals" : "failures";
    this.#parts.metrics.count(counter);
    if (failure.ran !== "no") {
      this.#parts.logger.warn("completion_failed", {
        code: failure.result.code,
        ran: failure.ran,
        detail: failure.detail,
      });
    }
    return problem(context, failure);
  }

  #noteEnd(
    completion: Completion,
    startedAtMs: number,
    failure: core.Failure | undefined,
  ): void {
    if (completion.gone.aborted) return;
    const { metrics, burn } = this.#parts;
    const met = failure === undefined && !completion.deadline.isOver();
    burn.record(completion.callerId, completion.row.name, met);
    if (failure) return;
    metrics.count("answers");
    metrics.time("whole_answer", core.monotonicMs() - startedAtMs);
  }
}

/**
 * Registers `POST /v1/chat/completions`.
 *
 * @example
 * ```ts
 * gateway.registerCompletions(app, parts);
 * ```
 */
export function registerCompletions(
  app: Hono<GatewayEnv>,
  parts: GatewayDependencies,
): void {
  const handler = new CompletionHandler(parts);
  app.post("/v1/chat/completions", (context) => handler.handle(context));
}

function withRan(failure: core.Failure, ran: core.Ran): core.Failure {
  return failure.ran === "no" && ran !== "no" ? { ...failure, ran } : failure;
}
