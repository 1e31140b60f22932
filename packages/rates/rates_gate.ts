/** Lets requests to rate-limited upstreams pass only with a permit. */
import * as core from "../core/mod.ts";
import { RATE_MIN_PER_S } from "./rates_issuer.ts";
import type { Incarnation, NamedRates, RateStatement } from "./rates_named.ts";

/**
 * Time for which a permit may be used, from the request for it. The upstream
 * gets no more in 4 s than its rate allows in 5 s.
 */
const PERMIT_MS = 1_000;
/** Difference of monotonic and wall time that shows a suspended process. */
const CLOCK_DIFFERENCE_MAX_MS = 500;
/** Permits that are asked for at once. */
const PERMITS_MAX = 16;
/** Bounds of the time between two requests for permits of one upstream. */
const ASK_INTERVAL_MIN_MS = 10;
const ASK_INTERVAL_MAX_MS = 2_000;
/** Time after which an issuer that gave no answer is asked again. */
const NO_ANSWER_RETRY_MS = 200;
/** Upstreams for which permits are kept. */
const ACCOUNTS_MAX = 10_000;
const MS_PER_S = 1_000;

/** The right to send one request. */
export interface Permit {
  /** End of its validity, on the monotonic and on the wall clock. */
  readonly untilMs: number;
  readonly untilWallMs: number;
  /** The limit for which it was issued; not valid for a lower one. */
  readonly perS: number;
}

/** Answer of the node that issues the permits for an upstream. */
export interface PermitReply {
  readonly granted: number;
  /** Expected time until the next one, if none was granted. */
  readonly waitMs: number;
}

/** Where permits are asked for. */
export abstract class PermitSource {
  /**
   * Asks for permits; the upstream's limit may turn out to be another one.
   *
   * @returns undefined if no node answered that issues them.
   */
  abstract request(
    statement: RateStatement,
    count: number,
  ): Promise<PermitReply | undefined>;
}

/** What this node has asked for and got for one incarnation. */
interface Account {
  readonly startedAtMs: number;
  permits: Permit[];
  /** Requests that a permit is to be asked for. */
  readonly wanting: Set<object>;
  state: "idle" | "gathering" | "asking";
  askAtMs: number;
  /** When the next permit is expected, and the time between two of them. */
  readyAtMs: number;
  intervalMs: number;
}

/** The permits of this node. */
export class RateGate {
  readonly #named: NamedRates;
  readonly #source: PermitSource;
  readonly #accounts = new Map<core.UpstreamId, Account>();
  /** Called when requests may be sent, or permits asked for, that had to wait. */
  onChange: () => void = () => {};

  constructor(named: NamedRates, source: PermitSource) {
    this.#named = named;
    this.#source = source;
  }

  /** Whether an upstream has a limit and this node has no permit for it. */
  isBarred(upstream: Incarnation, nowMs: number): boolean {
    const perS = this.#named.perS(upstream);
    if (perS === undefined) {
      this.#accounts.delete(upstream.id);
      return false;
    }
    return this.#validPermits(upstream, perS, nowMs).length === 0;
  }

  /** Takes a permit for one request; undefined if it needs none. */
  take(upstream: Incarnation, nowMs: number): Permit | undefined {
    const perS = this.#named.perS(upstream);
    if (perS === undefined) return undefined;
    return this.#validPermits(upstream, perS, nowMs).shift();
  }

  /** Whether a request with this permit may still be sent. */
  mayStart(
    upstream: Incarnation,
    permit: Permit | undefined,
    nowMs: number,
  ): boolean {
    const perS = this.#named.perS(upstream);
    if (perS === undefined) return true;
    return permit !== undefined && isValid(permit, perS, nowMs);
  }

  /**
   * Asks for a permit, unless it is too soon; `onChange` is called when it is
   * there, and when it is time to ask again.
   *
   * @param request that would be sent with it; counted once.
   * @example
   * ```ts
   * if (gate.isBarred(record, nowMs)) gate.want(record, request);
   * ```
   */
  want(upstream: Incarnation, request: object): void {
    const account = this.#account(upstream);
    const isDue = core.monotonicMs() >= account.askAtMs;
    if (account.state === "asking" || !isDue) return;
    account.wanting.add(request);
    if (account.state === "gathering") return;
    account.state = "gathering";
    // The requests that are selected in the same turn are asked for together.
    queueMicrotask(() => {
      this.#ask(upstream, account).catch(() => account.state = "idle");
    });
  }

  /**
   * Expected time until this node may send a request.
   *
   * @param ahead requests of this node that go before it.
   */
  expectedWaitMs(upstream: Incarnation, ahead: number, nowMs: number): number {
    const { permits, readyAtMs, intervalMs } = this.#account(upstream);
    const missing = Math.max(0, ahead - permits.length);
    return Math.max(0, readyAtMs - nowMs) + missing * intervalMs;
  }

  async #ask(upstream: Incarnation, account: Account): Promise<void> {
    const askedAtMs = core.monotonicMs();
    const untilWallMs = Date.now() + PERMIT_MS + CLOCK_DIFFERENCE_MAX_MS;
    const count = Math.min(PERMITS_MAX, account.wanting.size);
    account.wanting.clear();
    account.state = "asking";
    const statement = this.#named.statement(upstream, askedAtMs);
    const perS = statement?.perS;
    if (statement === undefined || perS === undefined) {
      account.state = "idle";
      return this.onChange();
    }
    const reply = await this.#source.request(statement, count);
    const nowMs = core.monotonicMs();
    account.state = "idle";
    const granted = Math.min(count, reply?.granted ?? 0);
    for (let n = 0; n < granted; n++) {
      const untilMs = askedAtMs + PERMIT_MS;
      account.permits.push({ untilMs, untilWallMs, perS });
    }
    const waitMs = reply?.waitMs ?? NO_ANSWER_RETRY_MS;
    account.intervalMs = granted > 0 ? intervalMs(perS) : waitMs;
    account.readyAtMs = nowMs + (granted > 0 ? 0 : waitMs);
    const askInMs = granted > 0
      ? 0
      : Math.min(ASK_INTERVAL_MAX_MS, Math.max(ASK_INTERVAL_MIN_MS, waitMs));
    const askAtMs = nowMs + askInMs;
    account.askAtMs = askAtMs;
    const isLifted = this.#named.perS(upstream) === undefined;
    if (granted > 0 || isLifted) return this.onChange();
    setTimeout(() => {
      // Timers may be early by a part of a millisecond.
      if (account.askAtMs === askAtMs) account.askAtMs = -Infinity;
      this.onChange();
    }, Math.ceil(askInMs)).unref();
  }

  #account(upstream: Incarnation): Account {
    const { id, startedAtMs } = upstream;
    let account = this.#accounts.get(id);
    if (account?.startedAtMs !== startedAtMs) {
      account = {
        startedAtMs,
        permits: [],
        wanting: new Set(),
        state: "idle",
        askAtMs: -Infinity,
        readyAtMs: -Infinity,
        intervalMs: intervalMs(this.#named.perS(upstream) ?? Infinity),
      };
      this.#accounts.set(id, account);
      const [oldest] = this.#accounts.keys();
      const isFull = this.#accounts.size > ACCOUNTS_MAX;
      if (isFull && oldest !== undefined) this.#accounts.delete(oldest);
    }
    return account;
  }

  #validPermits(
    upstream: Incarnation,
    perS: number,
    nowMs: number,
  ): Permit[] {
    const account = this.#account(upstream);
    account.permits = account.permits
      .filter((permit) => isValid(permit, perS, nowMs));
    return account.permits;
  }
}

function intervalMs(perS: number): number {
  return MS_PER_S / Math.max(RATE_MIN_PER_S, perS);
}

/** The monotonic clock does not count time in which the node is suspended. */
function isValid(permit: Permit, perS: number, nowMs: number): boolean {
  return permit.perS <= perS && nowMs < permit.untilMs &&
    Date.now() < permit.untilWallMs;
}
