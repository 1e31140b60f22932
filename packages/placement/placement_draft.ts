/** Builds a placement plan: picks engines, evictions and loads. */
import type * as core from "../core/mod.ts";
import * as table from "../table/mod.ts";
import type {
  PlacedArtifact,
  PlacedEngine,
  PlacementAction,
  PlacementView,
} from "./placement_policy.ts";

/** Cost of evicting an artifact for an incoming row; Infinity forbids it. */
export type EvictionCost = (
  artifact: PlacedArtifact,
  engine: PlacedEngine,
  view: PlacementView,
  incoming: table.TableRow,
) => number;

/** Evictions on one engine, with their cost plus the engine's slot usage. */
interface EvictionPlan {
  readonly engine: PlacedEngine;
  readonly victims: readonly PlacedArtifact[];
  readonly cost: number;
}

/** A plan under construction: actions so far, memory and load slots taken. */
export class DraftPlan {
  readonly actions: PlacementAction[] = [];
  readonly #view: PlacementView;
  readonly #reservedBytes = new Map<core.UpstreamId, number>();
  /** Engine and artifact of each planned action, as one key. */
  readonly #changed = new Set<string>();
  #modelLoadSlotsFree: number;
  #adapterLoadSlotsFree: number;

  constructor(view: PlacementView) {
    this.#view = view;
    this.#modelLoadSlotsFree = view.modelLoadSlotsFree;
    this.#adapterLoadSlotsFree = view.adapterLoadSlotsFree;
  }

  /** Free bytes on an engine that this plan has not reserved. */
  freeBytes(engine: PlacedEngine): number {
    return engine.freeBytes - (this.#reservedBytes.get(engine.upstreamId) ?? 0);
  }

  /** Whether the plan already loads or unloads an artifact on an engine. */
  hasAction(engine: PlacedEngine, artifactId: core.ArtifactId): boolean {
    return this.#changed.has(`${engine.upstreamId}|${artifactId}`);
  }

  /** Takes a load slot of the row's kind; false if none is free. */
  takeLoadSlot(row: table.TableRow): boolean {
    const isModel = row.kind === "model";
    const slotsFree = isModel
      ? this.#modelLoadSlotsFree
      : this.#adapterLoadSlotsFree;
    if (slotsFree <= 0) return false;
    if (isModel) this.#modelLoadSlotsFree--;
    else this.#adapterLoadSlotsFree--;
    return true;
  }

  /** Plans a load. */
  load(engine: PlacedEngine, row: table.TableRow): void {
    this.#markChanged(engine, table.artifactIdOf(row));
    this.actions.push({ kind: "load", upstreamId: engine.upstreamId, row });
  }

  /** Plans an unload, unless the plan already changes the artifact. */
  unload(engine: PlacedEngine, artifactId: core.ArtifactId): void {
    if (this.hasAction(engine, artifactId)) return;
    this.#markChanged(engine, artifactId);
    const { upstreamId } = engine;
    this.actions.push({ kind: "unload", upstreamId, artifactId });
  }

  /** Reserves memory, so that no other load of this plan takes it. */
  reserveBytes(engine: PlacedEngine, bytes: number): void {
    const reserved = this.#reservedBytes.get(engine.upstreamId) ?? 0;
    this.#reservedBytes.set(engine.upstreamId, reserved + bytes);
  }

  /** Engines that hold a row's current version or have an action for it. */
  holdersOf(row: table.TableRow): PlacedEngine[] {
    const artifactId = table.artifactIdOf(row);
    return this.#view.engines.filter((engine) =>
      this.hasAction(engine, artifactId) ||
      engine.artifacts.some((held) => held.artifactId === artifactId)
    );
  }

  #markChanged(engine: PlacedEngine, artifactId: core.ArtifactId): void {
    this.#changed.add(`${engine.upstreamId}|${artifactId}`);
  }
}

/** Whether a row's current version is resident on an engine. */
function isReadyOn(engine: PlacedEngine, row: table.TableRow): boolean {
  const artifactId = table.artifactIdOf(row);
  return engine.artifacts.some((held) =>
    held.artifactId === artifactId && held.state === "resident"
  );
}

/** Engines that may load a row; an adapter needs its base model resident. */
function eligibleEngines(
  row: table.TableRow,
  view: PlacementView,
): PlacedEngine[] {
  const engines = view.engines.filter((engine) => !engine.isOrderingPaused);
  if (row.baseModel === undefined) return engines;
  const base = view.rows.get(row.baseModel)?.row;
  if (base === undefined) return [];
  return engines.filter((engine) => isReadyOn(engine, base));
}

/** Adapters on an engine whose base model is the given model. */
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

/**
 * Evictions that make room on one engine, cheapest first; undefined if there
 * is no way to free enough. A model is evicted together with its adapters.
 */
function planEvictions(
  engine: PlacedEngine,
  incoming: table.TableRow,
  view: PlacementView,
  draft: DraftPlan,
  costOf: EvictionCost,
): EvictionPlan | undefined {
  let missingBytes = incoming.weightBytes - draft.freeBytes(engine);
  if (missingBytes <= 0) return { engine, victims: [], cost: engine.slotUsage };
  const ranked = engine.artifacts
    .filter((held) => held.state === "resident")
    .filter((held) => !draft.hasAction(engine, held.artifactId))
    .filter((held) => held.rowName !== incoming.baseModel)
    .map((held) => ({ held, cost: costOf(held, engine, view, incoming) }))
    .filter(({ cost }) => cost < Infinity)
    .sort((a, b) => a.cost - b.cost);
  const victims = new Set<PlacedArtifact>();
  let cost = engine.slotUsage;
  for (const next of ranked) {
    if (missingBytes <= 0) break;
    if (victims.has(next.held)) continue;
    const group = [
      ...adaptersOn(engine, next.held, view),
      next.held,
    ].filter((held) => !victims.has(held));
    if (group.some((held) => held.state === "changing")) continue;
    for (const held of group) {
      victims.add(held);
      missingBytes -= held.weightBytes;
    }
    cost += next.cost;
  }
  if (missingBytes > 0) return undefined;
  return { engine, victims: [...victims], cost };
}

/**
 * Plans a row on the engine where making room costs least. Plans only the
 * evictions if there are any; the load follows in a later plan.
 */
export function place(
  row: table.TableRow,
  view: PlacementView,
  draft: DraftPlan,
  costOf: EvictionCost,
): void {
  const holders = new Set(draft.holdersOf(row));
  let best: EvictionPlan | undefined;
  for (const engine of eligibleEngines(row, view)) {
    if (holders.has(engine)) continue;
    const found = planEvictions(engine, row, view, draft, costOf);
    if (found && (best === undefined || found.cost < best.cost)) best = found;
  }
  if (best === undefined || !draft.takeLoadSlot(row)) return;
  draft.reserveBytes(best.engine, row.weightBytes);
  if (best.victims.length === 0) draft.load(best.engine, row);
  for (const { artifactId } of best.victims) {
    draft.unload(best.engine, artifactId);
  }
}

/** Places a row that no engine holds, an adapter's base model first. */
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

/**
 * Rows for which engines hold only an older version. They are loaded ahead of
 * requests, which would otherwise have to wait for a load.
 */
export function outdatedRows(view: PlacementView): table.TableRow[] {
  const held = new Set(
    view.engines.flatMap(({ artifacts }) =>
      artifacts.map(({ artifactId }) => artifactId)
    ),
  );
  const names = new Set(
    [...held].map((artifactId) => table.rowNameOf(artifactId)),
  );
  return [...view.rows.values()]
    .map(({ row }) => row)
    .filter((row) => names.has(row.name) && !held.has(table.artifactIdOf(row)));
}

/** Rows that requests wait for, by priority and then by waiting time. */
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
