/** Limits of requests in progress, shared out over instances. */
import { Codec, number, record, string } from "purify-ts";
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";

const LIMIT_PREFIX = "limits/";
const ACQUIRE_ATTEMPTS_MAX = 4;
/** A first wait may be for a give-back, so a second one asks for more. */
const ENTER_ROUNDS_MAX = 2;
/** A share not used for so long is given back, in milliseconds. */
const SHARE_IDLE_MS = 2_000;

const ShareCodec = Codec.interface({ incarnation: string, count: number });
const LimitRowCodec = Codec.interface({ shares: record(string, ShareCodec) });

interface Share {
  readonly incarnation: string;
  readonly count: number;
}

type Shares = Readonly<Record<string, Share>>;

/** Who takes shares, and how to tell that a holder no longer exists. */
export interface LimitSharesOptions {
  readonly instanceId: core.InstanceId;
  readonly incarnation: core.Incarnation;
  readonly service: store.TableService;
  /** Whether a holder is known to be gone for good. */
  readonly isGone: (instanceId: core.InstanceId) => boolean;
}

interface HeldShare {
  count: number;
  inUse: number;
  /** The most in use since the last give-back. */
  peakInUse: number;
  changing: Promise<void> | undefined;
}

/**
 * Shares of limits. The shares in the store never sum above the limit, and
 * an instance never uses more than its share; a share is taken back only
 * from a holder that is gone, never by time.
 */
export class LimitShares {
  readonly #options: LimitSharesOptions;
  readonly #held = new Map<core.RowName, HeldShare>();

  constructor(options: LimitSharesOptions) {
    this.#options = options;
  }

  /**
   * Enters a request under a row's limit.
   *
   * @returns the way to leave, or undefined when the limit is reached.
   * @example
   * ```ts
   * const leave = await shares.enter(row.name, 8);
   * ```
   */
  async enter(
    rowName: core.RowName,
    limit: number,
  ): Promise<core.Cleanup | undefined> {
    const held = this.#heldOf(rowName);
    const isFull = () => held.inUse >= Math.min(held.count, limit);
    for (let round = 0; isFull() && round < ENTER_ROUNDS_MAX; round++) {
      await this.#alone(held, () => this.#acquire(rowName, held, limit));
    }
    if (held.inUse >= Math.min(held.count, limit)) return undefined;
    held.inUse++;
    held.peakInUse = Math.max(held.peakInUse, held.inUse);
    return this.#leaver(held);
  }

  /** Gives back what was not used lately; all of it when stopping. */
  async releaseUnused(): Promise<void> {
    for (const [rowName, held] of this.#held) {
      const excess = held.count - held.peakInUse;
      held.peakInUse = held.inUse;
      if (excess > 0) {
        await this.#alone(held, () => this.#change(rowName, held, -excess));
      }
      if (held.count === 0 && held.inUse === 0) this.#held.delete(rowName);
    }
  }

  /** Pause between give-backs, in milliseconds. */
  static readonly releaseIntervalMs = SHARE_IDLE_MS;

  /** Runs a change of one share, or waits for the one that is running. */
  #alone(held: HeldShare, change: () => Promise<void>): Promise<void> {
    held.changing ??= change().finally(() => held.changing = undefined);
    return held.changing;
  }

  #leaver(held: HeldShare): core.Cleanup {
    let left = false;
    return () => {
      core.invariant(!left, 4, "leave called twice");
      left = true;
      held.inUse--;
    };
  }

  #heldOf(rowName: core.RowName): HeldShare {
    const known = this.#held.get(rowName);
    if (known) return known;
    const held = { count: 0, inUse: 0, peakInUse: 0, changing: undefined };
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
      const shares = this.#living(decodeShares(rows.value[0]));
      const free = limit - sumOf(shares);
      if (free <= 0) return;
      const wanted = Math.max(1, Math.floor(free / 2));
      const own = held.count + wanted;
      const done = await this.#write(rowName, rows.value[0], shares, own);
      if (done === "failed") return;
      if (done === "conflict") continue;
      held.count = own;
      return;
    }
  }

  /** Makes this instance's share smaller, first here and then in the store. */
  async #change(
    rowName: core.RowName,
    held: HeldShare,
    by: number,
  ): Promise<void> {
    const rows = await this.#options.service.read({
      keys: [LIMIT_PREFIX + rowName],
    });
    if (rows.isErr()) return;
    const before = held.count;
    held.count += by;
    if (held.inUse > held.count) {
      held.count = before;
      return;
    }
    const shares = this.#living(decodeShares(rows.value[0]));
    const done = await this.#write(
      rowName,
      rows.value[0],
      shares,
      held.count,
    );
    // On an unknown outcome the smaller share is kept here: never too many.
    if (done === "conflict") held.count = before;
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

  #living(shares: Shares): Shares {
    const living = Object.entries(shares).filter(([id]) =>
      !this.#options.isGone(core.brandId(id))
    );
    return Object.fromEntries(living);
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
