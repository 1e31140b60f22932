/** When a copy that takes no new requests is unloaded. */

/** A copy that is being closed. */
export interface DrainingReplica {
  readonly sinceMs: number;
  /** Its requests on the way, of all nodes. */
  readonly inFlight: number;
}

/** Time for nodes to hear that a copy closes before it is unloaded. */
const CLOSE_NOTICE_MS = 80;
/**
 * Time after which requests that still run no longer hold the unload up:
 * generations take up to 8 s.
 */
const CLOSE_WAIT_MAX_MS = 10_000;

/**
 * Whether the unload of a closing copy may be ordered. An engine takes no
 * other order until the requests of a model that it unloads have ended, so the
 * order waits for them here.
 *
 * @example
 * ```ts
 * const isDue = placement.mayUnload({ sinceMs: 300, inFlight: 0 });
 * ```
 */
export function mayUnload({ sinceMs, inFlight }: DrainingReplica): boolean {
  if (sinceMs < CLOSE_NOTICE_MS) return false;
  return inFlight === 0 || sinceMs >= CLOSE_WAIT_MAX_MS;
}
