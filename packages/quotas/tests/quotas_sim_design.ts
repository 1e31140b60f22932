/** The design in use, in a simulation. */
import * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";
import * as quotas from "../mod.ts";
import { type SimEnd, SimLimiter, type SimMembership } from "./quotas_sim.ts";

/** Name of the team of all simulations. */
export const TEAM = core.brandId<core.TeamName>("team");

export const BOUNDS: fleet.QuotaBounds = {
  windowMs: 8_000,
  overage: 0.1,
  slack: 11_000,
};

/** Returns a team with a rate, and a burst of one second of it. */
export function makeTeam(
  ratePerS: number,
  name: core.TeamName = TEAM,
): fleet.TeamSpec {
  return {
    name,
    keyDigests: [],
    quota: { unit: "tokens", ratePerS, burst: ratePerS, plainTokens: 1_500 },
  };
}

/** The most that may be spent in a window. */
export function boundOf(
  ratePerS: number,
  { windowMs, overage, slack }: fleet.QuotaBounds = BOUNDS,
): number {
  return (ratePerS * windowMs / 1_000 + ratePerS) * (1 + overage) + slack;
}

type Report = quotas.QuotaReport | undefined;
type Answer = quotas.QuotaAnswer | undefined;

/** A node with the classes that the product uses. */
export class MovingTokens extends SimLimiter<Report, Answer> {
  readonly node: quotas.QuotaNode;
  static #starts = 0;

  constructor(teams: readonly fleet.TeamSpec[], bounds = BOUNDS) {
    super();
    this.node = new quotas.QuotaNode(1_000 * ++MovingTokens.#starts);
    this.node.configure(teams, bounds, 0);
  }

  override admit(cost: number, nowMs: number, end: SimEnd): void {
    const decision = this.node.decide(TEAM, cost, nowMs);
    if (decision?.kind === "taken") {
      return end(true, (atMs) => decision.hold.refund(atMs));
    }
    if (decision?.kind !== "waiting") return end(false);
    const { ticket } = decision;
    let isOver = false;
    ticket.onEnd = (ended) => {
      isOver = true;
      if (ended.kind !== "taken") return end(false);
      end(true, (atMs) => ended.hold.refund(atMs));
    };
    this.at(nowMs + quotas.WAIT_MAX_MS, (atMs) => {
      if (isOver) return;
      ticket.expire(atMs);
      end(false);
    });
  }

  override setMembership(membership: SimMembership, nowMs: number): void {
    this.node.setMembership(membership, nowMs);
  }

  override report(parent: string, nowMs: number): Report {
    return this.node.report(parent, nowMs);
  }

  override answer(child: string, report: Report, nowMs: number): Answer {
    return report && this.node.answer(child, report, nowMs);
  }

  override apply(
    parent: string,
    answer: Answer,
    sentAtMs: number,
    nowMs: number,
  ): void {
    if (answer) this.node.applyAnswer(parent, answer, sentAtMs, nowMs);
    else this.node.forgetParent(false, nowMs);
  }

  override becomeRoot(nowMs: number): void {
    this.node.forgetParent(true, nowMs);
  }

  override exchangeWithinMs(nowMs: number): number {
    return this.node.exchangeWithinMs(nowMs);
  }
}
