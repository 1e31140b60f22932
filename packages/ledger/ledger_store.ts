/** Stores ledger rows and load slots in the table service. */
import { err, ok, type Result } from "neverthrow";
import { array, Codec, enumeration, number, optional, string } from "purify-ts";
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";
import { reservedBytes } from "./ledger_row.ts";
import type { LedgerRow, VersionedLedgerRow } from "./ledger_types.ts";

const LEDGER_PREFIX = "ledger/";
const SLOTS_KEY = "slots/weights";
const WRITE_ATTEMPTS_MAX = 4;
const WRITE_RETRY_DELAY_MS = 30;

enum EntryStateTag {
  Loading = "loading",
  Resident = "resident",
  Unloading = "unloading",
  Cooling = "cooling",
}

enum OrderKindTag {
  Load = "load",
  Unload = "unload",
}

const LedgerRowCodec = Codec.interface({
  incarnation: string,
  capacityBytes: number,
  kvReserveBytes: number,
  roleOverheadBytes: number,
  roleChange: optional(
    Codec.interface({
      role: string,
      roleOverheadBytes: number,
      transmissionId: string,
    }),
  ),
  entries: array(
    Codec.interface({
      artifactId: string,
      weightBytes: number,
      state: enumeration(EntryStateTag),
      transmissions: array(
        Codec.interface({
          transmissionId: string,
          kind: enumeration(OrderKindTag),
          sender: string,
        }),
      ),
    }),
  ),
});

const SlotsCodec = Codec.interface({
  holders: array(
    Codec.interface({ transmissionId: string, takenAtMs: number }),
  ),
});

/** Result of one compare-and-set of a ledger row. */
export type LedgerWriteResult =
  | { readonly kind: "committed"; readonly version: number }
  | { readonly kind: "conflict" }
  | { readonly kind: "slotsTaken" }
  | { readonly kind: "failed" }
  /** The write may still take effect. */
  | { readonly kind: "unknown" };

/** A ledger row to write, and the load slots that change in the same write. */
export interface LedgerWrite {
  readonly upstreamId: core.UpstreamId;
  /** Store version that the row must still have; 0 if there is no row yet. */
  readonly version: number;
  readonly row: LedgerRow;
  /** Transmission that acquires a load slot. */
  readonly acquireSlot?: core.TransmissionId;
  /** Transmissions whose load slots are released. */
  readonly releaseSlots?: readonly core.TransmissionId[];
}

interface Slots {
  readonly version: number;
  readonly holders: { transmissionId: string; takenAtMs: number }[];
}

/** Limit on concurrent loads from the weight store, over all instances. */
export interface LoadSlotOptions {
  readonly slotsMax: number;
  /** Time after which the slot of an unresolved load is free for others. */
  readonly slotExpiryMs: number;
}

/** Reads ledger rows, and writes them together with load slots. */
export class LedgerStore {
  readonly #service: store.TableService;
  readonly #slotOptions: LoadSlotOptions;
  readonly #logger: core.Logger;

  constructor(
    service: store.TableService,
    slotOptions: LoadSlotOptions,
    logger: core.Logger,
  ) {
    this.#service = service;
    this.#slotOptions = slotOptions;
    this.#logger = logger;
  }

  /** Reads the row of an engine; undefined if there is none. */
  async read(
    upstreamId: core.UpstreamId,
  ): Promise<Result<VersionedLedgerRow | undefined, store.StoreFailure>> {
    const rows = await this.#service.read({
      keys: [LEDGER_PREFIX + upstreamId],
    });
    return rows.andThen((found) => decodeRow(found[0]));
  }

  /**
   * Writes a row, and its change of load slots, by compare-and-set.
   *
   * @throws InvariantError if a write that acquires a slot reserves more than
   * the engine's capacity.
   */
  async write(write: LedgerWrite): Promise<LedgerWriteResult> {
    const { row } = write;
    const sumBytes = reservedBytes(row);
    if (sumBytes > row.capacityBytes && write.acquireSlot) {
      throw new core.InvariantError(1, `${sumBytes} of ${row.capacityBytes}`);
    }
    const changesSlots = write.acquireSlot !== undefined ||
      (write.releaseSlots?.length ?? 0) > 0;
    let slots: Slots | undefined;
    if (changesSlots) {
      slots = await this.#readSlots();
      if (slots === undefined) return { kind: "failed" };
      slots = updateSlots(slots, write, this.#slotOptions.slotExpiryMs);
      if (
        write.acquireSlot && slots.holders.length > this.#slotOptions.slotsMax
      ) {
        return { kind: "slotsTaken" };
      }
    }
    return this.#commit(write, slots);
  }

  async #commit(
    write: LedgerWrite,
    slots: Slots | undefined,
  ): Promise<LedgerWriteResult> {
    const key = LEDGER_PREFIX + write.upstreamId;
    const checks = [{ key, version: write.version }];
    const writes: store.RowWrite[] = [{
      key,
      value: core.toJsonValue(write.row),
    }];
    if (slots) {
      checks.push({ key: SLOTS_KEY, version: slots.version });
      writes.push({ key: SLOTS_KEY, value: { holders: slots.holders } });
    }
    let hasLostReply = false;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS_MAX; attempt++) {
      const outcome = await this.#service.transact({ checks, writes });
      if (outcome.isOk()) {
        const { value } = outcome;
        return value.outcome === "committed"
          ? { kind: "committed", version: value.version }
          : resolveConflict(value.rows, key, write);
      }
      hasLostReply ||= outcome.error.effect === "unknown";
      if (!hasLostReply) return { kind: "failed" };
      await core.sleep(core.jitterMs(WRITE_RETRY_DELAY_MS * (attempt + 1)));
    }
    return { kind: "unknown" };
  }

  async #readSlots(): Promise<Slots | undefined> {
    const rows = await this.#service.read({ keys: [SLOTS_KEY] });
    if (rows.isErr()) return undefined;
    const row = rows.value[0];
    if (row === undefined) return { version: 0, holders: [] };
    const decoded = core.decodeValue(row.value, SlotsCodec);
    if (decoded.isErr()) {
      // Free slots would let all instances load at once.
      this.#logger.error("load_slots_unreadable", {
        key: SLOTS_KEY,
        version: row.version,
        reason: decoded.error,
      });
      return undefined;
    }
    return { version: row.version, holders: decoded.value.holders };
  }
}

/**
 * Resolves a conflict. If the stored row equals the row to write, an earlier
 * attempt whose reply was lost has taken effect.
 */
function resolveConflict(
  rows: readonly store.StoredRow[],
  key: string,
  write: LedgerWrite,
): LedgerWriteResult {
  const found = rows.find((row) => row.key === key);
  const isOwn = found !== undefined &&
    JSON.stringify(found.value) === JSON.stringify(write.row);
  if (isOwn) return { kind: "committed", version: found.version };
  return { kind: "conflict" };
}

function updateSlots(
  slots: Slots,
  write: LedgerWrite,
  slotExpiryMs: number,
): Slots {
  const nowMs = Date.now();
  const releasedIds = new Set<string>(write.releaseSlots ?? []);
  const holders = slots.holders.filter((holder) =>
    !releasedIds.has(holder.transmissionId) &&
    nowMs - holder.takenAtMs < slotExpiryMs
  );
  if (write.acquireSlot) {
    holders.push({ transmissionId: write.acquireSlot, takenAtMs: nowMs });
  }
  return { version: slots.version, holders };
}

function decodeRow(
  row: store.StoredRow | undefined,
): Result<VersionedLedgerRow | undefined, store.StoreFailure> {
  if (row === undefined) return ok(undefined);
  return core.decodeValue(row.value, LedgerRowCodec).match<
    Result<VersionedLedgerRow | undefined, store.StoreFailure>
  >(
    (decoded) =>
      ok({ version: row.version, row: decoded as unknown as LedgerRow }),
    (detail) => err({ effect: "none", reached: true, detail }),
  );
}
