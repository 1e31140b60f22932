/** Turns rows of the store into the node's state. */
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as store from "../store/mod.ts";
import { type StoreWatch, TableListener } from "./entry_follow_task.ts";
import { MEMBER_PREFIX, MemberRowCodec } from "./entry_members.ts";
import type { EntryState } from "./entry_state.ts";

/** Time after an outage in which upstreams may come back to the list. */
const RETURN_WITHIN_MS = 2_200;

/** Takes the operator's configuration. */
export class ConfigListener extends TableListener {
  readonly #state: EntryState;
  readonly #source: fleet.FleetSource;
  readonly #upstreams: UpstreamListener;

  constructor(
    state: EntryState,
    source: fleet.FleetSource,
    upstreams: UpstreamListener,
  ) {
    super();
    this.#state = state;
    this.#source = source;
    this.#upstreams = upstreams;
  }

  override replace({ rows }: store.TableSnapshot): void {
    for (const row of rows) this.change(row);
  }

  override change({ key, version, value }: store.RowChange): void {
    if (key !== this.#source.configKey || value === undefined) return;
    const config = this.#source.decodeConfig(value);
    if (config.isErr()) {
      const reason = config.error;
      this.#state.logger.error("config_unreadable", { version, reason });
      return;
    }
    this.#state.apply(config.value);
    this.#upstreams.renew();
  }
}

/** Takes the list of upstreams. */
export class UpstreamListener extends TableListener {
  readonly #state: EntryState;
  readonly #source: fleet.FleetSource;
  readonly #watch: StoreWatch;
  readonly #lifecycle: core.Lifecycle;
  readonly #doubted = new Map<core.UpstreamId, ReturnType<typeof setTimeout>>();
  /** Called when an engine's entry has changed. */
  onChange: () => void = () => {};

  constructor(
    state: EntryState,
    source: fleet.FleetSource,
    watch: StoreWatch,
    lifecycle: core.Lifecycle,
  ) {
    super();
    this.#state = state;
    this.#source = source;
    this.#watch = watch;
    this.#lifecycle = lifecycle;
    lifecycle.own(() => {
      for (const timer of this.#doubted.values()) clearTimeout(timer);
    });
  }

  override replace({ rows }: store.TableSnapshot): void {
    const listed = new Set(rows.map(({ key }) => key));
    for (const { record } of [...this.#state.board.all()]) {
      if (!listed.has(record.id)) this.#gone(record.id, "not on the list");
    }
    for (const row of rows) this.change(row);
    this.#state.hasUpstreams = true;
  }

  override change({ key, version, value }: store.RowChange): void {
    const id = core.brandId<core.UpstreamId>(key);
    if (value === undefined) return this.#gone(id, "entry removed");
    const record = this.#source.decodeUpstream(key, value);
    if (record.isErr()) {
      const reason = record.error;
      this.#state.logger.warn("upstream_unreadable", { key, version, reason });
      return this.#gone(id, "entry unreadable");
    }
    this.#clearDoubt(id);
    this.#state.setUpstream(record.value);
    this.onChange();
  }

  /** Takes the entries again under a new configuration. */
  renew(): void {
    for (const { record } of [...this.#state.board.all()]) {
      this.#state.setUpstream(record);
    }
  }

  /** An entry that lapsed while the store was away gets time to return. */
  #gone(id: core.UpstreamId, reason: string): void {
    if (!this.#state.board.get(id) || this.#doubted.has(id)) return;
    const sinceFailureMs = core.monotonicMs() - this.#watch.lastFailureAtMs;
    if (sinceFailureMs > RETURN_WITHIN_MS || this.#lifecycle.signal.aborted) {
      this.#state.removeUpstream(id, reason);
      return this.onChange();
    }
    const timer = setTimeout(() => {
      this.#doubted.delete(id);
      this.#state.removeUpstream(id, `${reason}, not back after an outage`);
      this.onChange();
    }, RETURN_WITHIN_MS - sinceFailureMs);
    this.#doubted.set(id, timer);
  }

  #clearDoubt(id: core.UpstreamId): void {
    clearTimeout(this.#doubted.get(id));
    this.#doubted.delete(id);
  }
}

/** Takes the nodes' own rows. */
export class OwnListener extends TableListener {
  readonly #state: EntryState;

  constructor(state: EntryState) {
    super();
    this.#state = state;
  }

  override replace({ rows, version }: store.TableSnapshot): void {
    for (const row of rows) this.change(row);
    this.#state.logger.info("members_read", { rows: rows.length, version });
  }

  override change({ key, value }: store.RowChange): void {
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
    this.#state.members.set(node, row.value);
    this.#state.logger.info("member_seen", {
      node,
      address: row.value.callerAddress,
      leaving: row.value.isLeaving,
    });
  }
}
