/** Who waits for tokens of a team: requests of this node, and its children. */
import type { QuotaWaitEnd } from "./quotas_types.ts";

/** What a child lacks counts for this long after its last report. */
const WANT_TTL_MS = 400;

/** A request of this node. */
export interface Waiter {
  readonly cost: number;
  readonly sinceMs: number;
  readonly end: (end: QuotaWaitEnd) => void;
}

/** What a child's requests lack. */
interface Want {
  waiting: number;
  first: number;
  extra: number;
  sinceMs: number;
  atMs: number;
}

/** Requests and children in the order in which they began to wait. */
export class WaitingLine {
  readonly #waiters = new Set<Waiter>();
  readonly #wants = new Map<string, Want>();
  #cost = 0;

  get waiters(): ReadonlySet<Waiter> {
    return this.#waiters;
  }

  add(waiter: Waiter): void {
    this.#waiters.add(waiter);
    this.#cost += waiter.cost;
  }

  /** Removes a request; it may be gone already. */
  remove(waiter: Waiter): void {
    if (this.#waiters.delete(waiter)) this.#cost -= waiter.cost;
    if (this.#waiters.size === 0) this.#cost = 0;
  }

  /** Records what a child lacks. */
  setWant(
    child: string,
    { waiting, first, extra }: Pick<Want, "waiting" | "first" | "extra">,
    nowMs: number,
  ): void {
    const known = this.#wants.get(child);
    if (waiting <= 0 && extra <= 0) return void this.#wants.delete(child);
    const isNew = !known || known.waiting <= 0 || this.#isOld(known, nowMs);
    const sinceMs = isNew ? nowMs : known.sinceMs;
    this.#wants.set(child, { waiting, first, extra, sinceMs, atMs: nowMs });
  }

  want(child: string): Readonly<Want> | undefined {
    return this.#wants.get(child);
  }

  /** Records that a child was granted an amount. */
  noteGranted(child: string, amount: number, nowMs: number): void {
    const want = this.#wants.get(child);
    if (!want) return;
    want.waiting = Math.max(0, want.waiting - amount);
    want.sinceMs = nowMs;
  }

  /** Returns what waits in all. */
  waiting(nowMs: number): number {
    let sum = this.#cost;
    for (const want of this.#wants.values()) {
      if (!this.#isOld(want, nowMs)) sum += want.waiting;
    }
    return sum;
  }

  /** Returns what has waited for longer than since then. */
  waitingBefore(sinceMs: number, nowMs: number): number {
    let sum = 0;
    for (const waiter of this.#waiters) {
      if (waiter.sinceMs >= sinceMs) break;
      sum += waiter.cost;
    }
    for (const want of this.#wants.values()) {
      const isBefore = want.sinceMs < sinceMs && !this.#isOld(want, nowMs);
      if (isBefore) sum += want.waiting;
    }
    return sum;
  }

  /** Returns what the first in the line needs; 0 if none waits. */
  firstCost(nowMs: number): number {
    const [first] = this.#waiters;
    let cost = first?.cost ?? 0;
    let sinceMs = first?.sinceMs ?? Infinity;
    for (const want of this.#wants.values()) {
      const isFirst = want.waiting > 0 && want.sinceMs < sinceMs;
      if (!isFirst || this.#isOld(want, nowMs)) continue;
      cost = want.first;
      sinceMs = want.sinceMs;
    }
    return cost;
  }

  /** Returns what the children have use for beyond what waits. */
  extra(nowMs: number): number {
    let sum = 0;
    for (const want of this.#wants.values()) {
      if (!this.#isOld(want, nowMs)) sum += want.extra;
    }
    return sum;
  }

  #isOld({ atMs }: Want, nowMs: number): boolean {
    return nowMs - atMs > WANT_TTL_MS;
  }
}
