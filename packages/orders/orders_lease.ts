/**
 * The right to send orders: one row in the store, renewed by its holder. A
 * holder stops before its own time ends; another node begins only when that
 * time, and the time that must lie between two holders' orders, have passed.
 */
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";

/** Interval between renewals. */
const RENEW_INTERVAL_MS = 500;
/** Time for which a renewal holds, from when it was sent. */
const VALID_FOR_MS = 1_500;
/** Difference between clocks that tells of a suspended process. */
const SUSPENDED_AFTER_MS = 250;
/** Delay between candidates, so that they do not all write at once. */
const CANDIDATE_STAGGER_MS = 150;
/** Pause between looks at the row. */
const LOOK_INTERVAL_MS = 100;

/** What the lease's row says. */
export interface LeaseRow {
  readonly holder: core.InstanceId;
  /** Tells one life of a node from another. */
  readonly incarnation: string;
  /** Set when the holder has given the right back. */
  readonly isFree: boolean;
}

/** Options of a lease. */
export interface OrderLeaseOptions {
  readonly key: string;
  readonly self: core.InstanceId;
  readonly incarnation: string;
  /** Time that must pass between orders of two holders. */
  readonly leaseMs: number;
  /** Whether this node may hold the right now. */
  readonly isEligible: () => boolean;
  /** Position among the live nodes; 0 tries first. */
  readonly rank: () => number;
}

interface Seen {
  readonly row: LeaseRow | undefined;
  readonly version: number;
  readonly atMs: number;
}

/** Holds or waits for the right to send orders. */
export class OrderLease extends core.Task {
  override readonly name = "order-lease";
  readonly #store: store.TableService;
  readonly #options: OrderLeaseOptions;
  readonly #logger: core.Logger;
  #seen: Seen | undefined;
  #fence: number | undefined;
  #ordersFromMs = 0;
  #renewedAtMs = -Infinity;
  #renewedAtWallMs = 0;
  #releasing = false;

  constructor(
    table: store.TableService,
    options: OrderLeaseOptions,
    logger: core.Logger,
  ) {
    super();
    this.#store = table;
    this.#options = options;
    this.#logger = logger;
  }

  /** The node that holds the right by the row last seen. */
  get holder(): core.InstanceId | undefined {
    const row = this.#seen?.row;
    return row && !row.isFree ? row.holder : undefined;
  }

  /** Whether this node holds the right, though it may have to wait. */
  get isHeld(): boolean {
    return this.#fence !== undefined && this.#isValid();
  }

  /** The fencing number to order with, or undefined when not allowed. */
  get fence(): number | undefined {
    if (this.#fence === undefined || !this.#isValid()) return undefined;
    return core.monotonicMs() >= this.#ordersFromMs ? this.#fence : undefined;
  }

  /** Notes the row as the store's feed shows it. */
  observe(row: LeaseRow | undefined, version: number): void {
    if (this.#seen && version <= this.#seen.version) return;
    this.#see(row, version);
    const isOwn = row?.incarnation === this.#options.incarnation;
    if (this.#fence !== undefined && !isOwn) this.#lose("taken over");
  }

  /** Notes that the table was read whole and has no such row. */
  observeAbsent(version: number): void {
    if (!this.#seen) this.#see(undefined, version);
  }

  /** Gives the right up at once, for a planned stop. */
  async release(): Promise<void> {
    this.#releasing = true;
    if (this.#fence === undefined || !this.#seen) return;
    this.#fence = undefined;
    const outcome = await this.#write(this.#seen.version, true);
    this.#logger.info("orders_released", {
      outcome: outcome.isOk() ? outcome.value.outcome : outcome.error.detail,
    });
  }

  /** Gives the right up because an engine has seen a higher number. */
  lose(reason: string): void {
    if (this.#fence !== undefined) this.#lose(reason);
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isHolder = this.#fence !== undefined;
      if (isHolder) await this.#renew();
      else if (this.#mayTake()) await this.#take();
      const pauseMs = this.#fence === undefined
        ? LOOK_INTERVAL_MS
        : RENEW_INTERVAL_MS;
      await core.sleep(pauseMs, signal);
    }
  }

  #see(row: LeaseRow | undefined, version: number): void {
    this.#seen = { row, version, atMs: core.monotonicMs() };
  }

  #isValid(): boolean {
    const elapsedMs = core.monotonicMs() - this.#renewedAtMs;
    const wallMs = Date.now() - this.#renewedAtWallMs;
    // The steady clock does not count time in which the node is suspended.
    const wasSuspended = Math.abs(wallMs - elapsedMs) > SUSPENDED_AFTER_MS;
    return elapsedMs < VALID_FOR_MS && !wasSuspended;
  }

  #mayTake(): boolean {
    const { isEligible, rank } = this.#options;
    if (this.#releasing || !this.#seen || !isEligible()) return false;
    const { row, atMs } = this.#seen;
    const waitMs = rank() * CANDIDATE_STAGGER_MS;
    const ageMs = core.monotonicMs() - atMs;
    if (!row || row.isFree) return ageMs >= waitMs;
    return ageMs >= VALID_FOR_MS + waitMs;
  }

  async #take(): Promise<void> {
    const before = this.#seen!;
    const sentAtMs = core.monotonicMs();
    const sentAtWallMs = Date.now();
    const outcome = await this.#write(before.version, false);
    if (outcome.isErr()) return;
    if (outcome.value.outcome === "conflict") {
      return this.#seeConflict(outcome.value.rows);
    }
    const { version } = outcome.value;
    this.#fence = version;
    this.#renewedAtMs = sentAtMs;
    this.#renewedAtWallMs = sentAtWallMs;
    this.#see(this.#ownRow(false), version);
    this.#ordersFromMs = this.#earliestOrderMs(before);
    this.#logger.info("orders_taken", {
      fence: version,
      before: before.row?.holder,
      beforeAgeMs: Math.round(sentAtMs - before.atMs),
      waitMs: Math.max(0, Math.round(this.#ordersFromMs - sentAtMs)),
    });
  }

  /** When the holder before can no longer have sent an order too recently. */
  #earliestOrderMs(before: Seen): number {
    const { leaseMs } = this.#options;
    if (!before.row) return 0;
    if (before.row.isFree) return before.atMs + leaseMs;
    return before.atMs + VALID_FOR_MS + leaseMs;
  }

  async #renew(): Promise<void> {
    const sentAtMs = core.monotonicMs();
    const sentAtWallMs = Date.now();
    const version = this.#seen!.version;
    const outcome = await this.#write(version, false);
    if (this.#fence === undefined) return;
    if (outcome.isErr()) {
      if (!this.#isValid()) this.#lose(outcome.error.detail);
      return;
    }
    if (outcome.value.outcome === "committed") {
      this.#renewedAtMs = sentAtMs;
      this.#renewedAtWallMs = sentAtWallMs;
      this.#see(this.#ownRow(false), outcome.value.version);
      return;
    }
    this.#seeConflict(outcome.value.rows);
  }

  /** A lost reply shows as a conflict with this node's own row. */
  #seeConflict(rows: readonly store.StoredRow[]): void {
    const current = rows.find(({ key }) => key === this.#options.key);
    const row = current?.value as LeaseRow | null | undefined;
    this.#see(row ?? undefined, current?.version ?? 0);
    const isOwn = row?.incarnation === this.#options.incarnation;
    if (!isOwn && this.#fence !== undefined) this.#lose("taken over");
  }

  #lose(reason: string): void {
    this.#fence = undefined;
    this.#logger.warn("orders_lost", { reason, holder: this.holder });
  }

  #ownRow(isFree: boolean): LeaseRow {
    const { self, incarnation } = this.#options;
    return { holder: self, incarnation, isFree };
  }

  #write(version: number, isFree: boolean) {
    const { key } = this.#options;
    return this.#store.transact({
      checks: [{ key, version }],
      writes: [{ key, value: core.toJsonValue(this.#ownRow(isFree)) }],
    });
  }
}
