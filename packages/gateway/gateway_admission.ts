/** Whether this instance takes new requests, and how many it has. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";

/** From serving to gone. */
export type GatewayPhase = "serving" | "leaving" | "refusing";

const RETRY_ELSEWHERE_MS = 50;
const RETRY_FULL_MS = 500;
/** An isolated instance asks again after this, and refuses at once between. */
const PROBE_PAUSE_MS = 1_000;

/** What admission asks of the rest of the instance. */
export interface GatewayAdmissionOptions {
  readonly inProgressMax: number;
  /** Whether neither store nor peer has been heard of for too long. */
  readonly isIsolated: () => boolean;
  /** Asks store and peers for a word; ends when one came or none will. */
  readonly probe: () => Promise<void>;
  readonly isTableReady: () => boolean;
}

/** Admits requests and counts them until they end. */
export class GatewayAdmission {
  readonly #options: GatewayAdmissionOptions;
  #phase: GatewayPhase = "serving";
  #inProgress = 0;
  #idle: (() => void) | undefined;
  #probing: Promise<void> | undefined;
  #probedAtMs = -Infinity;

  constructor(options: GatewayAdmissionOptions) {
    this.#options = options;
  }

  /** The phase now. */
  get phase(): GatewayPhase {
    return this.#phase;
  }

  /** Requests that have not ended. */
  get inProgress(): number {
    return this.#inProgress;
  }

  /** Whether callers should be sent here. */
  get isReady(): boolean {
    return this.#phase === "serving" && this.#options.isTableReady() &&
      !this.#options.isIsolated();
  }

  /** Vanishes from the entries but still takes requests. */
  markLeaving(): void {
    this.#phase = "leaving";
  }

  /** Takes no more requests. */
  startRejecting(): void {
    this.#phase = "refusing";
  }

  /**
   * Admits a request.
   *
   * @returns the way to leave, or why it is refused.
   * @example
   * ```ts
   * const leave = await admission.enter();
   * if (leave.isErr()) return problem(leave.error);
   * ```
   */
  async admit(): Promise<Result<core.Cleanup, core.Failure>> {
    // A process that was paused has heard nothing lately, but need only ask.
    if (this.#options.isIsolated()) await this.#probe();
    const refusal = this.#refusal();
    if (refusal) return err(refusal);
    this.#inProgress++;
    return ok(() => this.#leave());
  }

  /** Waits until no request is in progress, for a bounded time. */
  async whenIdle(waitMs: number): Promise<boolean> {
    if (this.#inProgress === 0) return true;
    const idle = new Promise<boolean>((resolve) => {
      this.#idle = () => resolve(true);
    });
    return await Promise.race([idle, core.sleep(waitMs).then(() => false)]);
  }

  /** One probe serves all who wait, and none follows within a pause. */
  async #probe(): Promise<void> {
    const isDue = core.monotonicMs() - this.#probedAtMs > PROBE_PAUSE_MS;
    if (this.#probing === undefined && !isDue) return;
    this.#probing ??= this.#options.probe().finally(() => {
      this.#probing = undefined;
      this.#probedAtMs = core.monotonicMs();
    });
    await this.#probing;
  }

  #leave(): void {
    this.#inProgress--;
    if (this.#inProgress === 0) this.#idle?.();
  }

  #refusal(): core.Failure | undefined {
    if (this.#phase === "refusing") {
      return core.refuse(
        core.INSTANCE_LEAVING,
        "ask /v1/entries for another instance",
        RETRY_ELSEWHERE_MS,
      );
    }
    if (!this.#options.isTableReady()) {
      return core.refuse(
        core.TABLE_NOT_READY,
        "the table has not been read yet",
        RETRY_FULL_MS,
      );
    }
    if (this.#options.isIsolated()) {
      return core.refuse(
        core.INSTANCE_ISOLATED,
        "the table here may be out of date; use another instance",
        RETRY_ELSEWHERE_MS,
      );
    }
    if (this.#inProgress >= this.#options.inProgressMax) {
      return core.refuse(
        core.INSTANCE_FULL,
        `${this.#inProgress} requests in progress`,
        RETRY_FULL_MS,
      );
    }
    return undefined;
  }
}
