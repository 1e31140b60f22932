/**
 * Exchange of load and demand between nodes, through the hub: the node that
 * aggregates the digests of all nodes, normally the lease holder.
 */
import { create } from "@bufbuild/protobuf";
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import * as peers from "../peers/mod.ts";
import type { EntryState } from "./entry_state.ts";
import type { EngineOrderState } from "./entry_orders_task.ts";

/** A digest older than this is dropped. */
const DIGEST_TTL_MS = 1_000;
/** A node that sent no digest for this long has switched to another hub. */
const FOLLOWER_TIMEOUT_MS = 500;

interface ReceivedDigest {
  readonly digest: peers.NodeDigest;
  readonly receivedAtMs: number;
}

/**
 * Aggregates the nodes' digests and answers each with the load of the others.
 */
export class ExchangeHub {
  readonly #state: EntryState;
  readonly #received = new Map<string, ReceivedDigest>();
  /** Returns the state of the engines if this node is the lease holder. */
  engineStates: () => readonly EngineOrderState[] | undefined = () => undefined;
  /**
   * Returns the lease version and the time since the last renewal if this node is
   * the lease holder.
   */
  renewal: () => { version: number; ageMs: number } | undefined = () =>
    undefined;
  /** Called when a digest reports queued requests. */
  onQueued: () => void = () => {};

  constructor(state: EntryState) {
    this.#state = state;
  }

  /** Stores a node's digest and returns the view of the rest of the fleet. */
  exchange(digest: peers.NodeDigest): peers.FleetView {
    const nowMs = core.monotonicMs();
    const node = core.brandId<core.InstanceId>(digest.node);
    this.#received.set(digest.node, { digest, receivedAtMs: nowMs });
    this.#state.members.recordContact(node, 0, digest.accepts);
    if (digest.demand.some(({ waiting }) => waiting > 0)) this.onQueued();
    const engineStates = this.engineStates();
    const renewal = this.renewal();
    return create(peers.FleetViewSchema, {
      hasOrders: engineStates !== undefined,
      leaseVersion: BigInt(renewal?.version ?? 0),
      leaseAgeMs: Math.round(renewal?.ageMs ?? 0),
      members: this.#memberStates(nowMs),
      uses: this.#sumUses(digest.node, nowMs),
      engines: (engineStates ?? []).map((engine) =>
        toEngineState(engine, nowMs)
      ),
    });
  }

  /** Returns the number of other nodes that use this node as their hub. */
  followers(): number {
    const nowMs = core.monotonicMs();
    let count = 0;
    for (const { receivedAtMs } of this.#received.values()) {
      if (nowMs - receivedAtMs < FOLLOWER_TIMEOUT_MS) count++;
    }
    return count;
  }

  /** Returns the current digests; this node's own is computed at each call. */
  digests(nowMs: number): peers.NodeDigest[] {
    const digests = [makeDigest(this.#state, nowMs)];
    for (const [node, { digest, receivedAtMs }] of this.#received) {
      if (nowMs - receivedAtMs > DIGEST_TTL_MS) this.#received.delete(node);
      else if (node !== this.#state.settings.nodeName) digests.push(digest);
    }
    return digests;
  }

  /** Applies the load of the other nodes to the hub's own state. */
  applyLocally(nowMs: number): void {
    const uses = this.#sumUses(this.#state.settings.nodeName, nowMs);
    applyPeerLoad(this.#state, uses, nowMs);
  }

  #memberStates(nowMs: number) {
    const own = {
      node: this.#state.settings.nodeName,
      ageMs: 0,
      accepts: this.#state.isReady,
    };
    const others = [...this.#received].map((
      [node, { digest, receivedAtMs }],
    ) => ({
      node,
      ageMs: Math.round(nowMs - receivedAtMs),
      accepts: digest.accepts,
    }));
    return [own, ...others];
  }

  #sumUses(exceptNode: string, nowMs: number): peers.EngineUse[] {
    const sums = new Map<string, peers.EngineUse>();
    for (const digest of this.digests(nowMs)) {
      if (digest.node === exceptNode) continue;
      for (const use of digest.uses) {
        const sum = sums.get(use.upstreamId);
        if (!sum) {
          sums.set(
            use.upstreamId,
            create(peers.EngineUseSchema, {
              ...use,
              models: [],
            }),
          );
          continue;
        }
        sum.inFlight += use.inFlight;
        sum.prefillMs += use.prefillMs;
        sum.tokens += use.tokens;
        sum.isSuspect ||= use.isSuspect;
      }
    }
    return [...sums.values()];
  }
}

/** Returns this node's digest: its in-flight requests and its demand. */
export function makeDigest(
  state: EntryState,
  nowMs: number,
): peers.NodeDigest {
  const uses = [...state.upstreams.all()]
    .filter(({ localRequests, health }) =>
      localRequests.size > 0 || health.isSuspect(nowMs)
    )
    .map((upstream) => toEngineUse(state, upstream, nowMs));
  return create(peers.NodeDigestSchema, {
    node: state.settings.nodeName,
    bornMs: state.startedAtMs,
    accepts: state.isReady,
    uses,
    demand: state.demand.snapshot(nowMs),
  });
}

/** Applies the other nodes' load to all upstreams; unlisted ones have none. */
export function applyPeerLoad(
  state: EntryState,
  uses: readonly peers.EngineUse[],
  nowMs: number,
): void {
  const useById = new Map(uses.map((use) => [use.upstreamId, use]));
  for (const upstream of state.upstreams.all()) {
    const use = useById.get(upstream.record.id);
    if (use) upstream.setPeerLoad(use, use.isSuspect, nowMs);
    else {
      const none = { inFlight: 0, prefillMs: 0, tokens: 0 };
      upstream.setPeerLoad(none, false, nowMs);
    }
  }
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
    const engine = state.upstreams.get(id);
    if (!engine || engine.record.startedAtMs !== bornMs) continue;
    const replicas = models.map((
      model,
    ): [core.ModelName, dispatch.ModelReplica] => [
      core.brandId<core.ModelName>(model.model),
      {
        isUsable: model.isUsable,
        adapters: new Set(model.adapters),
        ...(model.isUsable ? {} : { readyAtMs: nowMs + model.readyInMs }),
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

function toEngineUse(
  { stepTimes, outputLengths }: EntryState,
  upstream: dispatch.UpstreamState,
  nowMs: number,
) {
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
    use.drainMs = Math.max(use.drainMs, Math.round(remainingMs));
    models.set(request.modelKey, use);
    if (!request.hasOutput) prefillMs += request.prefillMs;
    tokens += request.reservedTokens;
  }
  return {
    upstreamId: upstream.record.id,
    inFlight: upstream.localRequests.size,
    prefillMs,
    tokens,
    isSuspect: upstream.health.isSuspect(nowMs),
    models: [...models].map(([modelKey, use]) => {
      const [model, adapter] = modelKey.split("/");
      return { model: model ?? "", adapter: adapter ?? "", ...use };
    }),
  };
}

function toEngineState(
  { record, inventory, lastOrderAtMs }: EngineOrderState,
  nowMs: number,
) {
  return {
    ...(inventory.orderCount === undefined
      ? {}
      : { orderCount: inventory.orderCount }),
    ...(lastOrderAtMs === undefined
      ? {}
      : { lastOrderAgeMs: Math.round(nowMs - lastOrderAtMs) }),
    upstreamId: record.id,
    bornMs: record.startedAtMs,
    models: [...inventory.availability(nowMs)].map(([model, replica]) => ({
      model,
      isUsable: replica.isUsable,
      adapters: [...replica.adapters],
      readyInMs: Math.max(0, Math.round(replica.readyAtMs - nowMs)),
    })),
  };
}
