/** The order of a queue that is fair between teams. */
import {
  ArrivalOrder,
  compareRequests,
  type OrderedRequest,
  type QueueAhead,
  type QueuePlace,
} from "./fairness_order.ts";
import { type TeamKey, WorkCounters } from "./fairness_counters.ts";
import { TeamTotals } from "./fairness_totals.ts";
import { ShareWatch, type UnderservedTeam } from "./fairness_watch.ts";

/** Models whose counters are remembered while nothing waits for them. */
const IDLE_POOLS_MAX = 128;
/** Shortest time between two reports of underserved teams. */
const REPORT_INTERVAL_MS = 10_000;

/** How teams share, and who is told if one does not get its share. */
export interface TeamOrderOptions {
  /** By default all teams have the same weight. */
  readonly weightOf?: (team: TeamKey) => number;
  /** Called at most once in 10 s. */
  readonly onUnderserved?: (underserved: UnderservedTeam) => void;
}

/** What the requests of one priority for one model compete for. */
interface Pool {
  readonly modelKey: string;
  readonly priority: number;
  readonly counters: WorkCounters;
  readonly watch: ShareWatch;
}

/** Requests of one team in a pool, in order; `next` is the first untried one. */
interface Line<Request> {
  readonly team: TeamKey;
  readonly requests: Request[];
  /** Positions among the requests of all teams. */
  readonly ranks: number[];
  next: number;
  /** Start tag in the pool. */
  tagMs: number;
  /** Start tag over all models. */
  sumTagMs: number;
}

/** The lines of one pool, and the one whose turn it is. */
interface Lane<Request> {
  readonly pool: Pool;
  readonly lines: Line<Request>[];
  head: Line<Request> | undefined;
}

/**
 * Orders requests by priority, then continuations before new ones, then by the
 * engine time that their teams were granted, then as `ArrivalOrder`. Teams are
 * compared by what they were granted of the model; between two models, by what
 * they were granted of all models. Requests without a team count as one team.
 */
export class TeamOrder extends ArrivalOrder {
  readonly totals = new TeamTotals();
  readonly #weightOf: (team: TeamKey) => number;
  readonly #onUnderserved: (underserved: UnderservedTeam) => void;
  /** In the order of their last use. */
  readonly #pools = new Map<string, Pool>();
  /** Counters over all models, by priority. */
  readonly #sums = new Map<number, WorkCounters>();
  /** Queued requests that have a team. */
  #ofTeams = 0;
  #reportedAtMs = -Infinity;

  constructor(
    { weightOf = () => 1, onUnderserved = () => {} }: TeamOrderOptions = {},
  ) {
    super();
    this.#weightOf = weightOf;
    this.#onUnderserved = onUnderserved;
  }

  /** Number of models and priorities that are remembered. */
  get pools(): number {
    return this.#pools.size;
  }

  /** Number of teams that are remembered for a model and a priority. */
  teamsOf(place: QueuePlace): number {
    return this.#pools.get(poolKeyOf(place))?.counters.size ?? 0;
  }

  override onQueued(request: OrderedRequest, nowMs: number): void {
    const { team, priority } = request;
    const { counters, watch } = this.#touchPool(request);
    if (!counters.isWaiting(team)) watch.startWaiting(team, nowMs);
    counters.join(team);
    this.#sumsOf(priority).join(team);
    this.totals.addWaiting(team, 1);
    if (team !== undefined) this.#ofTeams++;
  }

  override onDequeued(request: OrderedRequest): void {
    const { team, priority } = request;
    const { counters, watch } = this.#pool(request);
    counters.leave(team);
    if (!counters.isWaiting(team)) watch.stopWaiting(team);
    this.#sumsOf(priority).leave(team);
    this.totals.addWaiting(team, -1);
    if (team !== undefined) this.#ofTeams--;
  }

  override recordGrant(request: OrderedRequest): void {
    const { team, priority } = request;
    const tagMs = this.#pool(request).counters.startTagMs(team);
    this.#charge(request, tagMs, this.#sumsOf(priority).startTagMs(team));
  }

  /** Records that a request arrived, whether it will be served or not. */
  recordArrival(place: QueuePlace, workMs: number, nowMs: number): void {
    if (place.team === undefined) return;
    this.#touchPool(place).counters.recordArrival(place.team, workMs, nowMs);
  }

  /**
   * Corrects the charge of a request that was served.
   *
   * @param workMs the engine time that it took; 0 if it did not run.
   * @example
   * ```ts
   * order.correctGrant(request, 0);
   * ```
   */
  correctGrant(request: OrderedRequest, workMs: number): void {
    const { team, priority } = request;
    // More than the estimate again would be a fault of the estimate.
    const changeMs = Math.min(workMs, 2 * request.workMs) - request.workMs;
    this.#pool(request).counters.correct(team, changeMs);
    this.#sumsOf(priority).correct(team, changeMs);
    this.totals.addGranted(team, changeMs);
  }

  override yieldsTo(place: QueuePlace): boolean {
    const counters = this.#pools.get(poolKeyOf(place))?.counters;
    if (!counters || this.#ofTeams === 0) return false;
    const others = counters.waitingTeams -
      (counters.isWaiting(place.team) ? 1 : 0);
    return others > 0;
  }

  override serve<Request extends OrderedRequest>(
    queued: readonly Request[],
    nowMs: number,
    tryGrant: (request: Request) => boolean,
  ): void {
    if (this.#ofTeams === 0) return super.serve(queued, nowMs, tryGrant);
    const ordered = [...queued]
      .sort((a, b) => compareRequests(a, b, nowMs));
    for (let start = 0; start < ordered.length;) {
      let end = start + 1;
      while (isSameClass(ordered[start]!, ordered[end])) end++;
      this.#serveClass(ordered.slice(start, end), tryGrant);
      start = end;
    }
    this.#report(nowMs);
  }

  override ahead(
    queued: Iterable<OrderedRequest>,
    place: QueuePlace,
  ): QueueAhead {
    if (this.#ofTeams === 0) return super.ahead(queued, place);
    const { counters } = this.#pool(place);
    const { modelKey, priority, team } = place;
    let count = 0;
    let workMs = 0;
    const ofClass: OrderedRequest[] = [];
    let startTagMs = counters.startTagMs(team);
    for (const request of queued) {
      if (request.modelKey !== modelKey) continue;
      if (request.priority > priority) continue;
      const isFirst = request.priority < priority || request.isContinuation;
      const isOwn = request.team === team;
      if (!isFirst && !isOwn) ofClass.push(request);
      if (!isFirst && isOwn) {
        startTagMs += counters.spanMs(team, request.workMs);
      }
      if (!isFirst && !isOwn) continue;
      count++;
      workMs += request.workMs;
    }
    const tags = new Map<TeamKey, number>();
    for (const request of ofClass) {
      const tagMs = tags.get(request.team) ?? counters.startTagMs(request.team);
      if (tagMs > startTagMs) continue;
      tags.set(
        request.team,
        tagMs + counters.spanMs(request.team, request.workMs),
      );
      count++;
      workMs += request.workMs;
    }
    return { count, workMs };
  }

  override aheadShareMax(place: QueuePlace): number {
    if (place.team === undefined) return 1;
    const counters = this.#pools.get(poolKeyOf(place))?.counters;
    return counters?.arrivalsAheadShare(place.team) ?? 1;
  }

  /** Serves requests of one priority that are all continuations, or all new. */
  #serveClass<Request extends OrderedRequest>(
    requests: readonly Request[],
    tryGrant: (request: Request) => boolean,
  ): void {
    const sums = this.#sumsOf(requests[0]!.priority);
    const lanes = this.#toLanes(requests, sums);
    for (let left = requests.length; left > 0; left--) {
      const lane = nextLane(lanes);
      const line = lane?.head;
      if (!lane || !line) return;
      const request = line.requests[line.next++]!;
      if (tryGrant(request)) {
        this.#charge(request, line.tagMs, line.sumTagMs);
        line.tagMs = lane.pool.counters.startTagMs(line.team);
        updateSumTags(lanes, line.team, sums.startTagMs(line.team));
      }
      if (line.next === line.requests.length) {
        lane.lines.splice(lane.lines.indexOf(line), 1);
      }
      lane.head = firstOf(lane.lines);
    }
  }

  #toLanes<Request extends OrderedRequest>(
    requests: readonly Request[],
    sums: WorkCounters,
  ): Lane<Request>[] {
    const lanes = new Map<string, Lane<Request>>();
    const lines = new Map<Lane<Request>, Map<TeamKey, Line<Request>>>();
    for (const [rank, request] of requests.entries()) {
      const { modelKey, team } = request;
      let lane = lanes.get(modelKey);
      if (!lane) {
        lane = { pool: this.#pool(request), lines: [], head: undefined };
        lanes.set(modelKey, lane);
        lines.set(lane, new Map());
      }
      const ofLane = lines.get(lane)!;
      let line = ofLane.get(team);
      if (!line) {
        line = {
          team,
          requests: [],
          ranks: [],
          next: 0,
          tagMs: lane.pool.counters.startTagMs(team),
          sumTagMs: sums.startTagMs(team),
        };
        ofLane.set(team, line);
        lane.lines.push(line);
      }
      line.requests.push(request);
      line.ranks.push(rank);
    }
    for (const lane of lanes.values()) lane.head = firstOf(lane.lines);
    return [...lanes.values()];
  }

  /** Charges a request by the start tags that its team had before it. */
  #charge(request: OrderedRequest, tagMs: number, sumTagMs: number): void {
    const { team, priority, workMs } = request;
    const isInTurn = !request.isContinuation;
    const { counters, watch } = this.#pool(request);
    counters.grant(team, workMs, tagMs, isInTurn);
    this.#sumsOf(priority).grant(team, workMs, sumTagMs, isInTurn);
    watch.recordGrant(team, workMs);
    this.totals.addGranted(team, workMs);
  }

  #report(nowMs: number): void {
    for (
      const { modelKey, priority, watch, counters } of this.#pools.values()
    ) {
      if (counters.waitingTeams === 0) continue;
      const worst = watch.check(nowMs);
      const isDue = nowMs - this.#reportedAtMs >= REPORT_INTERVAL_MS;
      if (!worst || !isDue) continue;
      this.#reportedAtMs = nowMs;
      this.#onUnderserved({ ...worst, modelKey, priority });
    }
  }

  #sumsOf(priority: number): WorkCounters {
    let sums = this.#sums.get(priority);
    if (!sums) {
      sums = new WorkCounters(this.#weightOf);
      this.#sums.set(priority, sums);
    }
    return sums;
  }

  #pool(place: QueuePlace): Pool {
    const key = poolKeyOf(place);
    const pool = this.#pools.get(key);
    if (pool) return pool;
    const { modelKey, priority } = place;
    const added = {
      modelKey,
      priority,
      counters: new WorkCounters(this.#weightOf),
      watch: new ShareWatch(this.#weightOf),
    };
    this.#pools.set(key, added);
    if (this.#pools.size > IDLE_POOLS_MAX) this.#forgetIdlePool(key);
    return added;
  }

  /** Returns the pool as the one that was used last. */
  #touchPool(place: QueuePlace): Pool {
    const pool = this.#pool(place);
    const key = poolKeyOf(place);
    this.#pools.delete(key);
    this.#pools.set(key, pool);
    return pool;
  }

  /** Callers name models, so that there may be any number of pools. */
  #forgetIdlePool(keptKey: string): void {
    for (const [key, { counters }] of this.#pools) {
      if (counters.waitingTeams > 0 || key === keptKey) continue;
      this.#pools.delete(key);
      return;
    }
  }
}

function poolKeyOf({ priority, modelKey }: QueuePlace): string {
  return `${priority} ${modelKey}`;
}

function isSameClass(
  a: OrderedRequest,
  b: OrderedRequest | undefined,
): boolean {
  return b !== undefined && a.priority === b.priority &&
    (a.isContinuation ?? false) === (b.isContinuation ?? false);
}

function rankOf<Request>({ ranks, next }: Line<Request>): number {
  return ranks[next]!;
}

/** The line of the team that has got least of the model. */
function firstOf<Request>(
  lines: readonly Line<Request>[],
): Line<Request> | undefined {
  let first: Line<Request> | undefined;
  for (const line of lines) {
    const isBefore = !first || line.tagMs < first.tagMs ||
      (line.tagMs === first.tagMs && rankOf(line) < rankOf(first));
    if (isBefore) first = line;
  }
  return first;
}

/** The pool whose next request is of the team that has got least of all models. */
function nextLane<Request>(
  lanes: readonly Lane<Request>[],
): Lane<Request> | undefined {
  let next: Lane<Request> | undefined;
  for (const lane of lanes) {
    const { head } = lane;
    if (!head) continue;
    const first = next?.head;
    const isBefore = !first || head.sumTagMs < first.sumTagMs ||
      (head.sumTagMs === first.sumTagMs && rankOf(head) < rankOf(first));
    if (isBefore) next = lane;
  }
  return next;
}

function updateSumTags<Request>(
  lanes: readonly Lane<Request>[],
  team: TeamKey,
  sumTagMs: number,
): void {
  for (const { lines } of lanes) {
    for (const line of lines) {
      if (line.team === team) line.sumTagMs = sumTagMs;
    }
  }
}
