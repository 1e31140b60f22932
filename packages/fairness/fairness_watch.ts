/** Detects teams that are served clearly less than their share. */
import type * as core from "../core/mod.ts";
import type { TeamKey } from "./fairness_counters.ts";

/** Time over which the service of teams is compared. */
const WINDOW_MS = 1_000;
/** Part of its share below which a team is underserved. */
const UNDERSERVED_SHARE = 0.5;

/** A team that waited all the time and got clearly less than its share. */
export interface UnderservedTeam {
  readonly team: TeamKey;
  readonly modelKey: string;
  readonly priority: number;
  readonly waitedMs: number;
  /** Engine time granted in the last window. */
  readonly grantedMs: number;
  /** Its share of the engine time granted to all teams in that window. */
  readonly dueMs: number;
}

/**
 * Returns the fields of the log entry about an underserved team.
 *
 * @example
 * ```ts
 * logger.warn("team_underserved", fairness.toLogFields(underserved));
 * ```
 */
export function toLogFields(
  { team, modelKey, priority, waitedMs, grantedMs, dueMs }: UnderservedTeam,
): core.LogFields {
  return {
    team: team ?? "none",
    model: modelKey,
    priority,
    waitedMs: Math.round(waitedMs),
    grantedMs: Math.round(grantedMs),
    dueMs: Math.round(dueMs),
  };
}

interface Service {
  /** Since when the team has had waiting requests; Infinity if it has none. */
  waitingSinceMs: number;
  grantedMs: number;
}

/** Compares the service of the teams that compete for the same engines. */
export class ShareWatch {
  readonly #weightOf: (team: TeamKey) => number;
  readonly #services = new Map<TeamKey, Service>();
  #startedAtMs = -Infinity;
  #largestMs = 0;

  constructor(weightOf: (team: TeamKey) => number = () => 1) {
    this.#weightOf = weightOf;
  }

  /** The team's first request waits. */
  startWaiting(team: TeamKey, nowMs: number): void {
    if (this.#services.size === 0) this.#restart(nowMs);
    this.#use(team).waitingSinceMs = nowMs;
  }

  /** No request of the team waits any more. */
  stopWaiting(team: TeamKey): void {
    const service = this.#services.get(team);
    if (service) service.waitingSinceMs = Infinity;
    const isIdle = [...this.#services.values()]
      .every(({ waitingSinceMs }) => waitingSinceMs === Infinity);
    if (isIdle) this.#services.clear();
  }

  /** Records a grant; it counts only while teams wait. */
  recordGrant(team: TeamKey, workMs: number): void {
    if (this.#services.size === 0) return;
    this.#use(team).grantedMs += workMs;
    this.#largestMs = Math.max(this.#largestMs, workMs);
  }

  /**
   * Ends the window if it is over.
   *
   * @returns the worst-served team if it got clearly less than its share. A
   * difference of one request is none.
   */
  check(
    nowMs: number,
  ): Omit<UnderservedTeam, "modelKey" | "priority"> | undefined {
    if (nowMs - this.#startedAtMs < WINDOW_MS) return undefined;
    let sumMs = 0;
    let weights = 0;
    for (const [team, { grantedMs }] of this.#services) {
      sumMs += grantedMs;
      weights += this.#weightOf(team);
    }
    let worst: ReturnType<ShareWatch["check"]>;
    for (const [team, { waitingSinceMs, grantedMs }] of this.#services) {
      if (waitingSinceMs > this.#startedAtMs) continue;
      const dueMs = sumMs * this.#weightOf(team) / weights;
      const isServed = grantedMs + this.#largestMs >= dueMs * UNDERSERVED_SHARE;
      if (isServed) continue;
      if (worst && worst.grantedMs / worst.dueMs <= grantedMs / dueMs) continue;
      worst = { team, waitedMs: nowMs - waitingSinceMs, grantedMs, dueMs };
    }
    this.#restart(nowMs);
    return worst;
  }

  #use(team: TeamKey): Service {
    let service = this.#services.get(team);
    if (!service) {
      service = { waitingSinceMs: Infinity, grantedMs: 0 };
      this.#services.set(team, service);
    }
    return service;
  }

  #restart(nowMs: number): void {
    this.#startedAtMs = nowMs;
    this.#largestMs = 0;
    for (const [team, service] of this.#services) {
      if (service.waitingSinceMs === Infinity) this.#services.delete(team);
      service.grantedMs = 0;
    }
  }
}
