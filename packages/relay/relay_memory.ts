/** Memory for responses that are buffered until they can be passed on. */
import * as core from "../core/mod.ts";
import * as memory from "../memory/mod.ts";

/** Shared by all requests, as they share the process's memory. */
export const responseMemory = memory.processMemory.responses;

/**
 * Time for which a response waits for its caller until it counts twice, and once
 * more for each further one. A caller on a link of 7 Mbit/s takes 64 kB in it.
 */
const SLOW_MS = 75;

/** Ranks a response by what it holds and by how long its caller has not read. */
export class ResponseRank {
  #writingSinceMs = Infinity;

  /** Records that what is held waits for the caller. */
  beginWrite(): void {
    this.#writingSinceMs = core.monotonicMs();
  }

  /** Records that the caller has taken it. */
  endWrite(): void {
    this.#writingSinceMs = Infinity;
  }

  /**
   * Returns the rank of a response that holds these bytes.
   *
   * @example
   * ```ts
   * const share = responseMemory.open(drop, (bytes) => rank.of(bytes));
   * ```
   */
  of(bytes: number): number {
    const waitedMs = core.monotonicMs() - this.#writingSinceMs;
    return waitedMs > 0 ? bytes * (1 + waitedMs / SLOW_MS) : bytes;
  }
}
