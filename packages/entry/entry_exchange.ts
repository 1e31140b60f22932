/** What nodes tell each other, through the node that sends the orders. */
import { create } from "@bufbuild/protobuf";
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import * as peers from "../peers/mod.ts";
import type { EntryState } from "./entry_state.ts";
import type { EngineHoldings } from "./entry_orders_task.ts";

/** Time after which a node's digest no longer counts. */
const DIGEST_VALID_MS = 1_000;
/** Time after which a node that exchanges no more follows another hub. */
const FOLLOWS_FOR_MS = 500;

interface Received {
  readonly digest: peers.NodeDigest;
  readonly atMs: number;
}

/** Gathers the nodes' digests and answers with what the others told. */
export class ExchangeHub {
  readonly #state: EntryState;
  readonly #received = new Map<string, Received>();
  /** What engines hold, if this node sends the orders. */
  holdings: () => readonly EngineHoldings[] | undefined = () => undefined;
  /** The lease's renewal, if this node holds the lease. */
  renewal: () => { version: number; ageMs: number } | undefined = () =>
    undefined;
  /** Called when a digest shows requests that wait. */
  onWaiting: () => void = () => {};

  constructor(state: EntryState) {
    this.#state = state;
  }

  /** Takes one node's digest and answers it. */
  exchange(digest: peers.NodeDigest): peers.FleetView {
    const nowMs = core.monotonicMs();
    const node = core.brandId<core.InstanceId>(digest.node);
    this.#received.set(digest.node, { digest, atMs: nowMs });
    this.#state.members.heard(node, 0, digest.accepts);
    if (digest.demand.some(({ waiting }) => waiting > 0)) this.onWaiting();
    const holdings = this.holdings();
    const renewal = this.renewal();
    return create(peers.FleetViewSchema, {
      hasOrders: holdings !== undefined,
      leaseVersion: BigInt(renewal?.version ?? 0),
      leaseAgeMs: Math.round(renewal?.ageMs ?? 0),
      members: this.#members(nowMs),
      uses: this.#sumUses(digest.node, nowMs),
      engines: (holdings ?? []).map((engine) => toEngineState(engine, nowMs)),
    });
  }

  /** Other nodes that exchange with this one. */
  followers(): number {
    const nowMs = core.monotonicMs();
    let count = 0;
    for (const { atMs } of this.#received.values()) {
      if (nowMs - atMs < FOLLOWS_FOR_MS) count++;
    }
    return count;
  }

  /** Digests that still count; this node's own is made anew. */
  digests(nowMs: number): peers.NodeDigest[] {
    const digests = [makeDigest(this.#state, nowMs)];
    for (const [node, { digest, atMs }] of this.#received) {
      if (nowMs - atMs > DIGEST_VALID_MS) this.#received.delete(node);
      else if (node !== this.#state.settings.nodeName) digests.push(digest);
    }
    return digests;
  }

  /** Takes over what the other nodes told, as the hub itself. */
  applyOwn(nowMs: number): void {
    const uses = this.#sumUses(this.#state.settings.nodeName, nowMs);
    applyUses(this.#state, uses, nowMs);
  }

  #members(nowMs: number) {
    const own = {
      node: this.#state.settings.nodeName,
      ageMs: 0,
      accepts: this.#state.isReady,
    };
    const others = [...this.#received].map(([node, { digest, atMs }]) => ({
      node,
      ageMs: Math.round(nowMs - atMs),
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

/** Describes what this node has on the way and is asked for. */
export function makeDigest(
  state: EntryState,
  nowMs: number,
): peers.NodeDigest {
  const uses = [...state.board.all()]
    .filter(({ mine, health }) => mine.size > 0 || health.isSuspect(nowMs))
    .map((engine) => toUse(state, engine, nowMs));
  return create(peers.NodeDigestSchema, {
    node: state.settings.nodeName,
    bornMs: state.bornMs,
    accepts: state.isReady,
    uses,
    demand: state.demand.lines(nowMs),
  });
}

/** Takes over what the others have on the way. */
export function applyUses(
  state: EntryState,
  uses: readonly peers.EngineUse[],
  nowMs: number,
): void {
  const told = new Map(uses.map((use) => [use.upstreamId, use]));
  for (const engine of state.board.all()) {
    const use = told.get(engine.record.id);
    if (use) engine.setOthers(use, use.isSuspect, nowMs);
    else {
      const none = { inFlight: 0, prefillMs: 0, tokens: 0 };
      engine.setOthers(none, false, nowMs);
    }
  }
}

/** Takes over what engines hold, as the sender of orders tells. */
export function applyHoldings(
  state: EntryState,
  engines: readonly peers.EngineState[],
  nowMs: number,
): void {
  for (const told of engines) {
    const { upstreamId, bornMs, models, orderCount, lastOrderAgeMs } = told;
    const id = core.brandId<core.UpstreamId>(upstreamId);
    const engine = state.board.get(id);
    if (!engine || engine.record.startedAtMs !== bornMs) continue;
    const held = models.map((model): [core.ModelName, dispatch.HeldModel] => [
      core.brandId<core.ModelName>(model.model),
      {
        isUsable: model.isUsable,
        adapters: new Set(model.adapters),
        ...(model.isUsable ? {} : { readyAtMs: nowMs + model.readyInMs }),
      },
    ]);
    engine.hold(new Map(held));
    if (orderCount === undefined) continue;
    const lastOrderAtMs = lastOrderAgeMs === undefined
      ? undefined
      : nowMs - lastOrderAgeMs;
    engine.ordersTold = { orderCount, lastOrderAtMs };
  }
}

function toUse(
  { pace, output }: EntryState,
  engine: dispatch.EngineState,
  nowMs: number,
) {
  const models = new Map<string, { inFlight: number; drainMs: number }>();
  let prefillMs = 0;
  let tokens = 0;
  for (const work of engine.mine) {
    const use = models.get(work.weights) ?? { inFlight: 0, drainMs: 0 };
    use.inFlight++;
    const leftMs = dispatch.estimateLeftMs(pace, output, work, nowMs);
    use.drainMs = Math.max(use.drainMs, Math.round(leftMs));
    models.set(work.weights, use);
    if (!work.hasAnswer) prefillMs += work.prefillMs;
    tokens += work.tokens;
  }
  return {
    upstreamId: engine.record.id,
    inFlight: engine.mine.size,
    prefillMs,
    tokens,
    isSuspect: engine.health.isSuspect(nowMs),
    models: [...models].map(([weights, use]) => {
      const [model, adapter] = weights.split("/");
      return { model: model ?? "", adapter: adapter ?? "", ...use };
    }),
  };
}

function toEngineState(
  { record, account, lastOrderAtMs }: EngineHoldings,
  nowMs: number,
) {
  return {
    ...(account.orderCount === undefined
      ? {}
      : { orderCount: account.orderCount }),
    ...(lastOrderAtMs === undefined
      ? {}
      : { lastOrderAgeMs: Math.round(nowMs - lastOrderAtMs) }),
    upstreamId: record.id,
    bornMs: record.startedAtMs,
    models: [...account.held(nowMs)].map(([model, held]) => ({
      model,
      isUsable: held.isUsable,
      adapters: [...held.adapters],
      readyInMs: Math.max(0, Math.round(held.readyAtMs - nowMs)),
    })),
  };
}
