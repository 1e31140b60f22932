/** Which artifacts are loaded where. */
import * as core from "../core/mod.ts";
import * as table from "../table/mod.ts";
import type { RowDemand } from "./placement_demand.ts";

/** One artifact on an engine, as the planner sees it. */
export interface PlacedArtifact {
  readonly artifactId: core.ArtifactId;
  /** Undefined when no row of the table names the artifact any more. */
  readonly rowName: core.RowName | undefined;
  readonly weightBytes: number;
  readonly state: "resident" | "changing";
  /** How long it has been resident, in milliseconds. */
  readonly residentMs: number;
}

/** One engine, as the planner sees it. */
export interface PlacedEngine {
  readonly upstreamId: core.UpstreamId;
  readonly freeBytes: number;
  readonly slots: number;
  /** Share of the slots that is in use. */
  readonly fill: number;
  readonly artifacts: readonly PlacedArtifact[];
  /** No orders to it for now. */
  readonly avoided: boolean;
}

/** Everything that a plan rests on. */
export interface PlacementView {
  readonly rows: ReadonlyMap<core.RowName, table.RevisedRow>;
  readonly engines: readonly PlacedEngine[];
  readonly demand: ReadonlyMap<core.RowName, RowDemand>;
  readonly waitedMs: (rowName: core.RowName) => number;
  readonly lastUsedMs: (rowName: core.RowName) => number;
  readonly modelLoadsFree: number;
  readonly adapterLoadsFree: number;
}

/** One move. */
export type PlacementAction =
  | {
    readonly kind: "load";
    readonly upstreamId: core.UpstreamId;
    readonly row: table.TableRow;
  }
  | {
    readonly kind: "unload";
    readonly upstreamId: core.UpstreamId;
    readonly artifactId: core.ArtifactId;
  };

/** Plans moves from what is known now. */
export abstract class PlacementPolicy {
  abstract readonly name: string;
  abstract plan(view: PlacementView): PlacementAction[];
}

/** What an eviction would cost; Infinity forbids it. */
type EvictionCost = (
  artifact: PlacedArtifact,
  engine: PlacedEngine,
  view: PlacementView,
  wanted: table.TableRow,
) => number;

interface Room {
  readonly engine: PlacedEngine;
  readonly victims: readonly PlacedArtifact[];
  readonly cost: number;
}

/** The plan as it grows: room already spoken for, loads already planned. */
class Draft {
  readonly actions: PlacementAction[] = [];
  readonly #view: PlacementView;
  readonly #takenBytes = new Map<core.UpstreamId, number>();
  readonly #touched = new Set<string>();
  #modelLoadsFree: number;
  #adapterLoadsFree: number;

  constructor(view: PlacementView) {
    this.#view = view;
    this.#modelLoadsFree = view.modelLoadsFree;
    this.#adapterLoadsFree = view.adapterLoadsFree;
  }

  freeBytes(engine: PlacedEngine): number {
    return engine.freeBytes - (this.#takenBytes.get(engine.upstreamId) ?? 0);
  }

  isTouched(engine: PlacedEngine, artifactId: core.ArtifactId): boolean {
    return this.#touched.has(`${engine.upstreamId}|${artifactId}`);
  }

  /** Takes a load slot of the row's kind, if one is free. */
  takeSlot(row: table.TableRow): boolean {
    const isModel = row.kind === "model";
    const slotsFree = isModel ? this.#modelLoadsFree : this.#adapterLoadsFree;
    if (slotsFree <= 0) return false;
    if (isModel) this.#modelLoadsFree--;
    else this.#adapterLoadsFree--;
    return true;
  }

  load(engine: PlacedEngine, row: table.TableRow): void {
    this.#touch(engine, table.artifactOf(row));
    this.actions.push({ kind: "load", upstreamId: engine.upstreamId, row });
  }

  unload(engine: PlacedEngine, artifactId: core.ArtifactId): void {
    if (this.isTouched(engine, artifactId)) return;
    this.#touch(engine, artifactId);
    const { upstreamId } = engine;
    this.actions.push({ kind: "unload", upstreamId, artifactId });
  }

  /** Speaks for room, so that nothing else in this plan takes it. */
  take(engine: PlacedEngine, bytes: number): void {
    const taken = this.#takenBytes.get(engine.upstreamId) ?? 0;
    this.#takenBytes.set(engine.upstreamId, taken + bytes);
  }

  /** Engines that hold or get a row's current version. */
  holders(row: table.TableRow): PlacedEngine[] {
    const artifactId = table.artifactOf(row);
    return this.#view.engines.filter((engine) =>
      this.isTouched(engine, artifactId) ||
      engine.artifacts.some((held) => held.artifactId === artifactId)
    );
  }

  #touch(engine: PlacedEngine, artifactId: core.ArtifactId): void {
    this.#touched.add(`${engine.upstreamId}|${artifactId}`);
  }
}

/** Whether an engine holds a row's current version, ready to serve. */
function isReadyOn(engine: PlacedEngine, row: table.TableRow): boolean {
  const artifactId = table.artifactOf(row);
  return engine.artifacts.some((held) =>
    held.artifactId === artifactId && held.state === "resident"
  );
}

/** Engines on which a row may be loaded: an adapter needs its model there. */
function hostsOf(
  row: table.TableRow,
  view: PlacementView,
): PlacedEngine[] {
  const engines = view.engines.filter((engine) => !engine.avoided);
  if (row.baseModel === undefined) return engines;
  const base = view.rows.get(row.baseModel)?.row;
  if (base === undefined) return [];
  return engines.filter((engine) => isReadyOn(engine, base));
}

/** Adapters on an engine that sit on a model. */
function adaptersOn(
  engine: PlacedEngine,
  model: PlacedArtifact,
  view: PlacementView,
): PlacedArtifact[] {
  return engine.artifacts.filter(({ rowName }) =>
    rowName !== undefined && model.rowName !== undefined &&
    view.rows.get(rowName)?.row.baseModel === model.rowName
  );
}

/** The cheapest set of evictions that makes room on one engine. */
function roomOn(
  engine: PlacedEngine,
  wanted: table.TableRow,
  view: PlacementView,
  draft: Draft,
  costOf: EvictionCost,
): Room | undefined {
  let missingBytes = wanted.weightBytes - draft.freeBytes(engine);
  if (missingBytes <= 0) return { engine, victims: [], cost: engine.fill };
  const ranked = engine.artifacts
    .filter((held) => held.state === "resident")
    .filter((held) => !draft.isTouched(engine, held.artifactId))
    .filter((held) => held.rowName !== wanted.baseModel)
    .map((held) => ({ held, cost: costOf(held, engine, view, wanted) }))
    .filter(({ cost }) => cost < Infinity)
    .sort((a, b) => a.cost - b.cost);
  const victims = new Set<PlacedArtifact>();
  let cost = engine.fill;
  for (const candidate of ranked) {
    if (missingBytes <= 0) break;
    if (victims.has(candidate.held)) continue;
    const group = [
      ...adaptersOn(engine, candidate.held, view),
      candidate.held,
    ].filter((held) => !victims.has(held));
    if (group.some((held) => held.state === "changing")) continue;
    for (const held of group) {
      victims.add(held);
      missingBytes -= held.weightBytes;
    }
    cost += candidate.cost;
  }
  if (missingBytes > 0) return undefined;
  return { engine, victims: [...victims], cost };
}

/** Makes room for a row where it costs least, and loads it if it can now. */
function place(
  row: table.TableRow,
  view: PlacementView,
  draft: Draft,
  costOf: EvictionCost,
): void {
  const holders = new Set(draft.holders(row));
  let best: Room | undefined;
  for (const engine of hostsOf(row, view)) {
    if (holders.has(engine)) continue;
    const room = roomOn(engine, row, view, draft, costOf);
    if (room && (best === undefined || room.cost < best.cost)) best = room;
  }
  if (best === undefined || !draft.takeSlot(row)) return;
  draft.take(best.engine, row.weightBytes);
  if (best.victims.length === 0) draft.load(best.engine, row);
  for (const { artifactId } of best.victims) {
    draft.unload(best.engine, artifactId);
  }
}

/** Places a row that nobody holds, its model first if it is an adapter. */
function makeReachable(
  row: table.TableRow,
  view: PlacementView,
  draft: Draft,
  costOf: EvictionCost,
): void {
  if (draft.holders(row).length > 0) return;
  const base = row.baseModel && view.rows.get(row.baseModel)?.row;
  if (base && draft.holders(base).length === 0) {
    place(base, view, draft, costOf);
    return;
  }
  place(row, view, draft, costOf);
}

/** Rows that callers wait for and nobody holds, most urgent first. */
function unreachable(view: PlacementView): table.TableRow[] {
  const rows: table.TableRow[] = [];
  for (const { rowName, waiting } of view.demand.values()) {
    const row = view.rows.get(rowName)?.row;
    if (waiting > 0 && row) rows.push(row);
  }
  return rows.sort((a, b) =>
    b.priority - a.priority || view.waitedMs(b.name) - view.waitedMs(a.name)
  );
}

/** Baseline: load what is waited for, evict the least recently used. */
export class LruPlacement extends PlacementPolicy {
  override readonly name = "lru";

  override plan(view: PlacementView): PlacementAction[] {
    const draft = new Draft(view);
    for (const row of unreachable(view)) {
      makeReachable(row, view, draft, lruCost);
    }
    return draft.actions;
  }
}

/** The more recent the use, the higher the cost. */
function lruCost(
  artifact: PlacedArtifact,
  _engine: PlacedEngine,
  view: PlacementView,
): number {
  if (artifact.rowName === undefined) return 0;
  const lastUsedMs = view.lastUsedMs(artifact.rowName);
  return Math.max(1, lastUsedMs === -Infinity ? 1 : lastUsedMs);
}

/** How demand turns into moves. */
export interface DemandPlacementOptions {
  /** 0 spares moves, 1 spares waiting. */
  readonly attainmentWeight: number;
  /** Nothing is evicted sooner after it was loaded, in milliseconds. */
  readonly residentMinMs: number;
}

/** A row that waited so long may evict rows that are in use. */
const STARVED_AFTER_MS = 2_000;
/** Cost of evicting the last copy of a row in use, relative to its demand. */
const LAST_COPY_FACTOR = 10;
/** Fill of a row's engines above which a copy is added, by weight 0 and 1. */
const GROW_FILL_AT_0 = 0.95;
const GROW_FILL_AT_1 = 0.6;
const IDLE_COST = 0.001;

/** Follows demand, with hysteresis against needless moves. */
export class DemandPlacement extends PlacementPolicy {
  override readonly name = "demand";
  readonly #options: DemandPlacementOptions;

  constructor(options: DemandPlacementOptions) {
    super();
    this.#options = options;
  }

  override plan(view: PlacementView): PlacementAction[] {
    const draft = new Draft(view);
    const costOf: EvictionCost = (artifact, engine, _view, wanted) =>
      this.#cost(artifact, engine, view, wanted);
    for (const row of unreachable(view)) {
      makeReachable(row, view, draft, costOf);
    }
    this.#grow(view, draft);
    return draft.actions;
  }

  /** Adds copies of rows whose engines are too full. */
  #grow(view: PlacementView, draft: Draft): void {
    const { attainmentWeight } = this.#options;
    const limit = GROW_FILL_AT_0 +
      (GROW_FILL_AT_1 - GROW_FILL_AT_0) * attainmentWeight;
    const busy = [...view.demand.values()]
      .map((demand) => ({ demand, row: view.rows.get(demand.rowName)?.row }))
      .sort((a, b) => neededSlots(b.demand) - neededSlots(a.demand));
    for (const { demand, row } of busy) {
      if (row === undefined) continue;
      const holders = draft.holders(row);
      if (holders.length === 0) continue;
      const slots = holders.reduce((sum, engine) => sum + engine.slots, 0);
      const fill = holders
        .reduce((sum, engine) => sum + engine.fill * engine.slots, 0) / slots;
      if (fill < limit || neededSlots(demand) < slots * limit / 2) continue;
      const idleOnly: EvictionCost = (artifact, engine) =>
        this.#idleCost(artifact, engine, view);
      place(row, view, draft, idleOnly);
    }
  }

  /** What evicting an artifact costs while another row waits. */
  #cost(
    artifact: PlacedArtifact,
    engine: PlacedEngine,
    view: PlacementView,
    wanted: table.TableRow,
  ): number {
    const { rowName } = artifact;
    const row = rowName === undefined ? undefined : view.rows.get(rowName)?.row;
    if (row === undefined || rowName === undefined) return 0;
    const starved = view.waitedMs(wanted.name) > STARVED_AFTER_MS;
    const isYoung = artifact.residentMs < this.#options.residentMinMs;
    const demand = neededSlotsOf(artifact, engine, view);
    if (isYoung && demand > 0 && !starved) return Infinity;
    const copies =
      view.engines.filter((other) =>
        other.artifacts.some((held) => held.artifactId === artifact.artifactId)
      ).length;
    const isLast = copies <= 1;
    if (isLast && demand > 0 && !starved && row.priority > wanted.priority) {
      return Infinity;
    }
    const base = demand * row.weight * (isLast ? LAST_COPY_FACTOR : 1);
    return base + recency(rowName, view) * IDLE_COST * row.weight + IDLE_COST;
  }

  /** As `#cost`, but only what nobody asks for may go. */
  #idleCost(
    artifact: PlacedArtifact,
    engine: PlacedEngine,
    view: PlacementView,
  ): number {
    if (artifact.rowName === undefined) return 0;
    if (artifact.residentMs < this.#options.residentMinMs) return Infinity;
    if (neededSlotsOf(artifact, engine, view) > 0.01) return Infinity;
    return recency(artifact.rowName, view);
  }
}

/** Slots that a row's demand keeps busy. */
function neededSlots(demand: RowDemand): number {
  return demand.ratePerS * demand.serviceMs / 1_000 + demand.waiting;
}

/** Busy slots of an artifact's row and, on this engine, its adapters. */
function neededSlotsOf(
  artifact: PlacedArtifact,
  engine: PlacedEngine,
  view: PlacementView,
): number {
  const group = [artifact, ...adaptersOn(engine, artifact, view)];
  return group.reduce((sum, { rowName }) => {
    const demand = rowName === undefined ? undefined : view.demand.get(rowName);
    return sum + (demand === undefined ? 0 : neededSlots(demand));
  }, 0);
}

/** From 0, never used, to nearly 1, just used. */
function recency(rowName: core.RowName, view: PlacementView): number {
  const lastUsedMs = view.lastUsedMs(rowName);
  if (lastUsedMs === -Infinity) return 0;
  const idleS = Math.max(0, core.monotonicMs() - lastUsedMs) / 1_000;
  return 1 / (1 + idleS);
}
