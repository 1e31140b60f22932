/** Divides concurrency limits among instances by shares in the store. */
import { Codec, number, record, string } from "purify-ts";
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";

const LIMIT_PREFIX = "limits/";
const ACQUIRE_ATTEMPTS_MAX = 4;
/**
 * Rounds in which one request tries to enlarge the share. Two, because the first
 * may only wait for a release that is already running.
 */
const ADMIT_ROUNDS_MAX = 2;
/** Time in which a part of a share must be used, or is released, in ms. */
const SHARE_IDLE_MS = 2_000;

const ShareCodec = Codec.interface({ incarnation: string, count: number });
const LimitRowCodec = Codec.interface({ shares: record(string, ShareCodec) });

interface Share {
  readonly incarnation: string;
  readonly count: number;
}

type Shares = Readonly<Record<string, Share>>;

/** The instance that holds shares, and its dependencies. */
export interface LimitSharesOptions {
  readonly instanceId: core.InstanceId;
  readonly incarnation: core.Incarnation;
  readonly service: store.TableService;
  /** Whether an instance was removed for good; its share is reclaimed. */
  readonly isRemoved: (instanceId: core.InstanceId) => boolean;
}

interface HeldShare {
  count: number;
  /** Largest count that the store may show; above `count` after lost replies. */
  storedCountMax: number;
  inUse: number;
  /** Maximum in use since the last release. */
  peakInUse: number;
  pendingChange: Promise<void> | undefined;
}

/**
 * Enforces concurrency limits without a store access per request. The shares in
 * the store never sum to more than the limit, and an instance never uses more
 * than its share. A share is reclaimed only from an instance that was removed,
 * never after a time-out.
 */
export class LimitShares {
  readonly #options: LimitSharesOptions;
  readonly #held = new Map<core.RowName, HeldShare>();

  constructor(options: LimitSharesOptions) {
    this.#options = options;
  }

  /**
   * Admits one request under a row's limit, enlarging the share if needed.
   *
   * @param deadline ends the wait for a larger share.
   * @returns a function that ends the request, to be called once, or undefined
   * when the limit is reached, or the deadline passed.
   * @example
   * ```ts
   * const release = await shares.admit(row.name, 8, request.deadline);
   * ```
   */
  async admit(
    rowName: core.RowName,
    limit: number,
    deadline: core.Deadline,
  ): Promise<core.Cleanup | undefined> {
    const held = this.#heldOf(rowName);
    const isFull = () => held.inUse >= Math.min(held.count, limit);
    for (let round = 0; isFull() && round < ADMIT_ROUNDS_MAX; round++) {
      await deadline.waitFor(
        this.#runExclusive(held, () => this.#acquire(rowName, held, limit)),
      );
    }
    if (isFull() || deadline.isOver()) return undefined;
    held.inUse++;
    held.peakInUse = Math.max(held.peakInUse, held.inUse);
    return this.#makeRelease(held);
  }

  /**
   * Releases the part of each share that has not been used since the last call.
   * Two calls with nothing in use release everything, as on shutdown.
   */
  async releaseUnused(): Promise<void> {
    for (const [rowName, held] of this.#held) {
      const excess = held.count - held.peakInUse;
      held.peakInUse = held.inUse;
      if (excess > 0 || held.storedCountMax > held.count) {
        await this.#runExclusive(
          held,
          () => this.#shrink(rowName, held, -excess),
        );
      }
      const isUnused = held.storedCountMax === 0 && held.inUse === 0;
      if (isUnused && !held.pendingChange) this.#held.delete(rowName);
    }
  }

  /** Interval between calls of `releaseUnused`, in milliseconds. */
  static readonly releaseIntervalMs = SHARE_IDLE_MS;

  /** Runs a change of one share, or joins the change that is running. */
  #runExclusive(held: HeldShare, change: () => Promise<void>): Promise<void> {
    held.pendingChange ??= change().finally(() =>
      held.pendingChange = undefined
    );
    return held.pendingChange;
  }

  #makeRelease(held: HeldShare): core.Cleanup {
    let isReleased = false;
    return () => {
      core.invariant(!isReleased, 4, "release called twice");
      isReleased = true;
      held.inUse--;
    };
  }

  #heldOf(rowName: core.RowName): HeldShare {
    const known = this.#held.get(rowName);
    if (known) return known;
    const held = {
      count: 0,
      storedCountMax: 0,
      inUse: 0,
      peakInUse: 0,
      pendingChange: undefined,
    };
    this.#held.set(rowName, held);
    return held;
  }

  async #acquire(
    rowName: core.RowName,
    held: HeldShare,
    limit: number,
  ): Promise<void> {
    for (let attempt = 0; attempt < ACQUIRE_ATTEMPTS_MAX; attempt++) {
      const rows = await this.#options.service.read({
        keys: [LIMIT_PREFIX + rowName],
      });
      if (rows.isErr()) return;
      const shares = this.#withoutRemoved(decodeShares(rows.value[0]));
      const free = limit - held.count - sumOf(this.#withoutOwn(shares));
      if (free <= 0) return;
      const added = Math.max(1, Math.floor(free / 2));
      const ownCount = held.count + added;
      held.storedCountMax = Math.max(held.storedCountMax, ownCount);
      const outcome = await this.#write(
        rowName,
        rows.value[0],
        shares,
        ownCount,
      );
      if (outcome === "failed") return;
      if (outcome === "conflict") continue;
      held.count = ownCount;
      held.storedCountMax = ownCount;
      return;
    }
  }

  /**
   * Shrinks this instance's share, first locally and then in the store, so that
   * it never uses more than the store shows.
   *
   * @param delta change of the count; not positive.
   */
  async #shrink(
    rowName: core.RowName,
    held: HeldShare,
    delta: number,
  ): Promise<void> {
    const rows = await this.#options.service.read({
      keys: [LIMIT_PREFIX + rowName],
    });
    if (rows.isErr()) return;
    const previousCount = held.count;
    held.count += delta;
    if (held.inUse > held.count) {
      held.count = previousCount;
      return;
    }
    const shares = this.#withoutRemoved(decodeShares(rows.value[0]));
    const outcome = await this.#write(
      rowName,
      rows.value[0],
      shares,
      held.count,
    );
    // On an unknown outcome the smaller share stays: it can only be too small.
    if (outcome === "conflict") held.count = previousCount;
    if (outcome === "committed") held.storedCountMax = held.count;
  }

  async #write(
    rowName: core.RowName,
    stored: store.StoredRow | undefined,
    shares: Shares,
    ownCount: number,
  ): Promise<"committed" | "conflict" | "failed"> {
    const { instanceId, incarnation, service } = this.#options;
    const { [instanceId]: _own, ...others } = shares;
    const next: Shares = ownCount > 0
      ? { ...others, [instanceId]: { incarnation, count: ownCount } }
      : others;
    const key = LIMIT_PREFIX + rowName;
    const outcome = await service.transact({
      checks: [{ key, version: stored?.version ?? 0 }],
      writes: [{ key, value: { shares: core.toJsonValue(next) } }],
    });
    if (outcome.isErr()) return "failed";
    return outcome.value.outcome;
  }

  /** Leaves out the share of this incarnation, whose count is known here. */
  #withoutOwn(shares: Shares): Shares {
    const { instanceId, incarnation } = this.#options;
    const { [instanceId]: own, ...others } = shares;
    return own?.incarnation === incarnation ? others : shares;
  }

  #withoutRemoved(shares: Shares): Shares {
    const remaining = Object.entries(shares).filter(([id]) =>
      !this.#options.isRemoved(core.brandId(id))
    );
    return Object.fromEntries(remaining);
  }
}

function decodeShares(row: store.StoredRow | undefined): Shares {
  if (row === undefined) return {};
  return core.decodeValue(row.value, LimitRowCodec)
    .map(({ shares }) => shares)
    .unwrapOr({});
}

function sumOf(shares: Shares): number {
  return Object.values(shares).reduce((sum, { count }) => sum + count, 0);
}
