/** Quotas of teams at a node: clock, exchange, log and metrics. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";
import type * as peers from "../../peers/mod.ts";
import * as quotas from "../../quotas/mod.ts";
import type { EntryState } from "../entry_state.ts";
import {
  fromAnswerMessage,
  fromReportMessage,
  toAnswerMessage,
  toReportMessage,
} from "./entry_quota_messages.ts";
import { SuspensionClock } from "./entry_quota_clock.ts";

/** After this without a rejection, a team counts as not exhausted. */
const EXHAUSTED_TTL_MS = 2_000;
/** The first answer's number is below this, which keeps messages short. */
const FIRST_ANSWER_MAX = 1_000_000;

/** A team whose requests are being rejected. */
interface Exhaustion {
  readonly sinceMs: number;
  lastMs: number;
  rejections: number;
}

/** Tokens of a request, or of one whose team is not limited. */
class AdmittedRequest extends quotas.AdmittedQuota {
  readonly #refund: () => void;

  constructor(refund: () => void) {
    super();
    this.#refund = refund;
  }

  override refund(): void {
    this.#refund();
  }
}

const UNLIMITED = new AdmittedRequest(() => {});

/** Admits requests under the quotas of the configuration in force. */
export class EntryQuotas extends quotas.QuotaGate {
  readonly #state: EntryState;
  readonly #clock = new SuspensionClock();
  readonly #node = new quotas.QuotaNode(
    Math.ceil(Math.random() * FIRST_ANSWER_MAX),
  );
  readonly #exhausted = new Map<core.TeamName, Exhaustion>();
  #connected = 1;
  #sentAtMs = -Infinity;
  #wokenAtMs = -Infinity;
  /** Ends the pause of an exchange task that does not heed other signals. */
  readonly wakeSignal = new core.WakeSignal();
  /** Called when requests wait for tokens, for an exchange soon. */
  onWaiting: () => void = () => {};

  constructor(state: EntryState) {
    super();
    this.#state = state;
  }

  /** Whether the configuration limits any team. */
  get isActive(): boolean {
    return this.#node.isActive;
  }

  /** Applies the configuration and the settings in force. */
  configure(): void {
    const { config, settings } = this.#state;
    const bounds = settings.quotaBounds ?? quotas.STRICT_BOUNDS;
    this.#node.configure(config?.teams ?? [], bounds, this.#nowMs());
  }

  override async admit(
    team: fleet.TeamSpec | undefined,
    caller: fleet.CallerRequest,
    signal: AbortSignal,
  ): Promise<Result<quotas.AdmittedQuota, quotas.QuotaRejection>> {
    if (!team?.quota) return ok(UNLIMITED);
    const cost = quotas.costOf(team.quota, caller);
    const decision = this.#node.decide(team.name, cost, this.#nowMs());
    if (decision === undefined) return ok(UNLIMITED);
    if (decision.kind === "taken") return ok(this.#admitted(decision.hold));
    if (decision.kind === "rejected") {
      return err(this.#noteRejection(decision.rejection));
    }
    this.#state.metrics.increment("quota_waits");
    this.#wakeExchange();
    const end = await this.#waitFor(decision.ticket, signal);
    if (end === "cancelled" || end.kind === "lifted") return ok(UNLIMITED);
    return end.kind === "taken"
      ? ok(this.#admitted(end.hold))
      : err(this.#noteRejection(end.rejection));
  }

  /** Returns the part of a digest to the parent, if any team is limited. */
  report(parent: core.InstanceId): { quotas?: peers.QuotaReport } {
    const nowMs = this.#nowMs();
    this.#sentAtMs = nowMs;
    const report = this.#node.report(parent, nowMs);
    return report ? { quotas: toReportMessage(report) } : {};
  }

  /** Applies the parent's view; undefined if it did not answer. */
  applyAnswer(
    parent: core.InstanceId,
    view: peers.FleetView | undefined,
  ): void {
    const nowMs = this.#nowMs();
    if (!view?.quotas) return this.#node.forgetParent(false, nowMs);
    const answer = fromAnswerMessage(view.quotas);
    this.#node.applyAnswer(parent, answer, this.#sentAtMs, nowMs);
  }

  /** Records that this node has no parent. */
  becomeRoot(): void {
    this.#node.forgetParent(true, this.#nowMs());
  }

  /** Returns the part of the view that answers a child's digest. */
  answer(
    { node, quotas: report }: peers.NodeDigest,
  ): { quotas?: peers.QuotaAnswer } {
    if (!report) return {};
    const nowMs = this.#nowMs();
    const answer = this.#node
      .answer(node, fromReportMessage(report), nowMs);
    if (!answer) return {};
    this.#wakeExchange();
    return { quotas: toAnswerMessage(answer) };
  }

  /** @param connected nodes that exchange with this one, and itself. */
  setConnected(connected: number): void {
    this.#connected = connected;
    this.#updateMembership();
    this.#endExhaustions(core.monotonicMs());
  }

  /** Shortens the time until the next exchange while requests wait. */
  pauseMs(idleMs: number): number {
    return Math.min(idleMs, this.#node.exchangeWithinMs(this.#nowMs()));
  }

  /** Teams whose requests were rejected lately. */
  get exhaustedTeams(): number {
    return this.#exhausted.size;
  }

  #nowMs(): number {
    const nowMs = core.monotonicMs();
    if (this.#clock.hasJumped(nowMs, Date.now())) this.#node.clear(nowMs);
    return nowMs;
  }

  #updateMembership(): void {
    const { members, settings, hasReadMembers, isStopping } = this.#state;
    this.#node.setMembership({
      nodes: members.count(),
      connected: this.#connected,
      isRegistered: hasReadMembers &&
        members.row(settings.nodeName) !== undefined,
      isLeaving: isStopping,
    }, this.#nowMs());
  }

  #admitted(hold: quotas.QuotaHold): AdmittedRequest {
    return new AdmittedRequest(() => {
      this.#state.metrics.increment("quota_refunds");
      hold.refund(this.#nowMs());
    });
  }

  /** Waits for tokens; the place is given up when the signal aborts. */
  #waitFor(
    ticket: quotas.QuotaTicket,
    signal: AbortSignal,
  ): Promise<quotas.QuotaWaitEnd | "cancelled"> {
    return new Promise((resolve) => {
      const finish = (end: quotas.QuotaWaitEnd | "cancelled") => {
        clearTimeout(timer);
        signal.removeEventListener("abort", onAbort);
        resolve(end);
      };
      const onAbort = () => {
        ticket.cancel();
        finish("cancelled");
      };
      const timer = setTimeout(() => {
        const rejection = ticket.expire(this.#nowMs());
        finish({ kind: "rejected", rejection });
      }, quotas.WAIT_MAX_MS);
      ticket.onEnd = finish;
      signal.addEventListener("abort", onAbort, { once: true });
      if (signal.aborted) onAbort();
    });
  }

  /** Ends the pause before the next exchange if it is due by now. */
  #wakeExchange(): void {
    const nowMs = core.monotonicMs();
    const withinMs = this.#node.exchangeWithinMs(nowMs);
    if (nowMs - Math.max(this.#wokenAtMs, this.#sentAtMs) < withinMs) return;
    this.#wokenAtMs = nowMs;
    this.wakeSignal.wake();
    this.onWaiting();
  }

  #noteRejection(rejection: quotas.QuotaRejection): quotas.QuotaRejection {
    const { team, reason, cost, balance, wanted } = rejection;
    const nowMs = core.monotonicMs();
    this.#state.metrics.increment("quota_rejections");
    const known = this.#exhausted.get(team);
    if (known) {
      known.lastMs = nowMs;
      known.rejections++;
      return rejection;
    }
    this.#exhausted.set(team, {
      sinceMs: nowMs,
      lastMs: nowMs,
      rejections: 1,
    });
    this.#state.logger.info("quota_exhausted", {
      team,
      reason,
      cost,
      balance: Math.round(balance),
      wanted: Math.round(wanted),
    });
    return rejection;
  }

  #endExhaustions(nowMs: number): void {
    for (const [team, { sinceMs, lastMs, rejections }] of this.#exhausted) {
      if (nowMs - lastMs < EXHAUSTED_TTL_MS) continue;
      this.#exhausted.delete(team);
      this.#state.logger.info("quota_available", {
        team,
        rejections,
        exhaustedMs: Math.round(lastMs - sinceMs),
      });
    }
  }
}

/**
 * The fields of a log line about a rejected request.
 *
 * @example
 * ```ts
 * logger.info("request_refused", { status, ...rejectionFields(rejection) });
 * ```
 */
export function rejectionFields(
  { team, cost, balance, wanted, retryAfterMs }: quotas.QuotaRejection,
): core.LogFields {
  return {
    team,
    cost,
    balance: Math.round(balance),
    wanted: Math.round(wanted),
    retryAfterMs: Math.round(retryAfterMs),
  };
}
