/** A plan in the making: room, evictions, loads. */
import type * as core from "../core/mod.ts";
import * as table from "../table/mod.ts";
import type {
  PlacedArtifact,
  PlacedEngine,
  PlacementAction,
  PlacementView,
} from "./placement_policy.ts";

/** What an eviction would cost; Infinity forbids it. */
export type EvictionCost = (
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
export class DraftPlan {
  readonly actions: PlacementAction[] = [];
  readonly #view: PlacementView;
  readonly #takenBytes = new Map<core.UpstreamId, number>();
  readonly #touched = new Set<string>();
  #modelLoadsFree: number;
  #adapterLoadsFree: number;

  constructor(view: PlacementView) {
    this.#view = view;
    this.#modelLoadsFree = view.modelLoadSlotsFree;
    this.#adapterLoadsFree = view.adapterLoadSlotsFree;
  }

  /** Bytes that are free and not spoken for. */
  freeBytes(engine: PlacedEngine): number {
    return engine.freeBytes - (this.#takenBytes.get(engine.upstreamId) ?? 0);
  }

  /** Whether the plan already moves an artifact on an engine. */
  hasAction(engine: PlacedEngine, artifactId: core.ArtifactId): boolean {
    return this.#touched.has(`${engine.upstreamId}|${artifactId}`);
  }

  /** Takes a load slot of the row's kind, if one is free. */
  takeLoadSlot(row: table.TableRow): boolean {
    const isModel = row.kind === "model";
    const slotsFree = isModel ? this.#modelLoadsFree : this.#adapterLoadsFree;
    if (slotsFree <= 0) return false;
    if (isModel) this.#modelLoadsFree--;
    else this.#adapterLoadsFree--;
    return true;
  }

  /** Plans a load. */
  load(engine: PlacedEngine, row: table.TableRow): void {
    this.#touch(engine, table.artifactOf(row));
    this.actions.push({ kind: "load", upstreamId: engine.upstreamId, row });
  }

  /** Plans an unload, once. */
  unload(engine: PlacedEngine, artifactId: core.ArtifactId): void {
    if (this.hasAction(engine, artifactId)) return;
    this.#touch(engine, artifactId);
    const { upstreamId } = engine;
    this.actions.push({ kind: "unload", upstreamId, artifactId });
  }

  /** Speaks for room, so that nothing else in this plan takes it. */
  reserveBytes(engine: PlacedEngine, bytes: number): void {
    const taken = this.#takenBytes.get(engine.upstreamId) ?? 0;
    this.#takenBytes.set(engine.upstreamId, taken + bytes);
  }

  /** Engines that hold or get a row's current version. */
  holdersOf(row: table.TableRow): PlacedEngine[] {
    const artifactId = table.artifactOf(row);
    return this.#view.engines.filter((engine) =>
      this.hasAction(engine, artifactId) ||
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
  const engines = view.engines.filter((engine) => !engine.isOrderingPaused);
  if (row.baseModel === undefined) return engines;
  const base = view.rows.get(row.baseModel)?.row;
  if (base === undefined) return [];
  return engines.filter((engine) => isReadyOn(engine, base));
}

/** Adapters on an engine that sit on a model. */
export function adaptersOn(
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
  draft: DraftPlan,
  costOf: EvictionCost,
): Room | undefined {
  let missingBytes = wanted.weightBytes - draft.freeBytes(engine);
  if (missingBytes <= 0) return { engine, victims: [], cost: engine.slotUsage };
  const ranked = engine.artifacts
    .filter((held) => held.state === "resident")
    .filter((held) => !draft.hasAction(engine, held.artifactId))
    .filter((held) => held.rowName !== wanted.baseModel)
    .map((held) => ({ held, cost: costOf(held, engine, view, wanted) }))
    .filter(({ cost }) => cost < Infinity)
    .sort((a, b) => a.cost - b.cost);
  const victims = new Set<PlacedArtifact>();
  let cost = engine.slotUsage;
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
export function place(
  row: table.TableRow,
  view: PlacementView,
  draft: DraftPlan,
  costOf: EvictionCost,
): void {
  const holders = new Set(draft.holdersOf(row));
  let best: Room | undefined;
  for (const engine of hostsOf(row, view)) {
    if (holders.has(engine)) continue;
    const room = roomOn(engine, row, view, draft, costOf);
    if (room && (best === undefined || room.cost < best.cost)) best = room;
  }
  if (best === undefined || !draft.takeLoadSlot(row)) return;
  draft.reserveBytes(best.engine, row.weightBytes);
  if (best.victims.length === 0) draft.load(best.engine, row);
  for (const { artifactId } of best.victims) {
    draft.unload(best.engine, artifactId);
  }
}

/** Places a row that nobody holds, its model first if it is an adapter. */
export function makeAvailable(
  row: table.TableRow,
  view: PlacementView,
  draft: DraftPlan,
  costOf: EvictionCost,
): void {
  if (draft.holdersOf(row).length > 0) return;
  const base = row.baseModel && view.rows.get(row.baseModel)?.row;
  if (base && draft.holdersOf(base).length === 0) {
    place(base, view, draft, costOf);
    return;
  }
  place(row, view, draft, costOf);
}

/** Rows of which only an older version is held; their callers would wait. */
export function outdatedRows(view: PlacementView): table.TableRow[] {
  const held = new Set(
    view.engines.flatMap(({ artifacts }) =>
      artifacts.map(({ artifactId }) => artifactId)
    ),
  );
  const names = new Set(
    [...held].map((artifactId) => table.nameOf(artifactId)),
  );
  return [...view.rows.values()]
    .map(({ row }) => row)
    .filter((row) => names.has(row.name) && !held.has(table.artifactOf(row)));
}

/** Rows that callers wait for and nobody holds, most urgent first. */
export function rowsAwaitingLoad(view: PlacementView): table.TableRow[] {
  const rows: table.TableRow[] = [];
  for (const { rowName, waiting } of view.demand.values()) {
    const row = view.rows.get(rowName)?.row;
    if (waiting > 0 && row) rows.push(row);
  }
  return rows.sort((a, b) =>
    b.priority - a.priority || view.waitedMs(b.name) - view.waitedMs(a.name)
  );
}
