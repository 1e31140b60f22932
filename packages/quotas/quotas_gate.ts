/** The one call by which requests are admitted under quotas. */
import type { Result } from "neverthrow";
import type * as fleet from "../fleet/mod.ts";
import type { QuotaRejection } from "./quotas_types.ts";

/** Tokens of an admitted request. */
export abstract class AdmittedQuota {
  /** Puts them back, as the request has not run and never will. */
  abstract refund(): void;
}

/** Admits requests of teams that have a quota. */
export abstract class QuotaGate {
  /**
   * Takes the tokens of a request, and waits for them a little if they are
   * likely to come.
   *
   * @param signal ends the wait; the request must then not be sent.
   * @example
   * ```ts
   * const quota = await gate.admit(team, caller, signal);
   * if (quota.isErr()) return reject(429, quota.error.retryAfterMs);
   * ```
   */
  abstract admit(
    team: fleet.TeamSpec | undefined,
    caller: fleet.CallerRequest,
    signal: AbortSignal,
  ): Promise<Result<AdmittedQuota, QuotaRejection>>;
}
