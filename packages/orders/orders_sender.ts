/** Sends orders to one engine, one after the other, and settles doubts. */
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type { EngineAccount } from "./orders_account.ts";
import type { OrderLease } from "./orders_lease.ts";

/** Time for an engine to answer an order. */
const ORDER_TIMEOUT_MS = 400;
const REPORT_TIMEOUT_MS = 600;
/** Sendings of one order; each names the same count, so one at most acts. */
const SENDINGS_MAX = 3;
/** Pause after an order that the engine did not take. */
const NOT_TAKEN_PAUSE_MS = 300;
/** Pause between looks at an engine that may be gone. */
const LOOK_INTERVAL_MS = 500;
/** Time after an order by which every report must have seen it. */
const REPORT_SURE_MS = 1_500;
/** Time by which an engine's report lags behind. */
const REPORT_LAG_MS = 150;

/** Options of a sender. */
export interface OrderSenderOptions {
  readonly control: fleet.EngineControl;
  readonly lease: OrderLease;
  readonly self: core.InstanceId;
  /** Time that must pass between orders of two holders. */
  readonly leaseMs: number;
  readonly logger: core.Logger;
  /** Called when the engine answered, or could not be reached. */
  readonly onContact: (isReached: boolean) => void;
}

/** What the holder before told of its orders to one engine. */
export interface OrdersBefore {
  readonly orderCount: number;
  /** Undefined if it sent none. */
  readonly lastOrderAtMs: number | undefined;
}

/** What a caller of `send` may want to order. */
export type WantedOrder = Pick<fleet.Order, "kind" | "model" | "adapter">;

/** Sends the orders to one engine. */
export class OrderSender {
  readonly account: EngineAccount;
  readonly record: fleet.UpstreamRecord;
  readonly #options: OrderSenderOptions;
  readonly #before: OrdersBefore | undefined;
  #ordersFromMs: number;
  #lastOrderAtMs: number | undefined;
  #hasOrdered = false;
  #isActive = false;
  // The list does not tell how many orders an engine has accepted.
  #needsReport = true;
  #reportFromMs = 0;
  #pausedUntilMs = 0;
  #lookedAtMs = -Infinity;

  constructor(
    record: fleet.UpstreamRecord,
    account: EngineAccount,
    options: OrderSenderOptions,
    before?: OrdersBefore,
  ) {
    this.#before = before;
    this.#ordersFromMs = options.lease.ordersFromMs;
    if (this.#ordersFromMs > 0) {
      this.#lastOrderAtMs = this.#ordersFromMs - options.leaseMs;
    }
    this.record = record;
    this.account = account;
    this.#options = options;
  }

  /** Whether no order may be sent now: one is on its way, or in doubt. */
  isClosed(nowMs: number): boolean {
    return this.#isActive || this.#needsReport || nowMs < this.#ordersFromMs ||
      nowMs < this.#pausedUntilMs;
  }

  /**
   * When the last order was sent by any holder, on the monotonic clock; the
   * latest possible time where that is not known. The next holder counts on it.
   */
  get lastOrderAtMs(): number | undefined {
    return this.#lastOrderAtMs;
  }

  /**
   * Sends an order; only while nothing else is active.
   *
   * @param takesMs time that the engine is expected to take.
   * @returns whether the engine has accepted it.
   */
  async send(order: WantedOrder, takesMs: number): Promise<boolean> {
    core.invariant(!this.#isActive, 5, this.record.id);
    this.#isActive = true;
    try {
      return await this.#sendUntilAnswered(order, takesMs);
    } finally {
      this.#isActive = false;
    }
  }

  /** Whether the account needs the engine's report now. */
  mustSettle(nowMs: number): boolean {
    if (this.#isActive || nowMs < this.#reportFromMs) return false;
    return this.#needsReport || this.#hasOverdueModel(nowMs);
  }

  /** Whether an engine that may be gone should be asked for its report. */
  mustLook(nowMs: number): boolean {
    return !this.#isActive && nowMs - this.#lookedAtMs >= LOOK_INTERVAL_MS;
  }

  /** Asks the engine for its report and takes it into the account. */
  async settle(): Promise<void> {
    this.#isActive = true;
    this.#lookedAtMs = core.monotonicMs();
    try {
      const report = await this.#options.control
        .fetchReport(this.record, REPORT_TIMEOUT_MS);
      this.#reportFromMs = core.monotonicMs() + REPORT_LAG_MS;
      const { logger, onContact } = this.#options;
      onContact(report.isOk());
      if (report.isErr()) {
        const reason = report.error;
        logger.warn("report_failed", { upstream: this.record.id, reason });
        return;
      }
      const { startedAtMs, orderCount, isBusy, models } = report.value;
      const sinceMs = core.monotonicMs() - (this.#lastOrderAtMs ?? -Infinity);
      const isUsed = startedAtMs === this.record.startedAtMs &&
        this.account.reported(report.value, sinceMs < REPORT_SURE_MS);
      if (isUsed) {
        this.#needsReport = false;
        this.#openEarly(orderCount);
      }
      logger.info("report", {
        upstream: this.record.id,
        orderCount,
        known: this.account.orderCount,
        busy: isBusy,
        models: models.length,
        sameIncarnation: startedAtMs === this.record.startedAtMs,
        used: isUsed,
      });
    } finally {
      this.#isActive = false;
    }
  }

  /** An engine whose orders are all known needs no wait for unknown ones. */
  #openEarly(orderCount: number): void {
    if (this.#before?.orderCount !== orderCount) return;
    const { lastOrderAtMs } = this.#before;
    const fromMs = lastOrderAtMs === undefined
      ? 0
      : lastOrderAtMs + this.#options.leaseMs;
    this.#ordersFromMs = Math.min(this.#ordersFromMs, fromMs);
    if (!this.#hasOrdered) this.#lastOrderAtMs = lastOrderAtMs;
  }

  #hasOverdueModel(nowMs: number): boolean {
    for (const { phase, readyAtMs } of this.account.models.values()) {
      const isMoving = phase === "loading" || phase === "unloading";
      if (isMoving && nowMs >= readyAtMs + REPORT_LAG_MS) return true;
    }
    return false;
  }

  async #sendUntilAnswered(
    wanted: WantedOrder,
    takesMs: number,
  ): Promise<boolean> {
    const { control, lease, self, logger, onContact } = this.#options;
    const expectedOrderCount = this.account.orderCount;
    if (expectedOrderCount === undefined) return false;
    for (let sending = 1; sending <= SENDINGS_MAX; sending++) {
      const fence = lease.fence;
      if (fence === undefined) break;
      this.#lastOrderAtMs = core.monotonicMs();
      this.#hasOrdered = true;
      const order = {
        ...wanted,
        expectedOrderCount,
        holder: self,
        fencingToken: fence,
      };
      const reply = await control.sendOrder(
        this.record,
        order,
        ORDER_TIMEOUT_MS,
      );
      const nowMs = core.monotonicMs();
      logger.info("order", {
        upstream: this.record.id,
        kind: wanted.kind,
        model: wanted.model,
        adapter: wanted.adapter,
        expected: expectedOrderCount,
        fence,
        sending,
        reply,
      });
      if (reply === "lost") {
        this.#doubt();
        continue;
      }
      onContact(reply !== "unreachable");
      if (reply === "unavailable" || reply === "unreachable") {
        this.#pausedUntilMs = nowMs + NOT_TAKEN_PAUSE_MS;
      }
      const isAdapterGone = reply === "alreadySo" && wanted.kind === "unload";
      if (reply === "accepted" || isAdapterGone) {
        this.account.accepted(order, takesMs, nowMs);
        this.#needsReport = false;
        return true;
      }
      if (reply === "fenced") lease.lose("an engine has seen a higher fence");
      if (reply === "conflict" || reply === "alreadySo") this.#doubt();
      return false;
    }
    return false;
  }

  #doubt(): void {
    this.#needsReport = true;
    this.#reportFromMs = core.monotonicMs() + REPORT_LAG_MS;
  }
}
