/** Numbers that messages hold in unsigned fields of 32 bits. */

const UINT32_MAX = 0xffff_ffff;

/**
 * Whether a number can be sent as it is.
 *
 * @example
 * ```ts
 * if (!core.isUint32(report.count)) return err("not a count");
 * ```
 */
export function isUint32(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= UINT32_MAX;
}

/**
 * Limits a sum or an age to what can be sent; what is above means "very much".
 *
 * @example
 * ```ts
 * const ageMs = core.toUint32(nowMs - sentAtMs);
 * ```
 */
export function toUint32(value: number): number {
  return Math.min(UINT32_MAX, Math.max(0, Math.round(value)));
}
