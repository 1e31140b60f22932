/** Designs that were weighed against the one in use, in a simulation. */
import type * as fleet from "../../fleet/mod.ts";
import { EXCHANGE_INTERVAL_MIN_MS, toLimit, WAIT_MAX_MS } from "../mod.ts";
import { BOUNDS } from "./quotas_sim_design.ts";
import { type SimEnd, SimLimiter, type SimMembership } from "./quotas_sim.ts";

const DECAY_MS = 1_000;
const KEEP_MS = 300;
/** After this, what another node said no longer counts. */
const NEWS_TTL_MS = 1_000;
/** Part of the rate that is divided evenly, whatever is asked for. */
const EVEN_PART = 0.1;
/** Part of the rate that nodes have without the lender. */
const RESERVE_PART = 0.2;

class Bucket {
  tokens = 0;
  #atMs = 0;

  fill(ratePerMs: number, size: number, nowMs: number): void {
    const filled = this.tokens + (nowMs - this.#atMs) * ratePerMs;
    this.tokens = Math.max(this.tokens, Math.min(size, filled));
    this.#atMs = nowMs;
  }
}

/** Nodes with a bucket each; requests wait for it in their order. */
abstract class BucketLimiter<Report, Answer>
  extends SimLimiter<Report, Answer> {
  protected readonly ratePerMs: number;
  /** As much as the design in use may have in stock. */
  protected readonly size: number;
  protected readonly bucket = new Bucket();
  protected nodes = 0;
  protected demand = 0;
  #demandAtMs = 0;
  readonly #waiting: { cost: number; end: SimEnd }[] = [];

  constructor(team: fleet.TeamSpec) {
    super();
    const { ratePerMs, lifetimeMs } = toLimit(team, BOUNDS)!;
    this.ratePerMs = ratePerMs;
    this.size = ratePerMs * lifetimeMs;
  }

  /** Refills the bucket. */
  protected abstract refill(nowMs: number): void;

  /** Demand at this node, in tokens per millisecond. */
  protected demandPerMs(nowMs: number): number {
    this.demand *= Math.exp((this.#demandAtMs - nowMs) / DECAY_MS);
    this.#demandAtMs = nowMs;
    return this.demand / DECAY_MS;
  }

  protected get waitingCost(): number {
    return this.#waiting.reduce((sum, { cost }) => sum + cost, 0);
  }

  protected serve(nowMs: number): void {
    if (this.nodes > 0) this.refill(nowMs);
    while ((this.#waiting[0]?.cost ?? Infinity) <= this.bucket.tokens) {
      const { cost, end } = this.#waiting.shift()!;
      this.bucket.tokens -= cost;
      end(true, () => this.bucket.tokens += cost);
    }
  }

  override admit(cost: number, nowMs: number, end: SimEnd): void {
    this.demandPerMs(nowMs);
    this.demand += cost;
    const waiter = { cost, end };
    this.#waiting.push(waiter);
    this.serve(nowMs);
    this.at(nowMs + WAIT_MAX_MS, (atMs) => {
      this.serve(atMs);
      const place = this.#waiting.indexOf(waiter);
      if (place < 0) return;
      this.#waiting.splice(place, 1);
      end(false);
    });
  }

  override setMembership({ nodes }: SimMembership, nowMs: number): void {
    this.nodes = nodes;
    this.serve(nowMs);
  }

  override becomeRoot(nowMs: number): void {
    this.serve(nowMs);
  }
}

/** Each node has the same part of rate and burst; nothing is sent. */
export class FixedShares extends BucketLimiter<undefined, undefined> {
  protected override refill(nowMs: number): void {
    const share = 1 / this.nodes;
    this.bucket.fill(this.ratePerMs * share, this.size * share, nowMs);
  }
  override report(): undefined {}
  override answer(): undefined {}
  override apply(): void {}
}

/** Each node has a part that follows its part of the demand. */
export class DemandShares extends BucketLimiter<number, number> {
  readonly #children = new Map<string, { demand: number; atMs: number }>();
  #fleet = { demand: 0, atMs: -Infinity };

  #sum(nowMs: number): number {
    let sum = this.demandPerMs(nowMs);
    for (const { demand, atMs } of this.#children.values()) {
      if (nowMs - atMs < NEWS_TTL_MS) sum += demand;
    }
    return sum;
  }

  protected override refill(nowMs: number): void {
    const { demand, atMs } = this.#fleet;
    const own = this.demandPerMs(nowMs);
    const isKnown = nowMs - atMs < NEWS_TTL_MS && demand > 0;
    const share = isKnown
      ? (1 - EVEN_PART) * Math.min(1, own / demand) + EVEN_PART / this.nodes
      : 1 / this.nodes;
    this.bucket.fill(this.ratePerMs * share, this.size * share, nowMs);
  }

  override report(_parent: string, nowMs: number): number {
    return this.#sum(nowMs);
  }

  override answer(child: string, demand: number, nowMs: number): number {
    this.#children.set(child, { demand, atMs: nowMs });
    return this.#fleet.demand;
  }

  override apply(
    _parent: string,
    answer: number | undefined,
    _sentAtMs: number,
    nowMs: number,
  ): void {
    if (answer !== undefined) this.#fleet = { demand: answer, atMs: nowMs };
    this.serve(nowMs);
  }

  override becomeRoot(nowMs: number): void {
    this.#fleet = { demand: this.#sum(nowMs), atMs: nowMs };
    super.becomeRoot(nowMs);
  }
}

/** The root refills for all and lends; nodes refill a small reserve. */
export class OneLender extends BucketLimiter<number, number> {
  readonly #wants = new Map<string, { amount: number; atMs: number }>();
  #isRoot = false;

  protected override refill(nowMs: number): void {
    const reserve = RESERVE_PART / this.nodes;
    const part = reserve + (this.#isRoot ? 1 - RESERVE_PART : 0);
    this.bucket.fill(this.ratePerMs * part, this.size * part, nowMs);
  }

  #lacks(nowMs: number): number {
    let wanted = this.waitingCost + this.demandPerMs(nowMs) * KEEP_MS;
    for (const { amount, atMs } of this.#wants.values()) {
      if (nowMs - atMs < NEWS_TTL_MS) wanted += amount;
    }
    return Math.max(0, wanted - this.bucket.tokens);
  }

  override report(_parent: string, nowMs: number): number {
    this.#isRoot = false;
    this.serve(nowMs);
    return Math.ceil(this.#lacks(nowMs));
  }

  override answer(child: string, wanted: number, nowMs: number): number {
    this.serve(nowMs);
    const granted = Math.floor(Math.min(wanted, this.bucket.tokens));
    this.bucket.tokens -= granted;
    this.#wants.set(child, { amount: wanted - granted, atMs: nowMs });
    return granted;
  }

  override apply(
    _parent: string,
    granted: number | undefined,
    _sentAtMs: number,
    nowMs: number,
  ): void {
    this.bucket.tokens += granted ?? 0;
    this.serve(nowMs);
  }

  override becomeRoot(nowMs: number): void {
    this.#isRoot = true;
    super.becomeRoot(nowMs);
  }

  override exchangeWithinMs(): number {
    return this.waitingCost > 0 ? EXCHANGE_INTERVAL_MIN_MS : Infinity;
  }
}
