/** All limited teams at one node, and its exchange with parent and children. */
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import { QuotaAccount, type QuotaPlace } from "./quotas_account.ts";
import { toLimit } from "./quotas_limit.ts";
import { NodeCount } from "./quotas_members.ts";
import type {
  QuotaAnswer,
  QuotaDecision,
  QuotaGrant,
  QuotaOffer,
  QuotaReport,
} from "./quotas_types.ts";

/** A child without a report for this long is forgotten. */
const CHILD_TTL_MS = 2_000;

/** What a node knows of the other nodes. */
export interface QuotaMembership {
  /** Registered nodes that are not leaving, this one included. */
  readonly nodes: number;
  /** Nodes that exchange with this one, directly or not, and itself. */
  readonly connected: number;
  /** Whether this node is one of those registered. */
  readonly isRegistered: boolean;
  readonly isLeaving: boolean;
}

/** The last answer to a child, which its next report names. */
interface SentAnswer {
  readonly answer: number;
  readonly atMs: number;
}

/**
 * Decides about requests by the tokens of this node, and exchanges tokens. Knows
 * no clock: each call names the time, which never goes back.
 */
export class QuotaNode {
  readonly #accounts = new Map<core.TeamName, QuotaAccount>();
  readonly #place: QuotaPlace = {
    share: 0,
    reach: 0,
    hasChildren: false,
    isLeaving: false,
    parentAtMs: -Infinity,
  };
  readonly #count = new NodeCount();
  readonly #children = new Map<string, SentAnswer>();
  #answers: number;
  #parent: { node: string; answer: number; atMs: number } | undefined;

  /** @param firstAnswer differs from one start of the node to the next. */
  constructor(firstAnswer: number) {
    this.#answers = firstAnswer;
  }

  /** Whether any team is limited. */
  get isActive(): boolean {
    return this.#accounts.size > 0;
  }

  /** Returns the time within which to exchange with the parent. */
  exchangeWithinMs(nowMs: number): number {
    let withinMs = Infinity;
    for (const account of this.#accounts.values()) {
      withinMs = Math.min(withinMs, account.exchangeWithinMs(nowMs));
    }
    return withinMs;
  }

  /** Applies the teams of a configuration. */
  configure(
    teams: readonly fleet.TeamSpec[],
    bounds: fleet.QuotaBounds,
    nowMs: number,
  ): void {
    const before = new Map(this.#accounts);
    this.#accounts.clear();
    for (const team of teams) {
      const limit = toLimit(team, bounds);
      const known = before.get(team.name);
      if (!limit) continue;
      before.delete(team.name);
      if (known?.limit.tag === limit.tag) {
        this.#accounts.set(team.name, known);
        continue;
      }
      const account = new QuotaAccount(team.name, limit, this.#place, nowMs);
      if (known) account.succeed(known, nowMs);
      this.#accounts.set(team.name, account);
    }
    const names = new Set(teams.map(({ name }) => name));
    for (const [name, account] of before) {
      account.retire(!names.has(name), nowMs);
    }
  }

  /** Applies what is known of the other nodes; to be called often. */
  setMembership(membership: QuotaMembership, nowMs: number): void {
    // What was refilled until now was so at the previous share.
    for (const account of this.#accounts.values()) account.refill(nowMs);
    const { nodes, isRegistered, isLeaving, connected } = membership;
    const isMember = isRegistered && !isLeaving;
    const count = this.#count.update(nodes, isMember, nowMs);
    this.#place.share = count === undefined ? 0 : 1 / count;
    this.#place.reach = Math.min(1, connected / Math.max(1, count ?? nodes));
    this.#place.isLeaving = isLeaving;
    for (const [child, { atMs }] of this.#children) {
      if (nowMs - atMs > CHILD_TTL_MS) this.#children.delete(child);
    }
    this.#place.hasChildren = this.#children.size > 0;
  }

  /** Decides about a request; undefined if its team is not limited. */
  decide(
    team: core.TeamName,
    cost: number,
    nowMs: number,
  ): QuotaDecision | undefined {
    return this.#accounts.get(team)?.decide(cost, nowMs);
  }

  /** Returns what a team has in stock here, and what waits for it. */
  balance(
    team: core.TeamName,
    nowMs: number,
  ): { readonly stock: number; readonly waiting: number } | undefined {
    return this.#accounts.get(team)?.balance(nowMs);
  }

  /** Gives refilled tokens to waiting requests. */
  serve(nowMs: number): void {
    for (const account of this.#accounts.values()) account.serve(nowMs);
  }

  /**
   * Returns what to send to the parent. Its tokens are gone from this node,
   * whether or not the report arrives.
   */
  report(parent: string, nowMs: number): QuotaReport | undefined {
    if (!this.isActive) return undefined;
    if (this.#parent?.node !== parent) this.#parent = undefined;
    const known = this.#parent;
    const offers: QuotaOffer[] = [];
    for (const account of this.#accounts.values()) {
      // Without an answer that the report can name, the parent could not tell
      // how long tokens were on their way.
      const offer = account.report(known !== undefined, nowMs);
      if (offer) offers.push(offer);
    }
    if (!known) return { answer: 0, answerAgeMs: 0, offers };
    const answerAgeMs = Math.floor(nowMs - known.atMs);
    return { answer: known.answer, answerAgeMs, offers };
  }

  /** @param sentAtMs when the report that it answers was sent. */
  applyAnswer(
    parent: string,
    { answer, grants }: QuotaAnswer,
    sentAtMs: number,
    nowMs: number,
  ): void {
    this.#parent = { node: parent, answer, atMs: nowMs };
    this.#place.parentAtMs = nowMs;
    const byTag = new Map(grants.map((grant) => [grant.tag, grant]));
    for (const account of this.#accounts.values()) {
      const grant = byTag.get(account.limit.tag);
      account.applyGrant(grant, nowMs - sentAtMs, nowMs);
    }
  }

  /** Records that the parent did not answer, or that there is none. */
  forgetParent(isRoot: boolean, nowMs: number): void {
    this.#parent = undefined;
    if (isRoot) this.#place.parentAtMs = -Infinity;
    this.serve(nowMs);
  }

  /** Applies a child's report, and lends to it what it needs. */
  answer(
    child: string,
    report: QuotaReport,
    nowMs: number,
  ): QuotaAnswer | undefined {
    if (!this.isActive) return undefined;
    const sent = this.#children.get(child);
    // A report that names another answer is a copy, or came late.
    const isNext = sent !== undefined && report.answer === sent.answer;
    const transitMs = isNext
      ? Math.max(0, nowMs - sent.atMs - report.answerAgeMs)
      : undefined;
    this.#place.hasChildren = true;
    const byTag = new Map(report.offers.map((offer) => [offer.tag, offer]));
    const grants: QuotaGrant[] = [];
    for (const account of this.#accounts.values()) {
      const offer = byTag.get(account.limit.tag);
      const grant = account.answer(child, offer, transitMs, nowMs);
      if (grant) grants.push(grant);
    }
    const answer = ++this.#answers;
    this.#children.set(child, { answer, atMs: nowMs });
    return { answer, grants };
  }

  /** Forgets all tokens: the clock stood still, so their age is not known. */
  clear(nowMs: number): void {
    for (const account of this.#accounts.values()) account.clear(nowMs);
    this.#children.clear();
    this.#parent = undefined;
  }
}
