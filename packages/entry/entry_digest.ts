/** Digests of load and demand, and their sums over several nodes. */
import { create } from "@bufbuild/protobuf";
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import * as peers from "../peers/mod.ts";
import { addLatency, applyLatency, latencyOf } from "./entry_latency_sums.ts";
import type { EntryState } from "./entry_state.ts";
import {
  addMemoryUse,
  contendersByEngine,
  hasMemoryUse,
  memoryUseOf,
} from "./memory/entry_memory_sums.ts";

/** Load by upstream id. */
export type UsesById = Map<string, peers.EngineUse>;

/** Returns this node's own digest: its in-flight requests and its demand. */
export function makeDigest(
  state: EntryState,
  nowMs: number,
): peers.NodeDigest {
  const uses = [...state.upstreams.all()]
    .filter((upstream) =>
      upstream.localRequests.size > 0 || isAvoided(upstream, nowMs) ||
      hasMemoryUse(memoryUseOf(upstream, nowMs)) ||
      latencyOf(state, upstream, nowMs).latencyCount > 0
    )
    .map((upstream) => toEngineUse(state, upstream, nowMs));
  return create(peers.NodeDigestSchema, {
    node: state.settings.nodeName,
    bornMs: state.startedAtMs,
    accepts: state.isReady,
    weightReduction: state.overload.weightReduction,
    uses,
    demand: state.demand.snapshot(nowMs).map((entry) => ({
      ...entry,
      pinnedVersions: [...entry.pinnedVersions],
    })),
  });
}

/** Whether other nodes should avoid an upstream if possible. */
function isAvoided(
  { health, quiet }: dispatch.UpstreamState,
  nowMs: number,
): boolean {
  return health.isSuspect(nowMs) || quiet.isActive(nowMs);
}

/** Sums the load of digests by upstream, with that of each model. */
export function sumUses(digests: Iterable<peers.NodeDigest>): UsesById {
  const sums: UsesById = new Map();
  for (const { uses } of digests) {
    for (const use of uses) {
      const sum = sums.get(use.upstreamId);
      if (!sum) {
        const models = use.models.map((model) => ({ ...model }));
        sums.set(
          use.upstreamId,
          create(peers.EngineUseSchema, { ...use, models }),
        );
        continue;
      }
      addLoad(sum, use, 1);
      addModels(sum, use);
    }
  }
  return sums;
}

/**
 * Returns the load without that of one digest and without models, as sent to
 * the node of that digest. Upstreams without load are left out.
 */
export function usesWithout(
  sums: UsesById,
  digest: peers.NodeDigest | undefined,
): peers.EngineUse[] {
  const own = new Map(digest?.uses.map((use) => [use.upstreamId, use]));
  const rest: peers.EngineUse[] = [];
  for (const [upstreamId, sum] of sums) {
    const use = create(peers.EngineUseSchema, {
      ...sum,
      upstreamId,
      models: [],
    });
    const without = own.get(upstreamId);
    if (without) addLoad(use, without, -1);
    const isUsed = use.inFlight > 0 || use.suspectingNodes > 0 ||
      hasMemoryUse(use) || use.firstClaims.length > 0 || use.latencyCount > 0;
    if (isUsed) rest.push(use);
  }
  return rest;
}

/** Adds load that is known without models, such as that of other groups. */
export function addUses(
  sums: UsesById,
  uses: readonly peers.EngineUse[],
): void {
  for (const use of uses) {
    const sum = sums.get(use.upstreamId);
    if (sum) addLoad(sum, use, 1);
    else sums.set(use.upstreamId, create(peers.EngineUseSchema, { ...use }));
  }
}

function addLoad(sum: peers.EngineUse, use: peers.EngineUse, sign: 1 | -1) {
  sum.inFlight = core.toUint32(sum.inFlight + sign * use.inFlight);
  sum.prefillMs = Math.max(0, sum.prefillMs + sign * use.prefillMs);
  sum.tokens = core.toUint32(sum.tokens + sign * use.tokens);
  sum.suspectingNodes = core.toUint32(
    sum.suspectingNodes + sign * use.suspectingNodes,
  );
  addMemoryUse(sum, use, sign);
  addLatency(sum, use, sign);
}

function addModels(sum: peers.EngineUse, use: peers.EngineUse): void {
  for (const model of use.models) {
    const known = sum.models.find((each) =>
      each.model === model.model && each.adapter === model.adapter
    );
    if (!known) {
      sum.models.push({ ...model });
      continue;
    }
    known.inFlight = core.toUint32(known.inFlight + model.inFlight);
    known.drainMs = Math.max(known.drainMs, model.drainMs);
  }
}

/** Sums the demand of digests by model and adapter. */
export function sumDemand(
  digests: Iterable<peers.NodeDigest>,
): peers.NodeDigest["demand"] {
  const sums = new Map<string, peers.NodeDigest["demand"][number]>();
  for (const { demand } of digests) {
    for (const entry of demand) {
      const key = dispatch.toModelKey(entry.model, entry.adapter);
      const sum = sums.get(key);
      if (!sum) {
        sums.set(key, {
          ...entry,
          pinnedVersions: [...entry.pinnedVersions],
        });
        continue;
      }
      sum.ratePerS += entry.ratePerS;
      sum.waiting = core.toUint32(sum.waiting + entry.waiting);
      sum.workMsPerS += entry.workMsPerS;
      sum.pinnedVersions = union(sum.pinnedVersions, entry.pinnedVersions);
    }
  }
  return [...sums.values()];
}

function union(a: readonly string[], b: readonly string[]): string[] {
  return [...new Set([...a, ...b])];
}

/** Sums the queued requests of digests by model and adapter. */
export function sumQueues(
  digests: Iterable<peers.NodeDigest>,
): peers.FleetView["queues"] {
  return sumDemand(digests).filter(({ waiting }) => waiting > 0)
    .map(({ model, adapter, waiting }) =>
      create(peers.QueueLengthSchema, { model, adapter, waiting })
    );
}

/**
 * Applies the other nodes' load to all upstreams; unlisted ones have none.
 *
 * @param ageMs mean age of that load.
 */
export function applyPeerLoad(
  state: EntryState,
  uses: readonly peers.EngineUse[],
  ageMs: number,
  nowMs: number,
): void {
  const useById = new Map(uses.map((use) => [use.upstreamId, use]));
  const contenders = contendersByEngine(state);
  for (const upstream of state.upstreams.all()) {
    const { id } = upstream.record;
    const use = useById.get(id);
    upstream.setPeerLoad(
      {
        inFlight: 0,
        prefillMs: 0,
        tokens: 0,
        ...use,
        contenders: contenders.get(id) ?? 0,
        ageMs,
      },
      use !== undefined && use.suspectingNodes > 0,
      nowMs,
    );
    applyLatency(state, upstream, use, nowMs);
  }
}

function toEngineUse(
  state: EntryState,
  upstream: dispatch.UpstreamState,
  nowMs: number,
) {
  const { stepTimes, outputLengths } = state;
  const models = new Map<string, { inFlight: number; drainMs: number }>();
  let prefillMs = 0;
  let tokens = 0;
  for (const request of upstream.localRequests) {
    const use = models.get(request.modelKey) ?? { inFlight: 0, drainMs: 0 };
    use.inFlight++;
    const remainingMs = dispatch.estimateRemainingMs(
      stepTimes,
      outputLengths,
      request,
      nowMs,
    );
    use.drainMs = Math.max(use.drainMs, core.toUint32(remainingMs));
    models.set(request.modelKey, use);
    if (!request.hasOutput) prefillMs += request.prefillMs;
    tokens += request.reservedTokens;
  }
  return {
    upstreamId: upstream.record.id,
    inFlight: upstream.localRequests.size,
    prefillMs,
    tokens: core.toUint32(tokens),
    suspectingNodes: isAvoided(upstream, nowMs) ? 1 : 0,
    ...memoryUseOf(upstream, nowMs),
    ...latencyOf(state, upstream, nowMs),
    models: [...models].map(([modelKey, use]) => {
      const [model, adapter] = modelKey.split("/");
      return { model: model ?? "", adapter: adapter ?? "", ...use };
    }),
  };
}
