/** Admission control: decides whether this instance accepts new requests. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";

/**
 * Phases of an instance: it serves, then leaves the list of entries while it
 * still accepts requests, and finally refuses new ones.
 */
export type GatewayPhase = "serving" | "leaving" | "refusing";

const OTHER_INSTANCE_RETRY_AFTER_MS = 50;
const SAME_INSTANCE_RETRY_AFTER_MS = 500;
/** Minimum time between probes; an isolated instance rejects meanwhile. */
const PROBE_INTERVAL_MS = 1_000;

/** Limits and state of the instance that admission depends on. */
export interface GatewayAdmissionOptions {
  readonly inProgressMax: number;
  /** Whether neither the store nor a peer responded within the grace period. */
  readonly isIsolated: () => boolean;
  /** Contacts the store and the peers; resolves at the latest at a timeout. */
  readonly probe: () => Promise<void>;
  readonly isTableReady: () => boolean;
}

/** Admits or rejects requests and counts the admitted ones until they end. */
export class GatewayAdmission {
  readonly #options: GatewayAdmissionOptions;
  #phase: GatewayPhase = "serving";
  /** Aborted to end the admitted requests; one for each of them. */
  readonly #aborters = new Set<AbortController>();
  #hasEndedRequests = false;
  #onIdle: (() => void) | undefined;
  #pendingProbe: Promise<void> | undefined;
  #lastProbeAtMs = -Infinity;

  constructor(options: GatewayAdmissionOptions) {
    this.#options = options;
  }

  get phase(): GatewayPhase {
    return this.#phase;
  }

  /** Number of admitted requests that have not ended. */
  get inProgress(): number {
    return this.#aborters.size;
  }

  /** Whether `endRequests` was called. */
  get hasEndedRequests(): boolean {
    return this.#hasEndedRequests;
  }

  /** Whether new callers should be directed to this instance. */
  get isReady(): boolean {
    return this.#phase === "serving" && this.#options.isTableReady() &&
      !this.#options.isIsolated();
  }

  /** Leaves the list of entries but still accepts requests. */
  markLeaving(): void {
    this.#phase = "leaving";
  }

  /** Rejects all further requests; those in progress may finish. */
  startRejecting(): void {
    this.#phase = "refusing";
  }

  /** Ends the requests in progress; their handlers respond with a failure. */
  endRequests(): void {
    this.#hasEndedRequests = true;
    for (const aborter of this.#aborters) aborter.abort();
  }

  /**
   * Admits or rejects a request; an isolated instance probes first.
   *
   * @param aborter aborted if the request must end before it is done.
   * @returns the cleanup to call when the request has ended, or the rejection.
   * @example
   * ```ts
   * const release = await admission.admit(new AbortController());
   * if (release.isErr()) return problemResponse(context, release.error);
   * ```
   */
  async admit(
    aborter: AbortController,
  ): Promise<Result<core.Cleanup, core.Failure>> {
    // A process that was paused looks isolated until it contacts store or peers.
    if (this.#options.isIsolated()) await this.#probe();
    const rejection = this.#checkAdmission();
    if (rejection) return err(rejection);
    this.#aborters.add(aborter);
    return ok(() => this.#release(aborter));
  }

  /**
   * Waits until no request is in progress.
   *
   * @returns true if that happened within `timeoutMs`, false if it did not.
   */
  async whenIdle(timeoutMs: number): Promise<boolean> {
    if (this.inProgress === 0) return true;
    const idle = new Promise<boolean>((resolve) => {
      this.#onIdle = () => resolve(true);
    });
    return await Promise.race([idle, core.sleep(timeoutMs).then(() => false)]);
  }

  /** Concurrent requests share one probe; the interval limits their rate. */
  async #probe(): Promise<void> {
    const isDue = core.monotonicMs() - this.#lastProbeAtMs > PROBE_INTERVAL_MS;
    if (this.#pendingProbe === undefined && !isDue) return;
    this.#pendingProbe ??= this.#options.probe().finally(() => {
      this.#pendingProbe = undefined;
      this.#lastProbeAtMs = core.monotonicMs();
    });
    await this.#pendingProbe;
  }

  #release(aborter: AbortController): void {
    this.#aborters.delete(aborter);
    if (this.inProgress === 0) this.#onIdle?.();
  }

  #checkAdmission(): core.Failure | undefined {
    if (this.#phase === "refusing") {
      return leavingFailure();
    }
    if (!this.#options.isTableReady()) {
      return core.refuse(
        core.TABLE_NOT_READY,
        "the table has not been read yet",
        SAME_INSTANCE_RETRY_AFTER_MS,
      );
    }
    if (this.#options.isIsolated()) {
      return core.refuse(
        core.INSTANCE_ISOLATED,
        "the table here may be out of date; use another instance",
        OTHER_INSTANCE_RETRY_AFTER_MS,
      );
    }
    if (this.inProgress >= this.#options.inProgressMax) {
      return core.refuse(
        core.INSTANCE_FULL,
        `${this.inProgress} requests in progress`,
        SAME_INSTANCE_RETRY_AFTER_MS,
      );
    }
    return undefined;
  }
}

function leavingFailure(): core.Failure {
  return core.refuse(
    core.INSTANCE_LEAVING,
    "ask /v1/entries for another instance",
    OTHER_INSTANCE_RETRY_AFTER_MS,
  );
}

/**
 * Returns the failure of a request that ended with the time of a planned stop.
 *
 * @example
 * ```ts
 * if (admission.hasEndedRequests) return err(stoppedFailure(failure.ran));
 * ```
 */
export function stoppedFailure(ran: core.Ran): core.Failure {
  if (ran === "no") return leavingFailure();
  const detail = "the time to finish requests was over";
  return {
    ...core.fail(core.INSTANCE_STOPPED, detail, ran),
    retryAfterMs: OTHER_INSTANCE_RETRY_AFTER_MS,
  };
}
