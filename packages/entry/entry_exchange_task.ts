/** Exchanges digests with the hub, faster while requests wait. */
import * as core from "../core/mod.ts";
import type * as orders from "../orders/mod.ts";
import type * as peers from "../peers/mod.ts";
import {
  applyHoldings,
  applyUses,
  type ExchangeHub,
  makeDigest,
} from "./entry_exchange.ts";
import type { EntryPlacer } from "./entry_placer.ts";
import type { EntryState } from "./entry_state.ts";

/** Interval of exchanges: in it, others send an engine about one request. */
const EXCHANGE_INTERVAL_MS = 50;
/** Interval while requests wait for models or adapters to be loaded. */
const WAITING_INTERVAL_MS = 25;
/** Time for which a hub that did not answer is passed over. */
const HUB_AVOIDED_FOR_MS = 600;
/** Time after which what the sender of orders told gives way to the list. */
const HOLDINGS_VALID_MS = 3_000;

/** Keeps this node's picture of the others' work up to date. */
export class ExchangeTask extends core.Task {
  override readonly name = "exchange";
  readonly #state: EntryState;
  readonly #hub: ExchangeHub;
  readonly #lease: orders.OrderLease;
  readonly #clients: peers.FleetClients;
  readonly #placer: EntryPlacer;
  readonly #avoidedUntilMs = new Map<core.InstanceId, number>();
  #hubNow: core.InstanceId | undefined;
  #holdingsAtMs = -Infinity;
  readonly alarm = new core.Alarm();

  constructor(
    state: EntryState,
    hub: ExchangeHub,
    lease: orders.OrderLease,
    clients: peers.FleetClients,
    placer: EntryPlacer,
  ) {
    super();
    this.#state = state;
    this.#hub = hub;
    this.#lease = lease;
    this.#clients = clients;
    this.#placer = placer;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#exchange();
      this.#placer.drain();
      const isWaiting = this.#state.queue.size > 0;
      if (isWaiting) await core.sleep(WAITING_INTERVAL_MS, signal);
      else await this.alarm.pause(EXCHANGE_INTERVAL_MS, signal);
    }
  }

  async #exchange(): Promise<void> {
    const nowMs = core.monotonicMs();
    const hub = this.#chooseHub(nowMs);
    if (hub !== this.#hubNow) {
      const { logger } = this.#state;
      logger.info("hub_changed", { before: this.#hubNow, now: hub });
      this.#hubNow = hub;
    }
    if (hub === this.#state.settings.nodeName) {
      this.#hub.applyOwn(nowMs);
      return this.#fallBack(nowMs);
    }
    const address = this.#state.members.row(hub)?.peerAddress;
    if (address === undefined) return;
    const view = await this.#clients
      .exchange(address, makeDigest(this.#state, nowMs));
    const answeredAtMs = core.monotonicMs();
    if (!view) {
      this.#avoidedUntilMs.set(hub, answeredAtMs + HUB_AVOIDED_FOR_MS);
      return this.#fallBack(answeredAtMs);
    }
    for (const { node, ageMs, accepts } of view.members) {
      const member = core.brandId<core.InstanceId>(node);
      this.#state.members.heard(member, ageMs, accepts);
    }
    applyUses(this.#state, view.uses, answeredAtMs);
    if (view.leaseVersion > 0n) {
      this.#lease.noteRenewal(hub, Number(view.leaseVersion), view.leaseAgeMs);
    }
    if (view.hasOrders) {
      this.#holdingsAtMs = answeredAtMs;
      applyHoldings(this.#state, view.engines, answeredAtMs);
    } else this.#fallBack(answeredAtMs);
  }

  /** The sender of orders, or else the first live node by name. */
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

  /** Without word from the sender of orders, the list tells what is held. */
  #fallBack(nowMs: number): void {
    if (this.#lease.isHeld) {
      this.#holdingsAtMs = nowMs;
      return;
    }
    for (const engine of this.#state.board.all()) engine.expirePeerLoad(nowMs);
    if (nowMs - this.#holdingsAtMs < HOLDINGS_VALID_MS) return;
    for (const engine of this.#state.board.all()) engine.setListedReplicas();
  }
}
