/** The rate limits that upstreams name in their responses. */
import type * as core from "../core/mod.ts";

/** Time for which other nodes are told a statement that is not repeated. */
const NEWS_MS = 30_000;
/** Upstreams whose last incarnation is remembered. */
const REMEMBERED_MAX = 10_000;
/**
 * The same statement from other nodes has to be newer by this much. Its age does
 * not count the time on the way, so it seems newer each time that it is passed on.
 */
const PASSED_ON_SLACK_MS = 250;

/** One start of an upstream. */
export interface Incarnation {
  readonly id: core.UpstreamId;
  /** Unix time. */
  readonly startedAtMs: number;
}

/** What an incarnation last stated. */
export interface RateStatement extends Incarnation {
  /** Requests per second from all nodes; absent if it named no limit. */
  readonly perS?: number;
  /** Time since it was stated to any node. */
  readonly ageMs: number;
}

interface Known extends Incarnation {
  perS: number | undefined;
  statedAtMs: number;
}

/** Remembers the limits of upstreams, also while these are not listed. */
export class NamedRates {
  /** The last incarnation of each upstream that has named a limit. */
  readonly #known = new Map<core.UpstreamId, Known>();

  /** The limit in force, in requests per second; undefined if there is none. */
  perS(upstream: Incarnation): number | undefined {
    return this.#find(upstream)?.perS;
  }

  /** The last statement of an incarnation that has named a limit. */
  statement(upstream: Incarnation, nowMs: number): RateStatement | undefined {
    const known = this.#find(upstream);
    return known && toStatement(known, nowMs);
  }

  /**
   * Records a response. One without a limit lifts it, unless its request was
   * sent before the limit was stated: responses overtake each other.
   *
   * @param perS the limit that it names, in requests per second.
   * @returns whether the limit in force changed.
   * @example
   * ```ts
   * if (rates.recordResponse(record, 2.5, sentAtMs, nowMs)) log(record);
   * ```
   */
  recordResponse(
    upstream: Incarnation,
    perS: number | undefined,
    sentAtMs: number,
    nowMs: number,
  ): boolean {
    const known = this.#find(upstream);
    const isOutdated = !known || sentAtMs <= known.statedAtMs;
    if (perS === undefined && isOutdated) return false;
    return this.#set(upstream, perS, nowMs);
  }

  /**
   * Applies what another node knows; the latest statement counts.
   *
   * @returns whether the limit in force changed.
   */
  merge(statement: RateStatement, nowMs: number): boolean {
    const { perS, ageMs } = statement;
    const known = this.#find(statement);
    const statedAtMs = nowMs - ageMs;
    if (known) {
      const slackMs = known.perS === perS ? PASSED_ON_SLACK_MS : 0;
      if (statedAtMs <= known.statedAtMs + slackMs) return false;
    }
    return this.#set(statement, perS, statedAtMs);
  }

  /** The statements that other nodes may lack. */
  recent(nowMs: number): RateStatement[] {
    return [...this.#known.values()]
      .map((known) => toStatement(known, nowMs))
      .filter(({ ageMs }) => ageMs < NEWS_MS);
  }

  #find({ id, startedAtMs }: Incarnation): Known | undefined {
    const known = this.#known.get(id);
    return known?.startedAtMs === startedAtMs ? known : undefined;
  }

  #set(
    upstream: Incarnation,
    perS: number | undefined,
    statedAtMs: number,
  ): boolean {
    const { id, startedAtMs } = upstream;
    const latest = this.#known.get(id);
    if (latest && latest.startedAtMs > startedAtMs) return false;
    const before = this.#find(upstream);
    // Statements that were repeated last are kept longest.
    this.#known.delete(id);
    this.#known.set(id, { id, startedAtMs, perS, statedAtMs });
    const [oldest] = this.#known.keys();
    const isFull = this.#known.size > REMEMBERED_MAX;
    if (isFull && oldest !== undefined) this.#known.delete(oldest);
    return before?.perS !== perS;
  }
}

function toStatement(
  { id, startedAtMs, perS, statedAtMs }: Known,
  nowMs: number,
): RateStatement {
  return {
    id,
    startedAtMs,
    ageMs: Math.max(0, nowMs - statedAtMs),
    ...(perS === undefined ? {} : { perS }),
  };
}
