/** What nodes tell each other of quotas, and what becomes of a request. */
import type * as core from "../core/mod.ts";
import type { SentLot } from "./quotas_lots.ts";

/** What a node sends to its parent of one team. */
export interface QuotaOffer {
  /** Tag of the team's limit at the sender. */
  readonly tag: number;
  /** Tokens that the sender has removed from its stock. */
  readonly given: readonly SentLot[];
  /** What its waiting requests lack, in parts of a unit as in a lot. */
  readonly waiting: number;
  /** What the first of them lacks; less is of no use. */
  readonly first: number;
  /** What it has use for beyond that. */
  readonly extra: number;
}

/** What a node has for its parent. */
export interface QuotaReport {
  /**
   * Number of the parent's last answer, and the time since it arrived; 0 if
   * there is none. It bounds the time that this report is on the way.
   */
  readonly answer: number;
  readonly answerAgeMs: number;
  readonly offers: readonly QuotaOffer[];
}

/** What a node sends to its child of one team. */
export interface QuotaGrant {
  readonly tag: number;
  /** Tokens that the sender has removed from its stock. */
  readonly granted: readonly SentLot[];
  /** Whether requests wait for tokens, so that unused ones are to be given. */
  readonly isShort: boolean;
  /** Time until the tokens for those are refilled; 0 if it is not known. */
  readonly waitMs: number;
}

/** Answer to a report. */
export interface QuotaAnswer {
  readonly answer: number;
  readonly grants: readonly QuotaGrant[];
}

/** Why a request gets no tokens. */
export type QuotaReason =
  /** It costs more than can ever be in stock. */
  | "cost_above_burst"
  /** The team has used its quota. */
  | "exhausted"
  /** Too many requests of the team wait for tokens. */
  | "too_many_waiting"
  /** No tokens came while it waited. */
  | "no_tokens_in_time"
  /** The configuration has no such team any more. */
  | "team_removed";

/** A request that gets no tokens, and when it might. */
export interface QuotaRejection {
  readonly team: core.TeamName;
  readonly reason: QuotaReason;
  readonly cost: number;
  /** What this node has in stock. */
  readonly balance: number;
  /** What the requests waiting at this node and below it cost. */
  readonly wanted: number;
  readonly retryAfterMs: number;
}

/** Tokens that were taken for a request. */
export interface QuotaHold {
  /** Puts the tokens back, as the request has not run and never will. */
  refund(nowMs: number): void;
}

/** What becomes of a request that waited for tokens. */
export type QuotaWaitEnd =
  | { readonly kind: "taken"; readonly hold: QuotaHold }
  /** Its team has no quota any more. */
  | { readonly kind: "lifted" }
  | { readonly kind: "rejected"; readonly rejection: QuotaRejection };

/** A request that waits for tokens. */
export interface QuotaTicket {
  /** Called once, unless the place is given up before. */
  onEnd: (end: QuotaWaitEnd) => void;
  /** Gives up the place. */
  cancel(): void;
  /** Gives up the place, as it has waited for as long as it may. */
  expire(nowMs: number): QuotaRejection;
}

/** What is decided of a request when it arrives. */
export type QuotaDecision =
  | { readonly kind: "taken"; readonly hold: QuotaHold }
  | { readonly kind: "waiting"; readonly ticket: QuotaTicket }
  | { readonly kind: "rejected"; readonly rejection: QuotaRejection };
