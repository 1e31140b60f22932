/**
 * Whether a node may answer under keys. Pattern of load: keys are removed while
 * some nodes cannot reach the store, stand still, or start anew.
 */

/**
 * Part of the revocation time that is kept free. A suspension shorter than half
 * a second is not noticed.
 */
const MARGIN_MS = 600;

/**
 * Longest age of the configuration with which a node still answers under keys.
 * A request that is admitted then was sent less than `revocationMs` after the
 * acknowledgement of any configuration that the node does not know.
 *
 * @param revocationMs time from which on no request under a removed key runs.
 * @example
 * ```ts
 * teams.trustedAgeMs(5_000); // 4400
 * ```
 */
export function trustedAgeMs(revocationMs: number): number {
  return Math.max(0, revocationMs - MARGIN_MS);
}

/** Time that a confirmation takes from the store to the last node, and more. */
const PASSED_ON_MS = 400;
const READ_MIN_MS = 100;

/**
 * Longest time for which a read of the configuration may wait for a change. Its
 * answer is as of its start, and is used until the next one, so that it becomes
 * twice as old as a read takes.
 *
 * @param revocationMs as for `trustedAgeMs`; undefined if it is not bounded.
 * @param otherwiseMs longest wait without a bound.
 * @example
 * ```ts
 * teams.longestReadMs(3_000, 2_000); // 1000
 * ```
 */
export function longestReadMs(
  revocationMs: number | undefined,
  otherwiseMs: number,
): number {
  if (revocationMs === undefined) return otherwiseMs;
  const readMs = (trustedAgeMs(revocationMs) - PASSED_ON_MS) / 2;
  return Math.min(otherwiseMs, Math.max(READ_MIN_MS, readMs));
}

/**
 * Whether a configuration is recent enough to answer under keys.
 *
 * @param asOfMs start of the read that last confirmed it.
 * @param revocationMs as for `trustedAgeMs`; undefined if it is not bounded.
 * @example
 * ```ts
 * if (!teams.isTrusted(asOfMs, nowMs, 5_000)) return unavailable();
 * ```
 */
export function isTrusted(
  asOfMs: number,
  nowMs: number,
  revocationMs: number | undefined,
): boolean {
  if (revocationMs === undefined) return true;
  return nowMs - asOfMs <= trustedAgeMs(revocationMs);
}
