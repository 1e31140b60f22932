/**
 * The right to send orders: one row in the store, renewed by its holder. A
 * holder stops before its own time ends; another node begins only when that
 * time has passed and, where engines do not refuse a lower fencing number, the
 * time that must lie between two holders' orders.
 */
import * as purify from "purify-ts";
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";

/** Interval between renewals. */
const RENEW_INTERVAL_MS = 500;
/** Time for which a renewal holds, from when it was sent. */
const VALID_FOR_MS = 1_500;
/** Difference between clocks that tells of a suspended process. */
const SUSPENDED_AFTER_MS = 250;
/** Time for which a holder may go on without the store: outages end sooner. */
const STORE_AWAY_MAX_MS = 30_000;
/** Pause of a candidate that could not write; the holder tries more often. */
const TAKE_RETRY_MS = 400;
/** Delay between candidates, so that they do not all write at once. */
const CANDIDATE_STAGGER_MS = 150;
/** Pause before a renewal that failed is tried again. */
const RETRY_INTERVAL_MS = 50;
/** Pause between looks at the holder's news. */
const LOOK_INTERVAL_MS = 50;
/** Pause between reads of the row, while the holder is not heard. */
const READ_INTERVAL_MS = 300;
/** Time for which news of the holder itself spares reading the row. */
const HEARD_FOR_MS = 400;

/** What the lease's row says. */
export interface LeaseRow {
  readonly holder: core.InstanceId;
  /** Tells one life of a node from another. */
  readonly incarnation: string;
  /** Set when the holder has given the right back. */
  readonly isFree: boolean;
}

const LeaseRowCodec = purify.Codec.interface({
  holder: purify.string,
  incarnation: purify.string,
  isFree: purify.boolean,
});

function toLeaseRow(row: purify.GetType<typeof LeaseRowCodec>): LeaseRow {
  return { ...row, holder: core.brandId<core.InstanceId>(row.holder) };
}

/** Options of a lease. */
export interface OrderLeaseOptions {
  readonly key: string;
  readonly self: core.InstanceId;
  readonly incarnation: string;
  /** Time that must pass between orders of two holders. */
  readonly leaseMs: number;
  /**
   * Whether engines refuse orders with a lower fencing number. Then an order
   * of the holder before that comes late does nothing, and none is waited for.
   */
  readonly enginesCheckFences: boolean;
  /** Whether this node may hold the right now. */
  readonly isEligible: () => boolean;
  /** Position among the live nodes; 0 tries first. */
  readonly rank: () => number;
  /** Other nodes that take this one for the holder now. */
  readonly followers: () => number;
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
  #heardAtMs = -Infinity;
  #readAtMs = -Infinity;
  #takeFromMs = -Infinity;
  #followersThen = 0;

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
  get fencingToken(): number | undefined {
    return this.isHeld ? this.#fence : undefined;
  }

  /**
   * When orders may go to an engine of which this node does not know when the
   * holder before last ordered it, on the monotonic clock.
   */
  get ordersAllowedFromMs(): number {
    return this.#ordersFromMs;
  }

  /** The row's version and the age of its renewal, while held. */
  get renewal(): { version: number; ageMs: number } | undefined {
    if (!this.isHeld || !this.#seen) return undefined;
    const ageMs = core.monotonicMs() - this.#renewedAtMs;
    return { version: this.#seen.version, ageMs };
  }

  /** Notes what the holder itself tells of its renewal. */
  noteRenewal(holder: core.InstanceId, version: number, ageMs: number): void {
    if (this.#fence !== undefined) return;
    if (this.#seen && version < this.#seen.version) return;
    const row = { holder, incarnation: "", isFree: false };
    this.#seen = { row, version, atMs: core.monotonicMs() - ageMs };
    this.#heardAtMs = core.monotonicMs();
  }

  /**
   * Gives the right up for a planned stop: at once, or, where engines check
   * fences, as soon as the store has noted it. Until then no other node can
   * take over, and orders are better than none.
   */
  async release(): Promise<void> {
    this.#releasing = true;
    if (this.#fence === undefined || !this.#seen) return;
    if (!this.#options.enginesCheckFences) this.#fence = undefined;
    await this.#giveBack();
  }

  async #giveBack(): Promise<boolean> {
    const outcome = await this.#write(this.#seen!.version, true);
    this.#logger.info("orders_released", {
      outcome: outcome.isOk() ? outcome.value.outcome : outcome.error.detail,
    });
    if (outcome.isErr()) {
      if (this.#fence !== undefined && !this.#isValid()) {
        this.#lose(outcome.error.detail);
      }
      return false;
    }
    this.#fence = undefined;
    return true;
  }

  /** Gives the right up because an engine has seen a higher number. */
  lose(reason: string): void {
    if (this.#fence !== undefined) this.#lose(reason);
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isHolder = this.#fence !== undefined;
      const hasWorked = !isHolder
        ? await this.#look()
        : this.#releasing
        ? await this.#giveBack()
        : await this.#renew();
      const pauseMs = this.#fence === undefined
        ? LOOK_INTERVAL_MS
        : hasWorked || this.#releasing
        ? RENEW_INTERVAL_MS
        : RETRY_INTERVAL_MS;
      await core.sleep(pauseMs, signal);
    }
  }

  /** Looks at the row while the holder is not heard, and takes it if due. */
  async #look(): Promise<boolean> {
    const { isEligible, key } = this.#options;
    if (this.#releasing || !isEligible()) return true;
    const nowMs = core.monotonicMs();
    const isFresh = this.#seen && nowMs - this.#seen.atMs < VALID_FOR_MS;
    if (isFresh && nowMs - this.#heardAtMs < HEARD_FOR_MS) return true;
    if (nowMs < this.#takeFromMs) return true;
    if (this.#mayTake()) await this.#take();
    else if (nowMs - this.#readAtMs >= READ_INTERVAL_MS) {
      this.#readAtMs = nowMs;
      const rows = await this.#store.read({ keys: [key] });
      if (rows.isOk()) this.#seeRow(rows.value);
    }
    return true;
  }

  /** A version seen before keeps the time at which it was first seen. */
  #seeRow(rows: readonly store.StoredRow[]): void {
    const current = rows.find(({ key }) => key === this.#options.key);
    const version = current?.version ?? 0;
    if (this.#seen && version <= this.#seen.version) return;
    const row = core.decodeValue(current?.value ?? null, LeaseRowCodec);
    if (current && row.isErr()) {
      this.#logger.error("lease_unreadable", { version, reason: row.error });
    }
    this.#see(row.isOk() ? toLeaseRow(row.value) : undefined, version);
  }

  #see(row: LeaseRow | undefined, version: number): void {
    this.#seen = { row, version, atMs: core.monotonicMs() };
  }

  #isValid(): boolean {
    const elapsedMs = core.monotonicMs() - this.#renewedAtMs;
    const wallMs = Date.now() - this.#renewedAtWallMs;
    // The steady clock does not count time in which the node is suspended.
    const wasSuspended = Math.abs(wallMs - elapsedMs) > SUSPENDED_AFTER_MS;
    if (wasSuspended) return false;
    return elapsedMs < VALID_FOR_MS || this.#mayOutlast(elapsedMs);
  }

  /**
   * Whether the holder may go on though it cannot renew. Where engines check
   * fences, the next holder's orders shut it out; until there is one, orders
   * are better than none. It stops when its peers leave it: they have found
   * another holder, or cannot be reached.
   */
  #mayOutlast(elapsedMs: number): boolean {
    const { enginesCheckFences, followers } = this.#options;
    if (!enginesCheckFences || elapsedMs > STORE_AWAY_MAX_MS) return false;
    return followers() * 2 >= this.#followersThen;
  }

  #mayTake(): boolean {
    const { isEligible, rank } = this.#options;
    if (this.#releasing || !this.#seen || !isEligible()) return false;
    const { row, atMs } = this.#seen;
    if (row?.holder === this.#options.self) return true;
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
    if (outcome.isErr()) {
      this.#takeFromMs = core.monotonicMs() + TAKE_RETRY_MS;
      return;
    }
    if (outcome.value.outcome === "conflict") {
      return this.#seeConflict(outcome.value.rows);
    }
    const { version } = outcome.value;
    this.#fence = version;
    this.#renewedAtMs = sentAtMs;
    this.#renewedAtWallMs = sentAtWallMs;
    this.#followersThen = this.#options.followers();
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
    const { leaseMs, enginesCheckFences } = this.#options;
    if (enginesCheckFences) return 0;
    // What this node's earlier life has ordered was ordered by this node.
    if (!before.row || before.row.holder === this.#options.self) return 0;
    if (before.row.isFree) return before.atMs + leaseMs;
    return before.atMs + VALID_FOR_MS + leaseMs;
  }

  async #renew(): Promise<boolean> {
    const sentAtMs = core.monotonicMs();
    const sentAtWallMs = Date.now();
    const version = this.#seen!.version;
    const outcome = await this.#write(version, false);
    if (this.#fence === undefined) return true;
    if (outcome.isErr()) {
      if (!this.#isValid()) this.#lose(outcome.error.detail);
      return false;
    }
    if (outcome.value.outcome === "committed") {
      this.#renewedAtMs = sentAtMs;
      this.#renewedAtWallMs = sentAtWallMs;
      this.#followersThen = this.#options.followers();
      this.#see(this.#ownRow(false), outcome.value.version);
      return true;
    }
    this.#seeConflict(outcome.value.rows);
    return false;
  }

  /** A lost reply shows as a conflict with this node's own row. */
  #seeConflict(rows: readonly store.StoredRow[]): void {
    const current = rows.find(({ key }) => key === this.#options.key);
    const decoded = core.decodeValue(current?.value ?? null, LeaseRowCodec);
    const row = decoded.isOk() ? toLeaseRow(decoded.value) : undefined;
    this.#see(row, current?.version ?? 0);
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
