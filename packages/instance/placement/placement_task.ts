/** Plans and carries out moves while this instance is the planner. */
import * as core from "../../core/mod.ts";
import type * as gateway from "../../gateway/mod.ts";
import * as ledger from "../../ledger/mod.ts";
import type * as metrics from "../../metrics/mod.ts";
import type * as placement from "../../placement/mod.ts";
import * as routing from "../../routing/mod.ts";
import * as table from "../../table/mod.ts";
import type * as upstream from "../../upstream/mod.ts";

/** Pause between looks at an engine that carries out an order. */
const PENDING_POLL_MS = 40;
/** No orders to an engine for so long after one could not be sent. */
const AVOID_MS = 500;
/** Copies follow an engine's fill averaged over some such time. */
const FILL_HALF_LIFE_MS = 2_000;
/** A ledger row with changes on their way is read again after this. */
const REFRESH_MS = 1_000;

/** What placement needs. */
export interface PlacementTaskOptions {
  readonly fleet: routing.Fleet;
  readonly keeper: table.TableCache;
  readonly board: placement.DemandAggregator;
  readonly policy: placement.PlacementPolicy;
  readonly controller: ledger.LedgerController;
  readonly clients: gateway.UpstreamClients;
  readonly metrics: metrics.MetricsRecorder;
  readonly logger: core.Logger;
  readonly isPlanner: () => boolean;
  /** Called when an engine's artifacts have changed. */
  readonly onChange: () => void;
  readonly intervalMs: number;
  readonly loadsAtOnceMax: number;
  readonly adapterLoadsAtOnceMax: number;
  /** An order not carried out for so long counts as lost. */
  readonly orderMaxMs: number;
}

interface PendingOrder {
  readonly upstreamId: core.UpstreamId;
  readonly kind: "model" | "adapter" | "unload";
  readonly transmissionId: core.TransmissionId;
  readonly sentAtMs: number;
}

interface KnownRow {
  row: ledger.LedgerRow;
  readAtMs: number;
}

/** The planner's loop. */
export class PlacementTask extends core.Task {
  override readonly name = "plan-placement";
  readonly #options: PlacementTaskOptions;
  readonly #rows = new Map<core.UpstreamId, KnownRow>();
  readonly #pending = new Map<core.TransmissionId, PendingOrder>();
  readonly #ordering = new Set<core.UpstreamId>();
  readonly #avoidUntilMs = new Map<core.UpstreamId, number>();
  /** Since when an artifact on an engine is in its state. */
  readonly #states = new Map<string, { state: string; sinceMs: number }>();
  readonly #fills = new Map<core.UpstreamId, { fill: number; atMs: number }>();
  readonly #alarm = new core.Alarm();

  constructor(options: PlacementTaskOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#options.isPlanner()) await this.#tick();
      else this.#forget();
      await this.#pause(signal);
    }
  }

  /** Plans without waiting for the interval to end. */
  planSoon(): void {
    this.#alarm.ring();
  }

  async #pause(signal: AbortSignal): Promise<void> {
    const pauseMs = this.#pending.size > 0
      ? PENDING_POLL_MS
      : core.jitterMs(this.#options.intervalMs);
    await this.#alarm.pause(pauseMs, signal);
  }

  /** Another instance plans now; what was known here grows old. */
  #forget(): void {
    this.#rows.clear();
    this.#pending.clear();
    this.#states.clear();
    this.#avoidUntilMs.clear();
    this.#fills.clear();
  }

  async #tick(): Promise<void> {
    this.#dropLost();
    await this.#lookAtPending();
    const engines = this.#options.fleet.usableEngines();
    await Promise.all(engines.map((view) => this.#refresh(view)));
    const view = this.#view(engines);
    const actions = [
      ...this.#lostUnloads(engines),
      ...this.#lostLoads(engines),
      ...this.#options.policy.plan(view),
    ];
    const byEngine = new Map<core.UpstreamId, placement.PlacementAction[]>();
    for (const action of actions) {
      const list = byEngine.get(action.upstreamId) ?? [];
      byEngine.set(action.upstreamId, [...list, action]);
    }
    for (const [upstreamId, list] of byEngine) {
      void this.#carryOut(upstreamId, list);
    }
  }

  /** Lost orders no longer count against the loads at once. */
  #dropLost(): void {
    const limitMs = core.monotonicMs() - this.#options.orderMaxMs;
    for (const [id, { sentAtMs }] of this.#pending) {
      if (sentAtMs < limitMs) this.#pending.delete(id);
    }
  }

  /** Unloads that were not carried out, to be ordered again. */
  #lostUnloads(
    engines: readonly routing.EngineView[],
  ): placement.PlacementAction[] {
    return engines.flatMap(({ upstreamId }) => {
      const entries = this.#rows.get(upstreamId)?.row.entries ?? [];
      return entries
        .filter((entry) => entry.state === "unloading")
        .filter((entry) => this.#isLost(upstreamId, entry))
        .map(({ artifactId }): placement.PlacementAction => {
          this.#states.delete(keyOf(upstreamId, artifactId));
          return { kind: "unload", upstreamId, artifactId };
        });
    });
  }

  /** Loads that were not carried out; their bytes stay held meanwhile. */
  #lostLoads(
    engines: readonly routing.EngineView[],
  ): placement.PlacementAction[] {
    const { rows } = this.#options.keeper.snapshot;
    const byArtifact = new Map(
      [...rows.values()].map(({ row }) => [table.artifactIdOf(row), row]),
    );
    return engines.flatMap(({ upstreamId }) => {
      const entries = this.#rows.get(upstreamId)?.row.entries ?? [];
      return entries
        .filter((entry) => this.#isLostLoad(upstreamId, entry))
        .flatMap(({ artifactId }): placement.PlacementAction[] => {
          const row = byArtifact.get(artifactId);
          if (row === undefined) return [];
          return [{ kind: "load", upstreamId, row }];
        });
    });
  }

  /** Reads the ledger row of an engine that is new or in change. */
  async #refresh(view: routing.EngineView): Promise<void> {
    const known = this.#rows.get(view.upstreamId);
    const nowMs = core.monotonicMs();
    const isStale = known === undefined ||
      known.row.incarnation !== view.load?.incarnation ||
      (isChanging(known.row) && nowMs - known.readAtMs > REFRESH_MS);
    if (!isStale || this.#isAvoided(view)) return;
    await this.#reconcile(view);
  }

  async #reconcile(view: routing.EngineView): Promise<void> {
    const engine = this.#options.clients.engine(view);
    const row = await this.#options.controller
      .reconcile(view.upstreamId, engine);
    if (row.isErr()) {
      this.#avoid(view.upstreamId);
      return;
    }
    const readAtMs = core.monotonicMs();
    this.#rows.set(view.upstreamId, { row: row.value, readAtMs });
  }

  /** Looks whether engines have carried out their orders. */
  async #lookAtPending(): Promise<void> {
    const ids = new Set([...this.#pending.values()]
      .map(({ upstreamId }) => upstreamId));
    await Promise.all([...ids].map((id) => this.#lookAt(id)));
  }

  async #lookAt(upstreamId: core.UpstreamId): Promise<void> {
    const { fleet, clients, onChange } = this.#options;
    const view = fleet.engine(upstreamId);
    if (view === undefined || view.load?.silent) {
      this.#dropPending(upstreamId, () => true);
      return;
    }
    const report = await clients.engine(view).report();
    if (report.isErr()) return;
    const resolved = new Set(
      report.value.resolved.map(({ transmissionId }) => transmissionId),
    );
    const isNew = this.#rows.get(upstreamId)?.row.incarnation !==
      report.value.incarnation;
    const done = this.#dropPending(
      upstreamId,
      (order) => isNew || resolved.has(order.transmissionId),
    );
    if (!done) return;
    fleet.mergeLoad(routing.toEngineLoad(report.value), 0);
    onChange();
    await this.#reconcile(view);
  }

  #dropPending(
    upstreamId: core.UpstreamId,
    isDone: (order: PendingOrder) => boolean,
  ): boolean {
    let dropped = false;
    for (const [id, order] of this.#pending) {
      if (order.upstreamId !== upstreamId || !isDone(order)) continue;
      this.#pending.delete(id);
      dropped = true;
    }
    return dropped;
  }

  async #carryOut(
    upstreamId: core.UpstreamId,
    actions: readonly placement.PlacementAction[],
  ): Promise<void> {
    if (this.#ordering.has(upstreamId)) return;
    this.#ordering.add(upstreamId);
    try {
      for (const action of actions) {
        if (!await this.#order(action)) break;
      }
    } finally {
      this.#ordering.delete(upstreamId);
    }
  }

  async #order(action: placement.PlacementAction): Promise<boolean> {
    const { fleet, clients, controller, metrics, logger } = this.#options;
    const { upstreamId } = action;
    const view = fleet.engine(upstreamId);
    if (view === undefined) return false;
    const engine = clients.engine(view);
    const sent = action.kind === "load"
      ? await this.#load(upstreamId, engine, action.row)
      : await controller.unload(upstreamId, engine, action.artifactId);
    if (sent.isErr()) {
      if (sent.error !== "slots-taken") this.#avoid(upstreamId);
      logger.info("order_not_sent", { upstreamId, reason: sent.error });
      await this.#reconcile(view);
      return false;
    }
    const kind = action.kind === "load" ? action.row.kind : "unload";
    const transmissionId = sent.value;
    this.#pending.set(transmissionId, {
      upstreamId,
      kind,
      transmissionId,
      sentAtMs: core.monotonicMs(),
    });
    metrics.count(action.kind === "load" ? "orders_load" : "orders_unload");
    await this.#reconcile(view);
    return true;
  }

  /** Sends a load, or sends a lost one again where that one is held. */
  #load(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
    row: table.TableRow,
  ): ReturnType<ledger.LedgerController["load"]> {
    const { controller } = this.#options;
    const artifact = {
      artifactId: table.artifactIdOf(row),
      weightBytes: row.weightBytes,
    };
    const takesSlot = row.kind === "model";
    const entries = this.#rows.get(upstreamId)?.row.entries ?? [];
    const held = entries
      .find(({ artifactId }) => artifactId === artifact.artifactId);
    if (!held || !this.#isLostLoad(upstreamId, held)) {
      return controller.load(upstreamId, engine, artifact, takesSlot);
    }
    this.#states.delete(keyOf(upstreamId, artifact.artifactId));
    return controller.retryLoad(upstreamId, engine, artifact, takesSlot);
  }

  #avoid(upstreamId: core.UpstreamId): void {
    const untilMs = core.monotonicMs() + core.jitterMs(AVOID_MS);
    this.#avoidUntilMs.set(upstreamId, untilMs);
  }

  #isAvoided(view: routing.EngineView): boolean {
    const untilMs = this.#avoidUntilMs.get(view.upstreamId) ?? -Infinity;
    return untilMs > core.monotonicMs();
  }

  #view(
    engines: readonly routing.EngineView[],
  ): placement.PlacementView {
    const { board, keeper, loadsAtOnceMax, adapterLoadsAtOnceMax } =
      this.#options;
    const counts = { model: 0, adapter: 0, unload: 0 };
    for (const { kind } of this.#pending.values()) counts[kind]++;
    const rows = keeper.snapshot.rows;
    const names = new Map(
      [...rows.values()].map(({ row }) => [table.artifactIdOf(row), row.name]),
    );
    return {
      rows,
      engines: engines.flatMap((view) => this.#placed(view, names)),
      demand: board.totals(),
      waitedMs: (rowName) => board.waitedMs(rowName),
      lastUsedAtMs: (rowName) => board.lastUsedAtMs(rowName),
      modelLoadSlotsFree: loadsAtOnceMax - counts.model,
      adapterLoadSlotsFree: adapterLoadsAtOnceMax - counts.adapter,
    };
  }

  #placed(
    view: routing.EngineView,
    names: ReadonlyMap<core.ArtifactId, core.RowName>,
  ): placement.PlacedEngine[] {
    const known = this.#rows.get(view.upstreamId);
    if (known === undefined) return [];
    const { row } = known;
    const slots = view.load?.slots ?? 1;
    return [{
      upstreamId: view.upstreamId,
      freeBytes: row.capacityBytes - ledger.reservedBytes(row),
      slots,
      slotUsage: this.#averageFill(view.upstreamId, view.inFlight / slots),
      isOrderingPaused: this.#isAvoided(view) ||
        this.#ordering.has(view.upstreamId),
      artifacts: row.entries
        .filter((entry) => !this.#isLostLoad(view.upstreamId, entry))
        .map((entry) => ({
          artifactId: entry.artifactId,
          rowName: names.get(entry.artifactId),
          weightBytes: entry.weightBytes,
          state: entry.state === "resident" ? "resident" : "changing",
          residentMs: entry.state === "resident"
            ? this.#stateMs(view.upstreamId, entry)
            : 0,
        })),
    }];
  }

  /** An engine's fill without its momentary peaks. */
  #averageFill(upstreamId: core.UpstreamId, fill: number): number {
    const atMs = core.monotonicMs();
    const known = this.#fills.get(upstreamId);
    const keep = known === undefined
      ? 0
      : 0.5 ** ((atMs - known.atMs) / FILL_HALF_LIFE_MS);
    const average = (known?.fill ?? 0) * keep + fill * (1 - keep);
    this.#fills.set(upstreamId, { fill: average, atMs });
    return average;
  }

  /** A lost load holds its bytes, but nobody waits for it any more. */
  #isLostLoad(
    upstreamId: core.UpstreamId,
    entry: ledger.LedgerEntry,
  ): boolean {
    return entry.state === "loading" && this.#isLost(upstreamId, entry);
  }

  #isLost(upstreamId: core.UpstreamId, entry: ledger.LedgerEntry): boolean {
    return this.#stateMs(upstreamId, entry) > this.#options.orderMaxMs;
  }

  /** For how long an artifact has been seen in its state. */
  #stateMs(upstreamId: core.UpstreamId, entry: ledger.LedgerEntry): number {
    const key = keyOf(upstreamId, entry.artifactId);
    const nowMs = core.monotonicMs();
    const known = this.#states.get(key);
    if (known?.state === entry.state) return nowMs - known.sinceMs;
    this.#states.set(key, { state: entry.state, sinceMs: nowMs });
    return 0;
  }
}

function keyOf(
  upstreamId: core.UpstreamId,
  artifactId: core.ArtifactId,
): string {
  return `${upstreamId}|${artifactId}`;
}

function isChanging(row: ledger.LedgerRow): boolean {
  return row.roleChange !== undefined ||
    row.entries.some(({ state }) => state !== "resident");
}
