/** What the nodes' digests tell of the whole: demand, and work on the way. */
import * as core from "../core/mod.ts";
import type * as peers from "../peers/mod.ts";
import type * as placement from "../placement/mod.ts";

/** Demand and work over all nodes, as the digests tell. */
export interface Totals {
  readonly models: Map<core.ModelName, placement.ModelDemand>;
  readonly adapters: Map<string, placement.AdapterDemand>;
  /** Requests on the way by engine, then by model or model and adapter. */
  readonly inFlight: Map<string, Map<string, InFlight>>;
}

/** Requests on the way, and the time until they are expected to end. */
export interface InFlight {
  readonly count: number;
  readonly drainMs: number;
}

const NONE_IN_FLIGHT: InFlight = { count: 0, drainMs: 0 };

/** Requests on the way for a model and its adapters. */
export function inFlightOf(
  inFlight: ReadonlyMap<string, InFlight> | undefined,
  model: core.ModelName,
): InFlight {
  let sum = NONE_IN_FLIGHT;
  for (const [weights, use] of inFlight ?? []) {
    const isOfModel = weights === model || weights.startsWith(`${model}/`);
    if (isOfModel) sum = addInFlight(sum, use);
  }
  return sum;
}

function addInFlight(a: InFlight, b: InFlight): InFlight {
  return {
    count: a.count + b.count,
    drainMs: Math.max(a.drainMs, b.drainMs),
  };
}

/** Sums what the nodes tell. */
export function sumDigests(digests: readonly peers.NodeDigest[]): Totals {
  const totals: Totals = {
    models: new Map(),
    adapters: new Map(),
    inFlight: new Map(),
  };
  for (const { demand, uses } of digests) {
    for (const line of demand) addDemand(totals, line);
    for (const { upstreamId, models } of uses) {
      let counts = totals.inFlight.get(upstreamId);
      if (!counts) totals.inFlight.set(upstreamId, counts = new Map());
      for (const { model, adapter, inFlight, drainMs } of models) {
        const weights = adapter === "" ? model : `${model}/${adapter}`;
        const known = counts.get(weights) ?? NONE_IN_FLIGHT;
        counts.set(weights, addInFlight(known, { count: inFlight, drainMs }));
      }
    }
  }
  return totals;
}

function addDemand(
  totals: Totals,
  line: peers.NodeDigest["demand"][number],
): void {
  const { ratePerS, waiting, workMsPerS, adapter } = line;
  const model = core.brandId<core.ModelName>(line.model);
  const sum = totals.models.get(model);
  totals.models.set(model, {
    ratePerS: (sum?.ratePerS ?? 0) + ratePerS,
    waiting: (sum?.waiting ?? 0) + waiting,
    workMsPerS: (sum?.workMsPerS ?? 0) + workMsPerS,
  });
  if (adapter === "") return;
  const key = `${model}/${adapter}`;
  const known = totals.adapters.get(key);
  totals.adapters.set(key, {
    model,
    adapter,
    ratePerS: (known?.ratePerS ?? 0) + ratePerS,
    waiting: (known?.waiting ?? 0) + waiting,
  });
}
