/** Places requests: chooses, waits where that is worth while, or refuses. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as relay from "../relay/mod.ts";
import type { EntryState } from "./entry_state.ts";

/** Longest wait for an engine; callers leave a silent stream after 2.4 s. */
const WAIT_MAX_MS = 2_100;
/** Wait that is left unused, so that a first event can still arrive. */
const WAIT_MARGIN_MS = 300;
/** Suggested when no upstream of a service is known. */
const NO_UPSTREAM_RETRY_MS = 500;
/** Suggested where too much waits: a further copy takes 2 s to be loaded. */
const WAITED_RETRY_MS = 2_000;
/** Share of an engine that one decoding request takes up. */
const DECODE_SHARE = 1 / 32;

type Placed = Result<relay.Placement, relay.Refusal>;

/** Places requests by the node's state. */
export class EntryPlacer extends relay.Placer {
  readonly #state: EntryState;
  readonly #asked = new WeakSet<relay.RelayedRequest>();
  /** Called when a request begins to wait. */
  onWait: () => void = () => {};

  constructor(state: EntryState) {
    super();
    this.#state = state;
  }

  override tryRetry(service: core.ServiceName): boolean {
    const allowed = this.#state.budget(service)
      .trySpend(this.#state.members.count(), core.monotonicMs());
    if (allowed) this.#state.metrics.count("retries");
    return allowed;
  }

  override async place(
    request: relay.RelayedRequest,
    tried: ReadonlySet<core.UpstreamId>,
    signal: AbortSignal,
  ): Promise<Placed> {
    const service = this.#state.config?.services.get(request.service);
    const { model } = request.caller;
    if (!service) return refuse("service is not configured");
    if (!service.engine || model === undefined) {
      return this.#placeOnInstance(request, service, tried);
    }
    const nowMs = core.monotonicMs();
    if (!this.#asked.has(request)) {
      this.#asked.add(request);
      this.#noteDemand(request, model, nowMs);
    }
    const choose = () =>
      this.#placeOnEngine(request, service, service.engine!, model, tried);
    return choose() ?? await this.#wait(request, model, choose, signal);
  }

  /** Tries to place the requests that wait. */
  drain(): void {
    this.#state.queue.drain(core.monotonicMs());
  }

  #noteDemand(
    { caller }: relay.RelayedRequest,
    model: core.ModelName,
    nowMs: number,
  ): void {
    const workMs = this.#workOf(caller, model);
    this.#state.demand.arrive(model, caller.adapter, workMs, nowMs);
  }

  /** Engine time that a request is expected to take. */
  #workOf(caller: fleet.CallerRequest, model: core.ModelName): number {
    const { pace, output } = this.#state;
    const tokens = output.expected(caller.outputTokensMax);
    const decodeMs = tokens * pace.stepMs(model) * DECODE_SHARE;
    return pace.prefillMs(model, caller.promptTokens) + decodeMs;
  }

  /** Time until what waits before a request has been begun, by all nodes. */
  #aheadMs(
    request: relay.RelayedRequest,
    model: core.ModelName,
    weights: string,
  ): number {
    const { board, queue, members } = this.#state;
    const nowMs = core.monotonicMs();
    let copies = 0;
    for (const engine of board.ofService(request.service)) {
      if (engine.canRun(model, request.caller.adapter, nowMs)) copies++;
    }
    // Without a copy the wait is for a load, however many wait for it.
    if (copies === 0) return 0;
    const ownMs = queue.workAheadMs(weights, request.route.priority);
    return ownMs * members.alive().length / copies;
  }

  #placeOnInstance(
    request: relay.RelayedRequest,
    service: fleet.ServiceSpec,
    tried: ReadonlySet<core.UpstreamId>,
  ): Placed {
    const instances = this.#state.board.ofService(request.service);
    const excluded = this.#excluded(instances, tried);
    const nowMs = core.monotonicMs();
    const instance = dispatch.chooseInstance(instances, excluded, nowMs) ??
      dispatch.chooseInstance(instances, new Set(), nowMs);
    if (!instance) return refuse("no upstream of the service is known");
    return ok(this.#start(instance, service, {
      weights: "",
      tokens: 0,
      outputTokensMax: 0,
      prefillMs: 0,
      sentAtMs: nowMs,
      hasAnswer: false,
    }, 0));
  }

  #placeOnEngine(
    request: relay.RelayedRequest,
    service: fleet.ServiceSpec,
    spec: fleet.EngineSpec,
    model: core.ModelName,
    tried: ReadonlySet<core.UpstreamId>,
  ): Placed | undefined {
    const { board, pace } = this.#state;
    const { adapter, promptTokens, outputTokensMax, promptParts: parts } =
      request.caller;
    const engines = board.ofService(request.service);
    const nowMs = core.monotonicMs();
    const needs: dispatch.RequestNeeds = {
      model,
      ...(adapter === undefined ? {} : { adapter }),
      promptTokens,
      outputTokensMax,
      parts,
      pauseMaxMs: request.route.eventGapTargetMs,
    };
    const excluded = this.#excluded(engines, tried);
    const context = { pace, spec, nowMs };
    const choice = dispatch.chooseEngine(engines, needs, {
      ...context,
      excluded,
    });
    if (!choice) return undefined;
    const weights = weightsOf(model, adapter);
    choice.engine.prefixes.remember(weights, parts);
    return ok(this.#start(
      choice.engine,
      service,
      {
        weights,
        model,
        tokens: promptTokens + outputTokensMax,
        outputTokensMax,
        prefillMs: choice.prefillMs,
        sentAtMs: nowMs,
        hasAnswer: false,
      },
      choice.firstEventMs,
      spec.tokensPerEvent,
    ));
  }

  #excluded(
    engines: Iterable<dispatch.EngineState>,
    tried: ReadonlySet<core.UpstreamId>,
  ): ReadonlySet<dispatch.EngineState> {
    const excluded = new Set<dispatch.EngineState>();
    if (tried.size === 0) return excluded;
    for (const engine of engines) {
      if (tried.has(engine.record.id)) excluded.add(engine);
    }
    return excluded;
  }

  #start(
    engine: dispatch.EngineState,
    service: fleet.ServiceSpec,
    work: dispatch.EngineWork,
    estimatedMs: number,
    eventTokens = 1,
  ): relay.Placement {
    const { pools, members, pace, output } = this.#state;
    const { model } = work;
    const finish = engine.start(work);
    return {
      upstream: engine.record,
      basis: {
        estimatedMs: Math.round(estimatedMs),
        prefillMs: Math.round(work.prefillMs),
        aheadMs: Math.round(engine.prefillBacklogMs - work.prefillMs),
        inFlight: engine.inFlight,
        slowness: engine.slowness.toFixed(2),
        othersAgeMs: Math.round(engine.othersAgeMs(work.sentAtMs)),
      },
      dispatcher: pools
        .get(engine.record, service.connectionsMax, members.count()),
      answered: (nowMs) => {
        engine.answered(work, estimatedMs, nowMs);
        this.drain();
      },
      heard: (nowMs) => engine.health.heard(nowMs),
      refused: (lacksModel, nowMs) =>
        engine.noteRefused(work.weights, lacksModel, nowMs),
      noteLength: (events) =>
        output.note(events * eventTokens, work.outputTokensMax),
      noteGap: (gapMs) => {
        if (model !== undefined) pace.noteGap(model, gapMs, eventTokens);
      },
      end: (outcome) => {
        finish();
        if (outcome !== "shed" && outcome !== "cancelled") {
          engine.health.note(outcome, core.monotonicMs());
        }
        this.drain();
      },
    };
  }

  #wait(
    request: relay.RelayedRequest,
    model: core.ModelName,
    choose: () => Placed | undefined,
    signal: AbortSignal,
  ): Promise<Placed> {
    const { queue, demand } = this.#state;
    const { caller, route, receivedAtMs, endsAtMs } = request;
    const nowMs = core.monotonicMs();
    const untilMs = Math.min(
      receivedAtMs + WAIT_MAX_MS,
      endsAtMs - WAIT_MARGIN_MS,
    );
    if (untilMs <= nowMs) {
      return Promise.resolve(refuse("no engine in time", WAITED_RETRY_MS));
    }
    const weights = weightsOf(model, caller.adapter);
    const workMs = this.#workOf(caller, model);
    const aheadMs = this.#aheadMs(request, model, weights);
    if (nowMs + aheadMs > untilMs) {
      const reason = `queue is ${Math.round(aheadMs)} ms long`;
      return Promise.resolve(refuse(reason, WAITED_RETRY_MS));
    }
    const waited = demand.wait(model, caller.adapter, nowMs);
    this.onWait();
    return new Promise((resolve) => {
      const settle = (placed: Placed) => {
        clearTimeout(timer);
        signal.removeEventListener("abort", stop);
        leave();
        waited();
        resolve(placed);
      };
      const stop = () => settle(refuse("request ended while waiting"));
      const leave = queue.add({
        priority: route.priority,
        arrivedAtMs: receivedAtMs,
        aimAtMs: receivedAtMs + route.latencyTargetMs,
        weights,
        workMs,
        tryPlace: () => {
          const placed = choose();
          if (placed) settle(placed);
          return placed !== undefined;
        },
      });
      const timer = setTimeout(
        () => settle(refuse("no engine in time", WAITED_RETRY_MS)),
        untilMs - nowMs,
      );
      signal.addEventListener("abort", stop, { once: true });
    });
  }
}

function weightsOf(model: core.ModelName, adapter: string | undefined): string {
  return adapter === undefined ? model : `${model}/${adapter}`;
}

function refuse(reason: string, retryAfterMs = NO_UPSTREAM_RETRY_MS): Placed {
  return err({ reason, retryAfterMs });
}
