/** An entry node: its components, task supervision and planned stop. */
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as orders from "../orders/mod.ts";
import * as peers from "../peers/mod.ts";
import * as memory from "../memory/mod.ts";
import * as mirror from "../mirror/mod.ts";
import type * as store from "../store/mod.ts";
import type * as transport from "../transport/mod.ts";
import { ExchangeHub } from "./entry_exchange.ts";
import { ExchangeTask } from "./entry_exchange_task.ts";
import {
  type FollowOptions,
  FollowTask,
  PeerTables,
  StoreHealth,
} from "./entry_follow_task.ts";
import {
  ConfigListener,
  MemberListener,
  UpstreamListener,
} from "./entry_listeners.ts";
import { CallerListener } from "./entry_caller_listener.ts";
import { MemberRowTask } from "./entry_member_row.ts";
import { LEASE_TABLE, NODE_TABLE } from "./entry_members.ts";
import { OrdersTask } from "./entry_orders_task.ts";
import {
  OriginReader,
  OriginRowsTask,
  VersionListener,
} from "./entry_origin_rows.ts";
import {
  CombinedListener,
  QuarantineListener,
  QuarantineRowsTask,
} from "./entry_quarantine.ts";
import { EntryPermits } from "./entry_permits.ts";
import { EntryUpstreamSelector } from "./entry_selector.ts";
import { SharedRead } from "./entry_shared_read.ts";
import { EntryState } from "./entry_state.ts";
import { StepWatch } from "./entry_step_watch.ts";
import { finishRequests } from "./entry_stop.ts";
import {
  DIRECTORY_TTL_MAX_MS,
  limitListener,
  startMetricsListener,
  startSystemListeners,
} from "./entry_system_listeners.ts";
import { TableNewsExchange } from "./entry_table_news.ts";
import { TakeUpResolver } from "./entry_take_ups.ts";
import { TeamAccess } from "./teams/entry_team_access.ts";
import { followConfig } from "./teams/entry_team_reads.ts";

/** What the platform provides to an entry node. */
export interface EntryDependencies {
  readonly dialect: fleet.HttpDialect;
  readonly source: fleet.FleetSource;
  readonly control: fleet.EngineControl;
  readonly store: store.ChangeFeedTableService;
}

/**
 * Time for which a stopping node still serves new requests: callers may cache a
 * directory response for up to three TTLs.
 */
const STOP_LINGER_MS = 3 * DIRECTORY_TTL_MAX_MS;
/**
 * Time beyond the grace period for which an address in use is waited for: the
 * process that has it is killed when its grace period ends.
 */
const LISTEN_MARGIN_MS = 2_000;

/**
 * Options for following the tables. The platform's rules tolerate an
 * unresponsive connection for 3 s, so a wait ends well before that. Changes of
 * the upstream table come in bursts and must be applied within 2 s. Member rows
 * may be later, because members exchange most of their state directly.
 */
const UPSTREAM_FOLLOW = {
  waitMs: 1_000,
  coalesceMs: 300,
  // Heartbeats of 100 engines change the table 80 times a second. Fleets of this
  // size apply changes within 3 s.
  sharedCoalesceMs: 600,
};
const MEMBER_FOLLOW = { waitMs: 8_000, coalesceMs: 100 };

/** Passes calls of other nodes to the hub, and to the issuer of permits. */
class HubHandler extends peers.FleetHandler {
  readonly #hub: ExchangeHub;
  readonly #permits: EntryPermits;

  constructor(hub: ExchangeHub, permits: EntryPermits) {
    super();
    this.#hub = hub;
    this.#permits = permits;
  }

  override exchange(digest: peers.NodeDigest): peers.FleetView {
    return this.#hub.exchange(digest);
  }

  override readTable(request: peers.ReadTableRequest): peers.ReadTableReply {
    return this.#hub.readTable(request);
  }

  override requestPermits(request: peers.PermitRequest): peers.PermitReply {
    return this.#permits.issue(request);
  }
}

/** Reads tables from other nodes at the addresses of their member rows. */
class MemberTables extends PeerTables {
  readonly #state: EntryState;
  readonly #clients: peers.FleetClients;

  constructor(state: EntryState, clients: peers.FleetClients) {
    super();
    this.#state = state;
    this.#clients = clients;
  }

  override async read(
    holder: core.InstanceId,
    table: string,
    position: mirror.Cursor | undefined,
  ): Promise<peers.TableNews | undefined> {
    const address = this.#state.members.row(holder)?.peerAddress;
    if (address === undefined) return undefined;
    return await this.#clients.readTable(address, table, position);
  }
}

/** An entry node; start it once, then stop or close it. */
export class EntryNode {
  readonly state: EntryState;
  readonly #dependencies: EntryDependencies;
  readonly #lifecycle = new core.Lifecycle();
  readonly #supervisor: core.Supervisor;
  readonly #hub: ExchangeHub;
  readonly #clients: peers.FleetClients;
  readonly #followTasks: readonly FollowTask[];
  readonly #lease: orders.OrderLease;
  readonly #stepWatch: StepWatch;
  readonly #suspension: core.SuspensionWatch;
  readonly #permits: EntryPermits;
  readonly #selector: EntryUpstreamSelector;
  readonly #callerListener: CallerListener;
  readonly #originReader: OriginReader;
  readonly #exchangeWakeSignal: core.WakeSignal;
  readonly #memberRow: MemberRowTask;
  #stopping: Promise<void> | undefined;

  constructor(
    settings: fleet.EntrySettings,
    dependencies: EntryDependencies,
    logger: core.Logger,
  ) {
    this.state = new EntryState(settings, logger);
    this.#dependencies = dependencies;
    this.#suspension = new core.SuspensionWatch(logger);
    this.#supervisor = new core.Supervisor("entry", logger);
    this.#memberRow = new MemberRowTask(this.state, dependencies.store);
    this.#clients = new peers.FleetClients(logger);
    this.#followTasks = this.#createFollowTasks();
    const tables = this.#followTasks;
    const versionTables = [dependencies.source.upstreamTable, NODE_TABLE]
      .map((name) => tables.find(({ copy }) => copy.name === name)!);
    const versionsRead = new SharedRead(async () => {
      const reads = versionTables.map((table) => table.refresh());
      return (await Promise.all(reads)).every(Boolean);
    });
    this.#hub = new ExchangeHub(this.state, new TableNewsExchange(tables));
    this.#lease = new orders.OrderLease(dependencies.store, {
      key: `${LEASE_TABLE}/holder`,
      self: settings.nodeName,
      incarnation: this.state.incarnation,
      leaseMs: settings.orders.leaseMs,
      enginesCheckFences: settings.orders.enginesCheckFences,
      isEligible: () => this.state.isReady,
      rank: () => this.state.capacity.rank(),
      yields: () => this.state.capacity.yieldsLease(),
      followers: () => this.#hub.followers(),
    }, logger);
    this.#stepWatch = new StepWatch(this.state, {
      listConfirmedAtMs: () => versionTables[0]!.copy.confirmedAtMs,
      readList: () => versionsRead.run(),
    }, this.#suspension);
    this.#permits = new EntryPermits(
      this.state,
      (address, request) => this.#clients.requestPermits(address, request),
    );
    this.#selector = new EntryUpstreamSelector(
      this.state,
      this.#stepWatch,
      this.#permits,
    );
    this.#originReader = new OriginReader(this.state, dependencies.store);
    this.#exchangeWakeSignal = new core.WakeSignal();
    this.#callerListener = new CallerListener(
      this.state,
      dependencies.dialect,
      this.#selector,
      new TakeUpResolver(
        this.state,
        this.#originReader,
        {
          wakeExchange: () => this.#exchangeWakeSignal.wake(),
          readVersions: () => versionsRead.run(),
        },
      ),
      this.#createTeamAccess(),
    );
  }

  /** Starts the listeners, then the tasks. */
  async start(): Promise<void> {
    const { settings, logger } = this.state;
    const hub = this.#hub;
    const clients = this.#clients;
    this.#lifecycle.addCleanup(() => clients.close());
    this.#lifecycle.addCleanup(() => this.state.pools.close());
    this.#lifecycle.addCleanup(this.#suspension.start());
    this.#lifecycle.addCleanup(this.state.overload.start());
    this.#lifecycle.addCleanup(
      new memory.MemoryWatch(memory.processMemory, logger).start(),
    );
    const { host, port } = settings.listen.peers;
    this.#lifecycle.addCleanup(
      await peers.startFleetListener(
        new HubHandler(hub, this.#permits),
        host,
        port,
        this.#listenPatience("peers"),
        (server) => limitListener(this.state, server, "peers", "peers"),
      ),
    );
    const { dialect } = this.#dependencies;
    await startSystemListeners(
      this.state,
      dialect,
      this.#lifecycle,
      (listener) => this.#listenPatience(listener),
    );
    this.#lifecycle.addCleanup(
      await this.#callerListener.listen(
        settings.listen.callers,
        this.#listenPatience("callers"),
      ),
    );
    startMetricsListener(
      this.state,
      this.#lifecycle,
      () => this.#lease.isHeld,
      this.#listenPatience("metrics"),
    );
    this.#lifecycle.addCleanup(() => this.#supervisor.stop());
    this.#startTasks(hub, clients);
    logger.info("started", {
      node: settings.nodeName,
      incarnation: this.state.incarnation,
      callers:
        `${settings.listen.callers.host}:${settings.listen.callers.port}`,
      store: settings.storeOrigin,
    });
  }

  /** Waits out the planned stop of the process that had the addresses before. */
  #listenPatience(listener: string): transport.ListenPatience {
    const { settings, logger } = this.state;
    return {
      timeoutMs: settings.graceMs + LISTEN_MARGIN_MS,
      backlogMax: memory.processMemory.limits.backlogMax,
      onWait: (reason) => logger.warn("listen_waiting", { listener, reason }),
      signal: this.#lifecycle.signal,
    };
  }

  /** Applies changed settings; in-flight requests are not affected. */
  reload(settings: fleet.EntrySettings): void {
    this.state.reload(settings);
  }

  /**
   * Stops the node as planned. Releases the order lease, leaves the directory
   * and waits until no request is in flight, so that none is cut off, but no
   * longer than the grace period. Further calls wait for the same stop.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    const { state } = this;
    state.isStopping = true;
    const startedAtMs = core.monotonicMs();
    state.logger.info("stopping", { requests: state.requestsInFlight });
    let isHandedOver = false;
    Promise.allSettled([this.#lease.release(), this.#memberRow.write(true)])
      .then(() => isHandedOver = true);
    await finishRequests(state, this.#callerListener, {
      lingerMs: STOP_LINGER_MS,
      isHandedOver: () => isHandedOver && !this.#lease.isHeld,
    });
    state.logger.info("stopped", {
      requests: state.requestsInFlight,
      tookMs: Math.round(core.monotonicMs() - startedAtMs),
    });
  }

  /** Ends all tasks and closes all connections. */
  close(): Promise<void> {
    return this.#lifecycle.close();
  }

  #createTeamAccess(): TeamAccess {
    const { dialect, source } = this.#dependencies;
    const { copy } = this.#followTasks
      .find(({ copy }) => copy.name === source.configTable)!;
    return new TeamAccess(this.state, dialect, {
      configAsOfMs: () => copy.currency?.asOfMs ?? Infinity,
      readClock: () => this.#suspension.read(),
    });
  }

  /** Creates the tasks that keep the copies of the store's tables. */
  #createFollowTasks(): FollowTask[] {
    const { state } = this;
    const { source, store } = this.#dependencies;
    const storeHealth = new StoreHealth(state.logger);
    const upstreamListener = new UpstreamListener(
      state,
      source,
      storeHealth,
      this.#lifecycle,
    );
    upstreamListener.onChange = () => this.#selector.selectForQueued();
    const tables: [mirror.TableMirrorOptions, FollowOptions][] = [
      [{
        name: source.configTable,
        listener: new ConfigListener(state, source, upstreamListener),
        ...(state.settings.revocationMs === undefined
          ? {}
          : { resumedAtMs: () => this.#suspension.resumedAtMs }),
      }, followConfig(state.settings)],
      [{
        name: source.upstreamTable,
        listener: upstreamListener,
        significantPart: (value) => source.significantUpstreamPart(value),
      }, UPSTREAM_FOLLOW],
      [
        {
          name: NODE_TABLE,
          listener: new CombinedListener([
            new QuarantineListener(state.quarantine),
            new MemberListener(state),
            new VersionListener(state.softwareVersions),
          ]),
        },
        MEMBER_FOLLOW,
      ],
    ];
    const rank = () =>
      mirror.rankReader(
        state.settings.nodeName,
        state.members.alive(),
        (nodes) => state.capacity.sizes.largeFirst(nodes),
      );
    const peerTables = new MemberTables(state, this.#clients);
    return tables.map(([options, followOptions]) => {
      const copy = new mirror.TableMirror(options);
      return new FollowTask(
        { store, peers: peerTables },
        copy,
        storeHealth,
        followOptions,
        // Ages are passed down the tree only, so its root has to read.
        () =>
          copy.currency && this.#hub.isRoot ? { ...rank(), rank: 0 } : rank(),
        state.logger,
      );
    });
  }

  #startTasks(hub: ExchangeHub, clients: peers.FleetClients): void {
    const { state } = this;
    const lease = this.#lease;
    const { control } = this.#dependencies;
    control.onLeaving = (engine) =>
      state.recordLeaving(engine, false, core.monotonicMs());
    const ordersTask = new OrdersTask(state, hub, lease, control);
    const exchange = new ExchangeTask(
      state,
      hub,
      lease,
      clients,
      this.#selector,
      this.#exchangeWakeSignal,
    );
    hub.connect({
      engineStates: () => ordersTask.engineStates(),
      lastRenewal: () => lease.lastRenewal,
      onQueued: () => {
        if (lease.isHeld) ordersTask.wakeSignal.wake();
        else exchange.noteQueuedBelow();
      },
    });
    state.quotas.onWaiting = () => this.#exchangeWakeSignal.wake();
    this.#selector.onQueued = () => {
      this.#exchangeWakeSignal.wake();
      if (lease.isHeld) ordersTask.wakeSignal.wake();
    };
    lease.onAcquired = () => ordersTask.wakeSignal.wake();
    const follow = this.#supervisor.child("follow");
    for (const task of this.#followTasks) follow.start(task);
    this.#supervisor.start(this.#memberRow);
    this.#supervisor.start(exchange);
    this.#supervisor.start(lease);
    this.#supervisor.start(ordersTask);
    this.#supervisor.start(
      new QuarantineRowsTask(state, this.#dependencies.store),
    );
    this.#supervisor.start(
      new OriginRowsTask(
        state,
        this.#dependencies.store,
        this.#originReader,
        () => hub.isRoot,
      ),
    );
  }
}
