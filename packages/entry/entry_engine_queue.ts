/** Waits of requests for an engine, and the demand that they are counted in. */
import { err, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
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
    this.#state.demand
      .recordArrival(model, caller.adapter, workMs, core.monotonicMs());
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
    { hasStarted, softwareVersion }: relay.AttemptHistory,
    signal: AbortSignal,
  ): Promise<SelectionResult> {
    const { queue, demand } = this.#state;
    const { caller, route, receivedAtMs, deadlineAtMs } = request;
    const nowMs = core.monotonicMs();
    const waitUntilMs = hasStarted
      ? deadlineAtMs
      : dispatch.queueUntilMs(route, receivedAtMs, deadlineAtMs);
    const modelKey = dispatch.toModelKey(model, caller.adapter);
    const workMs = this.#estimateWorkMs(caller, model);
    const view = () => this.#view(request, model, workMs, softwareVersion);
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
      priority: route.priority,
      isContinuation: hasStarted || softwareVersion !== undefined,
      ...(softwareVersion === undefined ? {} : { softwareVersion }),
      arrivedAtMs: receivedAtMs,
      targetAtMs: hasStarted
        ? deadlineAtMs
        : receivedAtMs + route.latencyTargetMs,
      modelKey,
      workMs,
    }, {
      trySelect,
      waitUntilMs,
      signal,
      giveUp: () => rejectWithReturn("no engine in time"),
    });
    stopTracking();
    return selected;
  }

  /**
   * Expected time until a request to a service without models gets a permit for
   * an upstream; undefined if none of them has a rate limit that keeps it.
   */
  permitWaitMs(request: relay.RelayedRequest): number | undefined {
    const { upstreams, queue } = this.#state;
    const { service, route } = request;
    const nowMs = core.monotonicMs();
    const ahead = queue.countAhead(toServiceKey(service), route.priority);
    const waitsMs = [...upstreams.ofService(service)]
      .filter((upstream) =>
        upstream.maySend(nowMs) &&
        this.#rateGate.isBarred(upstream.record, nowMs)
      )
      .map(({ record }) => this.#rateGate.expectedWaitMs(record, ahead, nowMs));
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
    const { route, service, receivedAtMs, deadlineAtMs } = request;
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
      priority: route.priority,
      isContinuation: hasStarted,
      arrivedAtMs: receivedAtMs,
      targetAtMs,
      modelKey: toServiceKey(service),
      workMs: 0,
    }, { trySelect, waitUntilMs, signal, giveUp });
  }

  /** Estimates the engine time that a request takes, in ms. */
  #estimateWorkMs(caller: fleet.CallerRequest, model: core.ModelName): number {
    const { stepTimes, outputLengths } = this.#state;
    const tokens = outputLengths.expected(caller.outputTokensMax);
    const decodeMs = tokens * stepTimes.stepMs(model) * DECODE_ENGINE_SHARE;
    return stepTimes.prefillMs(model, caller.promptTokens) + decodeMs;
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
    const { upstreams } = this.#state;
    const { adapter } = request.caller;
    const modelKey = dispatch.toModelKey(model, adapter);
    const nowMs = core.monotonicMs();
    let replicas = 0;
    let readyAtMs: number | undefined;
    let heldUntilMs = Infinity;
    let heldBack: QueueState["heldBack"];
    const ahead = this.#state.queue
      .countAhead(modelKey, request.route.priority);
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
          this.#rateGate.expectedWaitMs(engine.record, ahead, nowMs);
      if (canRun && isHeld && freeAtMs! < heldUntilMs) {
        heldUntilMs = freeAtMs!;
        heldBack = isQuiet ? "quiet" : "rateLimit";
      }
      if (freeAtMs === undefined || freeAtMs <= nowMs) continue;
      readyAtMs = Math.min(readyAtMs ?? freeAtMs, freeAtMs);
    }
    const waitMs = dispatch.estimateQueueWaitMs({
      ...this.#workAhead(modelKey, request.route.priority, softwareVersion),
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
    modelKey: string,
    priority: number,
    softwareVersion: core.SoftwareVersion | undefined,
  ): Pick<
    dispatch.QueueView,
    "localAheadMs" | "localTotalMs" | "fleetWaiting"
  > {
    const { queue, fleetQueues } = this.#state;
    const localTotalMs = queue.queuedWorkMs(modelKey, Infinity);
    return softwareVersion === undefined
      ? {
        localAheadMs: queue.queuedWorkMs(modelKey, priority),
        localTotalMs,
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
