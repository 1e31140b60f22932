/**
 * How long requests wait and how much a node keeps, by the time that exchanges
 * take. On nodes with a tenth of a core an exchange took longer than 250 ms, and
 * 823 requests of a quiet day got no tokens in that time.
 */
import type { SpendingRate } from "./quotas_demand.ts";
import type { QuotaLimit } from "./quotas_limit.ts";

/** Longest wait of a request for tokens, where exchanges are fast and slow. */
const WAIT_MAX_MS = 250;
const SLOW_WAIT_MAX_MS = 1_000;
/** Exchanges that a wait lasts: the parent may have to ask its own one first. */
const WAIT_ROUND_TRIPS = 4;
/** Time between two exchanges while requests wait for tokens. */
export const EXCHANGE_INTERVAL_MIN_MS = 30;
/**
 * The same in a shortage that the parent knows of. With 75 ms, a team of 11,000
 * tokens/s at 0.8 of its rate got less than from one bucket for all nodes (0.935
 * and 0.960); with 30 ms, nodes sent 41 in place of 32 messages a second.
 */
const SHORT_EXCHANGE_INTERVAL_MIN_MS = 50;
/** Pause between exchanges, as part of the time that they take. */
const SLOW_PAUSE_PART = 0.5;
/** Time for whose spending a node keeps tokens: two exchanges of a leaf. */
const KEEP_MS = 300;
/**
 * Where exchanges take longer, a request that waits for one, or for two of them
 * in a tree, may get its tokens too late.
 */
const SLOW_ROUND_TRIP_MS = 60;
/** Requests for which a node keeps tokens in that case. */
const SLOW_RESERVE_REQUESTS = 2;
/** Part of what can be in stock that all nodes may keep for that. */
const SLOW_RESERVE_PART = 0.5;

/** Exchanges within which tokens would expire on their way, or soon after. */
const SEND_MARGIN_ROUND_TRIPS = 1.5;

/** What all accounts of a node have in common. */
export interface QuotaPlace {
  /** This node's part of each rate. */
  share: number;
  /** Part of the nodes whose tokens can come to this one. */
  reach: number;
  hasChildren: boolean;
  /** Whether this node is to give back everything. */
  isLeaving: boolean;
  /** When a parent last answered; -Infinity for the root. */
  parentAtMs: number;
  /** Mean time that exchanges take. */
  roundTripMs: number;
}

/** Returns the longest wait of a request for tokens. */
export function waitMaxMs({ roundTripMs }: QuotaPlace): number {
  if (roundTripMs <= SLOW_ROUND_TRIP_MS) return WAIT_MAX_MS;
  const waitMs = WAIT_ROUND_TRIPS * roundTripMs;
  return Math.min(SLOW_WAIT_MAX_MS, Math.max(WAIT_MAX_MS, waitMs));
}

/**
 * Returns the time within which to ask the parent while requests wait. In a
 * shortage, tokens come at the team's rate, however often it is asked.
 */
export function exchangeWithinMs(
  parent: { readonly isShort: boolean; readonly waitMs: number },
  { roundTripMs }: QuotaPlace,
): number {
  const withinMs = parent.isShort
    ? Math.max(SHORT_EXCHANGE_INTERVAL_MIN_MS, parent.waitMs)
    : EXCHANGE_INTERVAL_MIN_MS;
  return Math.max(withinMs, SLOW_PAUSE_PART * roundTripMs);
}

/** Returns within which time tokens expire that are not worth sending. */
export function sendMarginMs({ roundTripMs }: QuotaPlace): number {
  return SEND_MARGIN_ROUND_TRIPS * roundTripMs;
}

/** Returns what a node is to have in stock for requests that may come. */
export function toKeep(
  { ratePerMs, lifetimeMs }: QuotaLimit,
  { isLeaving, roundTripMs, share }: QuotaPlace,
  spending: SpendingRate,
  nowMs: number,
): number {
  if (isLeaving) return 0;
  if (roundTripMs <= SLOW_ROUND_TRIP_MS) return spending.expect(KEEP_MS, nowMs);
  const mean = spending.meanAsked(nowMs);
  const most = SLOW_RESERVE_PART * ratePerMs * lifetimeMs * share;
  const reserve = Math.min(SLOW_RESERVE_REQUESTS * mean, most);
  const expected = spending.expect(KEEP_MS + 2 * roundTripMs, nowMs);
  return Math.max(expected, reserve < mean ? 0 : reserve);
}
