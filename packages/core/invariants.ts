/** Numbered invariants of the system, and the check that enforces them. */

/** Messages by invariant number; a number is never reused. */
export const INVARIANT_MESSAGES = {
  1: "Ledger sum exceeds the engine's capacity",
  2: "Table revision stepped back",
  3: "Claim dispatched without a committed row",
  4: "Limit share released twice",
  5: "Two orders in flight to one engine",
} as const;

/** Thrown when an invariant is violated, which is always a bug. */
export class InvariantError extends Error {
  readonly number: number;

  constructor(number: keyof typeof INVARIANT_MESSAGES, detail: string) {
    super(`Invariant ${number}: ${INVARIANT_MESSAGES[number]} (${detail})`);
    this.number = number;
  }
}

/**
 * Throws an `InvariantError` unless the condition holds.
 *
 * @example
 * ```ts
 * core.invariant(sum <= capacity, 1, `${sum} over ${capacity}`);
 * ```
 */
export function invariant(
  condition: boolean,
  number: keyof typeof INVARIANT_MESSAGES,
  detail: string,
): asserts condition {
  if (!condition) throw new InvariantError(number, detail);
}
