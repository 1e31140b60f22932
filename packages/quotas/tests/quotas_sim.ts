/** A fleet of nodes without network or clock, under a team's requests. */
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const DOMAINS = 4;
const FLAT_NODES_MAX = 16;
const GROUP_SIZE = 20;
/** Time after which the other nodes choose without one that is silent. */
const SILENT_MS = 1_500;
/** Time until other nodes have read the row of one that joins. */
const ROW_MS = 300;
const ANSWER_TIMEOUT_MS = 350;
const COST_MIN = 200;
const COST_MAX = 5_000;
const COST_MEAN = 1_500;

/** What a node knows of the others. */
export interface SimMembership {
  readonly nodes: number;
  readonly connected: number;
  readonly isRegistered: boolean;
  readonly isLeaving: boolean;
}

/** Called with the decision; an admitted request may be refunded. */
export type SimEnd = (ok: boolean, refund?: (nowMs: number) => void) => void;

/** A way to limit a team, at one node. */
export abstract class SimLimiter<Report, Answer> {
  /** Set by the simulation: calls back at a time. */
  at: (atMs: number, call: (nowMs: number) => void) => void = () => {};
  /** Decides; `end` may be called later. */
  abstract admit(cost: number, nowMs: number, end: SimEnd): void;
  abstract setMembership(membership: SimMembership, nowMs: number): void;
  abstract report(parent: string, nowMs: number): Report;
  abstract answer(child: string, report: Report, nowMs: number): Answer;
  abstract apply(
    parent: string,
    answer: Answer | undefined,
    sentAtMs: number,
    nowMs: number,
  ): void;
  abstract becomeRoot(nowMs: number): void;
  /** Time within which it is to exchange with its parent. */
  exchangeWithinMs(_nowMs: number): number {
    return Infinity;
  }
}

/** One node, and what is wrong with it. */
export class SimNode<Report, Answer> {
  isDead = false;
  isCutOff = false;
  isLeaving = false;
  frozenUntilMs = 0;
  heardAtMs = 0;
  joinedAtMs = 0;
  wokenAtMs = -Infinity;
  awaitsSince: number | undefined;
  /** Counts its pauses and starts; calls of an earlier one are void. */
  pauses = 0;
  starts = 0;

  constructor(
    readonly name: string,
    readonly index: number,
    public limiter: SimLimiter<Report, Answer>,
  ) {}
}

/** What happens to the nodes at a time. */
export type SimEvent = readonly [
  atMs: number,
  act: (sim: Simulation<unknown, unknown>) => void,
];

export interface SimOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly durationMs: number;
  /** Demand over all nodes, in tokens per second. */
  readonly demandPerS: (nowMs: number) => number;
  /** Ratio of the most and the least asked node. */
  readonly skew?: number;
  /** Nodes that are asked; all by default. */
  readonly asked?: (index: number) => boolean;
  readonly lossPart?: number;
  /** Part of the admitted requests that do not run, which shows after 1 s. */
  readonly notRunPart?: number;
  /** Bytes of a message, for the sums. */
  readonly bytesOf?: (message: unknown) => number;
  /** What goes wrong, by time. */
  readonly events?: readonly SimEvent[];
}

/** A request. */
export interface Spent {
  readonly atMs: number;
  readonly cost: number;
}

/** Runs the nodes in steps of 1 ms. */
export class Simulation<Report, Answer> {
  readonly nodes: SimNode<Report, Answer>[] = [];
  readonly spent: Spent[] = [];
  readonly rejections: Spent[] = [];
  /** All requests, as they arrive. */
  readonly arrivals: Spent[] = [];
  readonly waitsMs: number[] = [];
  messages = 0;
  bytes = 0;
  nowMs = 0;
  readonly #options: SimOptions;
  readonly #make: () => SimLimiter<Report, Answer>;
  readonly #calls = new Map<number, (() => void)[]>();
  readonly #random: RandomGenerator;
  #nextAskMs = 0;

  constructor(options: SimOptions, make: () => SimLimiter<Report, Answer>) {
    this.#options = options;
    this.#make = make;
    this.#random = xoroshiro128plus(options.seed);
    for (let n = 0; n < options.nodes; n++) this.addNode(-ROW_MS);
  }

  addNode(joinedAtMs = this.nowMs): void {
    const index = this.nodes.length;
    const node = new SimNode(`n${index}`, index, this.#make());
    node.joinedAtMs = joinedAtMs;
    this.nodes.push(node);
    this.restart(index);
  }

  kill(index: number): void {
    this.nodes[index]!.isDead = true;
    this.nodes[index]!.starts++;
  }

  /** A node starts anew under its name, with no memory. */
  restart(index: number): void {
    this.kill(index);
    const node = this.nodes[index]!;
    node.isDead = false;
    node.heardAtMs = this.nowMs;
    node.awaitsSince = undefined;
    node.limiter = this.#make();
    node.limiter.at = (atMs, call) =>
      this.#onNode(node, atMs, () => call(this.nowMs));
    this.#turnAt(node, this.nowMs + this.#next() * 50);
  }

  run(): this {
    const { durationMs, events = [] } = this.#options;
    for (const [atMs, act] of events) {
      this.#at(atMs, () => act(this as Simulation<unknown, unknown>));
    }
    for (; this.nowMs < durationMs; this.nowMs++) {
      this.#ask();
      for (const call of this.#calls.get(this.nowMs) ?? []) call();
      this.#calls.delete(this.nowMs);
    }
    return this;
  }

  /** The highest cost in any window that ends after `fromMs`. */
  most(windowMs: number, fromMs = 0): number {
    const spent = this.spent.filter(({ cost }) => cost > 0)
      .sort((a, b) => a.atMs - b.atMs);
    let most = 0;
    let sum = 0;
    let first = 0;
    for (const { atMs, cost } of spent) {
      sum += cost;
      while (spent[first]!.atMs < atMs - windowMs) sum -= spent[first++]!.cost;
      if (atMs >= fromMs) most = Math.max(most, sum);
    }
    return most;
  }

  /** The cost between two times, by default of what was spent. */
  sum(fromMs: number, untilMs: number, events = this.spent): number {
    return events.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs)
      .reduce((sum, { cost }) => sum + cost, 0);
  }

  #next(): number {
    return (this.#random.next() >>> 0) / 2 ** 32;
  }

  #at(atMs: number, call: () => void): void {
    const slot = Math.max(this.nowMs + 1, Math.ceil(atMs));
    const calls = this.#calls.get(slot);
    if (calls) calls.push(call);
    else this.#calls.set(slot, [call]);
  }

  /** Calls when the node runs; never if it has ended by then. */
  #onNode(node: SimNode<Report, Answer>, atMs: number, call: () => void): void {
    const { starts } = node;
    this.#at(atMs, () => {
      if (node.starts !== starts) return;
      if (node.frozenUntilMs <= this.nowMs) return call();
      this.#onNode(node, node.frozenUntilMs, call);
    });
  }

  #ask(): void {
    const { demandPerS, asked, skew = 1 } = this.#options;
    for (; this.#nextAskMs <= this.nowMs;) {
      const perMs = demandPerS(this.nowMs) / COST_MEAN / 1_000;
      if (perMs === 0) return void (this.#nextAskMs = this.nowMs + 1);
      this.#nextAskMs += -Math.log(1 - this.#next()) / perMs;
      const nodes = this.nodes.filter(({ isDead, index }) =>
        !isDead && (asked?.(index) ?? true)
      );
      // The demand of the nodes rises geometrically from 1 to `skew`.
      const u = this.#next();
      const place = skew === 1
        ? u
        : Math.log(1 + u * (skew - 1)) / Math.log(skew);
      const node = nodes[Math.min(nodes.length - 1, place * nodes.length | 0)];
      if (node) this.#askNode(node);
    }
  }

  #askNode(node: SimNode<Report, Answer>): void {
    const cost = Math.round(Math.min(
      COST_MAX,
      COST_MIN - (COST_MEAN - COST_MIN) * Math.log(1 - this.#next()),
    ));
    const isRun = this.#next() >= (this.#options.notRunPart ?? 0);
    const askedAtMs = this.nowMs;
    this.arrivals.push({ atMs: askedAtMs, cost });
    this.#onNode(node, this.nowMs, () => {
      node.limiter.admit(cost, this.nowMs, (ok, refund) => {
        if (!ok) return void this.rejections.push({ atMs: askedAtMs, cost });
        this.waitsMs.push(this.nowMs - askedAtMs);
        if (isRun) this.spent.push({ atMs: this.nowMs, cost });
        else this.#onNode(node, this.nowMs + 1_000, () => refund?.(this.nowMs));
      });
      this.#wake(node);
    });
  }

  #wake(node: SimNode<Report, Answer>): void {
    const { nowMs } = this;
    const withinMs = node.limiter.exchangeWithinMs(nowMs);
    if (nowMs - node.wokenAtMs < withinMs) return;
    node.wokenAtMs = nowMs;
    if (node.awaitsSince === undefined) this.#turnAt(node, nowMs);
  }

  #turnAt(node: SimNode<Report, Answer>, atMs: number): void {
    const end = ++node.pauses;
    this.#onNode(node, atMs, () => {
      if (node.pauses === end) this.#turn(node);
    });
  }

  /** Finds the parent as the nodes' own tree does; undefined at the root. */
  #parentOf(
    self: SimNode<Report, Answer>,
  ): SimNode<Report, Answer> | undefined {
    const isSeen = (node: SimNode<Report, Answer>) =>
      node === self || this.nowMs - node.heardAtMs < SILENT_MS;
    const alive = this.nodes.filter((node) =>
      self.isCutOff && this.nowMs - self.heardAtMs >= SILENT_MS
        ? node === self
        : isSeen(node)
    );
    const root = alive[0]!;
    if (root === self) return undefined;
    if (alive.length <= FLAT_NODES_MAX) return root;
    const group = alive.filter((node) =>
      node !== root && node.index % DOMAINS === self.index % DOMAINS
    );
    const leaders = group.slice(0, Math.ceil(group.length / GROUP_SIZE));
    if (leaders.includes(self)) return root;
    return leaders[self.index % leaders.length];
  }

  /** One round of a node's exchange task. */
  #turn(node: SimNode<Report, Answer>): void {
    const { nowMs } = this;
    const { limiter } = node;
    if (!node.isCutOff) node.heardAtMs = nowMs;
    const known = this.nodes.filter((other) =>
      other === node || nowMs - other.joinedAtMs >= ROW_MS
    );
    limiter.setMembership({
      nodes: known.filter(({ isLeaving }) => !isLeaving).length,
      connected: node.isCutOff
        ? 1
        : this.nodes.filter((other) => !other.isDead && !other.isCutOff).length,
      isRegistered: true,
      isLeaving: node.isLeaving,
    }, nowMs);
    const parent = this.#parentOf(node);
    if (!parent) {
      limiter.becomeRoot(nowMs);
      return this.#pause(node, 50);
    }
    node.wokenAtMs = nowMs;
    const report = limiter.report(parent.name, nowMs);
    this.#count(report);
    node.awaitsSince = nowMs;
    const isLate = () => node.awaitsSince !== nowMs;
    this.#deliver(node, parent, () => {
      const answer = parent.limiter.answer(node.name, report, this.nowMs);
      this.#count(answer);
      this.#wake(parent);
      this.#deliver(parent, node, () => {
        if (isLate()) return;
        node.awaitsSince = undefined;
        limiter.apply(parent.name, answer, nowMs, this.nowMs);
        this.#pause(node, this.#idleMs(node, parent));
      });
    });
    this.#onNode(node, nowMs + ANSWER_TIMEOUT_MS, () => {
      if (isLate()) return;
      node.awaitsSince = undefined;
      limiter.apply(parent.name, undefined, nowMs, this.nowMs);
      this.#pause(node, this.#idleMs(node, parent));
    });
  }

  #idleMs(node: SimNode<Report, Answer>, parent: SimNode<Report, Answer>) {
    const isInGroup = this.nodes.length > FLAT_NODES_MAX && parent.index > 0;
    return isInGroup && node.index > 0 ? 150 : 50;
  }

  #pause(node: SimNode<Report, Answer>, idleMs: number): void {
    const withinMs = node.limiter.exchangeWithinMs(this.nowMs);
    this.#turnAt(node, this.nowMs + Math.min(idleMs, withinMs));
  }

  #count(message: unknown): void {
    this.messages++;
    this.bytes += this.#options.bytesOf?.(message) ?? 0;
  }

  /** Takes 2 to 4 ms, unless the message is lost. */
  #deliver(
    from: SimNode<Report, Answer>,
    to: SimNode<Report, Answer>,
    receive: () => void,
  ): void {
    if (from.isCutOff || to.isCutOff) return;
    if (this.#next() < (this.#options.lossPart ?? 0)) return;
    this.#onNode(to, this.nowMs + 2 + this.#next() * 2, receive);
  }
}
