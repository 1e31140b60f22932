/** Whether this instance takes new requests, and how many it has. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";

/** From serving to gone. */
export type GatewayPhase = "serving" | "leaving" | "refusing";

const RETRY_ELSEWHERE_MS = 50;
const RETRY_FULL_MS = 500;

/** What admission asks of the rest of the instance. */
export interface GatewayAdmissionOptions {
  readonly inProgressMax: number;
  /** Whether neither store nor peer has been heard of for too long. */
  readonly isIsolated: () => boolean;
  readonly isTableKnown: () => boolean;
}

/** Admits requests and counts them until they end. */
export class GatewayAdmission {
  readonly #options: GatewayAdmissionOptions;
  #phase: GatewayPhase = "serving";
  #inProgress = 0;
  #idle: (() => void) | undefined;

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
    return this.#phase === "serving" && this.#options.isTableKnown() &&
      !this.#options.isIsolated();
  }

  /** Vanishes from the entries but still takes requests. */
  leave(): void {
    this.#phase = "leaving";
  }

  /** Takes no more requests. */
  refuse(): void {
    this.#phase = "refusing";
  }

  /**
   * Admits a request.
   *
   * @returns the way to leave, or why it is refused.
   * @example
   * ```ts
   * const leave = admission.enter();
   * if (leave.isErr()) return problem(leave.error);
   * ```
   */
  enter(): Result<core.Cleanup, core.Failure> {
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
    if (!this.#options.isTableKnown()) {
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
