/** Waits of requests for an engine, and the demand that they are counted in. */
import { err, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
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
  /** Whether all engines that can run it ask for no requests until then. */
  readonly isQuiet: boolean;
}

/** Share of an engine's time that one decoding request takes. */
const DECODE_ENGINE_SHARE = 1 / 32;

/** Queues requests until an engine is free, unless that would take too long. */
export class EngineQueue {
  readonly #state: EntryState;
  readonly #onQueued: () => void;
  /** Requests counted in the demand, so that retries are not counted again. */
  readonly #counted = new WeakSet<relay.RelayedRequest>();

  /** @param onQueued called when a request is queued. */
  constructor(state: EntryState, onQueued: () => void) {
    this.#state = state;
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
      const { waitMs, readyAtMs } = view();
      const readyInMs = readyAtMs === undefined
        ? undefined
        : readyAtMs - core.monotonicMs();
      const retryAfterMs = dispatch.retryAfterMs(waitMs, readyInMs);
      return err({ reason, retryAfterMs });
    };
    if (waitUntilMs <= nowMs) return rejectWithReturn("no engine in time");
    const { waitMs, readyAtMs, isQuiet } = view();
    if (!hasStarted && isQuiet && (readyAtMs ?? 0) > waitUntilMs) {
      return rejectWithReturn("all engines with the model ask for quiet");
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
    let quietUntilMs = Infinity;
    for (const engine of upstreams.ofService(request.service)) {
      const isOfVersion = softwareVersion === undefined ||
        engine.record.softwareVersion === softwareVersion;
      if (!isOfVersion) continue;
      const isQuiet = engine.quiet.isActive(nowMs);
      const canRun = engine.canRun(model, adapter, nowMs);
      if (canRun && !isQuiet) replicas++;
      const freeAtMs = canRun && isQuiet
        ? engine.quiet.untilMs
        : engine.replicas.get(model)?.readyAtMs;
      if (freeAtMs === undefined || freeAtMs <= nowMs) continue;
      readyAtMs = Math.min(readyAtMs ?? freeAtMs, freeAtMs);
      if (canRun) quietUntilMs = Math.min(quietUntilMs, engine.quiet.untilMs);
    }
    const waitMs = dispatch.estimateQueueWaitMs({
      ...this.#workAhead(modelKey, request.route.priority, softwareVersion),
      workMs,
      replicas,
    });
    // What only quiet engines can run waits for the first of them.
    const isQuiet = replicas === 0 && quietUntilMs === readyAtMs;
    return { waitMs, readyAtMs, isQuiet };
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
