/** What a node keeps of a request that it sends to an upstream. */
import * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as origins from "../origins/mod.ts";
import * as quarantine from "../quarantine/mod.ts";
import type * as rates from "../rates/mod.ts";
import * as relay from "../relay/mod.ts";
import { PromptFate } from "./entry_prompt_fate.ts";
import type { EntryState } from "./entry_state.ts";

/** Time that callers wait for a stream if they name none. */
const CALLER_WAIT_DEFAULT_MS = 60_000;
/** Time by which a take-up may arrive after the caller's deadline. */
const TAKE_UP_SLACK_MS = 2_000;

/** Makes the assignments of requests to upstreams. */
export class AssignmentMaker {
  readonly #state: EntryState;
  readonly #rateGate: rates.RateGate;
  readonly #onPlaceFree: () => void;

  /** @param onPlaceFree called when another request may be sent. */
  constructor(
    state: EntryState,
    rateGate: rates.RateGate,
    onPlaceFree: () => void,
  ) {
    this.#state = state;
    this.#rateGate = rateGate;
    this.#onPlaceFree = onPlaceFree;
  }

  /** Counts a request as in flight on an upstream until its attempt ends. */
  make(
    relayed: relay.RelayedRequest,
    upstream: dispatch.UpstreamState,
    service: fleet.ServiceSpec,
    request: dispatch.InFlightRequest,
    { barred, parts, estimatedMs, tokensPerEvent = 1 }: {
      readonly barred: number;
      readonly parts: readonly core.PromptPartKey[];
      readonly estimatedMs: number;
      readonly tokensPerEvent?: number;
    },
  ): relay.UpstreamAssignment {
    const { pools, members, capacity, stepTimes, outputLengths } = this.#state;
    const { model } = request;
    const untrack = upstream.trackRequest(request);
    const permit = this.#rateGate.take(upstream.record, request.sentAtMs);
    const isWithdrawn = () => {
      const nowMs = core.monotonicMs();
      return upstream.isLeaving(nowMs) || upstream.quiet.isActive(nowMs) ||
        !this.#rateGate.mayStart(upstream.record, permit, nowMs);
    };
    let receivedAtMs: number | undefined;
    // Says nothing of the upstream's health.
    let isStartRefused = false;
    const fate = new PromptFate(
      this.#state.quarantine,
      quarantine.toRunKey(upstream.record),
      parts,
    );
    return {
      upstream: upstream.record,
      logFields: {
        estimatedMs: Math.round(estimatedMs),
        prefillMs: Math.round(request.prefillMs),
        aheadMs: Math.round(upstream.prefillBacklogMs - request.prefillMs),
        inFlight: upstream.inFlight,
        slowness: upstream.latencyFactor.toFixed(2),
        othersAgeMs: Math.round(upstream.peerLoadAgeMs(request.sentAtMs)),
        rateLimit: this.#state.upstreams.namedRates.perS(upstream.record),
        rateLimited: barred || undefined,
      },
      dispatcher: relay.guardStart(
        pools.get(
          upstream.record,
          service.connectionsMax,
          members.count(),
          capacity.connectionShare,
        ),
        () => !(isStartRefused = isWithdrawn()),
      ),
      onStreamStart: (nowMs) =>
        this.#recordOrigin(relayed, upstream.record, nowMs),
      onFirstEvent: (nowMs) => {
        fate.recordOutput(nowMs);
        upstream.recordFirstEvent(request, estimatedMs, nowMs);
        this.#onPlaceFree();
      },
      onBytesReceived: (nowMs) => {
        fate.recordBytes(nowMs);
        if (request.hasOutput && receivedAtMs !== undefined) {
          this.#recordGap(relayed, request, nowMs - receivedAtMs);
        }
        receivedAtMs = nowMs;
        upstream.health.recordBytesReceived(nowMs);
      },
      onNotRun: (lacksModel, nowMs) => {
        upstream.recordRejection(request.modelKey, lacksModel, nowMs);
        if (lacksModel || model === undefined) return;
        const waitedMs = nowMs - request.sentAtMs;
        this.#state.metrics.recordDuration("shed_wait", waitedMs);
      },
      isWithdrawn,
      onQuiet: (quietMs, nowMs) =>
        this.#state.recordQuiet(upstream, quietMs, nowMs),
      onRateLimit: (perS, nowMs) =>
        this.#state
          .recordRateLimit(upstream.record, perS, request.sentAtMs, nowMs),
      onLeaving: (isPassedOn, nowMs) =>
        this.#state.recordLeaving(upstream.record, isPassedOn, nowMs),
      onStreamLength: (events) =>
        outputLengths.record(events * tokensPerEvent, request.outputTokensMax),
      onEventGap: (gapMs) => {
        if (model !== undefined) {
          stepTimes.recordEventGap(model, gapMs, tokensPerEvent);
        }
      },
      onFailure: (cause) => {
        if (!isStartRefused) fate.recordFailure(cause, core.monotonicMs());
      },
      onConnectionClosed: (reason) =>
        this.#state.recordConnectionClosed(
          upstream.record,
          reason,
          relayed.caller.requestId,
        ),
      onEnd: (outcome) => {
        untrack();
        if (outcome === "served") fate.recordSurvival(core.monotonicMs());
        const isJudged = outcome !== "shed" && outcome !== "cancelled";
        if (isJudged && !isStartRefused) {
          upstream.health.recordOutcome(outcome, core.monotonicMs());
        }
        this.#onPlaceFree();
      },
    };
  }

  /**
   * Records a stream that stood still for longer than its route allows and than
   * its prompt takes to prefill: its engine has probably preempted it.
   */
  #recordGap(
    { route }: relay.RelayedRequest,
    { prefillMs }: dispatch.InFlightRequest,
    gapMs: number,
  ): void {
    if (gapMs <= Math.max(route.eventGapTargetMs, prefillMs)) return;
    this.#state.metrics.recordDuration("stalled_gap", gapMs);
  }

  /** Records what began a stream, which its caller may take up again. */
  #recordOrigin(
    { caller, route }: relay.RelayedRequest,
    { service, softwareVersion }: fleet.UpstreamRecord,
    nowMs: number,
  ): void {
    if (!route.isResumable) return;
    const waitsMs = caller.deadlineMs ?? CALLER_WAIT_DEFAULT_MS;
    this.#state.origins.record({
      stream: origins.toStreamKey(caller.requestId),
      service,
      softwareVersion,
      ttlMs: waitsMs + TAKE_UP_SLACK_MS,
    }, nowMs);
  }
}
