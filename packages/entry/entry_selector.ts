/** Chooses an upstream for each request, or queues or rejects the request. */
import { err, ok } from "neverthrow";
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as quarantine from "../quarantine/mod.ts";
import * as rates from "../rates/mod.ts";
import * as relay from "../relay/mod.ts";
import { UpstreamCandidates } from "./entry_candidates.ts";
import { EngineQueue, type SelectionResult } from "./entry_engine_queue.ts";
import { AssignmentMaker } from "./entry_assignment.ts";
import { EntryPermits } from "./entry_permits.ts";
import { PromptGate } from "./entry_prompt_gate.ts";
import type { EntryState } from "./entry_state.ts";
import type { StepWatch } from "./entry_step_watch.ts";
import { EngineAdmission } from "./memory/entry_engine_admission.ts";

/** Retry-After when no upstream of a service is known. */
const NO_UPSTREAM_RETRY_AFTER_MS = 500;
/** Rate-limited upstreams for which one request asks for permits. */
const WANTED_MAX = 3;

type Excluded = ReadonlySet<dispatch.UpstreamState>;

/** What was chosen for a request, and how many it avoids for their limits. */
interface OpenChoice<Choice> {
  readonly choice: Choice;
  readonly barred: number;
}

/** Chooses upstreams by the state of this node. */
export class EntryUpstreamSelector extends relay.UpstreamSelector {
  readonly #state: EntryState;
  readonly #candidates: UpstreamCandidates;
  readonly #queue: EngineQueue;
  readonly #rateGate: rates.RateGate;
  readonly #promptGate: PromptGate;
  readonly #admission: EngineAdmission;
  readonly #assignments: AssignmentMaker;
  readonly #stepWatch: StepWatch | undefined;
  /** Services as last configured; a configuration may drop them meanwhile. */
  readonly #services = new WeakMap<relay.RelayedRequest, fleet.ServiceSpec>();
  /** Called when a request is queued. */
  onQueued: () => void = () => {};

  /**
   * @param stepWatch tells whether the listed software versions are current.
   * @param permits by default this node is the only one.
   */
  constructor(
    state: EntryState,
    stepWatch?: StepWatch,
    permits = new EntryPermits(state),
  ) {
    super();
    this.#state = state;
    this.#stepWatch = stepWatch;
    this.#candidates = new UpstreamCandidates(state.upstreams);
    this.#rateGate = new rates.RateGate(state.upstreams.namedRates, permits);
    this.#rateGate.onChange = () => this.selectForQueued();
    this.#queue = new EngineQueue(
      state,
      this.#rateGate,
      () => this.onQueued(),
    );
    this.#promptGate = new PromptGate(state);
    this.#admission = new EngineAdmission(state);
    this.#assignments = new AssignmentMaker(
      state,
      this.#rateGate,
      () => this.selectForQueued(),
    );
  }

  override trySpendRetry(service: core.ServiceName): boolean {
    const allowed = this.#state.retryBudget(service)
      .trySpend(this.#state.members.count(), core.monotonicMs());
    if (allowed) this.#state.metrics.increment("retries");
    return allowed;
  }

  override trySelectRetry(
    request: relay.RelayedRequest,
    history: relay.AttemptHistory,
  ): relay.UpstreamAssignment | undefined {
    const canRetry = this.#state.retryBudget(request.service)
      .canSpend(this.#state.members.count(), core.monotonicMs());
    if (!canRetry) return undefined;
    const isOutOfStep = history.softwareVersion !== undefined &&
      this.#stepWatch?.isInStep() === false;
    if (isOutOfStep) return undefined;
    const selected = this.#selectResponsive(request, history);
    if (selected) this.trySpendRetry(request.service);
    return selected;
  }

  /** Selects an upstream that can take the request now and is not suspect. */
  #selectResponsive(
    request: relay.RelayedRequest,
    history: relay.AttemptHistory,
  ): relay.UpstreamAssignment | undefined {
    const service = this.#serviceOf(request);
    const { model, promptParts } = request.caller;
    if (!service) return undefined;
    const excluded = this.#candidates.excludeBusy(request.service, history);
    if (!service.engine || model === undefined) {
      return this.#assignInstance(request, service, excluded);
    }
    const parts = quarantine.sharedPartKeys(promptParts);
    const isHeld = this.#promptGate.reject(parts) !== undefined ||
      (parts.length > 0 && !this.#promptGate.isExchangeFresh());
    if (isHeld) return undefined;
    return this.#assignEngine(
      request,
      service,
      service.engine,
      model,
      parts,
      excluded,
    );
  }

  override async select(
    request: relay.RelayedRequest,
    history: relay.AttemptHistory,
    signal: AbortSignal,
  ): Promise<SelectionResult> {
    const selected = await this.#select(request, history, signal);
    const { softwareVersion } = history;
    if (selected.isErr() && softwareVersion !== undefined) {
      this.#state.logger.info("not_continued", {
        request: request.caller.requestId,
        softwareVersion,
        reason: selected.error.reason,
        ...this.#candidates.describeVersion(request, softwareVersion),
      });
    }
    return selected;
  }

  async #select(
    request: relay.RelayedRequest,
    history: relay.AttemptHistory,
    signal: AbortSignal,
  ): Promise<SelectionResult> {
    const service = this.#serviceOf(request);
    const { model } = request.caller;
    if (!service) return reject("service is not configured");
    // An engine may have started again under its id with another version.
    const isOutOfStep = history.softwareVersion !== undefined &&
      this.#stepWatch?.isInStep() === false &&
      !await this.#stepWatch.awaitStep(signal);
    if (isOutOfStep) return reject("node is out of step");
    const ended = this.#rejectNotContinued(request, history);
    if (ended) return ended;
    if (!service.engine || model === undefined) {
      return this.#selectInstance(request, service, history, signal);
    }
    const parts = quarantine.sharedPartKeys(request.caller.promptParts);
    const rejected = this.#promptGate.reject(parts);
    if (rejected) return rejected;
    this.#queue.countDemand(request, model);
    const trySelect = (): SelectionResult | undefined => {
      const rejected = this.#promptGate.reject(parts) ??
        this.#rejectNotContinued(request, history);
      if (rejected) return rejected;
      const assigned = this.#assignEngine(
        request,
        service,
        service.engine!,
        model,
        parts,
        this.#candidates.excludeEngines(request, model, history),
      );
      return assigned && ok(assigned);
    };
    const selected =
      this.#queue.selectNow(request, model, trySelect, history) ??
        await this.#queue.wait(request, model, trySelect, history, signal);
    if (selected.isErr()) this.#admission.release(request);
    if (parts.length === 0 || selected.isErr()) return selected;
    // A node that is new, or was held up, may not know yet what others hold.
    await this.#promptGate.awaitExchange(signal);
    const rejectedLate = this.#promptGate.reject(parts);
    if (rejectedLate) selected.value.onEnd("cancelled");
    return rejectedLate ?? selected;
  }

  #serviceOf(request: relay.RelayedRequest): fleet.ServiceSpec | undefined {
    const service = this.#state.config?.services.get(request.service) ??
      this.#services.get(request);
    if (service) this.#services.set(request, service);
    return service;
  }

  /** Tries to select an engine for each queued request. */
  selectForQueued(): void {
    this.#state.queue.trySelectAll(core.monotonicMs());
  }

  /** Rejects a stream that no upstream of its software version can continue. */
  #rejectNotContinued(
    request: relay.RelayedRequest,
    { softwareVersion }: relay.AttemptHistory,
  ): SelectionResult | undefined {
    if (softwareVersion === undefined) return undefined;
    const reason = this.#candidates.whyNotContinued(request, softwareVersion);
    return reason === undefined ? undefined : reject(reason);
  }

  #selectInstance(
    request: relay.RelayedRequest,
    service: fleet.ServiceSpec,
    history: relay.AttemptHistory,
    signal: AbortSignal,
  ): SelectionResult | Promise<SelectionResult> {
    const trySelect = () => this.#trySelectInstance(request, service, history);
    const selected = trySelect();
    if (selected) return selected;
    const waitMs = this.#queue.permitWaitMs(request);
    if (waitMs !== undefined) {
      const { hasStarted } = history;
      return this.#queue.waitForPermit(request, trySelect, hasStarted, signal);
    }
    const quietUntilMs = this.#candidates.quietUntilMs(request.service);
    return quietUntilMs === undefined
      ? reject("no upstream of the service is known")
      : reject(
        "all upstreams of the service ask for quiet",
        Math.max(0, quietUntilMs - core.monotonicMs()),
      );
  }

  #trySelectInstance(
    request: relay.RelayedRequest,
    service: fleet.ServiceSpec,
    history: relay.AttemptHistory,
  ): SelectionResult | undefined {
    const excluded = this.#candidates.exclude(request.service, history);
    const others = this.#candidates.exclude(request.service, {
      ...history,
      failed: new Set(),
      avoidsSuspects: false,
    });
    const assigned = this.#assignInstance(request, service, excluded) ??
      this.#assignInstance(request, service, others);
    return assigned && ok(assigned);
  }

  #assignInstance(
    request: relay.RelayedRequest,
    service: fleet.ServiceSpec,
    excluded: Excluded,
  ): relay.UpstreamAssignment | undefined {
    const instances = this.#state.upstreams.ofService(request.service);
    const nowMs = core.monotonicMs();
    const open = this.#chooseOpen(
      request,
      excluded,
      (left) => dispatch.chooseInstance(instances, left, nowMs),
      (instance) => instance,
    );
    return open && this.#assignments.make(
      request,
      open.choice,
      service,
      {
        modelKey: "",
        reservedTokens: 0,
        outputTokensMax: 0,
        prefillMs: 0,
        sentAtMs: nowMs,
        hasOutput: false,
      },
      { barred: open.barred, parts: [], estimatedMs: 0 },
    );
  }

  /**
   * Chooses among the upstreams that may get the request at their rate limits.
   * For those that would be preferred and may not, permits are asked for.
   */
  #chooseOpen<Choice>(
    request: relay.RelayedRequest,
    excluded: Excluded,
    choose: (excluded: Excluded) => Choice | undefined,
    upstreamOf: (choice: Choice) => dispatch.UpstreamState,
  ): OpenChoice<Choice> | undefined {
    const nowMs = core.monotonicMs();
    let left = excluded;
    for (let barred = 0;; barred++) {
      const choice = choose(left);
      if (choice === undefined) return undefined;
      const upstream = upstreamOf(choice);
      if (!this.#rateGate.isBarred(upstream.record, nowMs)) {
        return { choice, barred };
      }
      if (barred < WANTED_MAX) this.#rateGate.want(upstream.record, request);
      left = barred < WANTED_MAX
        ? new Set([...left, upstream])
        : this.#excludeBarred(request.service, left, nowMs);
    }
  }

  #excludeBarred(
    service: core.ServiceName,
    excluded: Excluded,
    nowMs: number,
  ): Excluded {
    const barred = [...this.#state.upstreams.ofService(service)]
      .filter(({ record }) => this.#rateGate.isBarred(record, nowMs));
    return new Set([...excluded, ...barred]);
  }

  #assignEngine(
    request: relay.RelayedRequest,
    service: fleet.ServiceSpec,
    spec: fleet.EngineSpec,
    model: core.ModelName,
    parts: readonly core.PromptPartKey[],
    excluded: Excluded,
  ): relay.UpstreamAssignment | undefined {
    const { upstreams, stepTimes } = this.#state;
    const { adapter, promptTokens, outputTokensMax, promptParts } =
      request.caller;
    const nowMs = core.monotonicMs();
    const outputTokensLikely = this.#admission
      .likelyOutputTokens(outputTokensMax);
    const needs: dispatch.RequestNeeds = {
      request,
      model,
      ...(adapter === undefined ? {} : { adapter }),
      promptTokens,
      outputTokensMax,
      outputTokensLikely,
      promptParts,
      eventGapMaxMs: request.route.eventGapTargetMs,
    };
    const engines = upstreams.ofService(request.service);
    const open = this.#chooseOpen(
      request,
      excluded,
      (left) =>
        dispatch.chooseEngine(engines, needs, {
          stepTimes,
          spec,
          nowMs,
          excluded: left,
          ...this.#admission.contextFor(request, nowMs),
        }),
      ({ engine }) => engine,
    );
    if (!open) return undefined;
    const { choice, barred } = open;
    const modelKey = dispatch.toModelKey(model, adapter);
    choice.engine.prefixCache.recordPrompt(modelKey, promptParts);
    return this.#assignments.make(
      request,
      choice.engine,
      service,
      {
        modelKey,
        model,
        reservedTokens: promptTokens + outputTokensLikely,
        outputTokensMax,
        prefillMs: choice.prefillMs,
        sentAtMs: nowMs,
        hasOutput: false,
      },
      {
        barred,
        parts,
        estimatedMs: choice.firstEventMs,
        tokensPerEvent: spec.tokensPerEvent,
      },
    );
  }
}

function reject(
  reason: string,
  retryAfterMs = NO_UPSTREAM_RETRY_AFTER_MS,
): SelectionResult {
  return err({ reason, retryAfterMs });
}
