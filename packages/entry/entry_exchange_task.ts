/**
 * Exchanges digests with the hub, at shorter intervals while requests queue.
 */
import * as core from "../core/mod.ts";
import type * as orders from "../orders/mod.ts";
import type * as peers from "../peers/mod.ts";
import {
  applyEngineStates,
  applyPeerLoad,
  type ExchangeHub,
  makeDigest,
} from "./entry_exchange.ts";
import type { EntryUpstreamSelector } from "./entry_selector.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Interval of exchanges, in which the other nodes send about one request to an
 * engine.
 */
const EXCHANGE_INTERVAL_MS = 50;
/** Interval while requests are queued for models or adapters to be loaded. */
const QUEUED_INTERVAL_MS = 25;
/** An unresponsive hub is not chosen again for this long. */
const HUB_AVOIDANCE_MS = 600;
/** After this, the upstream table replaces the lease holder's engine states. */
const ENGINE_STATES_TTL_MS = 3_000;

/** Keeps this node's view of other nodes' load and of engines up to date. */
export class ExchangeTask extends core.Task {
  override readonly name = "exchange";
  readonly #state: EntryState;
  readonly #hub: ExchangeHub;
  readonly #lease: orders.OrderLease;
  readonly #clients: peers.FleetClients;
  readonly #selector: EntryUpstreamSelector;
  readonly #avoidedUntilMs = new Map<core.InstanceId, number>();
  #currentHub: core.InstanceId | undefined;
  #engineStatesAtMs = -Infinity;
  readonly wakeSignal = new core.WakeSignal();

  constructor(
    state: EntryState,
    hub: ExchangeHub,
    lease: orders.OrderLease,
    clients: peers.FleetClients,
    selector: EntryUpstreamSelector,
  ) {
    super();
    this.#state = state;
    this.#hub = hub;
    this.#lease = lease;
    this.#clients = clients;
    this.#selector = selector;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#exchange();
      this.#selector.selectForQueued();
      const hasQueued = this.#state.queue.size > 0;
      if (hasQueued) await core.sleep(QUEUED_INTERVAL_MS, signal);
      else await this.wakeSignal.wait(EXCHANGE_INTERVAL_MS, signal);
    }
  }

  async #exchange(): Promise<void> {
    const nowMs = core.monotonicMs();
    const hub = this.#chooseHub(nowMs);
    if (hub !== this.#currentHub) {
      const { logger } = this.#state;
      logger.info("hub_changed", { before: this.#currentHub, now: hub });
      this.#currentHub = hub;
    }
    if (hub === this.#state.settings.nodeName) {
      this.#hub.applyLocally(nowMs);
      return this.#fallBack(nowMs);
    }
    const address = this.#state.members.row(hub)?.peerAddress;
    if (address === undefined) return;
    const view = await this.#clients
      .exchange(address, makeDigest(this.#state, nowMs));
    const answeredAtMs = core.monotonicMs();
    if (!view) {
      this.#avoidedUntilMs.set(hub, answeredAtMs + HUB_AVOIDANCE_MS);
      return this.#fallBack(answeredAtMs);
    }
    for (const { node, ageMs, accepts } of view.members) {
      const member = core.brandId<core.InstanceId>(node);
      this.#state.members.recordContact(member, ageMs, accepts);
    }
    applyPeerLoad(this.#state, view.uses, answeredAtMs);
    if (view.leaseVersion > 0n) {
      this.#lease.noteRenewal(hub, Number(view.leaseVersion), view.leaseAgeMs);
    }
    if (view.hasOrders) {
      this.#engineStatesAtMs = answeredAtMs;
      applyEngineStates(this.#state, view.engines, answeredAtMs);
    } else this.#fallBack(answeredAtMs);
  }

  /** Returns the lease holder, or else the first live node by name. */
  #chooseHub(nowMs: number): core.InstanceId {
    const self = this.#state.settings.nodeName;
    const { holder } = this.#lease;
    const isAvoided = (node: core.InstanceId) =>
      (this.#avoidedUntilMs.get(node) ?? 0) > nowMs;
    if (holder === self) return self;
    if (
      holder !== undefined && !isAvoided(holder) &&
      this.#state.members.row(holder) !== undefined
    ) return holder;
    const next = this.#state.members.alive().find((node) => !isAvoided(node));
    return next ?? self;
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
  }
}
