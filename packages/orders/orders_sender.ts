/** Sends orders to one engine, one at a time, and resolves unknown outcomes. */
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type { EngineInventory } from "./orders_inventory.ts";
import type { EngineRoom, LateOrders } from "./orders_late.ts";
import type { OrderLease } from "./orders_lease.ts";

/** Time for an engine to answer an order. */
const ORDER_TIMEOUT_MS = 400;
const REPORT_TIMEOUT_MS = 600;
/** Attempts per order; all name the same count, so at most one takes effect. */
const ATTEMPTS_MAX = 3;
/** Pause after an order for which the engine was unavailable. */
const UNAVAILABLE_PAUSE_MS = 300;
/**
 * Replies after which an order is not sent again at once; one from another
 * engine shows a restart that the upstream table does not show yet.
 */
const PAUSING_REPLIES: ReadonlySet<fleet.OrderReply> = new Set([
  "unavailable",
  "unreachable",
  "otherEngine",
]);
/** Interval between probes of an engine that may be unavailable. */
const PROBE_INTERVAL_MS = 500;
/** Time after an order from which every report must include it. */
const REPORT_LAG_MAX_MS = 1_500;
/** Time by which the report of an engine usually lags. */
const REPORT_LAG_MS = 150;

/** Options of a sender. */
export interface OrderSenderOptions {
  readonly control: fleet.EngineControl;
  readonly lease: OrderLease;
  readonly self: core.InstanceId;
  /** Minimum time between orders of two lease holders. */
  readonly leaseMs: number;
  /** Whether engines reject orders whose fencing token is too low. */
  readonly enginesCheckFences: boolean;
  /** Orders without a reply to all incarnations with the engine's id. */
  readonly late: LateOrders;
  readonly logger: core.Logger;
  /** Whether the engine gets no calls any more, as it is leaving. */
  readonly isLeaving: () => boolean;
  /** Called when the engine has answered or could not be reached. */
  readonly onContact: (isReached: boolean) => void;
}

/** Orders to one engine, as the previous lease holder reported them. */
export interface PreviousOrders {
  readonly orderCount: number;
  /** Undefined if it sent none. */
  readonly lastOrderAtMs: number | undefined;
}

/** The part of an order that a user of the sender chooses. */
export type OrderRequest = Pick<fleet.Order, "kind" | "model" | "adapter">;

/** Sends orders to one engine and keeps its inventory. */
export class OrderSender {
  readonly inventory: EngineInventory;
  readonly record: fleet.UpstreamRecord;
  readonly #options: OrderSenderOptions;
  readonly #previous: PreviousOrders | undefined;
  #ordersAllowedFromMs: number;
  #lastOrderAtMs: number | undefined;
  #hasOrdered = false;
  #isActive = false;
  #isRetired = false;
  // The list of upstreams does not contain an engine's order count.
  #needsReport = true;
  #reportFromMs = 0;
  #pausedUntilMs = 0;
  #probedAtMs = -Infinity;

  constructor(
    record: fleet.UpstreamRecord,
    inventory: EngineInventory,
    options: OrderSenderOptions,
    previous?: PreviousOrders,
  ) {
    this.#previous = previous;
    this.#ordersAllowedFromMs = options.lease.ordersAllowedFromMs;
    if (this.#ordersAllowedFromMs > 0) {
      this.#lastOrderAtMs = this.#ordersAllowedFromMs - options.leaseMs;
    }
    this.record = record;
    this.inventory = inventory;
    this.#options = options;
  }

  /**
   * Whether no order may be sent now: one is in flight or unconfirmed, or the
   * fencing token would not stop a late one.
   */
  isBlocked(nowMs: number): boolean {
    return this.#isActive || this.#needsReport || this.#options.isLeaving() ||
      nowMs < this.#ordersAllowedFromMs ||
      nowMs < this.#pausedUntilMs || this.#mustRaiseToken(nowMs);
  }

  /** Whether an order may be sent that takes no more than the free room. */
  mayOrder(spec: fleet.EngineSpec, nowMs: number): boolean {
    return !this.isBlocked(nowMs) && !this.inventory.isBusy &&
      this.#hasRoomForLate(spec, nowMs);
  }

  /** Memory and adapter slots that an order may take. */
  freeRoom(spec: fleet.EngineSpec, nowMs: number): EngineRoom {
    const late = this.#roomForLate(spec, nowMs);
    const fromStart = this.#options.late
      .roomFromStart(this.#orderCount, nowMs, spec);
    const { weightMemoryMb, adapterSlots } = spec;
    const usedMb = this.inventory.usedMb(spec) + late.mb;
    const usedSlots = this.inventory.adapterCount + late.adapterSlots;
    return {
      mb: weightMemoryMb - Math.max(usedMb, fromStart.mb),
      adapterSlots: adapterSlots - Math.max(usedSlots, fromStart.adapterSlots),
    };
  }

  /**
   * Requests a fencing token above those of late orders, so that the engine
   * rejects them once it has accepted another order.
   */
  raiseToken(nowMs: number): void {
    if (!this.#mustRaiseToken(nowMs)) return;
    const { late, lease } = this.#options;
    const token = late.highestToken(this.#orderCount, nowMs)!;
    lease.raiseTokenAbove(token, this.record.id);
  }

  /** Sends no further orders, as another sender takes the engine over. */
  retire(): void {
    this.#isRetired = true;
  }

  /**
   * When any holder sent the last order, on the monotonic clock; the latest
   * possible time where that is not known. The next holder relies on it.
   */
  get lastOrderAtMs(): number | undefined {
    return this.#lastOrderAtMs;
  }

  /**
   * Sends an order. Only one order or report may be in progress at a time.
   *
   * @param expectedMs expected time for the engine to carry it out.
   * @returns whether the engine has accepted it.
   */
  async send(order: OrderRequest, expectedMs: number): Promise<boolean> {
    core.invariant(!this.#isActive, 5, this.record.id);
    this.#isActive = true;
    try {
      return await this.#sendUntilAnswered(order, expectedMs);
    } finally {
      this.#isActive = false;
    }
  }

  /** Whether the inventory needs the engine's report now. */
  mustReconcile(nowMs: number): boolean {
    if (this.#isActive || this.#options.isLeaving()) return false;
    if (nowMs < this.#reportFromMs) return false;
    return this.#needsReport || this.#hasOverdueModel(nowMs);
  }

  /** Whether a report is due for an engine that may be unavailable. */
  mustProbe(nowMs: number): boolean {
    return !this.#isActive && !this.#options.isLeaving() &&
      nowMs - this.#probedAtMs >= PROBE_INTERVAL_MS;
  }

  /** Fetches the engine's report and applies it to the inventory. */
  async reconcile(): Promise<void> {
    this.#isActive = true;
    this.#probedAtMs = core.monotonicMs();
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
      const sinceOrderMs = core.monotonicMs() -
        (this.#lastOrderAtMs ?? -Infinity);
      const isUsed = startedAtMs === this.record.startedAtMs &&
        this.inventory.applyReport(
          report.value,
          sinceOrderMs < REPORT_LAG_MAX_MS,
        );
      if (isUsed) {
        this.#needsReport = false;
        this.#allowOrdersEarly(orderCount);
      }
      logger.info("report", {
        upstream: this.record.id,
        orderCount,
        known: this.inventory.orderCount,
        busy: isBusy,
        models: models.length,
        sameIncarnation: startedAtMs === this.record.startedAtMs,
        used: isUsed,
      });
    } finally {
      this.#isActive = false;
    }
  }

  /**
   * Shortens the wait if the engine's order count shows that it has accepted no
   * orders but the reported ones.
   */
  #allowOrdersEarly(orderCount: number): void {
    if (this.#previous?.orderCount !== orderCount) return;
    const { lastOrderAtMs } = this.#previous;
    const fromMs = lastOrderAtMs === undefined
      ? 0
      : lastOrderAtMs + this.#options.leaseMs;
    this.#ordersAllowedFromMs = Math.min(this.#ordersAllowedFromMs, fromMs);
    if (!this.#hasOrdered) this.#lastOrderAtMs = lastOrderAtMs;
  }

  get #orderCount(): number {
    return this.inventory.orderCount ?? 0;
  }

  #mustRaiseToken(nowMs: number): boolean {
    const { enginesCheckFences, late, lease } = this.#options;
    const token = late.highestToken(this.#orderCount, nowMs);
    return enginesCheckFences && token !== undefined &&
      token >= (lease.fencingToken ?? Infinity);
  }

  /** Room to keep for late orders where a fencing token does not stop them. */
  #roomForLate(spec: fleet.EngineSpec, nowMs: number): EngineRoom {
    const { enginesCheckFences, late } = this.#options;
    if (enginesCheckFences) return { mb: 0, adapterSlots: 0 };
    return late.roomAfter(
      this.#orderCount,
      nowMs,
      spec,
      (order) => this.inventory.holds(order),
    );
  }

  #hasRoomForLate(spec: fleet.EngineSpec, nowMs: number): boolean {
    const late = this.#roomForLate(spec, nowMs);
    const mb = this.inventory.usedMb(spec) + late.mb;
    const slots = this.inventory.adapterCount + late.adapterSlots;
    return (late.mb === 0 || mb <= spec.weightMemoryMb) &&
      (late.adapterSlots === 0 || slots <= spec.adapterSlots);
  }

  #hasOverdueModel(nowMs: number): boolean {
    for (const { phase, readyAtMs } of this.inventory.models.values()) {
      const isChanging = phase === "loading" || phase === "unloading";
      if (isChanging && nowMs >= readyAtMs + REPORT_LAG_MS) return true;
    }
    return false;
  }

  async #sendUntilAnswered(
    request: OrderRequest,
    expectedMs: number,
  ): Promise<boolean> {
    const { control, lease, self, late, logger, onContact } = this.#options;
    const expectedOrderCount = this.inventory.orderCount;
    if (expectedOrderCount === undefined) return false;
    for (let attempt = 1; attempt <= ATTEMPTS_MAX; attempt++) {
      const fencingToken = lease.fencingToken;
      if (fencingToken === undefined || this.#isRetired) break;
      if (this.#options.isLeaving()) break;
      this.#lastOrderAtMs = core.monotonicMs();
      this.#hasOrdered = true;
      const order = {
        ...request,
        expectedOrderCount,
        holder: self,
        fencingToken,
      };
      const settle = late.record(order, this.#lastOrderAtMs);
      const reply = await control.sendOrder(
        this.record,
        order,
        ORDER_TIMEOUT_MS,
      );
      const nowMs = core.monotonicMs();
      logger.info("order", {
        upstream: this.record.id,
        kind: request.kind,
        model: request.model,
        adapter: request.adapter,
        expected: expectedOrderCount,
        fence: fencingToken,
        sending: attempt,
        reply,
      });
      if (reply === "lost") {
        this.#requireReport();
        continue;
      }
      settle();
      onContact(reply !== "unreachable");
      if (PAUSING_REPLIES.has(reply)) {
        this.#pausedUntilMs = nowMs + UNAVAILABLE_PAUSE_MS;
      }
      const isAlreadyUnloaded = reply === "alreadySo" &&
        request.kind === "unload";
      if (reply === "accepted" || isAlreadyUnloaded) {
        this.inventory.applyAccepted(order, expectedMs, nowMs);
        this.#needsReport = false;
        return true;
      }
      if (reply === "fenced") {
        lease.lose("an engine has seen a higher fencing token");
      }
      if (reply === "conflict" || reply === "alreadySo") this.#requireReport();
      return false;
    }
    return false;
  }

  #requireReport(): void {
    this.#needsReport = true;
    this.#reportFromMs = core.monotonicMs() + REPORT_LAG_MS;
  }
}
