/** What follows from a team's quota and the bounds of its excess. */
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";

/**
 * Part of the permitted excess that is used. The rest covers nodes that have not
 * heard yet that another one has joined.
 */
const ALLOWANCE_PART = 0.75;
/**
 * What the stock of a team may hold at least, as far as the bounds permit it:
 * two of the largest requests. A slack in the unit "requests" would otherwise
 * let an idle team save for hours.
 */
const LARGE_COST: Readonly<Record<fleet.QuotaUnit, number>> = {
  tokens: 10_000,
  requests: 10,
};
/** Parts of a unit that messages tell apart. */
const MESSAGE_SCALE: Readonly<Record<fleet.QuotaUnit, number>> = {
  tokens: 1,
  requests: 1_000,
};
const MS_PER_S = 1_000;

/** Bounds where the settings have none: the quota may not be exceeded. */
export const STRICT_BOUNDS: fleet.QuotaBounds = {
  windowMs: 8_000,
  overage: 0,
  slack: 0,
};

/** A team's limit over all nodes. */
export interface QuotaLimit {
  readonly unit: fleet.QuotaUnit;
  readonly ratePerMs: number;
  /** Time for which a token may be spent after it was refilled. */
  readonly lifetimeMs: number;
  /** Names the team with this limit in messages. */
  readonly tag: number;
  readonly messageScale: number;
}

/**
 * Returns a team's limit; undefined if its requests are not limited.
 *
 * All nodes together refill at the rate, so what they spend in a window of W
 * was refilled in W and one lifetime T before it: at most rate x (W + T). T is
 * such that this stays within (rate x W + burst) x (1 + overage) + slack.
 *
 * @example
 * ```ts
 * const limit = toLimit(team, settings.quotaBounds ?? STRICT_BOUNDS);
 * ```
 */
export function toLimit(
  { name, quota }: fleet.TeamSpec,
  { windowMs, overage, slack }: fleet.QuotaBounds,
): QuotaLimit | undefined {
  if (!quota || quota.ratePerS <= 0) return undefined;
  const { unit, burst } = quota;
  const ratePerMs = quota.ratePerS / MS_PER_S;
  const allowance = overage * (ratePerMs * windowMs + burst) + slack;
  const allowedMs = (burst + ALLOWANCE_PART * allowance) / ratePerMs;
  const usefulMs = Math.max(
    burst / ratePerMs + windowMs,
    LARGE_COST[unit] / ratePerMs,
  );
  const lifetimeMs = Math.min(allowedMs, usefulMs);
  const identity = [name, unit, quota.ratePerS, burst, lifetimeMs];
  return {
    unit,
    ratePerMs,
    lifetimeMs,
    tag: core.hash32(JSON.stringify(identity)),
    messageScale: MESSAGE_SCALE[unit],
  };
}

/** Returns what a request costs in the unit of a quota. */
export function costOf(
  { unit, plainTokens }: fleet.QuotaSpec,
  { promptTokens, outputTokensMax, statesTokens }: Pick<
    fleet.CallerRequest,
    "promptTokens" | "outputTokensMax" | "statesTokens"
  >,
): number {
  if (unit === "requests") return 1;
  return statesTokens ? promptTokens + outputTokensMax : plainTokens;
}
