/** Waiting requests and granted work of teams, for the metrics. */
import type { TeamKey } from "./fairness_counters.ts";

/** Teams that are shown by name; the rest is summed. */
const NAMED_TEAMS_MAX = 32;
/** Name under which the rest is summed; no team's name is empty. */
const OTHERS = "";

/** Sums by team, for a bounded number of teams. */
export class TeamTotals {
  readonly #waiting = new Map<string, number>();
  readonly #grantedMs = new Map<string, number>();

  /** @param change 1 if a request joined the queue, -1 if it left it. */
  addWaiting(team: TeamKey, change: 1 | -1): void {
    if (team === undefined) return;
    const count = (this.#waiting.get(team) ?? 0) + change;
    if (count > 0) this.#waiting.set(team, count);
    else this.#waiting.delete(team);
  }

  addGranted(team: TeamKey, workMs: number): void {
    if (team === undefined) return;
    const isNamed = this.#grantedMs.has(team) ||
      this.#grantedMs.size < NAMED_TEAMS_MAX;
    const name = isNamed ? team : OTHERS;
    this.#grantedMs.set(name, (this.#grantedMs.get(name) ?? 0) + workMs);
  }

  /**
   * Returns the gauges by name and label.
   *
   * @example
   * ```ts
   * totals.gauges(); // { 'team_waiting{team="a"}': 3, … }
   * ```
   */
  gauges(): Record<string, number> {
    const gauges: Record<string, number> = {};
    let othersWaiting = 0;
    for (const [team, count] of this.#waiting) {
      if (!this.#grantedMs.has(team)) othersWaiting += count;
    }
    for (const [team, grantedMs] of this.#grantedMs) {
      const isRest = team === OTHERS;
      const label = isRest ? 'others="true"' : `team=${JSON.stringify(team)}`;
      gauges[`team_granted_ms{${label}}`] = Math.round(grantedMs);
      gauges[`team_waiting{${label}}`] = isRest
        ? othersWaiting
        : this.#waiting.get(team) ?? 0;
    }
    if (othersWaiting > 0 && !this.#grantedMs.has(OTHERS)) {
      gauges['team_waiting{others="true"}'] = othersWaiting;
    }
    return gauges;
  }
}
