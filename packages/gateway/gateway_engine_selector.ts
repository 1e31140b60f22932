/**
 * Selects the engine for a completion, or waits for a load or for a place on
 * an engine.
 */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as routing from "../routing/mod.ts";
import type { CompletionRequest } from "./gateway_completion_request.ts";
import { ColdStartWaiter } from "./gateway_cold_start.ts";
import { PlaceQueue, type PlaceRequest } from "./gateway_place_queue.ts";
import type { GatewayDependencies } from "./gateway_types.ts";

/** Shortest time after which a request without a place may return. */
const PLACE_RETRY_AFTER_MIN_MS = 500;

/** State of one completion across its attempts. */
export interface AttemptProgress {
  /** Time of the monotonic clock at which the request arrived. */
  readonly arrivedAtMs: number;
  attempts: number;
  /** Rejections by engines that were full. */
  fullRejections: number;
  /** Whether an engine ran, or may have run, the request. */
  ran: core.Ran;
  lastFailure: core.Failure;
  readonly triedIds: Set<core.UpstreamId>;
  /** The place that it got last, if its caller was charged for it. */
  place?: PlaceRequest;
  /** What wrote the first events of a stream, if there are any. */
  streamOrigin?: { readonly softwareVersion: core.SoftwareVersion | undefined };
}

/** Selects engines for one instance's completions. */
export class EngineSelector {
  readonly #dependencies: GatewayDependencies;
  readonly #coldStart: ColdStartWaiter;
  readonly #places: PlaceQueue;

  constructor(dependencies: GatewayDependencies) {
    this.#dependencies = dependencies;
    this.#coldStart = new ColdStartWaiter(dependencies);
    this.#places = new PlaceQueue(dependencies.teamOrder);
    dependencies.fleet.registerListener(() => this.wake());
  }

  /** Tries to find places for waiting requests, as one may have become free. */
  wake(): void {
    this.#places.wake();
  }

  /**
   * Selects an untried engine that holds the artifact, or waits for a load if
   * no engine holds it. Once all holders were tried, returns the last failure.
   * A stream goes on only at an engine of the software version that began it.
   * The request counts in the requests of the selected engine from then on.
   */
  async select(
    completion: CompletionRequest,
    progress: AttemptProgress,
  ): Promise<Result<routing.EngineView, core.Failure>> {
    const { policy } = this.#dependencies;
    const { artifactId } = completion;
    this.#refundPlace(progress);
    const holders = this.#holders(artifactId, progress);
    const untried = holders
      .filter(({ upstreamId }) => !progress.triedIds.has(upstreamId));
    if (
      untried.length === 0 && progress.triedIds.size > 0 && holders.length > 0
    ) {
      return err(progress.lastFailure);
    }
    if (untried.length === 0) {
      return await this.#waitForLoad(completion, progress);
    }
    const open = this.#withPlace(untried);
    const hasOpen = open.length > 0;
    // What has begun elsewhere goes first; its caller may have part of it.
    const isFirst = progress.ran !== "no" ||
      hasOpen && progress.fullRejections === 0 &&
        this.#places.workAheadMs(placeKeyOf(completion)) === 0;
    if (!isFirst) {
      return await this.#waitForPlace(completion, progress, untried);
    }
    const request = this.#toRoutedRequest(completion);
    const view = policy.choose(hasOpen ? open : untried, request);
    if (!view) return err(progress.lastFailure);
    const checked = this.#checkDeadline(completion, view, request, untried);
    if (checked.isOk()) {
      progress.place = this.#toPlaceRequest(completion, progress, untried);
      this.#places.recordTaken(progress.place);
    }
    return checked.map(reserve);
  }

  /** A place at which a request was not run does not count for its caller. */
  #refundPlace(progress: AttemptProgress): void {
    const { place, ran } = progress;
    if (place && ran === "no") this.#places.recordNotRun(place);
    delete progress.place;
  }

  #holders(
    artifactId: core.ArtifactId,
    { streamOrigin }: AttemptProgress,
  ): routing.EngineView[] {
    return this.#dependencies.fleet.usableEngines().filter((view) =>
      view.holds(artifactId) && (streamOrigin === undefined ||
        view.load?.softwareVersion === streamOrigin.softwareVersion)
    );
  }

  #withPlace(views: readonly routing.EngineView[]): routing.EngineView[] {
    const nowMs = core.monotonicMs();
    return views.filter((view) => view.hasPlace(nowMs));
  }

  /** Queues a request until an engine has a place, if that can be in time. */
  async #waitForPlace(
    completion: CompletionRequest,
    progress: AttemptProgress,
    holders: readonly routing.EngineView[],
  ): Promise<Result<routing.EngineView, core.Failure>> {
    const { aborter, deadline } = completion;
    const idleMs = this.#estimateIdleResponseMs(completion);
    const inFlight = holders.reduce((sum, view) => sum + view.inFlight, 0);
    const request = this.#toPlaceRequest(completion, progress, holders);
    const aheadMs = this.#places.workAheadMs(request) +
      Math.max(0, inFlight - slotsOf(holders)) * request.workMs;
    const reject = () =>
      err(core.refuse(
        core.DEADLINE_UNREACHABLE,
        `engines are full, a place takes about ${Math.ceil(aheadMs)} ms`,
        Math.max(PLACE_RETRY_AFTER_MIN_MS, aheadMs),
      ));
    if (aheadMs + idleMs > deadline.remainingMs()) return reject();
    const place = await this.#places.wait(
      request,
      () => this.#takePlace(completion, progress),
      aborter.signal,
    );
    if (place === undefined) return reject();
    progress.place = request;
    return place === "noHolder"
      ? await this.select(completion, progress)
      : ok(place);
  }

  #toPlaceRequest(
    completion: CompletionRequest,
    { arrivedAtMs }: AttemptProgress,
    holders: readonly routing.EngineView[],
  ): PlaceRequest {
    const idleMs = this.#estimateIdleResponseMs(completion);
    return {
      ...placeKeyOf(completion),
      arrivedAtMs,
      waitUntilMs: core.monotonicMs() + completion.deadline.remainingMs() -
        idleMs,
      workMs: Math.max(1, idleMs / Math.max(1, slotsOf(holders))),
    };
  }

  /**
   * Reserves a place for the attempt that follows.
   *
   * @returns `noHolder` if no engine is left that holds the artifact.
   */
  #takePlace(
    completion: CompletionRequest,
    progress: AttemptProgress,
  ): routing.EngineView | "noHolder" | undefined {
    const untried = this.#holders(completion.artifactId, progress)
      .filter(({ upstreamId }) => !progress.triedIds.has(upstreamId));
    if (untried.length === 0) return "noHolder";
    const view = this.#dependencies.policy
      .choose(this.#withPlace(untried), this.#toRoutedRequest(completion));
    return view && reserve(view);
  }

  async #waitForLoad(
    completion: CompletionRequest,
    progress: AttemptProgress,
  ): Promise<Result<routing.EngineView, core.Failure>> {
    const waited = await this.#coldStart.waitForLoad(
      completion.row,
      completion.deadline,
      this.#estimateIdleResponseMs(completion),
      completion.aborter.signal,
    );
    if (waited.isErr()) return err(waited.error);
    const view = this.#dependencies.policy.choose(
      this.#holders(completion.artifactId, progress),
      this.#toRoutedRequest(completion),
    );
    if (view) return ok(reserve(view));
    if (progress.streamOrigin) return err(progress.lastFailure);
    return err(core.refuse(core.NO_UPSTREAM, "no engine is live"));
  }

  /** Estimates the response time of the fastest engine if it were idle. */
  #estimateIdleResponseMs({ tokensMax }: CompletionRequest): number {
    const loads = this.#dependencies.fleet.usableEngines().flatMap(({ load }) =>
      load ?? []
    );
    if (loads.length === 0) return 0;
    return Math.min(
      ...loads.map(({ firstTokenMs, tokenMs }) =>
        firstTokenMs + tokenMs * tokensMax
      ),
    );
  }

  /**
   * Rejects the request if no untried engine is expected to complete it before
   * its deadline.
   */
  #checkDeadline(
    completion: CompletionRequest,
    view: routing.EngineView,
    request: routing.RoutedRequest,
    untried: readonly routing.EngineView[],
  ): Result<routing.EngineView, core.Failure> {
    const { completionInMs } = routing.estimateCompletion(
      view,
      request,
    );
    const remainingMs = completion.deadline.remainingMs();
    if (completionInMs <= remainingMs) return ok(view);
    const earliestMs = Math.min(
      ...untried.map((other) =>
        routing.estimateCompletion(other, request).completionInMs
      ),
    );
    if (earliestMs <= remainingMs) return ok(view);
    return err(
      core.refuse(
        core.DEADLINE_UNREACHABLE,
        `an answer takes about ${Math.ceil(earliestMs)} ms, ` +
          `${Math.floor(remainingMs)} ms are left`,
        earliestMs - remainingMs,
      ),
    );
  }

  #toRoutedRequest(completion: CompletionRequest): routing.RoutedRequest {
    return {
      artifactId: completion.artifactId,
      tokensMax: completion.tokensMax,
      prefixHash: completion.prefixHash,
      priority: completion.row.priority,
      remainingMs: completion.deadline.remainingMs(),
    };
  }
}

function placeKeyOf({ artifactId, callerId, row }: CompletionRequest) {
  return { artifactId, callerId, priority: row.priority };
}

function slotsOf(views: readonly routing.EngineView[]): number {
  return views.reduce((sum, { load }) => sum + (load?.slots ?? 1), 0);
}

/** Counts a request on an engine, until the attempt that follows ends. */
function reserve(view: routing.EngineView): routing.EngineView {
  view.localInFlight++;
  return view;
}
