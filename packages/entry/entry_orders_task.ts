/** Plans and sends the orders, while this node holds the right to. */
import * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as orders from "../orders/mod.ts";
import * as placement from "../placement/mod.ts";
import type { ExchangeHub } from "./entry_exchange.ts";
import type { EntryState } from "./entry_state.ts";
import { inFlightOf, sumDigests, type Totals } from "./entry_totals.ts";

/** Interval between plans. */
const PLAN_INTERVAL_MS = 50;
/** Time that an adapter is expected to take: up to 19 ms on the sheets. */
const ADAPTER_LOAD_MS = 20;
/**
 * Time for which an adapter is kept: requests that waited for it come within
 * two exchanges, and an engine does not count an unload of one on its way.
 */
const ADAPTER_KEPT_MS = 500;
/** Time after which room that was made is free for any model. */
const RESERVED_FOR_MS = 2_000;
/** Work that has been seen counts for this long: demand comes in waves. */
const WORK_REMEMBERED_MS = 4_000;
const MS_PER_S = 1_000;

/** What one engine holds, as the sender of orders knows it. */
export interface EngineHoldings {
  readonly record: fleet.UpstreamRecord;
  readonly account: orders.EngineAccount;
  /** When the last order was sent, on the monotonic clock. */
  readonly lastOrderAtMs: number | undefined;
}

/** One engine under orders. */
interface Ordered {
  readonly sender: orders.OrderSender;
  readonly closingSinceMs: Map<core.ModelName, number>;
  readonly plannedAtMs: Map<core.ModelName, number>;
  /** Model for which room is being made, and since when there is room. */
  reserved:
    | { model: core.ModelName; sinceMs: number; madeAtMs?: number }
    | undefined;
  storeLoadUntilMs: number;
}

/** Keeps models and adapters where the demand is. */
export class OrdersTask extends core.Task {
  override readonly name = "orders";
  readonly #state: EntryState;
  readonly #hub: ExchangeHub;
  readonly #lease: orders.OrderLease;
  readonly #control: fleet.EngineControl;
  readonly #ordered = new Map<core.UpstreamId, Ordered>();
  readonly #lastAskedAtMs = new Map<core.ModelName, number>();
  readonly #lackingSinceMs = new Map<core.ModelName, number>();
  readonly #work = new Map<
    core.ModelName,
    { workMsPerS: number; atMs: number }
  >();
  #rate: orders.LoadRate | undefined;
  readonly alarm = new core.Alarm();

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
    this.#control = control;
  }

  /** What engines hold, or undefined while this node sends no orders. */
  holdings(): readonly EngineHoldings[] | undefined {
    if (!this.#lease.isHeld || this.#rate === undefined) return undefined;
    return [...this.#ordered.values()].map(({ sender }) => ({
      record: sender.record,
      account: sender.account,
      lastOrderAtMs: sender.lastOrderAtMs,
    }));
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#lease.isHeld) this.#tick(core.monotonicMs());
      else this.#forget();
      await this.alarm.pause(PLAN_INTERVAL_MS, signal);
    }
  }

  #forget(): void {
    this.#ordered.clear();
    this.#rate = undefined;
  }

  #tick(nowMs: number): void {
    this.#rate ??= new orders.LoadRate(nowMs);
    this.#followList();
    const totals = sumDigests(this.#hub.digests(nowMs));
    for (const model of totals.models.keys()) {
      this.#lastAskedAtMs.set(model, nowMs);
    }
    for (const { sender } of this.#ordered.values()) {
      const isSuspect = this.#state.board.get(sender.record.id)
        ?.isSuspect(nowMs) ?? false;
      const mustAsk = sender.mustSettle(nowMs) ||
        (isSuspect && sender.mustLook(nowMs));
      if (mustAsk) this.#detach(sender.settle());
    }
    if (this.#lease.fence !== undefined) {
      for (const service of this.#state.config?.services.values() ?? []) {
        if (service.engine) this.#plan(service, service.engine, totals, nowMs);
      }
    }
    this.#applyToBoard(nowMs);
  }

  /** Keeps one sender for each incarnation of an engine on the list. */
  #followList(): void {
    const listed = new Set<core.UpstreamId>();
    for (const { record } of this.#state.board.all()) {
      if (!this.#state.config?.services.get(record.service)?.engine) continue;
      listed.add(record.id);
      const old = this.#ordered.get(record.id);
      if (old && old.sender.record.startedAtMs === record.startedAtMs) continue;
      const sender = new orders.OrderSender(
        record,
        new orders.EngineAccount(record),
        {
          control: this.#control,
          lease: this.#lease,
          self: this.#state.settings.nodeName,
          leaseMs: this.#state.settings.orders.leaseMs,
          logger: this.#state.logger,
          onContact: (isReached) => this.#noteContact(record, isReached),
        },
        this.#state.board.get(record.id)?.ordersTold,
      );
      this.#ordered.set(record.id, {
        sender,
        closingSinceMs: new Map(),
        plannedAtMs: new Map(),
        reserved: undefined,
        storeLoadUntilMs: 0,
      });
    }
    for (const id of this.#ordered.keys()) {
      if (!listed.has(id)) this.#ordered.delete(id);
    }
  }

  /** What orders tell of an engine counts for requests as well. */
  #noteContact(record: fleet.UpstreamRecord, isReached: boolean): void {
    const engine = this.#state.board.get(record.id);
    if (!engine || engine.record.startedAtMs !== record.startedAtMs) return;
    if (isReached) engine.health.noteReached();
    else engine.health.noteUnreachable(core.monotonicMs());
  }

  #plan(
    service: fleet.ServiceSpec,
    spec: fleet.EngineSpec,
    totals: Totals,
    nowMs: number,
  ): void {
    const states = [...this.#state.board.ofService(service.name)];
    this.#unloadClosed(states, totals, nowMs);
    this.#noteLacking(states, totals, nowMs);
    this.#planAdapters(states, spec, totals, nowMs);
    const view: placement.CopyView = {
      engines: states.flatMap((state) =>
        this.#toCopyEngine(state, spec, totals, nowMs)
      ),
      demand: this.#remembered(totals.models, nowMs),
      sizesMb: new Map(
        [...spec.models].map(([model, { weightsMb }]) => [model, weightsMb]),
      ),
      idleMs: (model) => nowMs - (this.#lastAskedAtMs.get(model) ?? -Infinity),
      lackingMs: (model) => nowMs - (this.#lackingSinceMs.get(model) ?? nowMs),
      storeLoads: this.#storeLoadsNow(spec, nowMs),
    };
    for (const action of new placement.CopyPlanner(view).plan()) {
      this.#carryOut(action, spec, nowMs);
    }
  }

  /** Notes since when models are asked for that no engine serves. */
  #noteLacking(
    states: readonly dispatch.EngineState[],
    totals: Totals,
    nowMs: number,
  ): void {
    for (const [model, { waiting }] of totals.models) {
      const isServed = states.some(({ held }) => held.get(model)?.isUsable);
      if (isServed || waiting === 0) this.#lackingSinceMs.delete(model);
      else if (!this.#lackingSinceMs.has(model)) {
        this.#lackingSinceMs.set(model, nowMs);
      }
    }
  }

  #toCopyEngine(
    state: dispatch.EngineState,
    spec: fleet.EngineSpec,
    totals: Totals,
    nowMs: number,
  ): placement.CopyEngine[] {
    const ordered = this.#ordered.get(state.record.id);
    if (!ordered) return [];
    const { account } = ordered.sender;
    const isClosed = ordered.sender.isClosed(nowMs);
    const inFlight = totals.inFlight.get(state.record.id);
    const { reserved } = ordered;
    const isReserved = reserved &&
      nowMs - (reserved.madeAtMs ?? nowMs) < RESERVED_FOR_MS;
    return [{
      ...(isReserved
        ? {
          reservedFor: reserved.model,
          reservedMs: nowMs - reserved.sinceMs,
        }
        : {}),
      id: state.record.id,
      isUsable: !state.record.isLeaving && !state.isSuspect(nowMs),
      canOrder: !isClosed && !account.isBusy,
      freeMb: spec.weightMemoryMb - account.usedMb(spec),
      models: new Map(
        [...account.models].map(([model, { phase }]) => [model, {
          phase,
          drainMs: inFlightOf(inFlight, model).drainMs,
          ageMs: nowMs - (ordered.plannedAtMs.get(model) ?? -Infinity),
        }]),
      ),
      loadMs: (model) => account.loadTime(spec.models.get(model)!).ms,
      needsStore: (model) =>
        account.loadTime(spec.models.get(model)!).isFromStore,
    }];
  }

  #carryOut(
    { kind, engine, model, inFavourOf }: placement.CopyAction,
    spec: fleet.EngineSpec,
    nowMs: number,
  ): void {
    const ordered = this.#ordered.get(engine);
    const known = spec.models.get(model);
    if (!ordered || !known) return;
    const { account } = ordered.sender;
    if (kind === "close") {
      const held = account.models.get(model);
      if (!held) return;
      held.phase = "closing";
      ordered.closingSinceMs.set(model, nowMs);
      if (inFavourOf !== undefined) {
        ordered.reserved = { model: inFavourOf, sinceMs: nowMs };
      }
      this.#state.logger.info("model_closing", {
        upstream: engine,
        model,
        inFavourOf,
      });
      return;
    }
    const { ms, isFromStore } = account.loadTime(known);
    if (isFromStore) {
      this.#rate!.take();
      ordered.storeLoadUntilMs = nowMs + ms;
    }
    ordered.reserved = undefined;
    ordered.plannedAtMs.set(model, nowMs);
    this.#detach(ordered.sender.send({ kind: "load", model }, ms));
  }

  /** Loads from the weight store that keep its rate and its full speed. */
  #storeLoadsNow(spec: fleet.EngineSpec, nowMs: number): number {
    const models = [...spec.models.values()];
    const sumMs = models.reduce((sum, { loadMs }) => sum + loadMs, 0);
    const meanS = sumMs / Math.max(1, models.length) / MS_PER_S;
    let left = Math.max(1, Math.floor(spec.loadsPerS * meanS));
    for (const { storeLoadUntilMs } of this.#ordered.values()) {
      if (storeLoadUntilMs > nowMs) left--;
    }
    return Math.min(left, this.#rate!.available(spec.loadsPerS, nowMs));
  }

  /** Demand, with the most work seen of late, so that lulls close nothing. */
  #remembered(
    demand: ReadonlyMap<core.ModelName, placement.ModelDemand>,
    nowMs: number,
  ): Map<core.ModelName, placement.ModelDemand> {
    for (const [model, { workMsPerS }] of demand) {
      const known = this.#work.get(model);
      const isOld = known && nowMs - known.atMs > WORK_REMEMBERED_MS;
      if (!known || isOld || workMsPerS >= known.workMsPerS) {
        this.#work.set(model, { workMsPerS, atMs: nowMs });
      }
    }
    return new Map(
      [...demand].map(([model, line]) => [model, {
        ...line,
        workMsPerS: this.#work.get(model)?.workMsPerS ?? line.workMsPerS,
      }]),
    );
  }

  /** Unloads closing models whose requests have ended, or had their time. */
  #unloadClosed(
    states: readonly dispatch.EngineState[],
    totals: Totals,
    nowMs: number,
  ): void {
    for (const { record } of states) {
      const ordered = this.#ordered.get(record.id);
      if (!ordered || ordered.sender.isClosed(nowMs)) continue;
      const { account } = ordered.sender;
      if (account.isBusy) continue;
      for (const [model, { phase }] of account.models) {
        if (phase !== "closing") continue;
        const sinceMs = nowMs - (ordered.closingSinceMs.get(model) ?? nowMs);
        const inFlight = inFlightOf(totals.inFlight.get(record.id), model);
        if (!placement.mayUnload({ sinceMs, inFlight: inFlight.count })) {
          continue;
        }
        if (ordered.reserved) ordered.reserved.madeAtMs = nowMs;
        this.#detach(ordered.sender.send({ kind: "unload", model }, 0));
        break;
      }
    }
  }

  #planAdapters(
    states: readonly dispatch.EngineState[],
    spec: fleet.EngineSpec,
    totals: Totals,
    nowMs: number,
  ): void {
    const demand = [...totals.adapters.values()];
    if (demand.length === 0) return;
    const engines = states.flatMap((state): placement.AdapterEngine[] => {
      const ordered = this.#ordered.get(state.record.id);
      if (!ordered) return [];
      const { account } = ordered.sender;
      const isClosed = ordered.sender.isClosed(nowMs);
      const inFlight = totals.inFlight.get(state.record.id);
      const ready = [...account.models]
        .filter(([, { phase }]) => phase === "ready");
      return [{
        id: state.record.id,
        isUsable: !state.record.isLeaving && !state.isSuspect(nowMs),
        canOrder: !isClosed && !account.isBusy,
        slotsFree: spec.adapterSlots - account.adapterCount,
        freeMb: spec.weightMemoryMb - account.usedMb(spec),
        models: new Set(ready.map(([model]) => model)),
        adapters: ready.flatMap(([model, { adapters }]) =>
          [...adapters].map(([adapter, readyAtMs]) => ({
            model,
            adapter,
            mayYield: nowMs - readyAtMs > ADAPTER_KEPT_MS,
            inFlight: inFlight?.get(`${model}/${adapter}`)?.count ?? 0,
            ratePerS: totals.adapters.get(`${model}/${adapter}`)?.ratePerS ?? 0,
          }))
        ),
        inFlight: state.inFlight,
      }];
    });
    const sizeMb = (model: core.ModelName) =>
      spec.models.get(model)?.adapterMb ?? Infinity;
    for (const action of placement.planAdapters(engines, demand, sizeMb)) {
      const { kind, engine, model, adapter } = action;
      const sent = this.#ordered.get(engine)?.sender
        .send({ kind, model, adapter }, ADAPTER_LOAD_MS);
      if (sent) this.#detach(sent);
    }
  }

  #applyToBoard(nowMs: number): void {
    for (const { sender: { record, account } } of this.#ordered.values()) {
      const engine = this.#state.board.get(record.id);
      if (!engine || engine.record.startedAtMs !== record.startedAtMs) continue;
      engine.hold(account.held(nowMs));
    }
  }

  /** Orders go on beside the task; what they do shows in the accounts. */
  #detach(work: Promise<unknown>): void {
    work.catch((thrown) => {
      const reason = core.messageOf(thrown);
      this.#state.logger.error("order_failed", { reason });
    });
  }
}
