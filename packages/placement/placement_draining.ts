/** Decides when a draining replica may be unloaded. */

/** A replica that takes no new requests and is to be unloaded. */
export interface DrainingReplica {
  /** Time since it began to drain, in milliseconds. */
  readonly sinceMs: number;
  /** Its in-flight requests, over all nodes. */
  readonly inFlight: number;
}

/** Time for all nodes to learn that a replica drains before it is unloaded. */
const DRAIN_NOTICE_MS = 80;
/**
 * Time after which in-flight requests no longer delay the unload. Generations
 * take up to 8 s.
 */
const DRAIN_WAIT_MAX_MS = 10_000;

/**
 * Whether the unload of a draining replica may be ordered. An engine that
 * unloads a model accepts no other order until the requests of that model have
 * ended, so the unload is only ordered once they have.
 *
 * @example
 * ```ts
 * const isDue = placement.mayUnload({ sinceMs: 300, inFlight: 0 });
 * ```
 */
export function mayUnload({ sinceMs, inFlight }: DrainingReplica): boolean {
  if (sinceMs < DRAIN_NOTICE_MS) return false;
  return inFlight === 0 || sinceMs >= DRAIN_WAIT_MAX_MS;
}
