/**
 * Decides whether a request is sent again, and when it is taken off an upstream
 * that sends nothing.
 */
import { ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import type { Attempt } from "./relay_attempt.ts";
import type { AttemptResult } from "./relay_response_body.ts";
import type {
  AttemptHistory,
  Rejection,
  RelayDependencies,
  RelayedRequest,
  UpstreamAssignment,
} from "./relay_types.ts";
import { WaitWatch } from "./relay_wait_watch.ts";

/** Number of sends after which a request that was not run is rejected. */
const NOT_RUN_SENDS_MAX = 6;
/** Time kept free for a stream to go on at another upstream. */
const STREAM_RESUME_TIME_MS = 800;
/**
 * Longest silence of a stream's upstream before another one is sought. Sound
 * upstreams may be silent for a second or two; a dead one never goes on.
 */
const STREAM_SILENCE_MAX_MS = 2_500;
/** Interval at which another upstream is sought for a silent attempt. */
const SILENT_RETRY_INTERVAL_MS = 100;
/** Pauses while a request waits for the retry budget; each is twice the last. */
const BUDGET_PAUSE_MIN_MS = 50;
const BUDGET_PAUSE_MAX_MS = 800;

/** How much of the response is with the caller. */
export type ResponseProgress = Pick<
  AttemptHistory,
  "hasStarted" | "softwareVersion"
>;

/** Keeps what the attempts of one request used up, and selects the next one. */
export class RelayRetries {
  readonly #request: RelayedRequest;
  readonly #dependencies: RelayDependencies;
  readonly #signal: AbortSignal;
  readonly #failedUpstreams = new Set<core.UpstreamId>();
  /** Whether a retry for the next run is already taken from the retry budget. */
  #isRetryTaken = false;
  /** The upstream selected for the next attempt when this one was abandoned. */
  #reserved: UpstreamAssignment | undefined;
  #budgetPauseMs = BUDGET_PAUSE_MIN_MS;
  sendCount = 0;
  runCount = 0;
  /** Attempts given up because the upstream was silent, though it may be sound. */
  abandonedCount = 0;

  /** @param signal aborted when the caller disconnects or its time is over. */
  constructor(
    request: RelayedRequest,
    dependencies: RelayDependencies,
    signal: AbortSignal,
  ) {
    this.#request = request;
    this.#dependencies = dependencies;
    this.#signal = signal;
  }

  /** Selects the upstream of the next attempt. */
  select(
    progress: ResponseProgress,
  ): Promise<Result<UpstreamAssignment, Rejection>> {
    const reserved = this.#reserved;
    this.#reserved = undefined;
    if (reserved) return Promise.resolve(ok(reserved));
    return this.#dependencies.selector
      .select(this.#request, this.#history(progress), this.#signal);
  }

  /** Gives back a place that is not used, as the abandoned attempt has ended. */
  releaseReserved(): void {
    this.#reserved?.onEnd("cancelled");
    this.#reserved = undefined;
  }

  /** Takes a retry from the budget if the route allows another run. */
  tryTakeRetry(): boolean {
    this.#isRetryTaken ||= this.#canRunAgain(this.runCount) &&
      this.#trySpendRetry();
    return this.#isRetryTaken;
  }

  /**
   * Whether the request is sent again after an attempt that failed. A request
   * that this node took off an upstream, which may be sound, waits for the retry
   * budget: nothing else can answer it any more.
   */
  async maySendAgain(
    { kind }: Exclude<AttemptResult, { kind: "done" }>,
    upstream: core.UpstreamId,
  ): Promise<boolean> {
    if (this.#reserved) {
      this.#isRetryTaken = false;
      return true;
    }
    if (kind === "notRun") {
      if (this.abandonedCount > 0) return await this.#awaitRetry();
      return this.sendCount < NOT_RUN_SENDS_MAX && this.#trySpendRetry();
    }
    this.#failedUpstreams.add(upstream);
    const isTaken = this.tryTakeRetry();
    this.#isRetryTaken = false;
    if (isTaken || this.abandonedCount === 0) return isTaken;
    return this.#canRunAgain(this.runCount) && await this.#awaitRetry();
  }

  /**
   * Watches the waits for data from an upstream. The attempt is given up once
   * another upstream can take the request; until then it goes on.
   */
  watchAttempt(
    attempt: Attempt,
    upstream: core.UpstreamId,
    progress: () => ResponseProgress,
  ): WaitWatch {
    const runCount = this.runCount + 1;
    const silenceMaxMs = this.#silenceMaxMs();
    // This process may have been held up before it sent the request; the usual
    // time for it is part of the wait.
    const sentForMinMs = silenceMaxMs - SILENT_RETRY_INTERVAL_MS;
    return new WaitWatch(silenceMaxMs, () => {
      const sentAtMs = attempt.sentAtMs ?? -Infinity;
      if (core.monotonicMs() - sentAtMs < sentForMinMs) return;
      if (!this.#canRunAgain(runCount) || this.#isRetryTaken) return;
      if (this.#reserveOther(upstream, progress())) {
        attempt.cancel("no data from the upstream in time", "silent");
      }
    }, SILENT_RETRY_INTERVAL_MS);
  }

  #history(progress: ResponseProgress): AttemptHistory {
    return {
      ...progress,
      failed: this.#failedUpstreams,
      avoidsSuspects: this.abandonedCount > 0,
    };
  }

  /** Time without data after which another upstream is sought. */
  #silenceMaxMs(): number {
    const { route } = this.#request;
    if (route.kind !== "stream") return route.latencyTargetMs;
    const patienceMs = dispatch.streamPatienceMs(route) - STREAM_RESUME_TIME_MS;
    return Math.max(
      route.latencyTargetMs,
      Math.min(patienceMs, STREAM_SILENCE_MAX_MS),
    );
  }

  /**
   * Whether the route allows another run after `runCount` runs: only safe
   * requests and resumable streams may run more than once. Ignores the retry
   * budget.
   */
  #canRunAgain(runCount: number): boolean {
    const { route } = this.#request;
    const isRepeatable = route.kind === "safe" ||
      (route.kind === "stream" && route.isResumable);
    return isRepeatable && runCount < route.attemptsMax;
  }

  #trySpendRetry(): boolean {
    return this.#dependencies.selector.trySpendRetry(this.#request.service);
  }

  /** Waits until the budget allows a retry, or until the request ends. */
  async #awaitRetry(): Promise<boolean> {
    do {
      await core.sleep(this.#budgetPauseMs, this.#signal);
      this.#budgetPauseMs = Math.min(
        2 * this.#budgetPauseMs,
        BUDGET_PAUSE_MAX_MS,
      );
    } while (!this.#signal.aborted && !this.#trySpendRetry());
    return true;
  }

  /** Reserves another upstream for a request whose upstream is silent. */
  #reserveOther(
    silent: core.UpstreamId,
    progress: ResponseProgress,
  ): boolean {
    const { selector, logger } = this.#dependencies;
    const history = this.#history(progress);
    const reserved = selector.trySelectRetry(this.#request, {
      ...history,
      failed: new Set([...history.failed, silent]),
      avoidsSuspects: true,
    });
    if (!reserved) return false;
    this.#isRetryTaken = true;
    this.#reserved = reserved;
    this.abandonedCount++;
    logger.info("attempt_abandoned", {
      request: this.#request.caller.requestId,
      reason: "upstream silent",
      upstream: silent,
      next: reserved.upstream.id,
      started: progress.hasStarted,
    });
    return true;
  }
}
