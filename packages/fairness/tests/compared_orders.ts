/** Published orders that were weighed, for requests of one model and priority. */
import { ArrivalOrder, type OrderedRequest, type TeamKey } from "../mod.ts";

/** Tries requests by team, in the order that a subclass gives to the teams. */
abstract class ByTeamOrder extends ArrivalOrder {
  readonly waiting = new Map<TeamKey, number>();

  override onQueued({ team }: OrderedRequest): void {
    const count = this.waiting.get(team) ?? 0;
    if (count === 0) this.onBacklog(team);
    this.waiting.set(team, count + 1);
  }

  override onDequeued({ team }: OrderedRequest): void {
    const count = this.waiting.get(team)! - 1;
    if (count > 0) this.waiting.set(team, count);
    else this.waiting.delete(team);
  }

  override serve<Request extends OrderedRequest>(
    queued: readonly Request[],
    nowMs: number,
    tryGrant: (request: Request) => boolean,
  ): void {
    const ordered: Request[] = [];
    super.serve(queued, nowMs, (request) => ordered.push(request) > 0);
    const left = new Map(
      [...this.waiting.keys()].map((team) => [
        team,
        ordered.filter((request) => request.team === team),
      ]),
    );
    while (left.size > 0) {
      const team = this.nextTeam(left);
      const request = left.get(team)!.shift();
      if (!request) left.delete(team);
      else if (tryGrant(request)) this.onGranted(request);
    }
  }

  abstract onBacklog(team: TeamKey): void;
  abstract nextTeam(
    left: ReadonlyMap<TeamKey, readonly OrderedRequest[]>,
  ): TeamKey;
  abstract onGranted(request: OrderedRequest): void;
}

/** Virtual token counter (Sheng et al. 2024): lifted to the least that waits. */
export class VirtualCounterOrder extends ByTeamOrder {
  readonly #counters = new Map<TeamKey, number>();

  override onBacklog(team: TeamKey): void {
    const others = [...this.waiting.keys()]
      .map((each) => this.#counters.get(each)!);
    const least = others.length > 0
      ? Math.min(...others)
      : Math.max(0, ...this.#counters.values());
    this.#counters.set(team, Math.max(this.#counters.get(team) ?? 0, least));
  }

  override nextTeam(left: ReadonlyMap<TeamKey, unknown>): TeamKey {
    const counterOf = (team: TeamKey) => this.#counters.get(team)!;
    return [...left.keys()]
      .reduce((a, b) => counterOf(b) < counterOf(a) ? b : a);
  }

  override onGranted({ team, workMs }: OrderedRequest): void {
    this.#counters.set(team, this.#counters.get(team)! + workMs);
  }
}

/** Deficit round robin (Shreedhar, Varghese 1995). */
export class DeficitOrder extends ByTeamOrder {
  readonly #quantumMs: number;
  #ring: TeamKey[] = [];
  readonly #deficits = new Map<TeamKey, number>();

  constructor(quantumMs: number) {
    super();
    this.#quantumMs = quantumMs;
  }

  override onBacklog(team: TeamKey): void {
    this.#ring = [...this.#ring.filter((each) => each !== team), team];
    this.#deficits.set(team, 0);
  }

  override nextTeam(
    left: ReadonlyMap<TeamKey, readonly OrderedRequest[]>,
  ): TeamKey {
    for (;;) {
      const team = this.#ring.find((each) => left.has(each));
      const workMs = left.get(team)![0]?.workMs ?? 0;
      const deficitMs = this.#deficits.get(team) ?? 0;
      if (workMs <= deficitMs) return team;
      this.#ring = [...this.#ring.filter((each) => each !== team), team];
      this.#deficits.set(team, deficitMs + this.#quantumMs);
    }
  }

  override onGranted({ team, workMs }: OrderedRequest): void {
    this.#deficits.set(team, this.#deficits.get(team)! - workMs);
  }
}
