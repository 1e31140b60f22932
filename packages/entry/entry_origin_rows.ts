/**
 * Rows of the store that outlive all nodes: the software versions in service,
 * and the origins of the streams in progress.
 */
import * as purify from "purify-ts";
import * as core from "../core/mod.ts";
import * as mirror from "../mirror/mod.ts";
import type * as origins from "../origins/mod.ts";
import type * as store from "../store/mod.ts";
import { NODE_TABLE } from "./entry_members.ts";
import { SharedRead } from "./entry_shared_read.ts";
import type { EntryState } from "./entry_state.ts";

/** Prefix of the rows of software versions in the node table. */
const VERSION_PREFIX = "software/";
/** Table of origins; no node follows it, as few streams are taken up. */
const ORIGIN_TABLE = "carawaywind-origins";
/** Longest key that the store takes. */
const KEY_LENGTH_MAX = 200;
/** Interval at which rows that are due are written. */
const WRITE_INTERVAL_MS = 100;
/** Pause after a failed call. */
const RETRY_MS = 500;
/** Origins in one row, and the time for which it is written again. */
const ROW_ORIGINS_MAX = 1_000;
const ROW_OPEN_MS = 1_000;
/** Rows deleted in one transaction. */
const DELETIONS_MAX = 50;
/** Times after which rows are deleted. */
export interface OriginRowTimes {
  /** Interval at which rows that are no longer needed are deleted. */
  readonly deletionIntervalMs: number;
  /** Time for which the rows of an earlier root are needed. */
  readonly adoptedTtlMs: number;
}

const ORIGIN_ROW_TIMES: OriginRowTimes = {
  deletionIntervalMs: 10_000,
  adoptedTtlMs: 120_000,
};
const OriginRowCodec = purify.Codec.interface({
  ttlMs: purify.number,
  /** Streams by what began them. */
  groups: purify.array(purify.Codec.interface({
    service: purify.string,
    softwareVersion: purify.string,
    streams: purify.array(purify.string),
  })),
});

/** Applies the rows of software versions. */
export class VersionListener extends mirror.TableListener {
  readonly #versions: origins.SoftwareVersions;

  constructor(versions: origins.SoftwareVersions) {
    super();
    this.#versions = versions;
  }

  override applySnapshot({ rows }: store.TableSnapshot): void {
    this.#versions.forgetRows();
    for (const row of rows) this.applyChange(row);
  }

  override applyChange({ key, value }: store.RowChange): void {
    const version = parseVersionKey(key);
    if (!version) return;
    if (value === undefined) this.#versions.recordNoRow(version);
    else this.#versions.recordRow(version, core.monotonicMs());
  }
}

/** Reads the origins that nodes wrote, for lookups at the same time. */
export class OriginReader {
  readonly #state: EntryState;
  readonly #store: store.TableService;
  readonly #sharedRead = new SharedRead(async () =>
    await this.readRows() !== undefined
  );

  constructor(state: EntryState, tableService: store.TableService) {
    this.#state = state;
    this.#store = tableService;
  }

  /**
   * Records the origins that are stored from now on or earlier; false if the
   * store could not be read.
   */
  read(): Promise<boolean> {
    return this.#sharedRead.run();
  }

  /** Records the stored origins and returns the keys of their rows. */
  async readRows(): Promise<string[] | undefined> {
    const rows = await this.#store.read({ prefixes: [`${ORIGIN_TABLE}/`] });
    if (rows.isErr()) {
      const { detail } = rows.error;
      this.#state.logger.warn("origins_not_read", { detail });
      return undefined;
    }
    for (const { key, value } of rows.value) this.#record(key, value);
    return rows.value.map(({ key }) => key);
  }

  #record(key: string, value: core.JsonValue): void {
    const row = core.decodeValue(value, OriginRowCodec);
    if (row.isErr()) {
      const reason = row.error;
      this.#state.logger.warn("origins_unreadable", { key, reason });
      return;
    }
    const nowMs = core.monotonicMs();
    const { ttlMs, groups } = row.value;
    for (const { service, softwareVersion, streams } of groups) {
      for (const stream of streams) {
        this.#state.origins.recordStored({
          stream: core.brandId<core.StreamKey>(stream),
          service: core.brandId<core.ServiceName>(service),
          softwareVersion: core.brandId<core.SoftwareVersion>(softwareVersion),
          ttlMs,
        }, nowMs);
      }
    }
  }
}

/** A row of this node that is still needed. */
interface OwnRow {
  readonly key: string;
  readonly openedAtMs: number;
  expiresAtMs: number;
}

/** Writes the rows as long as this node is the root, and deletes its old ones. */
export class OriginRowsTask extends core.Task {
  override readonly name = "origin-rows";
  readonly #state: EntryState;
  readonly #store: store.TableService;
  readonly #reader: OriginReader;
  readonly #isRoot: () => boolean;
  readonly #times: OriginRowTimes;
  #wasRoot = false;
  /** Whether the rows of the root before are known. */
  #hasAdopted = false;
  #readAgainAtMs = -Infinity;
  /** Position and generation of the store up to which origins are written. */
  #savedPosition = 0;
  #savedGeneration: number | undefined;
  #retryAtMs = -Infinity;
  #rowCount = 0;
  #openRow:
    | { readonly row: OwnRow; readonly origins: origins.ReportedOrigin[] }
    | undefined;
  #rows: OwnRow[] = [];
  #deletedAtMs = core.monotonicMs();

  /** @param isRoot whether the other nodes send their origins to this one. */
  constructor(
    state: EntryState,
    tableService: store.TableService,
    reader: OriginReader,
    isRoot: () => boolean,
    times = ORIGIN_ROW_TIMES,
  ) {
    super();
    this.#state = state;
    this.#store = tableService;
    this.#reader = reader;
    this.#isRoot = isRoot;
    this.#times = times;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await core.sleep(WRITE_INTERVAL_MS, signal);
      const nowMs = core.monotonicMs();
      if (nowMs < this.#retryAtMs || !this.#state.hasReadMembers) continue;
      const isRoot = this.#isRoot();
      if (!isRoot) this.#hasAdopted = false;
      if (isRoot && !this.#wasRoot) this.#savedPosition = 0;
      this.#wasRoot = isRoot;
      if (isRoot) {
        if (!this.#hasAdopted) this.#hasAdopted = await this.#adoptRows();
        await this.#writeVersions();
        await this.#writeOrigins();
      }
      await this.#deleteExpired();
    }
  }

  /**
   * Takes over the rows of nodes that may be gone, to delete them later.
   *
   * @returns whether the rows could be read.
   */
  async #adoptRows(): Promise<boolean> {
    const nowMs = core.monotonicMs();
    if (nowMs < this.#readAgainAtMs) return false;
    const keys = await this.#reader.readRows();
    if (!keys) {
      this.#readAgainAtMs = core.monotonicMs() + RETRY_MS;
      return false;
    }
    const own = new Set(this.#rows.map(({ key }) => key));
    for (const key of keys) {
      if (own.has(key)) continue;
      const expiresAtMs = nowMs + this.#times.adoptedTtlMs;
      this.#rows.push({ key, openedAtMs: nowMs, expiresAtMs });
    }
    return true;
  }

  async #writeVersions(): Promise<void> {
    const nowMs = core.monotonicMs();
    const { softwareVersions, logger } = this.#state;
    const added = softwareVersions.unrecorded(nowMs).filter(hasKey)
      .slice(0, DELETIONS_MAX);
    const outdated = softwareVersions.outdated(nowMs).slice(0, DELETIONS_MAX);
    if (added.length + outdated.length === 0) return;
    const isWritten = await this.#transact([
      ...added.map((version) => ({ key: versionKey(version), value: {} })),
      ...outdated.map((version) => ({ key: versionKey(version), value: null })),
    ]);
    if (!isWritten) return;
    // The row's change may arrive late; until then it would be written again.
    for (const version of added) softwareVersions.recordRow(version, nowMs);
    for (const version of outdated) softwareVersions.recordNoRow(version);
    logger.info("software_versions_written", {
      added: added.map(({ softwareVersion }) => softwareVersion).join(","),
      removed: outdated.map(({ softwareVersion }) => softwareVersion).join(","),
    });
  }

  async #writeOrigins(): Promise<void> {
    const nowMs = core.monotonicMs();
    // Without a second version, every stream is of the only one.
    if (!this.#state.hasMixedStreams(nowMs)) return;
    const { generation } = this.#store;
    // A restored store may lack rows that were written.
    if (generation !== this.#savedGeneration) this.#savedPosition = 0;
    const batch = this.#state.origins.since(
      this.#savedPosition,
      ROW_ORIGINS_MAX,
      nowMs,
    );
    if (batch.origins.length === 0) {
      this.#savedPosition = batch.position;
      return;
    }
    const open = this.#rowFor(batch.origins.length, nowMs);
    const all = [...open.origins, ...batch.origins];
    const isWritten = await this.#transact([{
      key: open.row.key,
      value: toRowValue(all),
    }]);
    if (!isWritten) return;
    for (const origin of batch.origins) {
      open.origins.push(origin);
      const expiresAtMs = nowMs + origin.ttlMs;
      open.row.expiresAtMs = Math.max(open.row.expiresAtMs, expiresAtMs);
    }
    this.#savedPosition = batch.position;
    this.#savedGeneration = generation;
  }

  /** Returns the row that is open, or a new one if it is too old or too full. */
  #rowFor(count: number, nowMs: number) {
    const open = this.#openRow;
    const isUsable = open && nowMs - open.row.openedAtMs < ROW_OPEN_MS &&
      open.origins.length + count <= ROW_ORIGINS_MAX;
    if (isUsable) return open;
    const { incarnation } = this.#state;
    const row = {
      key: `${ORIGIN_TABLE}/${incarnation}.${this.#rowCount++}`,
      openedAtMs: nowMs,
      expiresAtMs: nowMs,
    };
    this.#rows.push(row);
    this.#openRow = { row, origins: [] };
    return this.#openRow;
  }

  async #deleteExpired(): Promise<void> {
    const nowMs = core.monotonicMs();
    if (nowMs - this.#deletedAtMs < this.#times.deletionIntervalMs) return;
    this.#deletedAtMs = nowMs;
    const expired = this.#rows.filter((row) =>
      row.expiresAtMs < nowMs && row !== this.#openRow?.row
    ).slice(0, DELETIONS_MAX);
    if (expired.length === 0) return;
    const isWritten = await this.#transact(
      expired.map(({ key }) => ({ key, value: null })),
    );
    if (!isWritten) return;
    const deleted = new Set(expired);
    this.#rows = this.#rows.filter((row) => !deleted.has(row));
  }

  async #transact(writes: readonly store.RowWrite[]): Promise<boolean> {
    const outcome = await this.#store.transact({ checks: [], writes });
    if (outcome.isOk()) return true;
    this.#retryAtMs = core.monotonicMs() + RETRY_MS;
    const { detail } = outcome.error;
    this.#state.logger.warn("origin_rows_not_written", { detail });
    return false;
  }
}

function toRowValue(
  entries: readonly origins.ReportedOrigin[],
): core.JsonValue {
  const groups = new Map<string, {
    service: string;
    softwareVersion: string;
    streams: string[];
  }>();
  let ttlMs = 0;
  for (const { stream, service, softwareVersion, ...entry } of entries) {
    ttlMs = Math.max(ttlMs, entry.ttlMs);
    const id = JSON.stringify([service, softwareVersion]);
    const group = groups.get(id);
    if (group) group.streams.push(stream);
    else groups.set(id, { service, softwareVersion, streams: [stream] });
  }
  return core.toJsonValue({ ttlMs, groups: [...groups.values()] });
}

function versionKey(
  { service, softwareVersion }: origins.ServiceVersion,
): string {
  const parts = [service, softwareVersion].map(encodeURIComponent);
  return `${NODE_TABLE}/${VERSION_PREFIX}${parts.join("/")}`;
}

/** Whether a key can hold the version; upstreams may name any text. */
function hasKey(version: origins.ServiceVersion): boolean {
  return purify.Maybe.encase(() => versionKey(version))
    .filter((key) => key.length <= KEY_LENGTH_MAX).isJust();
}

/** @param key without the name of the table. */
function parseVersionKey(key: string): origins.ServiceVersion | undefined {
  if (!key.startsWith(VERSION_PREFIX)) return undefined;
  const parts = key.slice(VERSION_PREFIX.length).split("/");
  if (parts.length !== 2) return undefined;
  return purify.Maybe.encase(() => parts.map(decodeURIComponent))
    .map(([service, softwareVersion]) => ({
      service: core.brandId<core.ServiceName>(service!),
      softwareVersion: core.brandId<core.SoftwareVersion>(softwareVersion!),
    })).extract();
}
