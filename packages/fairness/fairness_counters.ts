/**
 * Virtual counters of the engine time granted to each team. Start tags are those
 * of start-time fair queueing (Goyal, Vin, Cheng 1996), kept for each team and
 * not for each request, as in the virtual token counter (Sheng et al. 2024).
 */
import type * as core from "../core/mod.ts";

/** A team, or undefined for all requests without one. */
export type TeamKey = core.TeamName | undefined;

/**
 * Engine time by which a waiting team may fall behind the virtual time. A team
 * whose model was being loaded catches up on no more than that.
 */
export const LAG_MAX_MS = 2_000;
/**
 * Engine time by which corrections and continuations put a team ahead of the
 * virtual time at most. Without a limit, a team whose streams break would wait
 * for minutes.
 */
export const LEAD_MAX_MS = 2_000;
/** Smallest cost of a grant, so that teams alternate where work is unknown. */
const COST_MIN_MS = 1;
/** Teams without waiting requests that are remembered. */
const IDLE_TEAMS_MAX = 64;
/** Averaging window of arrivals; callers change their demand within seconds. */
const ARRIVALS_WINDOW_MS = 4_000;

interface Counter {
  /** Engine time granted, by weight; comparable with the virtual time. */
  tagMs: number;
  waiting: number;
  /** Decayed engine time of arrivals. */
  arrivedMs: number;
  arrivedAtMs: number;
}

/** The counters of the teams that compete for the same engines. */
export class WorkCounters {
  readonly #weightOf: (team: TeamKey) => number;
  /** In the order of their last use. */
  readonly #counters = new Map<TeamKey, Counter>();
  #waitingTeams = 0;
  /** Start tag of the last request that was served in its turn. */
  #virtualMs = 0;

  constructor(weightOf: (team: TeamKey) => number = () => 1) {
    this.#weightOf = weightOf;
  }

  /** Number of teams that are remembered. */
  get size(): number {
    return this.#counters.size;
  }

  /** Number of teams with waiting requests. */
  get waitingTeams(): number {
    return this.#waitingTeams;
  }

  isWaiting(team: TeamKey): boolean {
    return (this.#counters.get(team)?.waiting ?? 0) > 0;
  }

  /** A request of the team waits. A team that was idle has no credit. */
  join(team: TeamKey): void {
    const counter = this.#use(team);
    if (counter.waiting++ > 0) return;
    this.#waitingTeams++;
    counter.tagMs = Math.max(counter.tagMs, this.#virtualMs);
  }

  /** A request of the team no longer waits. */
  leave(team: TeamKey): void {
    const counter = this.#counters.get(team);
    if (counter && --counter.waiting === 0) this.#waitingTeams--;
    this.#forgetIdle();
  }

  /** The start tag of the team's next request; the lowest one is next. */
  startTagMs(team: TeamKey): number {
    const counter = this.#counters.get(team);
    if (!counter) return this.#virtualMs;
    const floorMs = counter.waiting > 0
      ? this.#virtualMs - LAG_MAX_MS
      : this.#virtualMs;
    return Math.max(counter.tagMs, floorMs);
  }

  /**
   * Charges a request that was served.
   *
   * @param startTagMs the team's start tag before the request left the queue.
   * @param isInTurn whether no waiting request that could run has a lower tag;
   * continuations are served before their turn.
   */
  grant(
    team: TeamKey,
    workMs: number,
    startTagMs: number,
    isInTurn: boolean,
  ): void {
    const counter = this.#use(team);
    counter.tagMs = startTagMs + this.spanMs(team, workMs);
    if (isInTurn) this.#virtualMs = Math.max(this.#virtualMs, startTagMs);
    else this.#limitLead(counter, startTagMs);
    this.#forgetIdle();
  }

  /** Corrects the charge of a request, in engine time. */
  correct(team: TeamKey, changeMs: number): void {
    const counter = this.#counters.get(team);
    if (!counter) return;
    const beforeMs = counter.tagMs;
    counter.tagMs += changeMs / this.#weightOf(team);
    // Below the virtual time it would be credit for the past.
    if (changeMs < 0) {
      const floorMs = Math.min(beforeMs, this.#virtualMs);
      counter.tagMs = Math.max(counter.tagMs, floorMs);
    } else this.#limitLead(counter, beforeMs);
  }

  /** Virtual time that work of a team takes. */
  spanMs(team: TeamKey, workMs: number): number {
    return Math.max(COST_MIN_MS, workMs) / this.#weightOf(team);
  }

  /** Records that a request arrived, whether it will be served or not. */
  recordArrival(team: TeamKey, workMs: number, nowMs: number): void {
    const counter = this.#use(team);
    counter.arrivedMs = this.#arrivedMs(counter, nowMs) +
      Math.max(COST_MIN_MS, workMs);
    counter.arrivedAtMs = nowMs;
    this.#forgetIdle();
  }

  /**
   * Share of the arrivals that are served before one of the team which arrives
   * now: its own, and of each other team no more than that.
   */
  arrivalsAheadShare(team: TeamKey): number {
    const own = this.#counters.get(team);
    if (!own || own.arrivedMs === 0) return 1;
    const ownMs = this.#arrivedMs(own, own.arrivedAtMs);
    let sumMs = 0;
    let aheadMs = 0;
    for (const counter of this.#counters.values()) {
      const arrivedMs = this.#arrivedMs(counter, own.arrivedAtMs);
      sumMs += arrivedMs;
      aheadMs += Math.min(arrivedMs, ownMs);
    }
    return aheadMs / sumMs;
  }

  #arrivedMs({ arrivedMs, arrivedAtMs }: Counter, nowMs: number): number {
    const ageMs = Math.max(0, nowMs - arrivedAtMs);
    return arrivedMs * Math.exp(-ageMs / ARRIVALS_WINDOW_MS);
  }

  #limitLead(counter: Counter, beforeMs: number): void {
    const limitMs = Math.max(beforeMs, this.#virtualMs + LEAD_MAX_MS);
    counter.tagMs = Math.min(counter.tagMs, limitMs);
  }

  #use(team: TeamKey): Counter {
    const counter = this.#counters.get(team) ?? {
      tagMs: this.#virtualMs,
      waiting: 0,
      arrivedMs: 0,
      arrivedAtMs: 0,
    };
    this.#counters.delete(team);
    this.#counters.set(team, counter);
    return counter;
  }

  /** Forgets the teams that have been idle for longest; they lose no service. */
  #forgetIdle(): void {
    let excess = this.#counters.size - this.#waitingTeams - IDLE_TEAMS_MAX;
    if (excess <= 0) return;
    for (const [team, { waiting }] of this.#counters) {
      if (waiting > 0) continue;
      this.#counters.delete(team);
      if (--excess === 0) return;
    }
  }
}
