/**
 * Plans and sends load and unload orders while this node is the lease holder.
 */
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as orders from "../orders/mod.ts";
import * as placement from "../placement/mod.ts";
import type { EngineOrderState } from "./entry_engine_states.ts";
import type { ExchangeHub } from "./entry_exchange.ts";
import { ManagedEngines } from "./entry_managed_engines.ts";
import { findRateLimited } from "./entry_rate_limited.ts";
import type { EntryState } from "./entry_state.ts";
import {
  inFlightForModel,
  sumDigests,
  type TotalLoad,
} from "./entry_totals.ts";

/** Interval between planning cycles. */
const PLAN_INTERVAL_MS = 50;
/** Interval at which a node that does not hold the lease checks for it. */
const STANDBY_INTERVAL_MS = 1_000;
/**
 * Expected load time of an adapter; the engines' data sheets say up to 19 ms.
 */
const ADAPTER_LOAD_MS = 20;
/**
 * Minimum time that a loaded adapter stays: requests queued for it arrive
 * within two exchanges, and an engine does not count the unload of an adapter
 * that is still loading as an order.
 */
const ADAPTER_RESIDENCE_MIN_MS = 500;
/** Time after which memory freed for one model may be used for any other. */
const RESERVATION_TTL_MS = 2_000;
const MS_PER_S = 1_000;

/**
 * Loads and unloads models and adapters on the engines to follow the demand.
 */
export class OrdersTask extends core.Task {
  override readonly name = "orders";
  readonly #state: EntryState;
  readonly #hub: ExchangeHub;
  readonly #lease: orders.OrderLease;
  readonly #managed: ManagedEngines;
  readonly #recency = new placement.RequestRecency();
  readonly #unservedSinceMs = new Map<core.ModelName, number>();
  readonly #peakWork = new placement.PeakWork();
  /** Limits loads from the weight store; set only on the lease holder. */
  #limiter: orders.LoadRateLimiter | undefined;
  readonly wakeSignal = new core.WakeSignal();

  constructor(
    state: EntryState,
    hub: ExchangeHub,
    lease: orders.OrderLease,
    control: fleet.EngineControl,
  ) {
    super();
    this.#state = state;
    this.#hub = hub;
    this.#lease = lease;
    this.#managed = new ManagedEngines(state, lease, control);
  }

  /** Returns the state of the engines; undefined if not the lease holder. */
  engineStates(): readonly EngineOrderState[] | undefined {
    if (!this.#lease.isHeld || this.#limiter === undefined) return undefined;
    return [...this.#managed.all()].map(({ sender }) => ({
      record: sender.record,
      inventory: sender.inventory,
      lastOrderAtMs: sender.lastOrderAtMs,
      late: this.#state.lateOrders.get(sender.record.id),
    }));
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { isHeld } = this.#lease;
      if (isHeld) this.#tick(core.monotonicMs());
      else this.#reset();
      const pauseMs = isHeld ? PLAN_INTERVAL_MS : STANDBY_INTERVAL_MS;
      await this.wakeSignal.wait(pauseMs, signal);
    }
  }

  #reset(): void {
    this.#managed.clear(core.monotonicMs());
    this.#limiter = undefined;
  }

  #tick(nowMs: number): void {
    this.#limiter ??= new orders.LoadRateLimiter(nowMs);
    this.#managed.sync(nowMs);
    const totals = sumDigests(this.#hub.digests(nowMs));
    this.#recency.record(totals.modelDemand.keys(), nowMs);
    for (const { sender } of this.#managed.all()) {
      const isSuspect = this.#state.upstreams.get(sender.record.id)
        ?.isSuspect(nowMs) ?? false;
      const needsReport = sender.mustReconcile(nowMs) ||
        (isSuspect && sender.mustProbe(nowMs));
      if (needsReport) this.#runDetached(sender.reconcile());
      sender.raiseToken(nowMs);
    }
    if (this.#lease.fencingToken !== undefined) {
      for (const service of this.#state.config?.services.values() ?? []) {
        if (service.engine) this.#plan(service, service.engine, totals, nowMs);
      }
    }
    this.#updateUpstreams(nowMs);
  }

  #plan(
    service: fleet.ServiceSpec,
    spec: fleet.EngineSpec,
    totals: TotalLoad,
    nowMs: number,
  ): void {
    const states = [...this.#state.upstreams.ofService(service.name)];
    this.#unloadDrained(states, spec, totals, nowMs);
    this.#trackUnserved(states, totals, nowMs);
    const limited = findRateLimited(
      states,
      this.#state.upstreams.namedRates,
      totals.modelDemand,
    );
    this.#planAdapters(states, limited, spec, totals, nowMs);
    const view: placement.ReplicaView = {
      engines: states.flatMap((state) =>
        this.#toReplicaEngine(state, spec, totals, nowMs)
          .map((engine) => ({
            ...engine,
            isUsable: engine.isUsable && !limited.has(state),
          }))
      ),
      demand: this.#peakWork.apply(totals.modelDemand, nowMs),
      sizesMb: new Map(
        [...spec.models].map(([model, { weightsMb }]) => [model, weightsMb]),
      ),
      idleMs: (model) => this.#recency.idleMs(model, nowMs),
      unservedMs: (model) =>
        nowMs - (this.#unservedSinceMs.get(model) ?? nowMs),
      storeLoadsAvailable: this.#availableStoreLoads(spec, nowMs),
    };
    for (const action of new placement.ReplicaPlanner(view).plan()) {
      this.#execute(action, spec, nowMs);
    }
  }

  /** Tracks since when requests are queued for models that no engine serves. */
  #trackUnserved(
    states: readonly dispatch.UpstreamState[],
    totals: TotalLoad,
    nowMs: number,
  ): void {
    for (const [model, { waiting }] of totals.modelDemand) {
      const isServed = states.some(({ replicas }) =>
        replicas.get(model)?.isUsable
      );
      if (isServed || waiting === 0) this.#unservedSinceMs.delete(model);
      else if (!this.#unservedSinceMs.has(model)) {
        this.#unservedSinceMs.set(model, nowMs);
      }
    }
  }

  #toReplicaEngine(
    state: dispatch.UpstreamState,
    spec: fleet.EngineSpec,
    totals: TotalLoad,
    nowMs: number,
  ): placement.ReplicaEngine[] {
    const managed = this.#managed.get(state.record.id);
    if (!managed) return [];
    const { inventory } = managed.sender;
    const inFlight = totals.inFlight.get(state.record.id);
    const { reservation } = managed;
    const isReservationValid = reservation &&
      nowMs - (reservation.freedAtMs ?? nowMs) < RESERVATION_TTL_MS;
    return [{
      ...(isReservationValid
        ? {
          reservedFor: reservation.model,
          reservedMs: nowMs - reservation.sinceMs,
        }
        : {}),
      id: state.record.id,
      softwareVersion: state.record.softwareVersion,
      isUsable: !state.isLeaving(nowMs) && !state.isSuspect(nowMs),
      canOrder: managed.sender.mayOrder(spec, nowMs),
      freeMb: managed.sender.freeRoom(spec, nowMs).mb,
      models: new Map(
        [...inventory.models].map(([model, { phase }]) => [model, {
          phase,
          drainMs: inFlightForModel(inFlight, model).drainMs,
          ageMs: nowMs - (managed.loadPlannedAtMs.get(model) ?? -Infinity),
        }]),
      ),
      loadMs: (model) => inventory.loadTime(spec.models.get(model)!).ms,
      needsStore: (model) =>
        inventory.loadTime(spec.models.get(model)!).isFromStore,
    }];
  }

  #execute(
    { kind, engine, model, inFavourOf }: placement.ReplicaAction,
    spec: fleet.EngineSpec,
    nowMs: number,
  ): void {
    const managed = this.#managed.get(engine);
    const modelSpec = spec.models.get(model);
    if (!managed || !modelSpec) return;
    const { inventory } = managed.sender;
    if (kind === "drain") {
      const replica = inventory.models.get(model);
      if (!replica) return;
      replica.phase = "draining";
      managed.drainingSinceMs.set(model, nowMs);
      if (inFavourOf !== undefined) {
        managed.reservation = { model: inFavourOf, sinceMs: nowMs };
      }
      this.#state.logger.info("model_closing", {
        upstream: engine,
        model,
        inFavourOf,
      });
      return;
    }
    const { ms, isFromStore } = inventory.loadTime(modelSpec);
    if (isFromStore) {
      this.#limiter!.take();
      managed.storeLoadUntilMs = nowMs + ms;
    }
    managed.reservation = undefined;
    managed.loadPlannedAtMs.set(model, nowMs);
    this.#runDetached(managed.sender.send({ kind: "load", model }, ms));
  }

  /**
   * Returns the number of loads from the weight store that may start now,
   * within its rate limit and without slowing down the loads in progress.
   */
  #availableStoreLoads(spec: fleet.EngineSpec, nowMs: number): number {
    const models = [...spec.models.values()];
    const sumMs = models.reduce((sum, { loadMs }) => sum + loadMs, 0);
    const meanS = sumMs / Math.max(1, models.length) / MS_PER_S;
    let available = Math.max(1, Math.floor(spec.loadsPerS * meanS));
    for (const { storeLoadUntilMs } of this.#managed.all()) {
      if (storeLoadUntilMs > nowMs) available--;
    }
    return Math.min(
      available,
      this.#limiter!.available(spec.loadsPerS, nowMs),
    );
  }

  /** Orders unloads of drained models, or of those that drain for too long. */
  #unloadDrained(
    states: readonly dispatch.UpstreamState[],
    spec: fleet.EngineSpec,
    totals: TotalLoad,
    nowMs: number,
  ): void {
    for (const { record } of states) {
      const managed = this.#managed.get(record.id);
      if (!managed?.sender.mayOrder(spec, nowMs)) continue;
      const { inventory } = managed.sender;
      for (const [model, { phase }] of inventory.models) {
        if (phase !== "draining") continue;
        const sinceMs = nowMs - (managed.drainingSinceMs.get(model) ?? nowMs);
        const inFlight = inFlightForModel(
          totals.inFlight.get(record.id),
          model,
        );
        if (!placement.mayUnload({ sinceMs, inFlight: inFlight.count })) {
          continue;
        }
        if (managed.reservation) managed.reservation.freedAtMs = nowMs;
        this.#runDetached(managed.sender.send({ kind: "unload", model }, 0));
        break;
      }
    }
  }

  /** @param limited engines that are not counted on. */
  #planAdapters(
    states: readonly dispatch.UpstreamState[],
    limited: ReadonlySet<dispatch.UpstreamState>,
    spec: fleet.EngineSpec,
    totals: TotalLoad,
    nowMs: number,
  ): void {
    const demand = [...totals.adapterDemand.values()];
    if (demand.length === 0) return;
    const engines = states.flatMap((state): placement.AdapterEngine[] => {
      const managed = this.#managed.get(state.record.id);
      if (!managed) return [];
      const { inventory } = managed.sender;
      const free = managed.sender.freeRoom(spec, nowMs);
      const inFlight = totals.inFlight.get(state.record.id);
      const ready = [...inventory.models]
        .filter(([, { phase }]) => phase === "ready");
      return [{
        id: state.record.id,
        softwareVersion: state.record.softwareVersion,
        isUsable: !state.isLeaving(nowMs) && !state.isSuspect(nowMs) &&
          !limited.has(state),
        canOrder: managed.sender.mayOrder(spec, nowMs),
        slotsFree: free.adapterSlots,
        freeMb: free.mb,
        models: new Set(ready.map(([model]) => model)),
        adapters: ready.flatMap(([model, { adapters }]) =>
          [...adapters].map(([adapter, readyAtMs]) => {
            const key = dispatch.toModelKey(model, adapter);
            return {
              model,
              adapter,
              isEvictable: nowMs - readyAtMs > ADAPTER_RESIDENCE_MIN_MS,
              inFlight: inFlight?.get(key)?.count ?? 0,
              ratePerS: totals.adapterDemand.get(key)?.ratePerS ?? 0,
            };
          })
        ),
        inFlight: state.inFlight,
      }];
    });
    const sizeMb = (model: core.ModelName) =>
      spec.models.get(model)?.adapterMb ?? Infinity;
    for (const action of placement.planAdapters(engines, demand, sizeMb)) {
      const { kind, engine, model, adapter } = action;
      const sent = this.#managed.get(engine)?.sender
        .send({ kind, model, adapter }, ADAPTER_LOAD_MS);
      if (sent) this.#runDetached(sent);
    }
  }

  #updateUpstreams(nowMs: number): void {
    for (
      const { sender: { record, inventory } } of this.#managed.all()
    ) {
      const engine = this.#state.upstreams.get(record.id);
      if (!engine || engine.record.startedAtMs !== record.startedAtMs) continue;
      engine.setReplicas(inventory.availability(nowMs));
    }
  }

  /**
   * Lets an order or report run in the background; its result is applied to the
   * engine's inventory.
   */
  #runDetached(work: Promise<unknown>): void {
    work.catch((thrown) => {
      const reason = core.messageOf(thrown);
      this.#state.logger.error("order_failed", { reason });
    });
  }
}
