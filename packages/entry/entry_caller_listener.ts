/** Listens for callers and turns each request into a relay task. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as relay from "../relay/mod.ts";
import * as routes from "../routes/mod.ts";
import * as transport from "../transport/mod.ts";
import type { EntryState } from "./entry_state.ts";

/** Time that callers without a deadline are taken to wait. */
const DEADLINE_DEFAULT_MS = 60_000;
/** Suggested while this node knows no configuration. */
const NOT_READY_RETRY_MS = 500;
/** Largest header section; the configuration's limit is below. */
const HEADER_BYTES_MAX = 65_536;

/** Time left unused before the end of a stop. */
const STOP_MARGIN_MS = 300;
/** Slowest pace counted on, against a model's own: batches and prompts. */
const SLOWEST_PACE = 3;
/** Longest time counted on before a stream's first token. */
const FIRST_TOKEN_MAX_MS = 1_000;

/** Time that a generation may take at most; unknown for plain services. */
function longestMs(
  pace: dispatch.ModelPace,
  { model, outputTokensMax }: fleet.CallerRequest,
): number {
  if (model === undefined || outputTokensMax === 0) return Infinity;
  return FIRST_TOKEN_MAX_MS +
    outputTokensMax * pace.stepMs(model) * SLOWEST_PACE;
}

/** Counters of requests by their end. */
const COUNTED_AS = {
  done: "answers",
  refused: "refusals",
  failed: "failures",
  callerLeft: "callers_left",
} as const;

/** Serves callers on one address. */
export class CallerListener {
  readonly #state: EntryState;
  readonly #dialect: fleet.HttpDialect;
  readonly #placer: relay.Placer;
  readonly #server: Server;
  #keepsOpen = true;
  #refusalFromMs = Infinity;
  #stopEndsAtMs = Infinity;

  constructor(
    state: EntryState,
    dialect: fleet.HttpDialect,
    placer: relay.Placer,
  ) {
    this.#state = state;
    this.#dialect = dialect;
    this.#placer = placer;
    this.#server = createServer(
      { maxHeaderSize: HEADER_BYTES_MAX, requestTimeout: 0 },
      (request, response) => this.#take(request, response),
    );
  }

  /** Starts listening; the returned clean-up ends every connection. */
  listen({ host, port }: fleet.ListenAddress): Promise<core.Cleanup> {
    return transport.registerServer(this.#server, host, port);
  }

  /** Asks callers to close their connections after the next answer. */
  stopKeepingOpen(): void {
    this.#keepsOpen = false;
  }

  /**
   * Refuses requests from a moment on, unless no other node takes any and they
   * are sure to end before the process does.
   */
  refuseNew(fromMs: number, stopEndsAtMs: number): void {
    this.#refusalFromMs = fromMs;
    this.#stopEndsAtMs = stopEndsAtMs;
  }

  #mayTake(caller: fleet.CallerRequest, lastsMs: number): boolean {
    const nowMs = core.monotonicMs();
    if (nowMs < this.#refusalFromMs) return true;
    if (this.#state.members.callerAddresses().length > 0) return false;
    const leftMs = this.#stopEndsAtMs - nowMs - STOP_MARGIN_MS;
    return leftMs > Math.min(lastsMs, longestMs(this.#state.pace, caller));
  }

  #take(request: IncomingMessage, response: ServerResponse): void {
    this.#state.requests++;
    this.#state.metrics.count("requests");
    this.#relay(request, response).catch((thrown) => {
      const reason = core.messageOf(thrown);
      this.#state.logger.error("request_crashed", { reason });
      response.destroy();
    }).finally(() => {
      this.#state.requests--;
    });
  }

  async #relay(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const receivedAtMs = core.monotonicMs();
    const answer = new relay.CallerAnswer(response, () => this.#keepsOpen);
    const { config, table, hasUpstreams } = this.#state;
    if (!config || !table || !hasUpstreams) {
      return this.#refuse(request, answer, 503, "node takes no requests");
    }
    this.#server.keepAliveTimeout = config.idleTimeoutMs;
    this.#server.headersTimeout = config.headerTimeoutMs;
    const path = request.url ?? "/";
    const route = table.match(request.headers.host ?? "", path);
    if (!route) return this.#refuse(request, answer, 404, "no route");
    const caller = this.#dialect.readRequest(request.headers);
    if (caller.isErr()) {
      return this.#refuse(request, answer, 400, caller.error);
    }
    const deadlineMs = caller.value.deadlineMs ?? DEADLINE_DEFAULT_MS;
    const lastsMs = Math.min(deadlineMs, route.timeoutMs);
    if (!this.#mayTake(caller.value, lastsMs)) {
      return this.#refuse(request, answer, 503, "node is stopping");
    }
    const service = routes.pickTarget(route, Math.random());
    if (!service) return this.#refuse(request, answer, 503, "no service");
    const body = await this.#read(request, answer, config.bodyBytesMax);
    if (!body) return;
    this.#state.budget(service).noteRequest(receivedAtMs);
    await this.#run(
      {
        caller: caller.value,
        route,
        service,
        method: request.method ?? "GET",
        path,
        body,
        receivedAtMs,
        endsAtMs: receivedAtMs + lastsMs,
      },
      answer,
      response,
    );
  }

  async #run(
    request: relay.RelayedRequest,
    answer: relay.CallerAnswer,
    response: ServerResponse,
  ): Promise<void> {
    const ended = new AbortController();
    const onClose = () => {
      if (!response.writableFinished) ended.abort(new Error("caller left"));
    };
    response.on("close", onClose);
    if (response.destroyed) onClose();
    const timer = setTimeout(
      () => ended.abort(new Error("time is over")),
      request.endsAtMs - core.monotonicMs(),
    );
    const tools = {
      dialect: this.#dialect,
      placer: this.#placer,
      logger: this.#state.logger,
    };
    try {
      const task = new relay.RelayTask(request, answer, tools, ended.signal);
      this.#state.metrics.count(COUNTED_AS[await task.run()]);
    } finally {
      clearTimeout(timer);
      response.off("close", onClose);
      this.#measure(request, answer);
    }
  }

  #measure(
    { route, receivedAtMs }: relay.RelayedRequest,
    answer: relay.CallerAnswer,
  ): void {
    const { metrics } = this.#state;
    const { firstByteAtMs } = answer;
    if (firstByteAtMs === undefined) return;
    const name = route.kind === "stream" ? "first_token" : "service_call";
    metrics.time(name, firstByteAtMs - receivedAtMs);
    metrics.time("whole_answer", core.monotonicMs() - receivedAtMs);
  }

  async #read(
    request: IncomingMessage,
    answer: relay.CallerAnswer,
    bytesMax: number,
  ) {
    try {
      return await relay.readBody(request, bytesMax);
    } catch (thrown) {
      if (thrown instanceof relay.BodyTooLargeError) {
        this.#refuse(request, answer, 413, "body too large");
      } else {
        const reason = core.messageOf(thrown);
        this.#state.logger.info("body_broken", { reason });
        answer.breakOff();
      }
      return undefined;
    }
  }

  #refuse(
    request: IncomingMessage,
    answer: relay.CallerAnswer,
    status: number,
    reason: string,
  ): void {
    const retryAfterMs = status === 503 ? NOT_READY_RETRY_MS : undefined;
    // The unread body is taken in, so that the answer is not reset away.
    request.resume();
    answer.begin(status, {
      ...this.#dialect.writeRejection(retryAfterMs),
      "content-length": "0",
    }, core.monotonicMs());
    answer.end();
    this.#state.metrics.count("refusals");
    this.#state.logger.info("request_refused", {
      request: String(request.headers["request-id"] ?? ""),
      status,
      reason,
      configVersion: this.#state.config?.version,
    });
  }
}
