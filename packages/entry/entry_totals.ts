/**
 * Sums the digests of all nodes to the fleet's demand and in-flight requests.
 */
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import type * as peers from "../peers/mod.ts";
import type * as placement from "../placement/mod.ts";

/** Demand and in-flight requests over all nodes. */
export interface TotalLoad {
  readonly modelDemand: Map<core.ModelName, placement.ModelDemand>;
  readonly adapterDemand: Map<string, placement.AdapterDemand>;
  /** In-flight requests by engine, then by `model` or `model/adapter`. */
  readonly inFlight: Map<string, Map<string, InFlightLoad>>;
}

/** In-flight requests, and the time until the last is expected to end. */
export interface InFlightLoad {
  readonly count: number;
  readonly drainMs: number;
}

const NONE_IN_FLIGHT: InFlightLoad = { count: 0, drainMs: 0 };

/** Sums the in-flight requests for a model and all its adapters. */
export function inFlightForModel(
  inFlight: ReadonlyMap<string, InFlightLoad> | undefined,
  model: core.ModelName,
): InFlightLoad {
  let sum = NONE_IN_FLIGHT;
  for (const [modelKey, load] of inFlight ?? []) {
    const matchesModel = modelKey === model || modelKey.startsWith(`${model}/`);
    if (matchesModel) sum = addInFlight(sum, load);
  }
  return sum;
}

function addInFlight(a: InFlightLoad, b: InFlightLoad): InFlightLoad {
  return {
    count: a.count + b.count,
    drainMs: Math.max(a.drainMs, b.drainMs),
  };
}

/** Sums demand and in-flight requests over the digests. */
export function sumDigests(digests: readonly peers.NodeDigest[]): TotalLoad {
  const totals: TotalLoad = {
    modelDemand: new Map(),
    adapterDemand: new Map(),
    inFlight: new Map(),
  };
  for (const { demand, uses } of digests) {
    for (const entry of demand) addDemand(totals, entry);
    for (const { upstreamId, models } of uses) {
      let loads = totals.inFlight.get(upstreamId);
      if (!loads) totals.inFlight.set(upstreamId, loads = new Map());
      for (const { model, adapter, inFlight, drainMs } of models) {
        const modelKey = dispatch.toModelKey(model, adapter);
        const known = loads.get(modelKey) ?? NONE_IN_FLIGHT;
        loads.set(modelKey, addInFlight(known, { count: inFlight, drainMs }));
      }
    }
  }
  return totals;
}

function addDemand(
  totals: TotalLoad,
  entry: peers.NodeDigest["demand"][number],
): void {
  const { ratePerS, waiting, workMsPerS, adapter } = entry;
  const model = core.brandId<core.ModelName>(entry.model);
  const pinnedVersions = entry.pinnedVersions.map((version) =>
    core.brandId<core.SoftwareVersion>(version)
  );
  const sum = totals.modelDemand.get(model);
  totals.modelDemand.set(model, {
    ratePerS: (sum?.ratePerS ?? 0) + ratePerS,
    waiting: (sum?.waiting ?? 0) + waiting,
    workMsPerS: (sum?.workMsPerS ?? 0) + workMsPerS,
    pinnedVersions: new Set([
      ...sum?.pinnedVersions ?? [],
      ...pinnedVersions,
    ]),
  });
  if (adapter === "") return;
  const key = dispatch.toModelKey(model, adapter);
  const known = totals.adapterDemand.get(key);
  totals.adapterDemand.set(key, {
    model,
    adapter,
    ratePerS: (known?.ratePerS ?? 0) + ratePerS,
    waiting: (known?.waiting ?? 0) + waiting,
    pinnedVersions: new Set([
      ...known?.pinnedVersions ?? [],
      ...pinnedVersions,
    ]),
  });
}
