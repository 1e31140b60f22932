/** Counts and logs what a node's limits cost its clients. */
import * as core from "../core/mod.ts";
import type { NodeMemory } from "./memory_account.ts";

/** Why a request ends that holds most when memory is short. */
export const OUT_OF_MEMORY = "out of memory";

/** Names of the limits; they are part of metric names and log lines. */
export type LimitName =
  | "memory"
  | "requests"
  | "body_bytes"
  | "body_rate"
  | "body_framing"
  | "turns"
  | "connections"
  | "heads"
  | "pipelined";

/** Shortest time between two log lines about one limit. */
const LOG_INTERVAL_MS = 1_000;

interface LimitCount {
  total: number;
  logged: number;
  loggedAtMs: number;
}

/** One log line a second for each limit that is reached, and its counter. */
export class LimitReporter {
  readonly #logger: core.Logger;
  readonly #counts = new Map<LimitName, LimitCount>();

  constructor(logger: core.Logger) {
    this.#logger = logger;
  }

  /**
   * Records that a limit has cost a client its request or connection.
   *
   * @param fields of the log line, such as what is held and the limit.
   * @example
   * ```ts
   * reporter.note("connections", { listener: "callers", max: 141 });
   * ```
   */
  note(limit: LimitName, fields: core.LogFields = {}): void {
    let count = this.#counts.get(limit);
    if (!count) {
      count = { total: 0, logged: 0, loggedAtMs: -Infinity };
      this.#counts.set(limit, count);
    }
    count.total++;
    const nowMs = core.monotonicMs();
    if (nowMs - count.loggedAtMs < LOG_INTERVAL_MS) return;
    const since = count.total - count.logged;
    this.#logger.warn("limit_reached", { limit, count: since, ...fields });
    count.logged = count.total;
    count.loggedAtMs = nowMs;
  }

  /** Records that a request was shed, with what the account holds. */
  noteShed({ heldBytes, bytesMax }: NodeMemory): void {
    this.note("memory", { heldBytes, bytesMax });
  }

  /** How often each limit was reached, by the name of its metric. */
  get metrics(): Record<string, number> {
    return Object.fromEntries(
      [...this.#counts].map((
        [limit, { total }],
      ) => [`limit_${limit}_total`, total]),
    );
  }
}
