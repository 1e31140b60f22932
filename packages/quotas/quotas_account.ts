/** One team at one node: its stock, who waits for it, and what is lent on. */
import * as core from "../core/mod.ts";
import { SpendingRate } from "./quotas_demand.ts";
import type { QuotaLimit } from "./quotas_limit.ts";
import { type Waiter, WaitingLine } from "./quotas_line.ts";
import { type SentLot, type TokenLot, TokenLots } from "./quotas_lots.ts";
import { Shortage } from "./quotas_shortage.ts";
import type {
  QuotaDecision,
  QuotaGrant,
  QuotaHold,
  QuotaOffer,
  QuotaReason,
  QuotaRejection,
  QuotaTicket,
} from "./quotas_types.ts";

/** Longest wait of a request for tokens. */
export const WAIT_MAX_MS = 250;
/** The same while the team is known to lack tokens. */
const SHORT_WAIT_MAX_MS = 100;
/** Time between two exchanges while requests wait for tokens. */
export const EXCHANGE_INTERVAL_MIN_MS = 30;
/**
 * The same in a shortage that the parent knows of. With 75 ms, a team of 11,000
 * tokens/s at 0.8 of its rate got less than from one bucket for all nodes (0.935
 * and 0.960); with 30 ms, nodes sent 41 in place of 32 messages a second.
 */
const SHORT_EXCHANGE_INTERVAL_MIN_MS = 50;
/** Requests of a team that wait at one node; each may hold a body in memory. */
const WAITERS_MAX = 64;
/** Time for whose spending a node keeps tokens: two exchanges of a leaf. */
const KEEP_MS = 300;
/** Time between two gifts of tokens that no one is known to need. */
const GIVE_INTERVAL_MS = 500;
/** The same, as part of the lifetime. */
const GIVE_LIFETIME_PART = 0.25;
/** Age from which a node with children gives tokens, as part of the lifetime. */
const GIVE_AGE_PART = 0.5;
/** A parent's answer counts for this long. */
const PARENT_TTL_MS = 600;

/** What all accounts of a node have in common. */
export interface QuotaPlace {
  /** This node's part of each rate. */
  share: number;
  /** Part of the nodes whose tokens can come to this one. */
  reach: number;
  hasChildren: boolean;
  /** Whether this node is to give back everything. */
  isLeaving: boolean;
  /** When a parent last answered; -Infinity for the root. */
  parentAtMs: number;
}

/** Tokens of one team. Every call first refills the stock. */
export class QuotaAccount {
  readonly limit: QuotaLimit;
  readonly #team: core.TeamName;
  readonly #place: QuotaPlace;
  readonly #stock: TokenLots;
  #line = new WaitingLine();
  readonly #spending = new SpendingRate();
  #refilledAtMs: number;
  #gaveAtMs = -Infinity;
  #isRetired = false;
  /** The account that has its waiting requests since the limit changed. */
  #successor: QuotaAccount | undefined;
  readonly #shortage = new Shortage();
  #parent = { isShort: false, waitMs: 0 };

  constructor(
    team: core.TeamName,
    limit: QuotaLimit,
    place: QuotaPlace,
    nowMs: number,
  ) {
    this.#team = team;
    this.limit = limit;
    this.#place = place;
    this.#stock = new TokenLots(limit.lifetimeMs);
    this.#refilledAtMs = nowMs;
  }

  /** Refills the stock by this node's share; what is in it never grows younger. */
  refill(nowMs: number): void {
    const elapsedMs = nowMs - this.#refilledAtMs;
    if (elapsedMs <= 0) return;
    const amount = elapsedMs * this.limit.ratePerMs * this.#place.share;
    this.#stock.add({ refilledAtMs: this.#refilledAtMs, amount });
    this.#refilledAtMs = nowMs;
  }

  /** Returns what is in stock, and what waits for it. */
  balance(nowMs: number): { readonly stock: number; readonly waiting: number } {
    this.refill(nowMs);
    const stock = this.#stock.total(nowMs);
    return { stock, waiting: this.#line.waiting(nowMs) };
  }

  /**
   * Time within which to exchange with the parent; Infinity if nothing waits. In
   * a shortage, tokens come at the team's rate, however often it is asked.
   */
  exchangeWithinMs(nowMs: number): number {
    const { stock, waiting } = this.balance(nowMs);
    if (waiting <= stock) return Infinity;
    const { isShort, waitMs } = this.#parent;
    return isShort
      ? Math.max(SHORT_EXCHANGE_INTERVAL_MIN_MS, waitMs)
      : EXCHANGE_INTERVAL_MIN_MS;
  }

  /** Decides about a request that arrives. */
  decide(cost: number, nowMs: number): QuotaDecision {
    const { stock, waiting } = this.balance(nowMs);
    if (cost <= stock - waiting) {
      return { kind: "taken", hold: this.#take(cost, nowMs) };
    }
    const reason = this.#whyNot(cost, nowMs);
    if (reason !== undefined) {
      return { kind: "rejected", rejection: this.#reject(reason, cost, nowMs) };
    }
    return this.#enqueue(cost, nowMs);
  }

  /** Gives tokens to the requests that wait here, in their order. */
  serve(nowMs: number): void {
    this.refill(nowMs);
    for (const waiter of this.#line.waiters) {
      const before = this.#line.waitingBefore(waiter.sinceMs, nowMs);
      if (this.#stock.total(nowMs) - before < waiter.cost) break;
      this.#line.remove(waiter);
      waiter.end({ kind: "taken", hold: this.#take(waiter.cost, nowMs) });
    }
    this.#noteShortage(nowMs);
  }

  /** Returns what to send to the parent; undefined if there is nothing. */
  report(mayGive: boolean, nowMs: number): QuotaOffer | undefined {
    this.serve(nowMs);
    const { stock, waiting } = this.balance(nowMs);
    const keep = this.#keep(nowMs);
    const lack = Math.max(0, waiting - stock);
    const first = this.#line.firstCost(nowMs) - stock;
    const extra = this.#line.extra(nowMs) + keep - Math.max(0, stock - waiting);
    const given = mayGive ? this.#give(stock - waiting, keep, nowMs) : [];
    const { tag, messageScale } = this.limit;
    const parts = (amount: number) =>
      core.toUint32(Math.ceil(Math.max(0, amount) * messageScale));
    const offer = {
      tag,
      given,
      waiting: parts(lack),
      first: lack > 0 ? parts(first) : 0,
      extra: parts(extra),
    };
    const isEmpty = given.length + offer.waiting + offer.extra === 0;
    return isEmpty ? undefined : offer;
  }

  /** Applies the parent's answer; without a grant there is no shortage. */
  applyGrant(
    grant: QuotaGrant | undefined,
    transitMs: number,
    nowMs: number,
  ): void {
    this.#receive(grant?.granted ?? [], transitMs, nowMs);
    const { isShort, waitMs } = grant ?? { isShort: false, waitMs: 0 };
    this.#parent = { isShort, waitMs };
    this.serve(nowMs);
  }

  /** Applies a child's offer, and lends to it what it needs. */
  answer(
    child: string,
    offer: QuotaOffer | undefined,
    transitMs: number | undefined,
    nowMs: number,
  ): QuotaGrant | undefined {
    if (transitMs !== undefined) {
      this.#receive(offer?.given ?? [], transitMs, nowMs);
    }
    const { messageScale } = this.limit;
    this.#line.setWant(child, {
      waiting: (offer?.waiting ?? 0) / messageScale,
      first: (offer?.first ?? 0) / messageScale,
      extra: (offer?.extra ?? 0) / messageScale,
    }, nowMs);
    this.serve(nowMs);
    const granted = this.#lend(child, nowMs);
    const isShort = this.#isShort(nowMs);
    if (granted.length === 0 && !isShort) return undefined;
    const waitMs = isShort ? this.#shortageMs(nowMs) : 0;
    return { tag: this.limit.tag, granted, isShort, waitMs };
  }

  /** Takes over the stock and the waiting requests of another limit. */
  succeed(other: QuotaAccount, nowMs: number): void {
    other.refill(nowMs);
    other.#isRetired = true;
    other.#successor = this;
    const { limit } = other;
    // Tokens of a higher rate are cut to what the lower one had refilled.
    const factor = limit.unit === this.limit.unit
      ? Math.min(1, this.limit.ratePerMs / limit.ratePerMs)
      : 0;
    for (const lot of other.#stock.scaled(factor)) this.#stock.add(lot);
    this.#line = other.#line;
  }

  /** Ends all waiting requests, as the team or its quota is gone. */
  retire(isTeamGone: boolean, nowMs: number): void {
    this.#isRetired = true;
    for (const waiter of [...this.#line.waiters]) {
      this.#line.remove(waiter);
      waiter.end(
        isTeamGone
          ? {
            kind: "rejected",
            rejection: this.#reject("team_removed", waiter.cost, nowMs),
          }
          : { kind: "lifted" },
      );
    }
  }

  /** Forgets all tokens, as their age is not known any more. */
  clear(nowMs: number): void {
    this.#stock.clear();
    this.#refilledAtMs = nowMs;
  }

  #take(cost: number, nowMs: number): QuotaHold {
    let lots: readonly TokenLot[] = this.#stock.take(cost);
    this.#spending.record(cost, nowMs);
    return {
      refund: (atMs) => {
        if (!this.#isRetired) { for (const lot of lots) this.#stock.add(lot); }
        lots = [];
        this.serve(atMs);
      },
    };
  }

  #enqueue(cost: number, nowMs: number): QuotaDecision {
    const line = this.#line;
    const waiter: Waiter = {
      cost,
      sinceMs: nowMs,
      end: (end) => ticket.onEnd(end),
    };
    const ticket: QuotaTicket = {
      onEnd: () => {},
      cancel: () => line.remove(waiter),
      expire: (atMs) => {
        line.remove(waiter);
        return this.#latest().#reject("no_tokens_in_time", cost, atMs);
      },
    };
    line.add(waiter);
    this.#noteShortage(nowMs);
    return { kind: "waiting", ticket };
  }

  #latest(): QuotaAccount {
    const successor = this.#successor;
    return successor ? successor.#latest() : this;
  }

  /** Returns why a request should not wait for tokens, if it should not. */
  #whyNot(cost: number, nowMs: number): QuotaReason | undefined {
    const { ratePerMs, lifetimeMs } = this.limit;
    if (cost > ratePerMs * lifetimeMs) return "cost_above_burst";
    if (this.#line.waiters.size >= WAITERS_MAX) return "too_many_waiting";
    const shortageMs = this.#shortageMs(nowMs);
    if (shortageMs === 0 && this.#canBorrow(nowMs)) return undefined;
    const waitMs = this.#expectedWaitMs(cost, nowMs);
    return waitMs > SHORT_WAIT_MAX_MS ? "exhausted" : undefined;
  }

  #reject(reason: QuotaReason, cost: number, nowMs: number): QuotaRejection {
    const { stock, waiting } = this.balance(nowMs);
    const retryAfterMs = Math.max(1, this.#expectedWaitMs(cost, nowMs));
    const team = this.#team;
    return {
      team,
      reason,
      cost,
      balance: stock,
      wanted: waiting,
      retryAfterMs,
    };
  }

  /** Time until a request could have its tokens, after those that wait. */
  #expectedWaitMs(cost: number, nowMs: number): number {
    const { stock, waiting } = this.balance(nowMs);
    const missing = Math.max(0, cost + waiting - stock);
    const ownMs = missing / (this.limit.ratePerMs * this.#reach(nowMs));
    return this.#hasParent(nowMs) ? this.#parent.waitMs + ownMs : ownMs;
  }

  #hasParent(nowMs: number): boolean {
    return nowMs - this.#place.parentAtMs < PARENT_TTL_MS;
  }

  /** Whether other nodes may have tokens that this one does not know of. */
  #canBorrow(nowMs: number): boolean {
    return this.#hasParent(nowMs) || this.#place.hasChildren;
  }

  #reach(nowMs: number): number {
    return this.#hasParent(nowMs) ? 1 : this.#place.reach;
  }

  #keep(nowMs: number): number {
    return this.#place.isLeaving ? 0 : this.#spending.expect(KEEP_MS, nowMs);
  }

  #noteShortage(nowMs: number): void {
    const { stock, waiting } = this.balance(nowMs);
    if (waiting > stock) this.#shortage.record(nowMs);
  }

  #isShort(nowMs: number): boolean {
    return this.#shortage.isAnnounced(nowMs) ||
      (this.#hasParent(nowMs) && this.#parent.isShort);
  }

  /**
   * Time until the tokens of what waits in the fleet are refilled; 0 if that is
   * not known, or if none are lacking.
   */
  #shortageMs(nowMs: number): number {
    if (this.#hasParent(nowMs)) return this.#parent.waitMs;
    if (this.#shortage.isNew(nowMs)) return 0;
    const { stock, waiting } = this.balance(nowMs);
    const rate = this.limit.ratePerMs * this.#place.reach;
    return Math.max(0, waiting - stock) / rate;
  }

  /** Removes tokens for the parent. */
  #give(free: number, keep: number, nowMs: number): SentLot[] {
    const { lifetimeMs, messageScale } = this.limit;
    const surplus = free - keep;
    if (surplus * messageScale < 1) return [];
    let amount = surplus;
    const { isLeaving, hasChildren } = this.#place;
    if (!isLeaving && !this.#parent.isShort) {
      const intervalMs = Math.min(
        GIVE_INTERVAL_MS,
        lifetimeMs * GIVE_LIFETIME_PART,
      );
      if (nowMs - this.#gaveAtMs < intervalMs) return [];
      const agedFromMs = nowMs - lifetimeMs * GIVE_AGE_PART;
      if (hasChildren) {
        amount = Math.min(surplus, this.#stock.totalBefore(agedFromMs));
      }
    }
    const given = this.#stock.send(amount, messageScale, nowMs);
    if (given.length > 0) this.#gaveAtMs = nowMs;
    return given;
  }

  /** Removes tokens for a child, if the line has come to it. */
  #lend(child: string, nowMs: number): SentLot[] {
    const want = this.#line.want(child);
    if (!want) return [];
    const before = this.#line.waitingBefore(want.sinceMs, nowMs);
    const free = this.#stock.total(nowMs) - before;
    const due = free >= want.first ? Math.min(want.waiting, free) : 0;
    const isServed = want.waiting === 0 || due >= want.waiting;
    const spare = this.#stock.total(nowMs) - this.#line.waiting(nowMs) -
      this.#keep(nowMs);
    // Half is left for what other children ask for in the meantime.
    const extra = isServed ? Math.min(want.extra, Math.max(0, spare / 2)) : 0;
    if (due + extra <= 0) return [];
    if (due > 0) this.#line.noteGranted(child, due, nowMs);
    // Parts of a message unit are rounded up, or the request would still lack it.
    const { messageScale } = this.limit;
    const rounded = Math.ceil((due + extra) * messageScale) / messageScale;
    const lent = Math.min(rounded, Math.max(free, 0));
    return this.#stock.send(lent, messageScale, nowMs);
  }

  /** Puts tokens into the stock, none of them younger than it can be. */
  #receive(
    lots: readonly SentLot[],
    transitMs: number,
    nowMs: number,
  ): void {
    for (const { amount, ageMs } of lots) {
      this.#stock.add({
        refilledAtMs: nowMs - transitMs - ageMs,
        amount: amount / this.limit.messageScale,
      });
    }
  }
}
