/**
 * HTTP listener for callers: admission control, then one relay task per
 * request.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as memory from "../memory/mod.ts";
import * as relay from "../relay/mod.ts";
import * as routes from "../routes/mod.ts";
import * as transport from "../transport/mod.ts";
import { CallerConnections } from "./entry_caller_connections.ts";
import { maxGenerationMs, targetOf } from "./entry_caller_request.ts";
import { rejectionFields } from "./quotas/entry_quotas.ts";
import type { EntryState } from "./entry_state.ts";
import { limitListener } from "./entry_system_listeners.ts";
import type { TakeUpResolver } from "./entry_take_ups.ts";
import { type AccessRejection, TeamAccess } from "./teams/entry_team_access.ts";

/** Deadline of requests that name none. */
const DEADLINE_DEFAULT_MS = 60_000;
const STATUS_BAD_GATEWAY = 502;
/** Retry-After of 503 responses: not configured yet, stopping, or no target. */
const UNAVAILABLE_RETRY_AFTER_MS = 500;
/** Largest header section; stays above the limit of the configuration. */
const HEADER_BYTES_MAX = 65_536;

/** Interval at which connections with incomplete headers are timed out. */
const HEADER_CHECK_INTERVAL_MS = 1_000;

/** Why an overloaded node rejects requests. */
const OVERLOADED = "node is overloaded";
/** Why a node that stops rejects or ends requests. */
const STOPPING = "node is stopping";
/** Statuses for bodies that were not read. */
const STATUS_BY_BODY_FAILURE = { tooLarge: 413, tooSlow: 408, shed: 503 };
/** Time kept free before the end of a planned stop. */
const STOP_MARGIN_MS = 300;
/** Metrics counter for each outcome of a request. */
const COUNTER_BY_OUTCOME = {
  done: "answers",
  refused: "refusals",
  failed: "failures",
  callerLeft: "callers_left",
} as const;

/** Accepts callers' requests on one address and relays them. */
export class CallerListener {
  readonly #state: EntryState;
  readonly #dialect: fleet.HttpDialect;
  readonly #selector: relay.UpstreamSelector;
  readonly #takeUps: TakeUpResolver;
  readonly #access: TeamAccess;
  readonly #server: Server;
  #keepsAlive = true;
  #rejectFromMs = Infinity;
  #stopEndsAtMs = Infinity;
  readonly #connections = new CallerConnections();
  readonly #ended = new AbortController();
  /** What the requests hold whose responses are not handed on whole. */
  readonly #holds = new WeakMap<relay.CallerResponse, memory.RequestHold>();
  /** End the requests that are queued or sent to an upstream. */
  readonly #endRunning = new Set<(reason: string) => void>();

  constructor(
    state: EntryState,
    dialect: fleet.HttpDialect,
    selector: relay.UpstreamSelector,
    takeUps: TakeUpResolver,
    access = new TeamAccess(state, dialect),
  ) {
    this.#access = access;
    this.#state = state;
    this.#dialect = dialect;
    this.#selector = selector;
    this.#takeUps = takeUps;
    this.#server = createServer(
      {
        maxHeaderSize: HEADER_BYTES_MAX,
        requestTimeout: 0,
        connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      },
      (request, response) => this.#handle(request, response),
    );
    state.overload.trackLink(this.#server);
    limitListener(state, this.#server, "callers", "callers");
    transport.finishBeforeParseErrors(this.#server);
    transport.keepOpenAsAnnounced(this.#server);
    state.onConfig = ({ idleTimeoutMs, headerTimeoutMs }) => {
      this.#server.keepAliveTimeout = idleTimeoutMs;
      this.#server.headersTimeout = headerTimeoutMs;
    };
  }

  /** Starts listening; the returned cleanup closes all connections. */
  listen(
    { host, port }: fleet.ListenAddress,
    patience?: transport.ListenPatience,
  ): Promise<core.Cleanup> {
    return transport.startServer(this.#server, host, port, patience);
  }

  /** Asks callers to close their connections after the next response. */
  disableKeepAlive(): void {
    this.#keepsAlive = false;
  }

  /**
   * Rejects new requests from `fromMs` on, unless no other node accepts callers
   * and the request is sure to end before `stopEndsAtMs`. Both are times of the
   * monotonic clock.
   */
  rejectNew(fromMs: number, stopEndsAtMs: number): void {
    this.#rejectFromMs = fromMs;
    this.#stopEndsAtMs = stopEndsAtMs;
  }

  /**
   * Ends all requests: those that may have run with an error, the others with a
   * rejection. Rejects new ones.
   */
  endAll(): void {
    this.#ended.abort();
    for (const end of this.#endRunning) end(STOPPING);
  }

  #canAdmit(
    caller: fleet.CallerRequest,
    { kind }: fleet.RouteSpec,
    deadlineAtMs: number,
  ): boolean {
    if (this.#ended.signal.aborted) return false;
    const nowMs = core.monotonicMs();
    if (nowMs < this.#rejectFromMs) return true;
    if (this.#state.members.callerAddresses().length > 0) return false;
    const remainingMs = this.#stopEndsAtMs - nowMs - STOP_MARGIN_MS;
    // What outlasts its estimate ends with an error, but a stream is cut off.
    const estimatedMs = kind === "stream"
      ? Infinity
      : maxGenerationMs(this.#state.stepTimes, caller);
    return remainingMs > Math.min(deadlineAtMs - nowMs, estimatedMs);
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    if (!this.#connections.add(request)) return void request.resume();
    this.#state.requestsInFlight++;
    this.#state.metrics.increment("requests");
    const reply = new relay.CallerResponse(
      response,
      () => this.#keepsAlive || !this.#connections.tryClose(response),
    );
    this.#relay(request, response, reply).catch(async (thrown) => {
      const reason = core.messageOf(thrown);
      this.#state.logger.error("request_crashed", { reason });
      // The request may have run, so this must not be a rejection.
      if (!request.complete) await relay.discardBody(request);
      reply.fail(STATUS_BAD_GATEWAY, core.monotonicMs());
      this.#state.metrics.increment("failures");
    }).then(() => reply.flushed()).finally(() => {
      this.#holds.get(reply)?.close();
      this.#state.requestsInFlight--;
      this.#state.overload.end(reply);
    });
  }

  async #relay(
    request: IncomingMessage,
    response: ServerResponse,
    reply: relay.CallerResponse,
  ): Promise<void> {
    const receivedAtMs = core.monotonicMs();
    const { config, table, hasReadUpstreams, hasReadMembers } = this.#state;
    if (!config || !table || !hasReadUpstreams || !hasReadMembers) {
      return this.#reject(
        request,
        reply,
        503,
        "configuration, upstream or member table not read yet",
      );
    }
    const path = request.url ?? "/";
    const route = table.match(request.headers.host ?? "", path);
    if (!route) return this.#reject(request, reply, 404, "no route matches");
    const access = this.#access.check(request.headers, route);
    if (access.isErr()) return this.#rejectAccess(request, reply, access.error);
    const hasTeams = this.#state.teams !== undefined;
    const caller = this.#dialect.readRequest(request.headers, { hasTeams });
    if (caller.isErr()) {
      return this.#reject(request, reply, 400, caller.error);
    }
    const deadlineMs = caller.value.deadlineMs ?? DEADLINE_DEFAULT_MS;
    const maxDurationMs = Math.min(deadlineMs, route.timeoutMs);
    const deadlineAtMs = receivedAtMs + maxDurationMs;
    if (!this.#canAdmit(caller.value, route, deadlineAtMs)) {
      return this.#reject(request, reply, 503, STOPPING);
    }
    if (!this.#mayBegin(caller.value, reply)) return this.#shed(request, reply);
    const service = routes.pickTarget(route, Math.random());
    if (!service) return this.#reject(request, reply, 503, "no target");
    const { limitReporter: reporter } = this.#state;
    const hold = memory.processMemory.openRequest(reporter);
    if (!hold) {
      return this.#reject(request, reply, 503, "too many requests in progress");
    }
    // Until everything is handed on, also to a client that reads slowly.
    this.#holds.set(reply, hold);
    const body = await relay.receiveBody(request, {
      bytesMax: config.bodyBytesMax,
      timeoutMs: maxDurationMs,
      hold,
      reporter,
    });
    if (body.isErr()) return this.#rejectBody(request, reply, body.error);
    this.#state.retryBudget(service).recordRequest(receivedAtMs);
    const takenUp = await this.#takeUps
      .resolve(caller.value, route, service, this.#ended.signal);
    if (takenUp.isErr()) {
      const { reason, retryAfterMs } = takenUp.error;
      return this.#reject(request, reply, 503, reason, retryAfterMs);
    }
    // Its key may have been removed meanwhile.
    const accessNow = this.#access.check(request.headers, route);
    if (accessNow.isErr()) {
      return this.#rejectAccess(request, reply, accessNow.error);
    }
    if (hold.isShed) {
      reporter.noteShed(memory.processMemory);
      return this.#reject(request, reply, 503, memory.OUT_OF_MEMORY);
    }
    // The body, or the lookup of a stream, may have taken long.
    if (!this.#canAdmit(caller.value, route, deadlineAtMs)) {
      return this.#reject(request, reply, 503, STOPPING);
    }
    if (!this.#mayBegin(caller.value, reply)) return this.#shed(request, reply);
    await this.#run(
      {
        caller: caller.value,
        route,
        ...(accessNow.value ? { team: accessNow.value } : {}),
        ...targetOf(route, service, takenUp.value),
        method: request.method ?? "GET",
        path,
        body: body.value,
        receivedAtMs,
        deadlineAtMs,
      },
      reply,
      response,
      hold,
    );
  }

  #rejectAccess(
    request: IncomingMessage,
    reply: relay.CallerResponse,
    { status, reason, retryAfterMs }: AccessRejection,
  ): void {
    this.#reject(request, reply, status, reason, retryAfterMs);
  }

  /** A stream that is taken up has begun, so it is not shed. */
  #mayBegin(
    { takenUpStream }: fleet.CallerRequest,
    reply: relay.CallerResponse,
  ): boolean {
    return this.#state.overload.mayBegin(reply, takenUpStream !== undefined);
  }

  #shed(request: IncomingMessage, reply: relay.CallerResponse): void {
    const { retryAfterMs } = this.#state.overload;
    this.#reject(request, reply, 503, OVERLOADED, retryAfterMs);
  }

  async #run(
    request: relay.RelayedRequest,
    reply: relay.CallerResponse,
    response: ServerResponse,
    hold: memory.RequestHold,
  ): Promise<void> {
    const aborter = new AbortController();
    const end = (reason: string, error = new Error(reason)) => {
      reply.stopWaiting();
      aborter.abort(error);
    };
    this.#endRunning.add(end);
    hold.onShed = () => {
      this.#state.limitReporter.noteShed(memory.processMemory);
      end(memory.OUT_OF_MEMORY);
    };
    const onClose = () => {
      if (!response.writableFinished) end("caller left");
    };
    const { socket } = response.req;
    response.on("close", onClose);
    // A response behind others of its connection does not see it close.
    socket.on("close", onClose);
    if (response.destroyed || socket.destroyed) onClose();
    const timer = setTimeout(
      () => end("deadline passed"),
      request.deadlineAtMs - core.monotonicMs(),
    );
    try {
      await this.#relayUnderQuota(
        request,
        reply,
        response,
        aborter.signal,
        (retryAfterMs) =>
          end(OVERLOADED, new relay.ShedError(OVERLOADED, retryAfterMs)),
      );
    } finally {
      clearTimeout(timer);
      this.#endRunning.delete(end);
      response.off("close", onClose);
      socket.off("close", onClose);
    }
  }

  async #relayUnderQuota(
    request: relay.RelayedRequest,
    reply: relay.CallerResponse,
    response: ServerResponse,
    signal: AbortSignal,
    shed: (retryAfterMs: number) => void,
  ): Promise<void> {
    const { quotas, overload, logger, metrics } = this.#state;
    const quota = await quotas.admit(request.team, request.caller, signal);
    if (quota.isErr()) {
      const { reason, retryAfterMs } = quota.error;
      const fields = rejectionFields(quota.error);
      return this
        .#reject(response.req, reply, 429, reason, retryAfterMs, fields);
    }
    const task = new relay.RelayTask(
      request,
      reply,
      { dialect: this.#dialect, selector: this.#selector, logger },
      signal,
    );
    const removeWaiting = overload.addWaiting({
      receivedAtMs: request.receivedAtMs,
      // A stream that is taken up has begun.
      isBegun: () => request.caller.takenUpStream !== undefined || task.wasSent,
      shed,
    });
    try {
      metrics.increment(COUNTER_BY_OUTCOME[await task.run()]);
      if (!task.mayHaveRun) quota.value.refund();
    } finally {
      removeWaiting();
      this.#recordLatency(request, reply);
    }
  }

  #recordLatency(
    { route, receivedAtMs }: relay.RelayedRequest,
    reply: relay.CallerResponse,
  ): void {
    const { metrics } = this.#state;
    const { firstByteAtMs } = reply;
    if (firstByteAtMs === undefined) return;
    const name = route.kind === "stream" ? "first_token" : "service_call";
    metrics.recordDuration(name, firstByteAtMs - receivedAtMs);
    metrics.recordDuration("whole_answer", core.monotonicMs() - receivedAtMs);
  }

  #rejectBody(
    request: IncomingMessage,
    reply: relay.CallerResponse,
    { kind, reason }: relay.BodyFailure,
  ): void {
    if (kind !== "left") {
      const status = STATUS_BY_BODY_FAILURE[kind];
      return this.#reject(request, reply, status, reason);
    }
    this.#state.logger.info("request_body_incomplete", { reason });
    reply.abort();
  }

  #reject(
    request: IncomingMessage,
    reply: relay.CallerResponse,
    status: number,
    reason: string,
    retryAfterMs = status === 503 ? UNAVAILABLE_RETRY_AFTER_MS : undefined,
    fields: core.LogFields = {},
  ): void {
    reply.start(status, {
      ...this.#dialect.writeRejection(retryAfterMs),
      "content-length": "0",
    }, core.monotonicMs());
    if (request.complete) reply.end();
    else {
      // A connection that closes on unread bytes is reset.
      reply.flushHeaders();
      relay.discardBody(request).then(() => reply.end());
    }
    this.#state.metrics.increment("refusals");
    this.#state.logger.info("request_refused", {
      request: String(request.headers["request-id"] ?? ""),
      status,
      reason,
      configVersion: this.#state.config?.version,
      ...fields,
    });
  }
}
