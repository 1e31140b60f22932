/** Gives back shares of limits that are not used. */
import * as core from "../../core/mod.ts";
import * as limits from "../../limits/mod.ts";

/** Gives back at intervals. */
export class LimitsGiveBackTask extends core.Task {
  override readonly name = "give-back-limits";
  readonly #shares: limits.LimitShares;

  constructor(shares: limits.LimitShares) {
    super();
    this.#shares = shares;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { releaseIntervalMs: giveBackIntervalMs } = limits.LimitShares;
    while (await core.sleep(core.jitterMs(giveBackIntervalMs), signal)) {
      await this.#shares.releaseUnused();
    }
  }
}
