/** Releases unused shares of the rows' request limits. */
import * as core from "../../core/mod.ts";
import * as limits from "../../limits/mod.ts";

/** Releases unused limit shares at intervals. */
export class LimitsReleaseTask extends core.Task {
  override readonly name = "release-limits";
  readonly #shares: limits.LimitShares;

  constructor(shares: limits.LimitShares) {
    super();
    this.#shares = shares;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { releaseIntervalMs } = limits.LimitShares;
    while (await core.sleep(core.jitterMs(releaseIntervalMs), signal)) {
      await this.#shares.releaseUnused();
    }
  }
}
