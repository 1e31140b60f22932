/** One entry node: its parts, its supervisor tree and its planned stop. */
import { createServer, type Server } from "node:http";
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as orders from "../orders/mod.ts";
import * as peers from "../peers/mod.ts";
import type * as store from "../store/mod.ts";
import * as transport from "../transport/mod.ts";
import { ExchangeHub } from "./entry_exchange.ts";
import { ExchangeTask } from "./entry_exchange_task.ts";
import {
  type FollowOptions,
  FollowTask,
  StoreWatch,
  type TableListener,
} from "./entry_follow_task.ts";
import {
  ConfigListener,
  OwnListener,
  UpstreamListener,
} from "./entry_listeners.ts";
import { CallerListener } from "./entry_caller_listener.ts";
import {
  LEASE_TABLE,
  MEMBER_PREFIX,
  type MemberRow,
  OWN_TABLE,
} from "./entry_members.ts";
import { OrdersTask } from "./entry_orders_task.ts";
import { EntryPlacer } from "./entry_placer.ts";
import { EntryState } from "./entry_state.ts";

/** What a platform brings for an entry node. */
export interface EntryDependencies {
  readonly dialect: fleet.HttpDialect;
  readonly source: fleet.FleetSource;
  readonly control: fleet.EngineControl;
  readonly store: store.FollowedTableService;
}

/** Time for which callers keep a directory answer, unless they allow less. */
const DIRECTORY_TTL_MS = 900;
/** Callers keep answers up to three times as long, then stop coming. */
const STOP_LINGER_MS = 3 * DIRECTORY_TTL_MS;
/** Time left of the grace period when the process ends in any case. */
const GRACE_MARGIN_MS = 400;
const STOP_POLL_MS = 50;
/** Pause between tries to write this node's row. */
const ROW_RETRY_MS = 300;

/**
 * How tables are followed. A wait ends well before the 3 s for which the rules
 * excuse a connection that fell silent; changes of the list come in bursts and
 * have 2 s to be taken in; members tell each other most themselves.
 */
const CONFIG_FOLLOW = { waitMs: 2_000, gatherMs: 0 };
const UPSTREAM_FOLLOW = { waitMs: 2_000, gatherMs: 150 };
const OWN_FOLLOW = { waitMs: 8_000, gatherMs: 100 };

/** Hands exchanges of other nodes to the hub. */
class HubHandler extends peers.FleetHandler {
  readonly #hub: ExchangeHub;

  constructor(hub: ExchangeHub) {
    super();
    this.#hub = hub;
  }

  override exchange(digest: peers.NodeDigest): peers.FleetView {
    return this.#hub.exchange(digest);
  }
}

/** Runs one entry node. */
export class EntryNode {
  readonly state: EntryState;
  readonly #tools: EntryDependencies;
  readonly #lifecycle = new core.Lifecycle();
  readonly #supervisor: core.Supervisor;
  readonly #hub: ExchangeHub;
  readonly #lease: orders.OrderLease;
  readonly #placer: EntryPlacer;
  readonly #callers: CallerListener;
  #isRowWritten = false;

  constructor(
    settings: fleet.EntrySettings,
    tools: EntryDependencies,
    logger: core.Logger,
  ) {
    this.state = new EntryState(settings, logger);
    this.#tools = tools;
    this.#supervisor = new core.Supervisor("entry", logger);
    this.#hub = new ExchangeHub(this.state);
    this.#lease = new orders.OrderLease(tools.store, {
      key: `${LEASE_TABLE}/holder`,
      self: settings.nodeName,
      incarnation: this.state.incarnation,
      leaseMs: settings.orders.leaseMs,
      enginesCheckFences: settings.orders.enginesCheckFences,
      isEligible: () => this.state.isReady,
      rank: () => this.state.members.alive().indexOf(settings.nodeName),
      followers: () => this.#hub.followers(),
    }, logger);
    this.#placer = new EntryPlacer(this.state);
    this.#callers = new CallerListener(this.state, tools.dialect, this.#placer);
  }

  /** Listens and starts every task. */
  async start(): Promise<void> {
    const { settings, logger } = this.state;
    const watch = new StoreWatch(logger);
    const hub = this.#hub;
    const clients = new peers.FleetClients(logger);
    this.#lifecycle.own(() => clients.close());
    this.#lifecycle.own(() => this.state.pools.close());
    const { host, port } = settings.listen.peers;
    this.#lifecycle.own(
      await peers.registerFleetListener(new HubHandler(hub), host, port),
    );
    await this.#listenForPlatform();
    this.#lifecycle.own(await this.#callers.listen(settings.listen.callers));
    this.#lifecycle.own(() => this.#supervisor.stop());
    this.#startTasks(watch, hub, clients);
    logger.info("started", {
      node: settings.nodeName,
      incarnation: this.state.incarnation,
      callers:
        `${settings.listen.callers.host}:${settings.listen.callers.port}`,
      store: settings.storeOrigin,
    });
  }

  /** Takes changed settings; requests on the way are not touched. */
  reload(settings: fleet.EntrySettings): void {
    this.state.reload(settings);
  }

  /** Stops as planned: no request that was taken is cut off. */
  async stop(): Promise<void> {
    const { state } = this;
    if (state.isStopping) return;
    state.isStopping = true;
    const startedAtMs = core.monotonicMs();
    state.logger.info("stopping", { requests: state.requests });
    this.#callers.stopKeepingOpen();
    const released = this.#lease.release();
    const told = this.#writeRow(true);
    const endsAtMs = startedAtMs + state.settings.graceMs - GRACE_MARGIN_MS;
    this.#callers.refuseNew(startedAtMs + STOP_LINGER_MS, endsAtMs);
    for (;;) {
      await core.sleep(STOP_POLL_MS);
      const nowMs = core.monotonicMs();
      const hasLingered = nowMs - startedAtMs >= STOP_LINGER_MS;
      const isDone = state.requests === 0 && !this.#lease.isHeld;
      if (hasLingered && isDone) break;
      if (nowMs >= endsAtMs) break;
    }
    await Promise.race([Promise.all([released, told]), core.sleep(100)]);
    state.logger.info("stopped", {
      requests: state.requests,
      tookMs: Math.round(core.monotonicMs() - startedAtMs),
    });
  }

  /** Ends every task and connection. */
  close(): Promise<void> {
    return this.#lifecycle.close();
  }

  #startTasks(
    watch: StoreWatch,
    hub: ExchangeHub,
    clients: peers.FleetClients,
  ): void {
    const { state } = this;
    const { source, store: tables, control } = this.#tools;
    const lease = this.#lease;
    const upstreams = new UpstreamListener(
      state,
      source,
      watch,
      this.#lifecycle,
    );
    const config = new ConfigListener(state, source, upstreams);
    const own = new OwnListener(state);
    const ordersTask = new OrdersTask(state, hub, lease, control);
    const exchange = new ExchangeTask(state, hub, lease, clients, this.#placer);
    hub.renewal = () => lease.renewal;
    hub.holdings = () => ordersTask.holdings();
    hub.onWaiting = () => ordersTask.alarm.ring();
    this.#placer.onWait = () => {
      exchange.alarm.ring();
      if (lease.isHeld) ordersTask.alarm.ring();
    };
    upstreams.onChange = () => this.#placer.drain();
    const follow = this.#supervisor.child("follow");
    const followed: [string, TableListener, FollowOptions][] = [
      [source.configTable, config, CONFIG_FOLLOW],
      [source.upstreamTable, upstreams, UPSTREAM_FOLLOW],
      [OWN_TABLE, own, OWN_FOLLOW],
    ];
    for (const [table, listener, options] of followed) {
      follow.start(new FollowTask(tables, table, listener, watch, options));
    }
    this.#supervisor.start(new RowTask((signal) => this.#keepRow(signal)));
    this.#supervisor.start(exchange);
    this.#supervisor.start(lease);
    this.#supervisor.start(ordersTask);
  }

  /** Writes this node's row until the store has taken it. */
  async #keepRow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.#isRowWritten) {
      await this.#writeRow(false);
      if (!this.#isRowWritten) {
        await core.sleep(core.jitterMs(ROW_RETRY_MS), signal);
      }
    }
  }

  async #writeRow(isLeaving: boolean): Promise<void> {
    const { settings, incarnation, logger } = this.state;
    const { callers, peers: peerAddress } = settings.listen;
    const row: MemberRow = {
      callerAddress: `${callers.host}:${callers.port}`,
      peerAddress: `${peerAddress.host}:${peerAddress.port}`,
      failureDomain: settings.failureDomain,
      incarnation,
      isLeaving,
    };
    const outcome = await this.#tools.store.transact({
      checks: [],
      writes: [{
        key: `${OWN_TABLE}/${MEMBER_PREFIX}${settings.nodeName}`,
        value: core.toJsonValue(row),
      }],
    });
    if (outcome.isErr()) {
      const { detail } = outcome.error;
      logger.warn("member_row_not_written", { isLeaving, detail });
      return;
    }
    this.#isRowWritten = true;
  }

  /** Answers the platform's checks and callers that ask for addresses. */
  async #listenForPlatform(): Promise<void> {
    const { readiness, directory, metrics } = this.state.settings.listen;
    const answer = createServer((request, response) => {
      const call = this.#tools.dialect.matchSystemEndpoint(request.url ?? "");
      if (call === "ready") {
        response.writeHead(this.state.isReady ? 200 : 503).end();
      } else if (call === "directory") {
        const addresses = this.#directoryAddresses();
        if (addresses.length === 0) return response.writeHead(503).end();
        response.writeHead(200, { "content-type": "application/json" })
          .end(this.#tools.dialect.writeDirectory(addresses, this.#ttlMs));
      } else response.writeHead(404).end();
    });
    const listen = async (server: Server, address: fleet.ListenAddress) => {
      const { host, port } = address;
      this.#lifecycle.own(await transport.registerServer(server, host, port));
    };
    await listen(answer, readiness);
    const isShared = readiness.host === directory.host &&
      readiness.port === directory.port;
    if (!isShared) {
      const second = createServer(answer.listeners("request")[0] as () => void);
      await listen(second, directory);
    }
    const counts = createServer((_request, response) => {
      response.writeHead(200, { "content-type": "text/plain" })
        .end(this.state.metrics.render(this.#gauges()));
    });
    await listen(counts, metrics);
  }

  get #ttlMs(): number {
    return Math.min(DIRECTORY_TTL_MS, this.state.settings.directoryTtlMs);
  }

  #directoryAddresses(): string[] {
    const { members, isReady, settings } = this.state;
    const { host, port } = settings.listen.callers;
    const own = isReady ? [`${host}:${port}`] : [];
    return [...own, ...members.callerAddresses()];
  }

  #gauges(): Record<string, number> {
    const { config, queue, requests, members } = this.state;
    return {
      config_version: config?.version ?? 0,
      requests_in_progress: requests,
      requests_waiting: queue.size,
      members_alive: members.alive().length,
      orders_held: this.#lease.isHeld ? 1 : 0,
    };
  }
}

/** Runs one function as a task. */
class RowTask extends core.Task {
  override readonly name = "member-row";
  readonly #work: (signal: AbortSignal) => Promise<void>;

  constructor(work: (signal: AbortSignal) => Promise<void>) {
    super();
    this.#work = work;
  }

  override run(signal: AbortSignal): Promise<void> {
    return this.#work(signal);
  }
}
