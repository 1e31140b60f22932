/** Listeners that apply rows of the store to the node's state. */
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as mirror from "../mirror/mod.ts";
import type * as store from "../store/mod.ts";
import type { StoreHealth } from "./entry_follow_task.ts";
import { MEMBER_PREFIX, MemberRowCodec } from "./entry_members.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Time after a failure or a restore of the store in which upstreams may register
 * again.
 */
const REMOVAL_GRACE_MS = 2_200;
/** Removed upstreams that are remembered. */
const DEPARTED_MAX = 1_000;

/** Applies the operator's configuration. */
export class ConfigListener extends mirror.TableListener {
  readonly #state: EntryState;
  readonly #source: fleet.FleetSource;
  readonly #upstreamListener: UpstreamListener;

  constructor(
    state: EntryState,
    source: fleet.FleetSource,
    upstreamListener: UpstreamListener,
  ) {
    super();
    this.#state = state;
    this.#source = source;
    this.#upstreamListener = upstreamListener;
  }

  override applySnapshot({ rows }: store.TableSnapshot): void {
    for (const row of rows) this.applyChange(row);
  }

  override applyChange({ key, version, value }: store.RowChange): void {
    if (key !== this.#source.configKey || value === undefined) return;
    const config = this.#source.decodeConfig(value);
    if (config.isErr()) {
      const reason = config.error;
      this.#state.logger.error("config_unreadable", { version, reason });
      this.#state.isConfigUnreadable = true;
      return;
    }
    this.#state.isConfigUnreadable = false;
    this.#state.applyConfig(config.value);
    this.#upstreamListener.reapply();
  }
}

/** Applies the upstream table. */
export class UpstreamListener extends mirror.TableListener {
  readonly #state: EntryState;
  readonly #source: fleet.FleetSource;
  readonly #storeHealth: StoreHealth;
  readonly #lifecycle: core.Lifecycle;
  readonly #pendingRemovals = new Map<
    core.UpstreamId,
    ReturnType<typeof setTimeout>
  >();
  /** Starts of the last incarnations of removed upstreams. */
  readonly #departedStartsMs = new Map<core.UpstreamId, number>();
  #generation: number | undefined;
  #restoredAtMs = -Infinity;
  /** Called when an upstream was added, changed or removed. */
  onChange: () => void = () => {};

  constructor(
    state: EntryState,
    source: fleet.FleetSource,
    storeHealth: StoreHealth,
    lifecycle: core.Lifecycle,
  ) {
    super();
    this.#state = state;
    this.#source = source;
    this.#storeHealth = storeHealth;
    this.#lifecycle = lifecycle;
    lifecycle.addCleanup(() => {
      for (const timer of this.#pendingRemovals.values()) clearTimeout(timer);
    });
  }

  override applySnapshot({ rows, generation }: store.TableSnapshot): void {
    const isRestored = this.#generation !== undefined &&
      generation > this.#generation;
    this.#generation = generation;
    if (isRestored) this.#restoredAtMs = core.monotonicMs();
    const listed = new Set(rows.map(({ key }) => key));
    for (const { record } of [...this.#state.upstreams.all()]) {
      if (!listed.has(record.id)) this.#remove(record.id, "not listed");
    }
    for (const row of rows) {
      if (!isRestored || !this.#hasDeparted(row)) this.applyChange(row);
    }
    this.#state.hasReadUpstreams = true;
  }

  /** Whether a restored row is of an incarnation that was removed here. */
  #hasDeparted({ key, value, version }: store.StoredRow): boolean {
    const startedAtMs = this.#departedStartsMs
      .get(core.brandId<core.UpstreamId>(key));
    if (startedAtMs === undefined) return false;
    const record = this.#source.decodeUpstream(key, value);
    if (record.isErr() || record.value.startedAtMs !== startedAtMs) {
      return false;
    }
    this.#state.logger.info("upstream_restored_ignored", {
      upstream: key,
      version,
      generation: this.#generation,
    });
    return true;
  }

  override applyChange({ key, version, value }: store.RowChange): void {
    const id = core.brandId<core.UpstreamId>(key);
    if (value === undefined) return this.#remove(id, "row deleted");
    const record = this.#source.decodeUpstream(key, value);
    if (record.isErr()) {
      const reason = record.error;
      this.#state.logger.warn("upstream_unreadable", { key, version, reason });
      return this.#remove(id, "row unreadable");
    }
    this.#cancelRemoval(id);
    this.#state.setUpstream(record.value);
    this.onChange();
  }

  /** Applies all upstreams again under a new configuration. */
  reapply(): void {
    for (const { record } of [...this.#state.upstreams.all()]) {
      this.#state.setUpstream(record);
    }
  }

  /**
   * Removes an upstream. Shortly after a store failure the removal is deferred:
   * entries that expired during the outage get time to be registered again.
   */
  #remove(id: core.UpstreamId, reason: string): void {
    if (!this.#state.upstreams.get(id) || this.#pendingRemovals.has(id)) return;
    const sinceFailureMs = core.monotonicMs() -
      Math.max(this.#storeHealth.lastFailureAtMs, this.#restoredAtMs);
    if (sinceFailureMs > REMOVAL_GRACE_MS || this.#lifecycle.signal.aborted) {
      return this.#removeNow(id, reason);
    }
    const timer = setTimeout(() => {
      this.#pendingRemovals.delete(id);
      this.#removeNow(
        id,
        `${reason}, not registered again after a store failure`,
      );
    }, REMOVAL_GRACE_MS - sinceFailureMs);
    this.#pendingRemovals.set(id, timer);
  }

  #removeNow(id: core.UpstreamId, reason: string): void {
    const upstream = this.#state.upstreams.get(id);
    if (upstream) {
      this.#departedStartsMs.delete(id);
      this.#departedStartsMs.set(id, upstream.record.startedAtMs);
      const [oldest] = this.#departedStartsMs.keys();
      if (this.#departedStartsMs.size > DEPARTED_MAX && oldest) {
        this.#departedStartsMs.delete(oldest);
      }
    }
    this.#state.removeUpstream(id, reason);
    this.onChange();
  }

  #cancelRemoval(id: core.UpstreamId): void {
    clearTimeout(this.#pendingRemovals.get(id));
    this.#pendingRemovals.delete(id);
  }
}

/** Applies the member rows of the entry nodes. */
export class MemberListener extends mirror.TableListener {
  readonly #state: EntryState;

  constructor(state: EntryState) {
    super();
    this.#state = state;
  }

  override applySnapshot({ rows, version }: store.TableSnapshot): void {
    for (const row of rows) this.applyChange(row);
    this.#state.hasReadMembers = true;
    this.#state.logger.info("members_read", { rows: rows.length, version });
  }

  override applyChange({ key, value }: store.RowChange): void {
    if (!key.startsWith(MEMBER_PREFIX)) return;
    const node = core.brandId<core.InstanceId>(
      key.slice(MEMBER_PREFIX.length),
    );
    if (value === undefined) return this.#state.members.remove(node);
    const row = core.decodeValue(value, MemberRowCodec);
    if (row.isErr()) {
      const reason = row.error;
      this.#state.logger.warn("member_unreadable", { key, reason });
      return;
    }
    this.#state.members.setRow(node, row.value);
    this.#state.logger.info("member_seen", {
      node,
      address: row.value.callerAddress,
      leaving: row.value.isLeaving,
    });
  }
}
