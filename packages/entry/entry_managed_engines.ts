/** The engines to which this node sends orders while it is the lease holder. */
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as orders from "../orders/mod.ts";
import type { EntryState } from "./entry_state.ts";

/** An engine to which this node sends orders. */
export interface ManagedEngine {
  readonly sender: orders.OrderSender;
  /** When replicas on this engine began to drain. */
  readonly drainingSinceMs: Map<core.ModelName, number>;
  /** When the last load of each model was ordered. */
  readonly loadPlannedAtMs: Map<core.ModelName, number>;
  /**
   * Model for which memory is being freed, since when, and when the unload that
   * frees it was ordered.
   */
  reservation:
    | { model: core.ModelName; sinceMs: number; freedAtMs?: number }
    | undefined;
  /** When the last load from the weight store is expected to end. */
  storeLoadUntilMs: number;
}

/** Keeps one sender for each incarnation of an engine in the upstream table. */
export class ManagedEngines {
  readonly #state: EntryState;
  readonly #lease: orders.OrderLease;
  readonly #control: fleet.EngineControl;
  readonly #managed = new Map<core.UpstreamId, ManagedEngine>();

  constructor(
    state: EntryState,
    lease: orders.OrderLease,
    control: fleet.EngineControl,
  ) {
    this.#state = state;
    this.#lease = lease;
    this.#control = control;
  }

  get(id: core.UpstreamId): ManagedEngine | undefined {
    return this.#managed.get(id);
  }

  all(): Iterable<ManagedEngine> {
    return this.#managed.values();
  }

  /** Ends all senders, as this node is not the lease holder. */
  clear(nowMs: number): void {
    for (const id of this.#managed.keys()) this.#remove(id);
    this.#forgetOldOrders(nowMs);
  }

  /** Follows the upstream table. */
  sync(nowMs: number): void {
    const listed = new Set<core.UpstreamId>();
    for (const { record } of this.#state.upstreams.all()) {
      if (!this.#state.config?.services.get(record.service)?.engine) continue;
      listed.add(record.id);
      const old = this.#managed.get(record.id);
      if (old && old.sender.record.startedAtMs === record.startedAtMs) continue;
      this.#remove(record.id);
      this.#managed.set(record.id, {
        sender: this.#makeSender(record),
        drainingSinceMs: new Map(),
        loadPlannedAtMs: new Map(),
        reservation: undefined,
        storeLoadUntilMs: 0,
      });
    }
    for (const id of this.#managed.keys()) {
      if (!listed.has(id)) this.#remove(id);
    }
    this.#forgetOldOrders(nowMs);
  }

  #forgetOldOrders(nowMs: number): void {
    const { lateOrders } = this.#state;
    for (const [id, late] of lateOrders) {
      const isInUse = this.#managed.has(id);
      if (!isInUse && late.isEmpty(nowMs)) lateOrders.delete(id);
    }
  }

  #remove(id: core.UpstreamId): void {
    this.#managed.get(id)?.sender.retire();
    this.#managed.delete(id);
  }

  #makeSender(record: fleet.UpstreamRecord): orders.OrderSender {
    const { lateOrders, settings, logger, upstreams } = this.#state;
    const late = lateOrders.get(record.id) ?? new orders.LateOrders();
    lateOrders.set(record.id, late);
    return new orders.OrderSender(
      record,
      new orders.EngineInventory(record),
      {
        control: this.#control,
        lease: this.#lease,
        self: settings.nodeName,
        leaseMs: settings.orders.leaseMs,
        enginesCheckFences: settings.orders.enginesCheckFences,
        late,
        logger,
        isLeaving: () =>
          upstreams.get(record.id)?.isLeaving(core.monotonicMs()) ?? true,
        onContact: (isReached) => this.#recordContact(record, isReached),
      },
      upstreams.get(record.id)?.reportedOrders,
    );
  }

  /** Records in the engine's health whether an order or report reached it. */
  #recordContact(record: fleet.UpstreamRecord, isReached: boolean): void {
    const engine = this.#state.upstreams.get(record.id);
    if (!engine || engine.record.startedAtMs !== record.startedAtMs) return;
    if (isReached) engine.health.markReachable();
    else engine.health.markUnreachable(core.monotonicMs());
  }
}
