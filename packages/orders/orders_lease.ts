/**
 * The order lease, the exclusive right to send orders to engines: one row in
 * the store that its holder renews. The holder stops before the lease expires.
 * Another node starts only after the expiry and, where engines do not reject a
 * lower fencing token, after the minimum time between orders of two holders.
 */
import * as purify from "purify-ts";
import * as core from "../core/mod.ts";
import * as store from "../store/mod.ts";

/** Interval between renewals. */
const RENEW_INTERVAL_MS = 500;
/** Time for which a renewal is valid, from when it was sent. */
const VALID_FOR_MS = 1_500;
/**
 * Longest time between two rounds of this task, which is less than a renewal
 * takes to time out; after more the process was held up.
 */
const ROUND_MAX_MS = 1_500;
/** Difference of monotonic and wall time that shows a suspended process. */
const CLOCK_DIFFERENCE_MAX_MS = 250;
/** Time for which a holder may continue without the store; outages end sooner. */
const STORE_DOWN_MAX_MS = 30_000;
/** Pause of a candidate after a failed write; the holder retries more often. */
const ACQUIRE_RETRY_MS = 400;
/** Delay between candidates, so that they do not write simultaneously. */
const CANDIDATE_STAGGER_MS = 150;
/** Pause before a failed renewal is retried. */
const RENEW_RETRY_MS = 50;
/**
 * Interval at which the first candidate checks whether the holder has renewed;
 * it grows with the rank up to a multiple, as the later ones need not hurry.
 */
const POLL_INTERVAL_MS = 100;
const POLL_INTERVAL_FACTOR_MAX = 5;
/**
 * Interval between reads of the row while the holder announces no renewals; it
 * grows with the rank, as a large fleet would make many reads.
 */
const READ_INTERVAL_MS = 300;
/** Time for which an announced renewal makes reading the row unnecessary. */
const RENEWAL_FRESH_MS = 400;
/** Time for which a node that yielded the lease leaves it to the others. */
const YIELD_WAIT_MS = 3_000;
/** Minimum time between two attempts to yield it. */
const YIELD_INTERVAL_MS = 30_000;

/** Content of the row in the store. */
export interface LeaseRow {
  readonly holder: core.InstanceId;
  /** Identifies one run of the node between restarts. */
  readonly incarnation: string;
  /** Set when the holder has released the lease. */
  readonly isFree: boolean;
  /**
   * Generation of the store in which the row was written. In a later one, the
   * row is from an old copy, and another node may have held the lease since.
   */
  readonly generation: number;
}

const LeaseRowCodec = purify.Codec.interface({
  holder: purify.string,
  incarnation: purify.string,
  isFree: purify.boolean,
  generation: purify.optional(purify.number),
});

function toLeaseRow(row: purify.GetType<typeof LeaseRowCodec>): LeaseRow {
  return {
    ...row,
    holder: core.brandId<core.InstanceId>(row.holder),
    generation: row.generation ?? 0,
  };
}

/** Options of a lease. */
export interface OrderLeaseOptions {
  readonly key: string;
  readonly self: core.InstanceId;
  readonly incarnation: string;
  /** Minimum time between orders of two holders. */
  readonly leaseMs: number;
  /**
   * Whether engines reject orders with a lower fencing token. If so, a late
   * order of the previous holder has no effect, and the next one need not wait.
   */
  readonly enginesCheckFences: boolean;
  /** Whether this node may hold the lease now. */
  readonly isEligible: () => boolean;
  /** Position among the live nodes; 0 tries to acquire the lease first. */
  readonly rank: () => number;
  /** Whether this node should leave the lease to another one; never if absent. */
  readonly yields?: () => boolean;
  /** Number of other nodes that currently regard this one as the holder. */
  readonly followers: () => number;
}

/** A renewal of the lease, as announced by its holder. */
export interface LeaseRenewal {
  readonly holder: core.InstanceId;
  readonly generation: number;
  readonly version: number;
  /** Time since the renewal was sent. */
  readonly ageMs: number;
}

/** The row as last read, written or announced. */
interface ObservedRow {
  readonly row: LeaseRow | undefined;
  /** Generation of the store to which the version belongs. */
  readonly generation: number;
  readonly version: number;
  /** When it was renewed, or first seen here, on the monotonic clock. */
  readonly atMs: number;
}

/** Whether a row was written in the given generation of the store. */
function isOfGeneration(
  row: LeaseRow | undefined,
  generation: number,
): row is LeaseRow {
  return row !== undefined && row.generation === generation;
}

function toOrdinal({ generation, version }: ObservedRow): number {
  return store.toOrdinal(generation, version);
}

/** Acquires, renews and releases the order lease. */
export class OrderLease extends core.Task {
  override readonly name = "order-lease";
  readonly #store: store.TableService;
  readonly #options: OrderLeaseOptions;
  readonly #logger: core.Logger;
  #observed: ObservedRow | undefined;
  #fencingToken: number | undefined;
  /** The fencing token has to be above this one. */
  #tokenFloor = 0;
  #ordersAllowedFromMs = 0;
  #renewedAtMs = -Infinity;
  #renewedAtWallMs = 0;
  #isReleasing = false;
  #renewalNotedAtMs = -Infinity;
  #readAtMs = -Infinity;
  #acquireFromMs = -Infinity;
  #followersAtRenewal = 0;
  #roundAtMs = -Infinity;
  #yieldedAtMs = -Infinity;

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

  /** Called when this node has acquired the lease. */
  onAcquired: () => void = () => {};

  /** The lease holder according to the row last observed. */
  get holder(): core.InstanceId | undefined {
    const row = this.#observed?.row;
    return row && !row.isFree ? row.holder : undefined;
  }

  /** Whether this node holds the lease; it may still have to wait to order. */
  get isHeld(): boolean {
    return this.#fencingToken !== undefined && this.#isValid();
  }

  /** The fencing token of orders, or undefined if none may be sent. */
  get fencingToken(): number | undefined {
    return this.isHeld ? this.#fencingToken : undefined;
  }

  /** Takes a fencing token above this one with the next renewal. */
  raiseTokenAbove(token: number, upstream: core.UpstreamId): void {
    if (token <= this.#tokenFloor) return;
    this.#tokenFloor = token;
    this.#logger.info("orders_fence_low", { upstream, late: token });
  }

  /**
   * Earliest time, on the monotonic clock, for orders to an engine for which
   * the time of the previous holder's last order is not known.
   */
  get ordersAllowedFromMs(): number {
    return this.#ordersAllowedFromMs;
  }

  /** The last renewal that this node knows of, its own or an announced one. */
  get lastRenewal(): LeaseRenewal | undefined {
    const { holder } = this;
    if (!this.#observed || holder === undefined) return undefined;
    const { generation, version, atMs } = this.#observed;
    if (this.#fencingToken !== undefined && !this.isHeld) return undefined;
    const renewedAtMs = this.isHeld ? this.#renewedAtMs : atMs;
    return {
      holder,
      generation,
      version,
      ageMs: core.monotonicMs() - renewedAtMs,
    };
  }

  /** Records a renewal that the holder announced. */
  noteRenewal({ holder, generation, version, ageMs }: LeaseRenewal): void {
    if (this.#fencingToken !== undefined) return;
    if (generation < this.#store.generation) return;
    const ordinal = store.toOrdinal(generation, version);
    if (this.#observed && ordinal < toOrdinal(this.#observed)) return;
    const row = { holder, incarnation: "", isFree: false, generation };
    const atMs = core.monotonicMs() - ageMs;
    this.#observed = { row, generation, version, atMs };
    // An old renewal that nodes pass on says nothing about the next one.
    if (ageMs < RENEW_INTERVAL_MS + RENEWAL_FRESH_MS) {
      this.#renewalNotedAtMs = core.monotonicMs();
    }
  }

  /**
   * Releases the lease for a planned stop: at once, or, where engines check
   * fencing tokens, once the store has recorded the release. Until then no
   * other node can take over, so this one continues to send orders.
   */
  async release(): Promise<void> {
    this.#isReleasing = true;
    if (this.#fencingToken === undefined || !this.#observed) return;
    if (!this.#options.enginesCheckFences) this.#fencingToken = undefined;
    await this.#writeRelease();
  }

  async #writeRelease(): Promise<boolean> {
    const outcome = await this.#write(this.#observed!.version, true);
    this.#logger.info("orders_released", {
      outcome: outcome.isOk() ? outcome.value.outcome : outcome.error.detail,
    });
    if (outcome.isErr()) {
      if (this.#fencingToken !== undefined && !this.#isValid()) {
        this.#lose(outcome.error.detail);
      }
      return false;
    }
    this.#fencingToken = undefined;
    return true;
  }

  #mustYield(): boolean {
    const sinceYieldMs = core.monotonicMs() - this.#yieldedAtMs;
    if (sinceYieldMs < YIELD_INTERVAL_MS) return false;
    return this.#options.yields?.() ?? false;
  }

  /** Frees the lease for better placed nodes, which acquire it by their rank. */
  async #yield(): Promise<boolean> {
    this.#yieldedAtMs = core.monotonicMs();
    if (!this.#options.enginesCheckFences) this.#fencingToken = undefined;
    const outcome = await this.#write(this.#observed!.version, true);
    const isFree = outcome.isOk() && outcome.value.outcome === "committed";
    this.#logger.info("orders_yielded", { isFree });
    if (outcome.isErr()) {
      const hasExpired = this.#fencingToken !== undefined && !this.#isValid();
      if (hasExpired) this.#lose(outcome.error.detail);
      return false;
    }
    if (outcome.value.outcome === "conflict") {
      this.#observeConflict(outcome.value.rows);
      return false;
    }
    this.#fencingToken = undefined;
    this.#observe(this.#ownRow(true), outcome.value.version);
    return true;
  }

  /** Gives the lease up because an engine has seen a higher fencing token. */
  lose(reason: string): void {
    if (this.#fencingToken !== undefined) this.#lose(reason);
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#fencingToken !== undefined && !this.#isValid()) {
        this.#lose("the lease expired, or the process was held up");
      }
      this.#roundAtMs = core.monotonicMs();
      const isHolder = this.#fencingToken !== undefined;
      const hasSucceeded = !isHolder
        ? await this.#poll()
        : this.#isReleasing
        ? await this.#writeRelease()
        : this.#mustYield()
        ? await this.#yield()
        : await this.#renew();
      const pauseMs = this.#fencingToken === undefined
        ? this.#pollIntervalMs()
        : hasSucceeded || this.#isReleasing
        ? RENEW_INTERVAL_MS
        : RENEW_RETRY_MS;
      await core.sleep(pauseMs, signal);
    }
  }

  #pollIntervalMs(): number {
    const factor = Math.min(1 + this.#options.rank(), POLL_INTERVAL_FACTOR_MAX);
    return POLL_INTERVAL_MS * factor;
  }

  /** Reads the row if the holder announces nothing; acquires it if expired. */
  async #poll(): Promise<boolean> {
    const { isEligible, key, rank } = this.#options;
    if (this.#isReleasing || !isEligible()) return true;
    this.#dropOutdatedRow();
    const nowMs = core.monotonicMs();
    const isFresh = this.#observed &&
      nowMs - this.#observed.atMs < VALID_FOR_MS;
    if (isFresh && nowMs - this.#renewalNotedAtMs < RENEWAL_FRESH_MS) {
      return true;
    }
    if (nowMs < this.#acquireFromMs) return true;
    if (this.#mayAcquire()) await this.#acquire();
    else if (nowMs - this.#readAtMs >= READ_INTERVAL_MS * (1 + rank())) {
      this.#readAtMs = nowMs;
      const rows = await this.#store.read({ keys: [key] });
      if (rows.isOk()) this.#observeRows(rows.value);
    }
    return true;
  }

  /** Forgets a row of an earlier generation of the store. */
  #dropOutdatedRow(): void {
    const { generation } = this.#store;
    if (!this.#observed || this.#observed.generation >= generation) return;
    this.#logger.warn("lease_row_outdated", {
      before: this.#observed.generation,
      now: generation,
      holder: this.holder,
    });
    this.#observed = undefined;
    this.#readAtMs = -Infinity;
  }

  /** Records a row that was read; a known version keeps its first time. */
  #observeRows(rows: readonly store.StoredRow[]): void {
    const current = rows.find(({ key }) => key === this.#options.key);
    const version = current?.version ?? 0;
    const ordinal = store.toOrdinal(this.#store.generation, version);
    if (this.#observed && ordinal <= toOrdinal(this.#observed)) return;
    const row = core.decodeValue(current?.value ?? null, LeaseRowCodec);
    if (current && row.isErr()) {
      this.#logger.error("lease_unreadable", { version, reason: row.error });
    }
    this.#observe(row.isOk() ? toLeaseRow(row.value) : undefined, version);
  }

  #observe(row: LeaseRow | undefined, version: number): void {
    const { generation } = this.#store;
    const atMs = core.monotonicMs();
    this.#observed = { row, generation, version, atMs };
  }

  /** Whether the store was restored since this node acquired the lease. */
  get #wasRestored(): boolean {
    return this.#observed?.generation !== this.#store.generation;
  }

  #isValid(): boolean {
    // The restored copy may lack the lease, so that another node takes it.
    if (this.#wasRestored) return false;
    const elapsedMs = core.monotonicMs() - this.#renewedAtMs;
    const wallMs = Date.now() - this.#renewedAtWallMs;
    // The monotonic clock does not count time in which the node is suspended.
    const wasSuspended = Math.abs(wallMs - elapsedMs) > CLOCK_DIFFERENCE_MAX_MS;
    if (wasSuspended) return false;
    // What other nodes sent in the meantime arrives at once after a hold-up, and
    // must not look as if they had followed all the while.
    const sinceRoundMs = core.monotonicMs() - this.#roundAtMs;
    if (elapsedMs >= VALID_FOR_MS && sinceRoundMs >= ROUND_MAX_MS) return false;
    return elapsedMs < VALID_FOR_MS || this.#mayContinueWithoutStore(elapsedMs);
  }

  /**
   * Whether the holder may continue although it cannot renew. It may where
   * engines check fencing tokens: after an order of the next holder they reject
   * its own, and until then its orders are better than none. It stops when it
   * has lost more than half of its followers: these have found another holder,
   * or cannot be reached.
   */
  #mayContinueWithoutStore(elapsedMs: number): boolean {
    const { enginesCheckFences, followers } = this.#options;
    if (!enginesCheckFences || elapsedMs > STORE_DOWN_MAX_MS) return false;
    return followers() * 2 >= this.#followersAtRenewal;
  }

  #mayAcquire(): boolean {
    const { isEligible, rank } = this.#options;
    if (this.#isReleasing || !this.#observed || !isEligible()) return false;
    const { row, atMs } = this.#observed;
    const waitMs = rank() * CANDIDATE_STAGGER_MS;
    const ageMs = core.monotonicMs() - atMs;
    if (!row && this.#observed.generation === 0) return ageMs >= waitMs;
    // Without a row of this generation, another node may hold the lease still.
    if (!isOfGeneration(row, this.#observed.generation)) {
      return ageMs >= VALID_FOR_MS + waitMs;
    }
    if (row.holder === this.#options.self) {
      const sinceYieldMs = core.monotonicMs() - this.#yieldedAtMs;
      return !row.isFree || sinceYieldMs >= YIELD_WAIT_MS;
    }
    return ageMs >= (row.isFree ? waitMs : VALID_FOR_MS + waitMs);
  }

  async #acquire(): Promise<void> {
    const previous = this.#observed!;
    const sentAtMs = core.monotonicMs();
    const sentAtWallMs = Date.now();
    const outcome = await this.#write(previous.version, false);
    if (outcome.isErr()) {
      this.#acquireFromMs = core.monotonicMs() + ACQUIRE_RETRY_MS;
      return;
    }
    if (outcome.value.outcome === "conflict") {
      return this.#observeConflict(outcome.value.rows);
    }
    const { version } = outcome.value;
    this.#fencingToken = store.toOrdinal(this.#store.generation, version);
    this.#renewedAtMs = sentAtMs;
    this.#renewedAtWallMs = sentAtWallMs;
    this.#followersAtRenewal = this.#options.followers();
    this.#observe(this.#ownRow(false), version);
    this.#ordersAllowedFromMs = this.#earliestOrderAtMs(previous);
    this.#logger.info("orders_taken", {
      fence: version,
      before: previous.row?.holder,
      beforeAgeMs: Math.round(sentAtMs - previous.atMs),
      waitMs: Math.max(0, Math.round(this.#ordersAllowedFromMs - sentAtMs)),
    });
    this.onAcquired();
  }

  /** Time from which all orders of the previous holder are `leaseMs` old. */
  #earliestOrderAtMs(previous: ObservedRow): number {
    const { leaseMs, enginesCheckFences } = this.#options;
    if (enginesCheckFences) return 0;
    const { row, generation, atMs } = previous;
    // The first row of a store that was never restored has no predecessor.
    if (!row && generation === 0) return 0;
    if (!isOfGeneration(row, generation)) return atMs + VALID_FOR_MS + leaseMs;
    // Orders of this node before a restart count as its own.
    if (row.holder === this.#options.self) return 0;
    return atMs + (row.isFree ? 0 : VALID_FOR_MS) + leaseMs;
  }

  async #renew(): Promise<boolean> {
    const sentAtMs = core.monotonicMs();
    const sentAtWallMs = Date.now();
    if (this.#wasRestored) return this.#loseToRestore();
    const version = this.#observed!.version;
    const outcome = await this.#write(version, false);
    if (this.#fencingToken === undefined) return true;
    if (this.#wasRestored) return this.#loseToRestore();
    if (outcome.isErr()) {
      if (!this.#isValid()) this.#lose(outcome.error.detail);
      return false;
    }
    if (outcome.value.outcome === "committed") {
      this.#renewedAtMs = sentAtMs;
      this.#renewedAtWallMs = sentAtWallMs;
      this.#followersAtRenewal = this.#options.followers();
      this.#observe(this.#ownRow(false), outcome.value.version);
      this.#raiseToken();
      return true;
    }
    this.#observeConflict(outcome.value.rows);
    return false;
  }

  /** Takes the version of the last renewal as the token if it is too low. */
  #raiseToken(): void {
    const token = this.#fencingToken;
    if (token === undefined || token > this.#tokenFloor) return;
    this.#fencingToken = toOrdinal(this.#observed!);
    this.#logger.info("orders_fence_raised", { fence: this.#fencingToken });
  }

  /** Records a conflicting row; after a lost reply it is this node's own. */
  #observeConflict(rows: readonly store.StoredRow[]): void {
    const current = rows.find(({ key }) => key === this.#options.key);
    const decoded = core.decodeValue(current?.value ?? null, LeaseRowCodec);
    const row = decoded.isOk() ? toLeaseRow(decoded.value) : undefined;
    this.#observe(row, current?.version ?? 0);
    const isOwn = row?.incarnation === this.#options.incarnation;
    if (!isOwn && this.#fencingToken !== undefined) this.#lose("taken over");
  }

  #loseToRestore(): false {
    this.#lose("the store was restored from an older copy");
    this.#dropOutdatedRow();
    return false;
  }

  #lose(reason: string): void {
    this.#fencingToken = undefined;
    this.#logger.warn("orders_lost", { reason, holder: this.holder });
  }

  #ownRow(isFree: boolean): LeaseRow {
    const { self, incarnation } = this.#options;
    const { generation } = this.#store;
    return { holder: self, incarnation, isFree, generation };
  }

  #write(version: number, isFree: boolean) {
    const { key } = this.#options;
    return this.#store.transact({
      checks: [{ key, version }],
      writes: [{ key, value: core.toJsonValue(this.#ownRow(isFree)) }],
    });
  }
}
