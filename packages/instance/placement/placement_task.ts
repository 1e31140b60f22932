/**
 * Plans the placement of models and adapters and sends the orders, while this
 * instance is the planner.
 */
import * as core from "../../core/mod.ts";
import type * as gateway from "../../gateway/mod.ts";
import * as ledger from "../../ledger/mod.ts";
import type * as metrics from "../../metrics/mod.ts";
import type * as placement from "../../placement/mod.ts";
import * as routing from "../../routing/mod.ts";
import * as table from "../../table/mod.ts";
import type * as upstream from "../../upstream/mod.ts";

/** Poll interval while any engine has an unfinished order. */
const PENDING_POLL_MS = 40;
/** How long an engine gets no orders after one to it could not be sent. */
const ORDER_BACKOFF_MS = 500;
/** Half-life of the averaged slot usage that the replica count follows. */
const SLOT_USAGE_HALF_LIFE_MS = 2_000;
/** Time after which a ledger row with unfinished changes is read again. */
const ROW_REFRESH_MS = 1_000;

/** Dependencies and settings of placement. */
export interface PlacementTaskOptions {
  readonly fleet: routing.Fleet;
  readonly tableCache: table.TableCache;
  readonly demandAggregator: placement.DemandAggregator;
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
  /** An order that has not been executed within this time counts as lost. */
  readonly orderMaxMs: number;
}

interface PendingOrder {
  readonly upstreamId: core.UpstreamId;
  readonly kind: "model" | "adapter" | "unload";
  readonly transmissionId: core.TransmissionId;
  readonly sentAtMs: number;
}

interface CachedRow {
  row: ledger.LedgerRow;
  readAtMs: number;
}

/** Runs the planning loop. */
export class PlacementTask extends core.Task {
  override readonly name = "plan-placement";
  readonly #options: PlacementTaskOptions;
  readonly #ledgerRows = new Map<core.UpstreamId, CachedRow>();
  readonly #pendingOrders = new Map<core.TransmissionId, PendingOrder>();
  /** Engines to which orders are being sent. */
  readonly #orderingEngines = new Set<core.UpstreamId>();
  readonly #backoffUntilMs = new Map<core.UpstreamId, number>();
  /** When a ledger entry was first seen in its state; see `keyOf`. */
  readonly #entryStates = new Map<string, { state: string; sinceMs: number }>();
  readonly #slotUsages = new Map<
    core.UpstreamId,
    { usage: number; atMs: number }
  >();
  readonly #wakeSignal = new core.WakeSignal();

  constructor(options: PlacementTaskOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#options.isPlanner()) await this.#planOnce();
      else this.#clearState();
      await this.#waitForNextRound(signal);
    }
  }

  /** Starts the next planning round without waiting for the interval to end. */
  planSoon(): void {
    this.#wakeSignal.wake();
  }

  async #waitForNextRound(signal: AbortSignal): Promise<void> {
    const waitMs = this.#pendingOrders.size > 0
      ? PENDING_POLL_MS
      : core.jitterMs(this.#options.intervalMs);
    await this.#wakeSignal.wait(waitMs, signal);
  }

  /** Clears the local state, which gets stale while another instance plans. */
  #clearState(): void {
    this.#ledgerRows.clear();
    this.#pendingOrders.clear();
    this.#entryStates.clear();
    this.#backoffUntilMs.clear();
    this.#slotUsages.clear();
  }

  async #planOnce(): Promise<void> {
    this.#dropLostOrders();
    await this.#checkPendingOrders();
    const engines = this.#options.fleet.usableEngines();
    await Promise.all(engines.map((view) => this.#refresh(view)));
    const view = this.#buildView(engines);
    const actions = [
      ...this.#unloadsToRetry(engines),
      ...this.#loadsToRetry(engines),
      ...this.#options.policy.plan(view),
    ];
    const byEngine = new Map<core.UpstreamId, placement.PlacementAction[]>();
    for (const action of actions) {
      const list = byEngine.get(action.upstreamId) ?? [];
      byEngine.set(action.upstreamId, [...list, action]);
    }
    for (const [upstreamId, list] of byEngine) {
      void this.#executeActions(upstreamId, list);
    }
  }

  /** Drops lost orders, which no longer count against the load limits. */
  #dropLostOrders(): void {
    const limitMs = core.monotonicMs() - this.#options.orderMaxMs;
    for (const [id, { sentAtMs }] of this.#pendingOrders) {
      if (sentAtMs < limitMs) this.#pendingOrders.delete(id);
    }
  }

  /** Unloads that were not executed in time, to be sent again. */
  #unloadsToRetry(
    engines: readonly routing.EngineView[],
  ): placement.PlacementAction[] {
    return engines.flatMap(({ upstreamId }) => {
      const entries = this.#ledgerRows.get(upstreamId)?.row.entries ?? [];
      return entries
        .filter((entry) => entry.state === "unloading")
        .filter((entry) => this.#isLost(upstreamId, entry))
        .map(({ artifactId }): placement.PlacementAction => {
          this.#entryStates.delete(keyOf(upstreamId, artifactId));
          return { kind: "unload", upstreamId, artifactId };
        });
    });
  }

  /** Loads that were not executed in time; their bytes stay reserved. */
  #loadsToRetry(
    engines: readonly routing.EngineView[],
  ): placement.PlacementAction[] {
    const { rows } = this.#options.tableCache.snapshot;
    const byArtifact = new Map(
      [...rows.values()].map(({ row }) => [table.artifactIdOf(row), row]),
    );
    return engines.flatMap(({ upstreamId }) => {
      const entries = this.#ledgerRows.get(upstreamId)?.row.entries ?? [];
      return entries
        .filter((entry) => this.#isLostLoad(upstreamId, entry))
        .flatMap(({ artifactId }): placement.PlacementAction[] => {
          const row = byArtifact.get(artifactId);
          if (row === undefined) return [];
          return [{ kind: "load", upstreamId, row }];
        });
    });
  }

  /** Reads an engine's ledger row if it is new or has unfinished changes. */
  async #refresh(view: routing.EngineView): Promise<void> {
    const known = this.#ledgerRows.get(view.upstreamId);
    const nowMs = core.monotonicMs();
    const isStale = known === undefined ||
      known.row.incarnation !== view.load?.incarnation ||
      (isChanging(known.row) && nowMs - known.readAtMs > ROW_REFRESH_MS);
    if (!isStale || this.#isInBackoff(view)) return;
    await this.#reconcile(view);
  }

  async #reconcile(view: routing.EngineView): Promise<void> {
    const engine = this.#options.clients.engine(view);
    const row = await this.#options.controller
      .reconcile(view.upstreamId, engine);
    if (row.isErr()) {
      this.#startBackoff(view.upstreamId);
      return;
    }
    const readAtMs = core.monotonicMs();
    this.#ledgerRows.set(view.upstreamId, { row: row.value, readAtMs });
  }

  /** Checks whether engines have executed their pending orders. */
  async #checkPendingOrders(): Promise<void> {
    const ids = new Set([...this.#pendingOrders.values()]
      .map(({ upstreamId }) => upstreamId));
    await Promise.all([...ids].map((id) => this.#checkEngine(id)));
  }

  async #checkEngine(upstreamId: core.UpstreamId): Promise<void> {
    const { fleet, clients, onChange } = this.#options;
    const view = fleet.engine(upstreamId);
    if (view === undefined || view.load?.silent) {
      this.#removePending(upstreamId, () => true);
      return;
    }
    const report = await clients.engine(view).report();
    if (report.isErr()) return;
    const resolved = new Set(
      report.value.resolved.map(({ transmissionId }) => transmissionId),
    );
    const hasRestarted = this.#ledgerRows.get(upstreamId)?.row.incarnation !==
      report.value.incarnation;
    const hasChanged = this.#removePending(
      upstreamId,
      (order) => hasRestarted || resolved.has(order.transmissionId),
    );
    if (!hasChanged) return;
    fleet.mergeLoad(routing.toEngineLoad(report.value), 0);
    onChange();
    await this.#reconcile(view);
  }

  #removePending(
    upstreamId: core.UpstreamId,
    isDone: (order: PendingOrder) => boolean,
  ): boolean {
    let hasRemoved = false;
    for (const [id, order] of this.#pendingOrders) {
      if (order.upstreamId !== upstreamId || !isDone(order)) continue;
      this.#pendingOrders.delete(id);
      hasRemoved = true;
    }
    return hasRemoved;
  }

  async #executeActions(
    upstreamId: core.UpstreamId,
    actions: readonly placement.PlacementAction[],
  ): Promise<void> {
    if (this.#orderingEngines.has(upstreamId)) return;
    this.#orderingEngines.add(upstreamId);
    try {
      for (const action of actions) {
        if (!await this.#sendOrder(action)) break;
      }
    } finally {
      this.#orderingEngines.delete(upstreamId);
    }
  }

  async #sendOrder(action: placement.PlacementAction): Promise<boolean> {
    const { fleet, clients, controller, metrics, logger } = this.#options;
    const { upstreamId } = action;
    const view = fleet.engine(upstreamId);
    if (view === undefined) return false;
    const engine = clients.engine(view);
    const sent = action.kind === "load"
      ? await this.#sendLoad(upstreamId, engine, action.row)
      : await controller.unload(upstreamId, engine, action.artifactId);
    if (sent.isErr()) {
      if (sent.error !== "slots-taken") this.#startBackoff(upstreamId);
      logger.info("order_not_sent", { upstreamId, reason: sent.error });
      await this.#reconcile(view);
      return false;
    }
    const kind = action.kind === "load" ? action.row.kind : "unload";
    const transmissionId = sent.value;
    this.#pendingOrders.set(transmissionId, {
      upstreamId,
      kind,
      transmissionId,
      sentAtMs: core.monotonicMs(),
    });
    metrics.increment(action.kind === "load" ? "orders_load" : "orders_unload");
    await this.#reconcile(view);
    return true;
  }

  /** Sends a load, or retries it if the ledger has a lost one. */
  #sendLoad(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
    row: table.TableRow,
  ): ReturnType<ledger.LedgerController["load"]> {
    const { controller } = this.#options;
    const artifact = {
      artifactId: table.artifactIdOf(row),
      weightBytes: row.weightBytes,
    };
    const acquiresSlot = row.kind === "model";
    const entries = this.#ledgerRows.get(upstreamId)?.row.entries ?? [];
    const existing = entries
      .find(({ artifactId }) => artifactId === artifact.artifactId);
    if (!existing || !this.#isLostLoad(upstreamId, existing)) {
      return controller.load(upstreamId, engine, artifact, acquiresSlot);
    }
    this.#entryStates.delete(keyOf(upstreamId, artifact.artifactId));
    return controller.retryLoad(upstreamId, engine, artifact, acquiresSlot);
  }

  #startBackoff(upstreamId: core.UpstreamId): void {
    const untilMs = core.monotonicMs() + core.jitterMs(ORDER_BACKOFF_MS);
    this.#backoffUntilMs.set(upstreamId, untilMs);
  }

  #isInBackoff(view: routing.EngineView): boolean {
    const untilMs = this.#backoffUntilMs.get(view.upstreamId) ?? -Infinity;
    return untilMs > core.monotonicMs();
  }

  #buildView(
    engines: readonly routing.EngineView[],
  ): placement.PlacementView {
    const {
      demandAggregator,
      tableCache,
      loadsAtOnceMax,
      adapterLoadsAtOnceMax,
    } = this.#options;
    const counts = { model: 0, adapter: 0, unload: 0 };
    for (const { kind } of this.#pendingOrders.values()) counts[kind]++;
    const rows = tableCache.snapshot.rows;
    const rowNames = new Map(
      [...rows.values()].map(({ row }) => [table.artifactIdOf(row), row.name]),
    );
    return {
      rows,
      engines: engines.flatMap((view) => this.#toPlacedEngine(view, rowNames)),
      demand: demandAggregator.totals(),
      waitedMs: (rowName) => demandAggregator.waitedMs(rowName),
      lastUsedAtMs: (rowName) => demandAggregator.lastUsedAtMs(rowName),
      modelLoadSlotsFree: loadsAtOnceMax - counts.model,
      adapterLoadSlotsFree: adapterLoadsAtOnceMax - counts.adapter,
    };
  }

  #toPlacedEngine(
    view: routing.EngineView,
    rowNames: ReadonlyMap<core.ArtifactId, core.RowName>,
  ): placement.PlacedEngine[] {
    const known = this.#ledgerRows.get(view.upstreamId);
    if (known === undefined) return [];
    const { row } = known;
    const slots = view.load?.slots ?? 1;
    return [{
      upstreamId: view.upstreamId,
      freeBytes: row.capacityBytes - ledger.reservedBytes(row),
      slots,
      slotUsage: this.#averageSlotUsage(view.upstreamId, view.inFlight / slots),
      isOrderingPaused: this.#isInBackoff(view) ||
        this.#orderingEngines.has(view.upstreamId),
      artifacts: row.entries
        .filter((entry) => !this.#isLostLoad(view.upstreamId, entry))
        .map((entry) => ({
          artifactId: entry.artifactId,
          rowName: rowNames.get(entry.artifactId),
          weightBytes: entry.weightBytes,
          state: entry.state === "resident" ? "resident" : "changing",
          residentMs: entry.state === "resident"
            ? this.#timeInStateMs(view.upstreamId, entry)
            : 0,
        })),
    }];
  }

  /** Exponential moving average of slot usage, which smooths short peaks. */
  #averageSlotUsage(upstreamId: core.UpstreamId, usage: number): number {
    const atMs = core.monotonicMs();
    const known = this.#slotUsages.get(upstreamId);
    const previousWeight = known === undefined
      ? 0
      : 0.5 ** ((atMs - known.atMs) / SLOT_USAGE_HALF_LIFE_MS);
    const average = (known?.usage ?? 0) * previousWeight +
      usage * (1 - previousWeight);
    this.#slotUsages.set(upstreamId, { usage: average, atMs });
    return average;
  }

  /** A lost load keeps its bytes reserved, but nothing waits for it. */
  #isLostLoad(
    upstreamId: core.UpstreamId,
    entry: ledger.LedgerEntry,
  ): boolean {
    return entry.state === "loading" && this.#isLost(upstreamId, entry);
  }

  #isLost(upstreamId: core.UpstreamId, entry: ledger.LedgerEntry): boolean {
    return this.#timeInStateMs(upstreamId, entry) > this.#options.orderMaxMs;
  }

  /** How long a ledger entry has been seen in its current state, in ms. */
  #timeInStateMs(
    upstreamId: core.UpstreamId,
    entry: ledger.LedgerEntry,
  ): number {
    const key = keyOf(upstreamId, entry.artifactId);
    const nowMs = core.monotonicMs();
    const known = this.#entryStates.get(key);
    if (known?.state === entry.state) return nowMs - known.sinceMs;
    this.#entryStates.set(key, { state: entry.state, sinceMs: nowMs });
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
