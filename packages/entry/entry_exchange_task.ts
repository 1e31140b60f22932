/**
 * Exchanges digests with the parent in the tree of nodes, at shorter intervals
 * while requests queue.
 */
import * as core from "../core/mod.ts";
import type * as orders from "../orders/mod.ts";
import type * as peers from "../peers/mod.ts";
import {
  applyEngineStates,
  type TaggedEngineStates,
} from "./entry_engine_states.ts";
import type { ExchangeHub } from "./entry_exchange.ts";
import type { EntryUpstreamSelector } from "./entry_selector.ts";
import type { EntryState } from "./entry_state.ts";
import { findTreePlace, type TreePlace } from "./entry_topology.ts";

/** Intervals between the exchanges of a node. */
interface ExchangeIntervals {
  readonly idleMs: number;
  /** While requests are queued for models or adapters to be loaded. */
  readonly queuedMs: number;
}

/**
 * Intervals where all nodes exchange with the root, in which the other nodes
 * send about one request to an engine.
 */
const FLAT_INTERVALS: ExchangeIntervals = { idleMs: 50, queuedMs: 25 };
/** Intervals of a group leader, which exchanges for up to 20 nodes. */
const LEADER_INTERVALS: ExchangeIntervals = { idleMs: 50, queuedMs: 50 };
/**
 * Intervals of a node in a group. A request that is queued is reported at once,
 * and the end of a load is known in advance.
 */
const LEAF_INTERVALS: ExchangeIntervals = { idleMs: 150, queuedMs: 100 };
/** Interval at which a root without the lease asks another member for news. */
const ASK_INTERVAL_MS = 300;
/** An unresponsive parent is not chosen again for this long. */
const PARENT_AVOIDANCE_MS = 600;
/** After this, the upstream table replaces the lease holder's engine states. */
const ENGINE_STATES_TTL_MS = 3_000;

/** Unchanged states are applied again after this, should any be overwritten. */
const ENGINE_STATES_REAPPLY_MS = 1_000;

/** Keeps this node's view of other nodes' load and of engines up to date. */
export class ExchangeTask extends core.Task {
  override readonly name = "exchange";
  readonly #state: EntryState;
  readonly #hub: ExchangeHub;
  readonly #lease: orders.OrderLease;
  readonly #clients: peers.FleetClients;
  readonly #selector: EntryUpstreamSelector;
  readonly #avoidedUntilMs = new Map<core.InstanceId, number>();
  #place: TreePlace | undefined;
  #engineStatesAtMs = -Infinity;
  #hasQueuedBelow = false;
  #askedAtMs = -Infinity;
  /** Shortest interval that the parent asked for; 0 if none. */
  #minIntervalMs = 0;
  /** Exchanges in a row that the parent did not answer. */
  #unanswered = 0;
  /** Members asked so far, so that each gets its turn. */
  #asked = 0;
  /** The engine states in use, and the listings that they were applied to. */
  #applied:
    | {
      readonly states: TaggedEngineStates;
      readonly listings: number;
      readonly atMs: number;
    }
    | undefined;
  readonly #wakeSignal: core.WakeSignal;

  /** @param wakeSignal ends the pause before the next exchange. */
  constructor(
    state: EntryState,
    hub: ExchangeHub,
    lease: orders.OrderLease,
    clients: peers.FleetClients,
    selector: EntryUpstreamSelector,
    wakeSignal: core.WakeSignal,
  ) {
    super();
    this.#state = state;
    this.#hub = hub;
    this.#lease = lease;
    this.#clients = clients;
    this.#selector = selector;
    this.#wakeSignal = wakeSignal;
  }

  /** Passes on soon that a child has queued requests. */
  noteQueuedBelow(): void {
    this.#hasQueuedBelow = true;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const place = this.#findPlace(core.monotonicMs());
      const hasQueued = this.#state.queue.size > 0 || this.#hasQueuedBelow;
      this.#hasQueuedBelow = false;
      const { hasReadMembers } = this.#state;
      const startedAtMs = core.monotonicMs();
      const hasLearned = await this.#exchange(place);
      // Before it knew the members, a node could not learn from them.
      if (hasReadMembers && hasLearned) {
        this.#state.exchangeStartedAtMs = startedAtMs;
        this.#state.exchangedAtMs = core.monotonicMs();
      }
      this.#selector.selectForQueued();
      const { idleMs, queuedMs } = intervalsFor(place, this.#lease.holder);
      const { quotas } = this.#state;
      const pauseMs = quotas.pauseMs(hasQueued ? queuedMs : idleMs);
      // A busy parent is spared, also while requests wait.
      if (this.#minIntervalMs > pauseMs) {
        await core.sleep(this.#minIntervalMs, signal);
      } else if (hasQueued) await quotas.wakeSignal.wait(pauseMs, signal);
      else await this.#wakeSignal.wait(pauseMs, signal);
    }
  }

  #findPlace(nowMs: number): TreePlace {
    const { settings, members, logger } = this.#state;
    const { sizes } = this.#state.capacity;
    const isAvoided = (node: core.InstanceId) =>
      (this.#avoidedUntilMs.get(node) ?? 0) > nowMs;
    const self = {
      node: settings.nodeName,
      failureDomain: settings.failureDomain,
      isLarge: sizes.isLarge(settings.nodeName),
    };
    const alive = members.alive();
    const place = findTreePlace(
      self,
      this.#chooseRoot(sizes.largeFirst(alive), isAvoided),
      alive.map((node) => ({
        node,
        failureDomain: members.row(node)?.failureDomain ?? "",
        isLarge: sizes.isLarge(node),
      })),
      isAvoided,
    );
    const before = this.#place;
    if (before?.parent !== place.parent || before.role !== place.role) {
      logger.info("hub_changed", {
        before: before?.parent,
        now: place.parent,
        role: place.role,
        alive: alive.length,
      });
    }
    this.#place = place;
    return place;
  }

  /** @returns whether this node knows what the other nodes know by now. */
  async #exchange({ role, parent }: TreePlace): Promise<boolean> {
    const nowMs = core.monotonicMs();
    const { quotas } = this.#state;
    if (quotas.isActive) quotas.setConnected(this.#hub.followers() + 1);
    if (role === "root") {
      quotas.becomeRoot();
      this.#hub.becomeRoot();
      this.#hub.applyLoad(nowMs);
      this.#fallBack(nowMs);
      this.#askStranger(nowMs);
      const isAlone = this.#state.members.alive().length === 1;
      return isAlone || this.#hub.followers() > 0;
    }
    const address = this.#state.members.row(parent)?.peerAddress;
    if (address === undefined) return false;
    const view = await this.#clients.exchange(address, {
      ...this.#hub.digestForParent(parent, nowMs),
      ...quotas.report(parent),
    });
    const answeredAtMs = core.monotonicMs();
    quotas.applyAnswer(parent, view);
    if (!view) {
      // A parent that is known to be busy gets a second chance.
      if (this.#minIntervalMs > 0 && this.#unanswered++ === 0) return false;
      this.#setPace(0);
      this.#avoidedUntilMs.set(parent, answeredAtMs + PARENT_AVOIDANCE_MS);
      this.#hub.forgetParent();
      this.#fallBack(answeredAtMs);
      return false;
    }
    this.#setPace(view.minIntervalMs);
    this.#applyView(parent, view, answeredAtMs, nowMs);
    return true;
  }

  #setPace(minIntervalMs: number): void {
    this.#unanswered = 0;
    const wasBusy = this.#minIntervalMs > 0;
    this.#minIntervalMs = minIntervalMs;
    if (wasBusy === minIntervalMs > 0) return;
    this.#state.logger.info("exchange_pace", {
      parent: this.#place?.parent,
      minIntervalMs,
    });
  }

  /**
   * Asks a member that does not exchange with this root. A node that the store
   * turns away cannot see that another one holds the lease, and those that
   * follow it hear of nothing either.
   */
  #askStranger(nowMs: number): void {
    if (this.#lease.isHeld || nowMs - this.#askedAtMs < ASK_INTERVAL_MS) return;
    const strangers = this.#hub.strangers(nowMs);
    const stranger = strangers[this.#asked++ % strangers.length];
    if (stranger === undefined) return;
    this.#askedAtMs = nowMs;
    this.#ask(stranger, nowMs).catch((thrown) =>
      this.#state.logger.error("exchange_crashed", {
        member: stranger,
        reason: core.messageOf(thrown),
      })
    );
  }

  async #ask(member: core.InstanceId, nowMs: number): Promise<void> {
    const address = this.#state.members.row(member)?.peerAddress;
    if (address === undefined) return;
    const view = await this.#clients
      .exchange(address, this.#hub.digestForParent(member, nowMs));
    if (!view) return;
    this.#applyMembers(member, view);
    this.#hub.applyStrangerView(member, view, core.monotonicMs(), nowMs);
    this.#noteLease(view);
  }

  #noteLease(view: peers.FleetView): void {
    if (view.leaseHolder === "") return;
    this.#lease.noteRenewal({
      holder: core.brandId<core.InstanceId>(view.leaseHolder),
      generation: view.leaseGeneration,
      version: view.leaseVersion,
      ageMs: view.leaseAgeMs,
    });
  }

  #applyMembers(member: core.InstanceId, view: peers.FleetView): void {
    const { members } = this.#state;
    members.recordContact(member, 0, members.accepts(member));
    for (const { node, ageMs, accepts, weightReduction } of view.members) {
      const other = core.brandId<core.InstanceId>(node);
      members.recordContact(other, ageMs, accepts, weightReduction);
    }
  }

  #applyView(
    parent: core.InstanceId,
    view: peers.FleetView,
    nowMs: number,
    askedAtMs: number,
  ): void {
    this.#applyMembers(parent, view);
    const states = this.#hub
      .applyParentView(parent, view, nowMs, askedAtMs);
    this.#hub.applyLoad(nowMs);
    this.#noteLease(view);
    if (!states) return this.#fallBack(nowMs);
    this.#engineStatesAtMs = nowMs;
    const { listings } = this.#state.upstreams;
    if (this.#isApplied(states, listings, nowMs)) return;
    applyEngineStates(this.#state, states.engines, states.atMs);
    this.#applied = { states, listings, atMs: nowMs };
  }

  /** Whether the states are in use for all engines that are listed now. */
  #isApplied(
    states: TaggedEngineStates,
    listings: number,
    nowMs: number,
  ): boolean {
    const applied = this.#applied;
    return applied?.states === states && applied.listings === listings &&
      nowMs - applied.atMs < ENGINE_STATES_REAPPLY_MS;
  }

  /**
   * Returns the lease holder, or else the first live node by name; among the
   * large machines if sizes differ.
   */
  #chooseRoot(
    alive: readonly core.InstanceId[],
    isAvoided: (node: core.InstanceId) => boolean,
  ): core.InstanceId {
    const self = this.#state.settings.nodeName;
    const { holder } = this.#lease;
    if (holder === self) return self;
    if (
      holder !== undefined && !isAvoided(holder) &&
      this.#state.members.row(holder) !== undefined
    ) return holder;
    return alive.find((node) => !isAvoided(node)) ?? self;
  }

  /**
   * Expires the load of other nodes once it is stale and, when the lease
   * holder's engine states are too old, takes the loaded models from the upstream
   * table. The lease holder has current values of both, so nothing expires there.
   */
  #fallBack(nowMs: number): void {
    if (this.#lease.isHeld) {
      this.#engineStatesAtMs = nowMs;
      return;
    }
    for (const each of this.#state.upstreams.all()) each.expirePeerLoad(nowMs);
    if (nowMs - this.#engineStatesAtMs < ENGINE_STATES_TTL_MS) return;
    for (const each of this.#state.upstreams.all()) each.setListedReplicas();
    this.#applied = undefined;
  }
}

/** Intervals by place in the tree; a leaf may exchange with the root itself. */
function intervalsFor(
  { role, parent }: TreePlace,
  holder: core.InstanceId | undefined,
): ExchangeIntervals {
  if (role === "leader") return LEADER_INTERVALS;
  const isInGroup = role === "leaf" && parent !== holder;
  return isInGroup ? LEAF_INTERVALS : FLAT_INTERVALS;
}
