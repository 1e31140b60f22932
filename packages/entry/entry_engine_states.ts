/** The engine states that the lease holder passes on to the other nodes. */
import { create } from "@bufbuild/protobuf";
import * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as orders from "../orders/mod.ts";
import * as peers from "../peers/mod.ts";
import type { EntryState } from "./entry_state.ts";

/** What an engine holds, as the lease holder knows it. */
export interface EngineOrderState {
  readonly record: fleet.UpstreamRecord;
  readonly inventory: orders.EngineInventory;
  /** When the last order was sent, in ms of the monotonic clock. */
  readonly lastOrderAtMs: number | undefined;
  /** Orders to it without a reply. */
  readonly late?: orders.LateOrders | undefined;
}

/** Engine states at one time, with a tag that changes when they do. */
export interface TaggedEngineStates {
  readonly tag: string;
  readonly engines: readonly peers.EngineState[];
  /** Time to which the relative times in the states refer. */
  readonly atMs: number;
}

/**
 * Encodes the states of all engines; equal states have equal tags. States with
 * the tag of `before` are not encoded again.
 */
export function tagEngineStates(
  incarnation: string,
  states: readonly EngineOrderState[],
  nowMs: number,
  before?: TaggedEngineStates,
): TaggedEngineStates {
  const tag = `${incarnation}:${hashStates(states, nowMs)}`;
  if (tag === before?.tag) return before;
  const engines = states.map((state) => toEngineState(state, nowMs));
  return { tag, engines, atMs: nowMs };
}

/** Hashes all that changes in the states but relative times. */
function hashStates(
  states: readonly EngineOrderState[],
  nowMs: number,
): string {
  let text = "";
  for (const { record, inventory, lastOrderAtMs, late } of states) {
    text += `${record.id} ${record.startedAtMs} ${inventory.orderCount} ` +
      lastOrderAtMs;
    for (const [name, model] of inventory.models) {
      text += ` ${name}:${orders.isUsable(model, nowMs)}:`;
      for (const [adapter, readyAtMs] of model.adapters) {
        if (readyAtMs <= nowMs) text += `${adapter},`;
      }
    }
    for (const { order } of late?.all(nowMs) ?? []) {
      text += ` ${order.fencingToken}:${order.expectedOrderCount}:` +
        order.model;
    }
    text += "\n";
  }
  return core.hash32(text).toString(36);
}

/** Converts the relative times in the states to those at a later time. */
export function ageEngineStates(
  { engines, atMs }: TaggedEngineStates,
  nowMs: number,
): peers.EngineState[] {
  const ageMs = Math.round(nowMs - atMs);
  return engines.map((engine) =>
    create(peers.EngineStateSchema, {
      ...engine,
      ...(engine.lastOrderAgeMs === undefined
        ? {}
        : { lastOrderAgeMs: core.toUint32(engine.lastOrderAgeMs + ageMs) }),
      models: engine.models.map((model) => ({
        ...model,
        // 0 means that it is not being loaded.
        readyInMs: model.readyInMs === 0
          ? 0
          : Math.max(1, model.readyInMs - ageMs),
      })),
      late: engine.late.map((order) => ({
        ...order,
        sentAgeMs: core.toUint32(order.sentAgeMs + ageMs),
      })),
    })
  );
}

/**
 * Applies the models that engines hold, as reported by the lease holder.
 * Reports on another incarnation of an engine are skipped.
 */
export function applyEngineStates(
  state: EntryState,
  engines: readonly peers.EngineState[],
  nowMs: number,
): void {
  for (const reported of engines) {
    const { upstreamId, bornMs, models, orderCount, lastOrderAgeMs } = reported;
    const id = core.brandId<core.UpstreamId>(upstreamId);
    addLateOrders(state, id, reported.late, nowMs);
    const engine = state.upstreams.get(id);
    if (!engine || engine.record.startedAtMs !== bornMs) continue;
    const replicas = models.map((
      model,
    ): [core.ModelName, dispatch.ModelReplica] => [
      core.brandId<core.ModelName>(model.model),
      {
        isUsable: model.isUsable,
        adapters: new Set(model.adapters),
        // Without a time it is not being loaded, but drained or unloaded.
        ...(model.isUsable || model.readyInMs === 0
          ? {}
          : { readyAtMs: nowMs + model.readyInMs }),
      },
    ]);
    engine.setReplicas(new Map(replicas));
    if (orderCount === undefined) continue;
    const lastOrderAtMs = lastOrderAgeMs === undefined
      ? undefined
      : nowMs - lastOrderAgeMs;
    engine.reportedOrders = { orderCount, lastOrderAtMs };
  }
}

/** They matter to later incarnations, and if this node takes the lease over. */
function addLateOrders(
  { lateOrders }: EntryState,
  id: core.UpstreamId,
  reported: readonly peers.LateOrder[],
  nowMs: number,
): void {
  if (reported.length === 0) return;
  const late = lateOrders.get(id) ?? new orders.LateOrders();
  lateOrders.set(id, late);
  for (const { isLoad, model, adapter, sentAgeMs, ...order } of reported) {
    late.add({
      order: {
        kind: isLoad ? "load" : "unload",
        model: core.brandId<core.ModelName>(model),
        ...(adapter === "" ? {} : { adapter }),
        expectedOrderCount: order.expectedOrderCount,
        fencingToken: order.fencingToken,
      },
      sentAtMs: nowMs - sentAgeMs,
    });
  }
}

function toEngineState(
  { record, inventory, lastOrderAtMs, late }: EngineOrderState,
  nowMs: number,
): peers.EngineState {
  return create(peers.EngineStateSchema, {
    ...(inventory.orderCount === undefined
      ? {}
      : { orderCount: inventory.orderCount }),
    ...(lastOrderAtMs === undefined
      ? {}
      : { lastOrderAgeMs: core.toUint32(nowMs - lastOrderAtMs) }),
    upstreamId: record.id,
    bornMs: record.startedAtMs,
    models: [...inventory.availability(nowMs)].map(([model, replica]) => ({
      model,
      isUsable: replica.isUsable,
      adapters: [...replica.adapters],
      readyInMs: core.toUint32((replica.readyAtMs ?? 0) - nowMs),
    })),
    late: (late?.all(nowMs) ?? []).map(({ order, sentAtMs }) => ({
      isLoad: order.kind === "load",
      model: order.model,
      adapter: order.adapter ?? "",
      expectedOrderCount: order.expectedOrderCount,
      fencingToken: order.fencingToken,
      sentAgeMs: core.toUint32(nowMs - sentAtMs),
    })),
  });
}
