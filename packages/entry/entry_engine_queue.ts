/** Waits of requests for an engine, and the demand that they are counted in. */
import { err, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import type * as fairness from "../fairness/mod.ts";
import * as fleet from "../fleet/mod.ts";
import type * as rates from "../rates/mod.ts";
import type * as relay from "../relay/mod.ts";
import type { EntryState } from "./entry_state.ts";

export type SelectionResult = Result<
  relay.UpstreamAssignment,
  relay.Rejection
>;

/** The wait behind other requests, and the end of the next load if any. */
interface QueueState {
  readonly waitMs: number;
  readonly readyAtMs: number | undefined;
  /** Why all engines that can run it get no requests until then, if so. */
  readonly heldBack: "quiet" | "rateLimit" | undefined;
}

const HELD_BACK_REASONS = {
  quiet: "all engines with the model ask for quiet",
  rateLimit: "all engines with the model are at their rate limits",
} as const;

/** Share of an engine's time that one decoding request takes. */
const DECODE_ENGINE_SHARE = 1 / 32;
/** Shortest Retry-After of requests that got no permit. */
const PERMIT_RETRY_MIN_MS = 100;

/** Names the queue of a service without models; no model's name has a space. */
function toServiceKey(service: core.ServiceName): string {
  return `service ${service}`;
}

function placeOf(
  request: relay.RelayedRequest,
  model: core.ModelName,
): fairness.QueuePlace {
  return {
    ...teamOf(request),
    modelKey: dispatch.toModelKey(model, request.caller.adapter),
  };
}

function placeOfService(request: relay.RelayedRequest): fairness.QueuePlace {
  return { ...teamOf(request), modelKey: toServiceKey(request.service) };
}

function teamOf(request: relay.RelayedRequest) {
  const { team } = request;
  return {
    priority: fleet.priorityOf(request),
    ...(team === undefined ? {} : { team: team.name }),
  };
}

/** Queues requests until an engine is free, unless that would take too long. */
export class EngineQueue {
  readonly #state: EntryState;
  readonly #rateGate: rates.RateGate;
  readonly #onQueued: () => void;
  /** Requests counted in the demand, so that retries are not counted again. */
  readonly #counted = new WeakSet<relay.RelayedRequest>();

  /** @param onQueued called when a request is queued. */
  constructor(
    state: EntryState,
    rateGate: rates.RateGate,
    onQueued: () => void,
  ) {
    this.#state = state;
    this.#rateGate = rateGate;
    this.#onQueued = onQueued;
  }

  /** Counts a request in the demand for its model, once. */
  countDemand(request: relay.RelayedRequest, model: core.ModelName): void {
    if (this.#counted.has(request)) return;
    this.#counted.add(request);
    const { caller } = request;
    const workMs = this.#estimateWorkMs(caller, model);
    const nowMs = core.monotonicMs();
    const { demand, teamOrder } = this.#state;
    demand.recordArrival(model, caller.adapter, workMs, nowMs);
    teamOrder.recordArrival(placeOf(request, model), workMs, nowMs);
  }

  /**
   * Selects an engine without a wait, unless requests of other teams that wait
   * are to be served first.
   */
  selectNow(
    request: relay.RelayedRequest,
    model: core.ModelName,
    trySelect: () => SelectionResult | undefined,
    history: relay.AttemptHistory,
  ): SelectionResult | undefined {
    const ordered = this.#toOrdered(request, model, history);
    const selected = this.#state.queue.selectOnArrival(ordered, trySelect);
    return selected && this.#withCorrection(selected, request, model, ordered);
  }

  /**
   * Waits until an engine is selected. A response that has begun is queued for
   * all its time, as it can no longer be rejected.
   *
   * @param trySelect returns undefined while the request has to wait on.
   * @param signal ends the wait.
   */
  async wait(
    request: relay.RelayedRequest,
    model: core.ModelName,
    trySelect: () => SelectionResult | undefined,
    history: relay.AttemptHistory,
    signal: AbortSignal,
  ): Promise<SelectionResult> {
    const { queue, demand } = this.#state;
    const { hasStarted, softwareVersion } = history;
    const { caller, route, receivedAtMs, deadlineAtMs } = request;
    const nowMs = core.monotonicMs();
    const waitUntilMs = hasStarted
      ? deadlineAtMs
      : dispatch.queueUntilMs(route, receivedAtMs, deadlineAtMs);
    const ordered = this.#toOrdered(request, model, history);
    const view = () =>
      this.#view(request, model, ordered.workMs, softwareVersion);
    const rejectWithReturn = (reason: string): SelectionResult => {
      const { waitMs, readyAtMs, heldBack } = view();
      const readyInMs = readyAtMs === undefined
        ? undefined
        : readyAtMs - core.monotonicMs();
      // A permit does not come sooner, unlike a load that is estimated.
      const retryAfterMs = heldBack === "rateLimit"
        ? Math.max(PERMIT_RETRY_MIN_MS, readyInMs ?? 0)
        : dispatch.retryAfterMs(waitMs, readyInMs);
      return err({ reason, retryAfterMs });
    };
    if (waitUntilMs <= nowMs) return rejectWithReturn("no engine in time");
    const { waitMs, readyAtMs, heldBack } = view();
    if (!hasStarted && heldBack && (readyAtMs ?? 0) > waitUntilMs) {
      return rejectWithReturn(HELD_BACK_REASONS[heldBack]);
    }
    if (!hasStarted && nowMs + waitMs > waitUntilMs) {
      return rejectWithReturn(`queue is ${Math.round(waitMs)} ms long`);
    }
    const stopTracking = demand
      .trackQueued(model, caller.adapter, nowMs, softwareVersion);
    this.#onQueued();
    const selected = await queue.wait({
      ...ordered,
      ...(softwareVersion === undefined ? {} : { softwareVersion }),
    }, {
      trySelect,
      waitUntilMs,
      signal,
      giveUp: () => rejectWithReturn("no engine in time"),
    });
    stopTracking();
    return this.#withCorrection(selected, request, model, ordered);
  }

  /**
   * Expected time until a request to a service without models gets a permit for
   * an upstream; undefined if none of them has a rate limit that keeps it.
   */
  permitWaitMs(request: relay.RelayedRequest): number | undefined {
    const { upstreams, queue } = this.#state;
    const { service } = request;
    const nowMs = core.monotonicMs();
    const { count } = queue.ahead(placeOfService(request));
    const waitsMs = [...upstreams.ofService(service)]
      .filter((upstream) =>
        upstream.maySend(nowMs) &&
        this.#rateGate.isBarred(upstream.record, nowMs)
      )
      .map(({ record }) => this.#rateGate.expectedWaitMs(record, count, nowMs));
    return waitsMs.length === 0 ? undefined : Math.min(...waitsMs);
  }

  /**
   * Waits until such a request gets a permit, if that is likely to be in time
   * for its latency target.
   *
   * @param signal ends the wait.
   */
  waitForPermit(
    request: relay.RelayedRequest,
    trySelect: () => SelectionResult | undefined,
    hasStarted: boolean,
    signal: AbortSignal,
  ): SelectionResult | Promise<SelectionResult> {
    const { route, receivedAtMs, deadlineAtMs } = request;
    const targetAtMs = receivedAtMs + route.latencyTargetMs;
    const waitUntilMs = hasStarted
      ? deadlineAtMs
      : Math.min(deadlineAtMs, targetAtMs);
    const giveUp = (): SelectionResult =>
      err({
        reason: "all upstreams of the service are at their rate limits",
        retryAfterMs: Math.max(
          PERMIT_RETRY_MIN_MS,
          this.permitWaitMs(request) ?? 0,
        ),
      });
    const readyAtMs = core.monotonicMs() + (this.permitWaitMs(request) ?? 0);
    if (!hasStarted && readyAtMs > waitUntilMs) return giveUp();
    return this.#state.queue.wait({
      ...placeOfService(request),
      isContinuation: hasStarted,
      arrivedAtMs: receivedAtMs,
      targetAtMs,
      workMs: 0,
    }, { trySelect, waitUntilMs, signal, giveUp });
  }

  /** Estimates the engine time that a request takes, in ms. */
  #estimateWorkMs(
    caller: fleet.CallerRequest,
    model: core.ModelName,
    outputTokens?: number,
  ): number {
    const { stepTimes, outputLengths } = this.#state;
    const tokens = outputTokens ??
      outputLengths.expected(caller.outputTokensMax);
    const decodeMs = tokens * stepTimes.stepMs(model) * DECODE_ENGINE_SHARE;
    return stepTimes.prefillMs(model, caller.promptTokens) + decodeMs;
  }

  #toOrdered(
    request: relay.RelayedRequest,
    model: core.ModelName,
    { hasStarted, softwareVersion }: relay.AttemptHistory,
  ): fairness.OrderedRequest {
    const { caller, route, receivedAtMs, deadlineAtMs } = request;
    return {
      ...placeOf(request, model),
      isContinuation: hasStarted || softwareVersion !== undefined,
      arrivedAtMs: receivedAtMs,
      targetAtMs: hasStarted
        ? deadlineAtMs
        : receivedAtMs + route.latencyTargetMs,
      workMs: this.#estimateWorkMs(caller, model),
    };
  }

  /** Corrects what a team is charged for a request when more is known. */
  #withCorrection(
    selected: SelectionResult,
    request: relay.RelayedRequest,
    model: core.ModelName,
    ordered: fairness.OrderedRequest,
  ): SelectionResult {
    if (request.team === undefined) return selected;
    const { teamOrder, config } = this.#state;
    const tokensPerEvent =
      config?.services.get(request.service)?.engine?.tokensPerEvent ?? 1;
    return selected.map((assignment) => ({
      ...assignment,
      onStreamLength: (events) => {
        assignment.onStreamLength(events);
        const tokens = events * tokensPerEvent;
        const workMs = this.#estimateWorkMs(request.caller, model, tokens);
        teamOrder.correctGrant(ordered, workMs);
      },
      onEnd: (outcome) => {
        const hasNotRun = outcome === "shed" || outcome === "unreachable";
        if (hasNotRun) teamOrder.correctGrant(ordered, 0);
        assignment.onEnd(outcome);
      },
    }));
  }

  /**
   * Describes the queue that a request for a model would join.
   *
   * @param softwareVersion the only one at which it may run, if there is one.
   */
  #view(
    request: relay.RelayedRequest,
    model: core.ModelName,
    workMs: number,
    softwareVersion: core.SoftwareVersion | undefined,
  ): QueueState {
    const { upstreams, queue } = this.#state;
    const { adapter } = request.caller;
    const place = placeOf(request, model);
    const nowMs = core.monotonicMs();
    let replicas = 0;
    let readyAtMs: number | undefined;
    let heldUntilMs = Infinity;
    let heldBack: QueueState["heldBack"];
    const ahead = queue.ahead(place);
    for (const engine of upstreams.ofService(request.service)) {
      const isOfVersion = softwareVersion === undefined ||
        engine.record.softwareVersion === softwareVersion;
      if (!isOfVersion) continue;
      const isQuiet = engine.quiet.isActive(nowMs);
      const isHeld = isQuiet || this.#rateGate.isBarred(engine.record, nowMs);
      const canRun = engine.canRun(model, adapter, nowMs);
      if (canRun && !isHeld) replicas++;
      const freeAtMs = !canRun || !isHeld
        ? engine.replicas.get(model)?.readyAtMs
        : isQuiet
        ? engine.quiet.untilMs
        : nowMs +
          this.#rateGate.expectedWaitMs(engine.record, ahead.count, nowMs);
      if (canRun && isHeld && freeAtMs! < heldUntilMs) {
        heldUntilMs = freeAtMs!;
        heldBack = isQuiet ? "quiet" : "rateLimit";
      }
      if (freeAtMs === undefined || freeAtMs <= nowMs) continue;
      readyAtMs = Math.min(readyAtMs ?? freeAtMs, freeAtMs);
    }
    const waitMs = dispatch.estimateQueueWaitMs({
      ...this.#workAhead(place, ahead, softwareVersion),
      workMs,
      replicas,
    });
    // What only such engines can run waits for the first of them.
    const isHeldBack = replicas === 0 && heldUntilMs === readyAtMs;
    return { waitMs, readyAtMs, heldBack: isHeldBack ? heldBack : undefined };
  }

  /**
   * What goes before a request. Other nodes don't tell which of their queued
   * requests continue a response, and at which version.
   */
  #workAhead(
    place: fairness.QueuePlace,
    ahead: fairness.QueueAhead,
    softwareVersion: core.SoftwareVersion | undefined,
  ): Omit<dispatch.QueueView, "workMs" | "replicas"> {
    const { queue, fleetQueues, teamOrder } = this.#state;
    const { modelKey, priority } = place;
    const localTotalMs = queue.queuedWorkMs(modelKey);
    return softwareVersion === undefined
      ? {
        localAheadMs: ahead.workMs,
        localTotalMs,
        aheadShareMax: teamOrder.aheadShareMax(place),
        fleetWaiting: fleetQueues.get(modelKey) ?? 0,
      }
      : {
        localAheadMs: queue
          .workBeforeContinuationMs(modelKey, priority, softwareVersion),
        localTotalMs,
        fleetWaiting: 0,
      };
  }
}
