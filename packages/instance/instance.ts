/** One entry instance: its parts, its supervisor tree, its planned stop. */
import process from "node:process";
import { Agent } from "undici";
import * as claims from "../claims/mod.ts";
import * as core from "../core/mod.ts";
import * as gateway from "../gateway/mod.ts";
import * as ledger from "../ledger/mod.ts";
import * as limits from "../limits/mod.ts";
import * as metrics from "../metrics/mod.ts";
import * as peers from "../peers/mod.ts";
import * as placement from "../placement/mod.ts";
import * as store from "../store/mod.ts";
import * as routing from "../routing/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as table from "../table/mod.ts";
import * as transport from "../transport/mod.ts";
import { makePlacement, makeRouting } from "./instance_policies.ts";
import { CallersListener } from "./callers/callers_listener.ts";
import { LimitsGiveBackTask } from "./callers/callers_limits_task.ts";
import { DigestBook } from "./peers/peers_digest.ts";
import { PeersExchangeTask } from "./peers/peers_exchange_task.ts";
import { InstancePeerHandlers } from "./peers/peers_handlers.ts";
import { PeersListTask } from "./peers/peers_list_task.ts";
import {
  PlacementDemandTask,
  plannerOf,
} from "./placement/placement_demand_task.ts";
import { PlacementTask } from "./placement/placement_task.ts";
import { TablePollTask } from "./table/table_poll_task.ts";
import { HttpUpstreamClients } from "./upstreams/upstreams_clients.ts";
import { UpstreamsReconcileTask } from "./upstreams/upstreams_reconcile_task.ts";
import { UpstreamsWatchTask } from "./upstreams/upstreams_watch_task.ts";

const FORGET_AFTER_MS = 60_000;
const CLAIM_BATCH_MAX = 64;
const CLAIM_WRITES_AT_ONCE_MAX = 4;
const RETRIES_PER_REQUEST = 0.1;
const RETRIES_SAVED_MAX = 20;
/** How long idle connections may linger at a planned stop. */
const LINGER_MS = 6_000;
/** All members together read the table's revision some 80 times a second. */
const TABLE_POLL_PER_MEMBER_MS = 12;
/** How long an instance that has heard of nobody asks before it refuses. */
const PROBE_MAX_MS = 500;
const PROBE_POLL_MS = 5;
const CONNECT_TIMEOUT_MS = 1_000;
const MICROS_PER_S = 1_000_000;
/** Engines are not used after this many times `silentAfterMs` without news. */
const STALE_FACTOR = 12;
const SETTLE_WAIT_MS = 500;
const SETTLE_MAX_MS = 5_000;

/** Policies that may be swapped for others. */
export interface InstancePolicies {
  readonly routing?: routing.RoutingPolicy;
  readonly placement?: placement.PlacementPolicy;
}

/** Where a started instance is reached. */
export interface InstanceAddresses {
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** Ports listened on, where others are advertised. */
  readonly callerPort: number;
  readonly peerPort: number;
}

/** A running entry instance. */
export class Instance {
  readonly logger: core.Logger;
  readonly recorder = new metrics.MetricsRecorder();
  readonly directory: peers.PeerDirectory;
  readonly keeper = new table.TableKeeper();
  readonly fleet: routing.Fleet;
  readonly admission: gateway.GatewayAdmission;
  readonly claimRunner: claims.ClaimRunner;
  readonly store: store.HttpTableService;
  readonly peerClients: peers.PeerClients;
  readonly #settings: settings.Settings;
  readonly #lifecycle = new core.Lifecycle();
  /** Bytes of control: peers, platform, engines' reports. */
  readonly #meter = new transport.SocketMeter();
  readonly #supervisor: core.Supervisor;
  readonly #listener: CallersListener;
  readonly #exchange: PeersExchangeTask;
  readonly #demandTask: PlacementDemandTask;
  readonly #placementTask: PlacementTask;
  readonly #limits: limits.LimitShares;
  readonly #board = new placement.DemandAggregator();
  readonly #digests: DigestBook;
  readonly #clients: HttpUpstreamClients;
  readonly #list: store.InstanceList;
  readonly #tableStore: table.TableStore;
  readonly #tablePoll: TablePollTask;
  readonly #controller: ledger.LedgerController;

  constructor(checked: settings.Settings, policies: InstancePolicies = {}) {
    this.#settings = checked;
    this.fleet = new routing.Fleet(
      checked.engines.silentAfterMs * STALE_FACTOR,
    );
    const instanceId = core.brandId<core.InstanceId>(checked.instanceId);
    const incarnation = core.randomId<core.Incarnation>("in");
    this.logger = new core.Logger({ instanceId });
    this.#supervisor = new core.Supervisor("instance", this.logger);
    this.directory = new peers.PeerDirectory({
      instanceId,
      incarnation,
      callerAddress: "",
      peerAddress: "",
      failureDomain: checked.failureDomain,
      heartbeat: 0,
      leaving: false,
      joining: true,
      load: 0,
    }, {
      retentionMs: FORGET_AFTER_MS,
    });
    const dispatcher = new Agent({
      connect: this.#meter.connector(CONNECT_TIMEOUT_MS),
    });
    this.#lifecycle.own(() => dispatcher.destroy());
    const { timeoutMs } = checked.platform;
    this.store = new store.HttpTableService(
      dispatcher,
      checked.platform.tableServiceUrl,
      timeoutMs,
    );
    this.#list = new store.HttpInstanceList({
      dispatcher,
      origin: checked.platform.instanceListUrl,
      timeoutMs,
    });
    this.#tableStore = new table.TableStore(this.store);
    this.#tablePoll = new TablePollTask(
      this.#tableStore,
      this.keeper,
      () =>
        Math.max(
          checked.table.pollIntervalMs,
          this.directory.liveMembers().length * TABLE_POLL_PER_MEMBER_MS,
        ),
    );
    this.peerClients = new peers.PeerClients(
      checked.peers.timeoutMs,
      this.#meter,
    );
    this.#lifecycle.own(() => this.peerClients.close());
    this.#clients = new HttpUpstreamClients(
      checked.engines.controlTimeoutMs,
      this.#meter,
    );
    this.#lifecycle.own(() => this.#clients.close());
    const batcher = new store.TransactBatcher(this.store, {
      batchMax: CLAIM_BATCH_MAX,
      writesAtOnceMax: CLAIM_WRITES_AT_ONCE_MAX,
    });
    const objects = new store.HttpObjectStore({
      dispatcher,
      origin: checked.platform.objectStoreUrl,
      timeoutMs,
    });
    this.claimRunner = new claims.ClaimRunner({
      instanceId,
      incarnation,
      store: new claims.ClaimStore(batcher, objects),
      peers: new peers.RemoteClaimPeers(this.peerClients, this.directory),
      unsettledMax: checked.limits.unsettledClaimsMax,
      settleWaitMs: SETTLE_WAIT_MS,
    });
    this.#limits = new limits.LimitShares({
      instanceId,
      incarnation,
      service: this.store,
      isGone: (id) => this.directory.isRemoved(id),
    });
    this.#controller = new ledger.LedgerController({
      incarnation,
      store: new ledger.LedgerStore(this.store, {
        slotsMax: checked.placement.loadsAtOnceMax,
        slotExpiryMs: checked.placement.orderMaxMs,
      }),
      honoursFencing: checked.engines.honourFencing,
      orderDelayMaxMs: checked.engines.orderDelayMaxMs,
      logger: this.logger,
    });
    this.#digests = new DigestBook({
      directory: this.directory,
      fleet: this.fleet,
      keeper: this.keeper,
      enginesMax: checked.peers.digestEnginesMax,
    });
    this.admission = new gateway.GatewayAdmission({
      inProgressMax: checked.limits.inProgressMax,
      isIsolated: () => this.#isIsolated(),
      probe: () => this.#probe(),
      isTableReady: () => this.keeper.isKnown,
    });
    this.#exchange = new PeersExchangeTask({
      directory: this.directory,
      clients: this.peerClients,
      digests: this.#digests,
      keeper: this.keeper,
      intervalMs: checked.peers.exchangeIntervalMs,
      fanout: checked.peers.fanout,
      load: () => this.admission.inProgress,
    });
    this.#placementTask = this.#makePlacementTask(policies);
    const demand = new placement.LocalDemand();
    this.#demandTask = new PlacementDemandTask({
      directory: this.directory,
      clients: this.peerClients,
      demand,
      board: this.#board,
      onDemand: () => this.#placementTask.planSoon(),
    });
    this.#listener = new CallersListener(gateway.makeApp({
      settings: checked,
      logger: this.logger,
      tableCache: this.keeper,
      tableStore: this.#tableStore,
      fleet: this.fleet,
      policy: policies.routing ?? makeRouting(checked.policies.routing),
      retryBudget: new routing.RetryBudget({
        retriesPerRequest: RETRIES_PER_REQUEST,
        balanceMax: RETRIES_SAVED_MAX,
      }),
      clients: this.#clients,
      claims: this.claimRunner,
      demand,
      limits: this.#limits,
      directory: this.directory,
      admission: this.admission,
      metrics: this.recorder,
      burn: new metrics.BurnTracker(),
      onEdit: () => this.#exchange.pushSoon(),
      onColdStart: () => this.#demandTask.reportSoon(),
      gauges: () => this.#gauges(),
    }));
  }

  /**
   * Starts every child, in the order in which they need each other.
   *
   * @example
   * ```ts
   * const running = new instance.Instance(checked);
   * const { callerAddress } = await running.start();
   * ```
   */
  async start(): Promise<InstanceAddresses> {
    const { listen } = this.#settings;
    const { host, advertiseHost } = listen;
    const peerListener = await peers.startPeerListener(
      new InstancePeerHandlers({
        digests: this.#digests,
        exchange: this.#exchange,
        keeper: this.keeper,
        claims: this.claimRunner,
        board: this.#board,
        isPlanner: () => this.#isPlanner(),
        onDemand: () => this.#placementTask.planSoon(),
      }),
      { host, port: listen.peerPort, meter: this.#meter },
    );
    this.#lifecycle.own(peerListener.cleanup);
    const callerPort = await this.#listener.listen(host, listen.callerPort);
    const peerPort = peerListener.port;
    const shownCallerPort = listen.advertiseCallerPort || callerPort;
    const shownPeerPort = listen.advertisePeerPort || peerPort;
    const addresses = {
      callerAddress: `http://${advertiseHost}:${shownCallerPort}`,
      peerAddress: `http://${advertiseHost}:${shownPeerPort}`,
    };
    this.directory.setAddresses(addresses);
    this.#lifecycle.own(
      this.keeper.registerListener(({ revision }) => {
        this.logger.info("table_in_force", { revision });
        this.#exchange.pushSoon();
      }),
    );
    this.#startTree();
    this.logger.info("instance_started", addresses);
    return { ...addresses, callerPort, peerPort };
  }

  /** Stops without cutting off a request. */
  async stop(): Promise<void> {
    const { drain, peers: peerSettings } = this.#settings;
    this.logger.info("instance_leaving", {
      inProgress: this.admission.inProgress,
    });
    this.admission.markLeaving();
    this.directory.markSelfLeaving();
    await this.#exchange.pushToAll();
    // Answers of /v1/entries given out before may be used for so long.
    const graceMs = drain.entriesMaxAgeMs + peerSettings.exchangeIntervalMs * 2;
    await core.sleep(graceMs);
    this.admission.startRejecting();
    const idle = await this.admission.whenIdle(drain.finishMaxMs);
    await this.claimRunner.settler.drain(SETTLE_MAX_MS);
    await this.#listener.close(LINGER_MS);
    await this.#supervisor.stop();
    await this.#limits.releaseUnused();
    await this.#limits.releaseUnused();
    await this.#lifecycle.close();
    this.logger.info("instance_stopped", { idle });
  }

  #startTree(): void {
    const { engines } = this.#settings;
    const root = this.#supervisor;
    root.child("table").start(this.#tablePoll);
    const peersChild = root.child("peers");
    peersChild.start(
      new PeersListTask(this.#list, this.directory, this.fleet),
    );
    peersChild.start(this.#exchange);
    const upstreamsChild = root.child("upstreams");
    upstreamsChild.start(
      new UpstreamsWatchTask({
        fleet: this.fleet,
        directory: this.directory,
        clients: this.#clients,
        reportIntervalMs: engines.reportIntervalMs,
        watchersPerEngine: engines.watchersPerEngine,
        silentAfterMs: engines.silentAfterMs,
        onSilent: ({ upstreamId }) => {
          this.logger.warn("engine_silent", { upstreamId });
          this.#exchange.pushSoon();
        },
        supervisor: upstreamsChild.child("watches"),
      }),
    );
    upstreamsChild.start(
      new UpstreamsReconcileTask({
        fleet: this.fleet,
        directory: this.directory,
        clients: this.#clients,
        controller: this.#controller,
      }),
    );
    const placementChild = root.child("placement");
    placementChild.start(this.#demandTask);
    placementChild.start(this.#placementTask);
    root.child("callers").start(new LimitsGiveBackTask(this.#limits));
  }

  #makePlacementTask(policies: InstancePolicies): PlacementTask {
    const { placement: placed } = this.#settings;
    return new PlacementTask({
      fleet: this.fleet,
      keeper: this.keeper,
      board: this.#board,
      policy: policies.placement ?? makePlacement(this.#settings),
      controller: this.#controller,
      clients: this.#clients,
      metrics: this.recorder,
      logger: this.logger,
      isPlanner: () => this.#isPlanner(),
      onChange: () => this.#exchange.pushSoon(),
      intervalMs: placed.intervalMs,
      loadsAtOnceMax: placed.loadsAtOnceMax,
      adapterLoadsAtOnceMax: placed.adapterLoadsAtOnceMax,
      orderMaxMs: placed.orderMaxMs,
    });
  }

  #isPlanner(): boolean {
    const own = this.directory.self.instanceId;
    return plannerOf(this.directory)?.instanceId === own;
  }

  /** Whether neither the store nor a peer has been heard of lately. */
  #isIsolated(): boolean {
    if (!this.directory.hasPeers) return false;
    const lastWordMs = Math.max(
      this.directory.lastPeerContactAtMs,
      this.store.use.lastReachedAtMs,
    );
    const silentMs = core.monotonicMs() - lastWordMs;
    return silentMs > this.#settings.isolation.graceMs;
  }

  /** Asks store and peers until one has answered, for a bounded time. */
  async #probe(): Promise<void> {
    const caughtUp = Promise.all([
      this.#exchange.pushToAll(),
      this.#tablePoll.poll(),
    ]);
    const deadline = new core.Deadline(PROBE_MAX_MS);
    while (this.#isIsolated() && !deadline.isOver()) {
      await core.sleep(PROBE_POLL_MS);
    }
    // Whoever answered may have brought a newer table.
    await Promise.race([caughtUp, core.sleep(deadline.remainingMs())]);
  }

  #gauges(): Readonly<Record<string, number>> {
    const { use } = this.store;
    const cpu = process.cpuUsage();
    return {
      cpu_s_total: (cpu.user + cpu.system) / MICROS_PER_S,
      resident_bytes: process.memoryUsage.rss(),
      control_bytes_total: this.#meter.totalBytes,
      table_revision: this.keeper.snapshot.revision,
      members: this.directory.liveMembers().length,
      unsettled_claims: this.claimRunner.registry.size,
      store_reads_total: use.reads,
      store_writes_total: use.writes,
      store_failures_total: use.failures,
      peer_calls_total: this.peerClients.counters.calls,
      peer_failures_total: this.peerClients.counters.failures,
      answers_foreign_total: this.#clients.dropped.foreign,
      answers_duplicate_total: this.#clients.dropped.duplicate,
    };
  }
}
