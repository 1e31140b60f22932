/** Completions: route, attempt, retry elsewhere, relay. */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import {
  array,
  boolean,
  Codec,
  type GetType,
  nullable,
  number,
  optional,
  string,
  unknown,
} from "purify-ts";
import * as core from "../core/mod.ts";
import * as routing from "../routing/mod.ts";
import * as table from "../table/mod.ts";
import type * as upstream from "../upstream/mod.ts";
import {
  callerGone,
  callerTokens,
  problem,
  readDeadline,
} from "./gateway_request.ts";
import { ColdRows } from "./gateway_cold.ts";
import { StreamRelay } from "./gateway_relay.ts";
import type {
  GatewayContext,
  GatewayEnv,
  GatewayParts,
} from "./gateway_types.ts";

const TOKENS_ASSUMED = 16;
const PREFIX_CHARACTERS = 256;
const ATTEMPTS_MAX = 4;
/** An engine that could not be reached is left alone for so long. */
const AVOID_UNREACHABLE_MS = 1_000;
const AVOID_FULL_MS = 100;
const LIMIT_RETRY_MS = 500;

const CompletionCodec = Codec.interface({
  model: string,
  messages: array(Codec.interface({ role: string, content: unknown })),
  stream: optional(nullable(boolean)),
  max_tokens: optional(nullable(number)),
  max_completion_tokens: optional(nullable(number)),
});

type CompletionBody = GetType<typeof CompletionCodec>;

/** One caller's completion on its way through. */
interface Completion {
  readonly context: GatewayContext;
  readonly callerId: core.CallerId;
  readonly row: table.TableRow;
  readonly artifactId: core.ArtifactId;
  readonly bodyText: string;
  readonly streams: boolean;
  readonly tokensMax: number;
  readonly prefixHash: number;
  readonly deadline: core.Deadline;
  /** Aborted when the caller is gone. */
  readonly gone: AbortSignal;
}

/** What attempts at one completion have come to so far. */
interface Progress {
  attempts: number;
  ran: core.Ran;
  lastFailure: core.Failure;
  readonly tried: Set<core.UpstreamId>;
}

/** Serves `POST /v1/chat/completions`. */
export class CompletionHandler {
  readonly #parts: GatewayParts;
  readonly #tokens;
  readonly #cold: ColdRows;

  constructor(parts: GatewayParts) {
    this.#parts = parts;
    this.#tokens = callerTokens(parts.settings);
    this.#cold = new ColdRows(parts);
  }

  /** Answers one request. */
  async handle(context: GatewayContext): Promise<Response> {
    const startedAtMs = core.monotonicMs();
    this.#parts.metrics.count("requests");
    const completion = await this.#read(context);
    if (completion.isErr()) return this.#refused(context, completion.error);
    const admitted = await this.#admit(completion.value);
    if (admitted.isErr()) {
      this.#noteEnd(completion.value, startedAtMs, admitted.error);
      return this.#refused(context, admitted.error);
    }
    try {
      this.#parts.retryBudget.earn();
      const answer = await this.#serve(completion.value);
      const failure = answer.isErr() ? answer.error : undefined;
      this.#noteEnd(completion.value, startedAtMs, failure);
      if (answer.isOk()) return answer.value;
      return this.#refused(context, answer.error);
    } finally {
      await admitted.value();
    }
  }

  async #read(
    context: GatewayContext,
  ): Promise<Result<Completion, core.Failure>> {
    const callerId = this.#tokens.find(context.req.header("authorization"));
    if (!callerId) return err(core.refuse(core.TOKEN_INVALID, "who is this?"));
    const text = await context.req.text();
    const decoded = core.decodeJson(text, CompletionCodec);
    if (decoded.isErr()) {
      return err(core.refuse(core.BODY_INVALID, decoded.error));
    }
    const body = decoded.value;
    const row = this.#parts.keeper.row(core.brandId(body.model))?.row;
    if (!row && this.#parts.keeper.isKnown) {
      return err(core.refuse(core.MODEL_UNKNOWN, `no row named ${body.model}`));
    }
    if (!row) return err(core.refuse(core.TABLE_NOT_READY, "no table yet"));
    const fault = tokensFault(body);
    if (fault) return err(core.refuse(core.BODY_INVALID, fault));
    return readDeadline(context, row.deadlineMs).map((deadline) => ({
      context,
      callerId,
      row,
      artifactId: table.artifactOf(row),
      bodyText: rewriteModel(text, table.artifactOf(row)),
      streams: body.stream ?? false,
      tokensMax: tokensOf(body) ?? TOKENS_ASSUMED,
      prefixHash: core.hash32(text.slice(0, PREFIX_CHARACTERS)),
      deadline,
      gone: callerGone(context),
    }));
  }

  async #admit(
    completion: Completion,
  ): Promise<Result<core.Cleanup, core.Failure>> {
    const { admission, limits, demand } = this.#parts;
    const entered = admission.enter();
    if (entered.isErr()) return entered;
    const { row } = completion;
    demand.arrive(row.name);
    const { inProgressMax } = row.limits;
    if (inProgressMax === undefined) return entered;
    const left = await limits.enter(row.name, inProgressMax);
    if (left) return ok(core.mergeCleanups(entered.value, left));
    await entered.value();
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
      const answer = await this.#attempt(completion, view.value);
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
    const holders = fleet.usable().filter((view) => view.holds(artifactId));
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
      completion.gone,
    );
    if (waited.isErr()) return err(waited.error);
    const { fleet, policy } = this.#parts;
    const holders = fleet.usable()
      .filter((view) => view.holds(completion.artifactId));
    const view = policy.choose(holders, this.#routed(completion));
    if (view) return ok(view);
    return err(core.refuse(core.NO_UPSTREAM, "no engine is live"));
  }

  /** Refuses at once what cannot be answered before its deadline. */
  #inTime(
    completion: Completion,
    view: routing.EngineView,
    request: routing.RoutedRequest,
    holders: readonly routing.EngineView[],
  ): Result<routing.EngineView, core.Failure> {
    const { wholeInMs } = routing.estimate(view, request);
    const remainingMs = completion.deadline.remainingMs();
    if (wholeInMs <= remainingMs) return ok(view);
    const soonestMs = Math.min(
      ...holders.map((other) => routing.estimate(other, request).wholeInMs),
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
    };
    const engine = clients.engine(view);
    const startedAtMs = core.monotonicMs();
    view.ownInProgress++;
    try {
      const answer = completion.streams
        ? await this.#stream(completion, engine, attempt)
        : await this.#complete(completion, engine, attempt);
      if (answer.isOk()) {
        const durationMs = core.monotonicMs() - startedAtMs;
        view.noteServed(durationMs);
        demand.served(completion.row.name, durationMs);
      }
      return answer;
    } finally {
      view.ownInProgress--;
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
    completion: Completion,
    engine: upstream.Engine,
    attempt: upstream.CompletionAttempt,
  ): Promise<Result<Response, upstream.AttemptFailure>> {
    const startedAtMs = core.monotonicMs();
    const opened = await engine.stream(attempt);
    if (opened.isErr()) return err(opened.error);
    const relay = new StreamRelay(completion.context.env.outgoing);
    const failure = await relay.run(opened.value, () => {
      const firstTokenMs = core.monotonicMs() - startedAtMs;
      this.#parts.metrics.time("first_token", firstTokenMs);
    });
    if (failure === undefined) return ok(RESPONSE_ALREADY_SENT);
    if (!relay.hasStarted) return err(failure);
    this.#breakStream(completion, relay, failure, attempt.signal.aborted);
    return ok(RESPONSE_ALREADY_SENT);
  }

  #breakStream(
    completion: Completion,
    relay: StreamRelay,
    failure: upstream.AttemptFailure,
    isLate: boolean,
  ): void {
    const code = isLate ? core.ANSWER_LATE : core.STREAM_BROKEN;
    relay.break(core.fail(code, failure.detail, "yes"));
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
  parts: GatewayParts,
): void {
  const handler = new CompletionHandler(parts);
  app.post("/v1/chat/completions", (context) => handler.handle(context));
}

function rewriteModel(text: string, artifactId: core.ArtifactId): string {
  const body = JSON.parse(text) as Record<string, unknown>;
  return JSON.stringify({ ...body, model: artifactId });
}

function tokensOf(body: CompletionBody): number | undefined {
  return body.max_completion_tokens ?? body.max_tokens ?? undefined;
}

function tokensFault(body: CompletionBody): string | undefined {
  if (body.messages.length === 0) return "messages is empty";
  const tokens = tokensOf(body);
  if (tokens === undefined) return undefined;
  if (Number.isInteger(tokens) && tokens > 0) return undefined;
  return "max_tokens must be a positive whole number";
}

function withRan(failure: core.Failure, ran: core.Ran): core.Failure {
  return failure.ran === "no" && ran !== "no" ? { ...failure, ran } : failure;
}

const RETRY_UPSTREAM_MS = 200;

function toFailure(failure: upstream.AttemptFailure): core.Failure {
  const { fault, ran, detail } = failure;
  switch (fault) {
    case "unreachable":
      return core.refuse(core.UPSTREAM_UNREACHABLE, detail, RETRY_UPSTREAM_MS);
    case "refused":
      return core.refuse(core.UPSTREAM_REFUSED, detail, RETRY_UPSTREAM_MS);
    case "rejected":
      return core.refuse(core.BODY_INVALID, detail);
    case "foreign":
      return core.fail(core.ANSWER_FOREIGN, detail, ran);
    case "late":
      return core.fail(core.ANSWER_LATE, detail, ran);
    case "broke":
      return core.fail(core.UPSTREAM_BROKE, detail, ran);
  }
}
