/** Assembles one entry instance, supervises its tasks and shuts it down. */
import type { Server } from "node:http";
import process from "node:process";
import { Agent } from "undici";
import * as claims from "../claims/mod.ts";
import * as core from "../core/mod.ts";
import * as fairness from "../fairness/mod.ts";
import * as gateway from "../gateway/mod.ts";
import * as ledger from "../ledger/mod.ts";
import * as limits from "../limits/mod.ts";
import * as memory from "../memory/mod.ts";
import * as metrics from "../metrics/mod.ts";
import * as peers from "../peers/mod.ts";
import * as placement from "../placement/mod.ts";
import * as store from "../store/mod.ts";
import * as routing from "../routing/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as table from "../table/mod.ts";
import * as transport from "../transport/mod.ts";
import { makePlacement, makeRouting } from "./instance_policies.ts";
import { PlannedStop } from "./instance_stop.ts";
import { CallersListener } from "./callers/callers_listener.ts";
import { LimitsReleaseTask } from "./callers/callers_limits_task.ts";
import { DigestManager } from "./peers/peers_digest.ts";
import { PeersExchangeTask } from "./peers/peers_exchange_task.ts";
import { InstancePeerHandlers } from "./peers/peers_handlers.ts";
import { PeersListTask } from "./peers/peers_list_task.ts";
import {
  findPlanner,
  PlacementDemandTask,
} from "./placement/placement_demand_task.ts";
import { PlacementTask } from "./placement/placement_task.ts";
import { TablePollTask } from "./table/table_poll_task.ts";
import { HttpUpstreamClients } from "./upstreams/upstreams_clients.ts";
import { UpstreamsReconcileTask } from "./upstreams/upstreams_reconcile_task.ts";
import { UpstreamsWatchTask } from "./upstreams/upstreams_watch_task.ts";

/** An instance of single modules and its planner take 100 MB when idle. */
const PROGRAM_MB = 120;
const MEMBER_RETENTION_MS = 60_000;
const CLAIM_BATCH_MAX = 64;
const CLAIM_WRITES_IN_FLIGHT_MAX = 4;
const RETRIES_PER_REQUEST = 0.1;
const RETRY_BALANCE_MAX = 20;
/**
 * Poll interval per live member, so that all members together read the table's
 * revision about 80 times per second.
 */
const TABLE_POLL_PER_MEMBER_MS = 12;
/**
 * How long an isolated instance probes the store and its peers before it
 * rejects requests.
 */
const PROBE_MAX_MS = 500;
const PROBE_POLL_MS = 5;
const CONNECT_TIMEOUT_MS = 1_000;
/** Time beyond a planned stop for which an address in use is waited for. */
const LISTEN_MARGIN_MS = 10_000;
const MICROS_PER_S = 1_000_000;
/** An engine is unusable if its report is older than this × `silentAfterMs`. */
const STALE_FACTOR = 12;
const CLAIM_SETTLE_WAIT_MS = 500;

/** Policies that replace those named in the settings. */
export interface InstancePolicies {
  readonly routing?: routing.RoutingPolicy;
  readonly placement?: placement.PlacementPolicy;
}

/** Advertised addresses and bound ports of a started instance. */
export interface InstanceAddresses {
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** The bound ports; the advertised ones may differ. */
  readonly callerPort: number;
  readonly peerPort: number;
}

/** A running entry instance. */
export class Instance {
  readonly logger: core.Logger;
  readonly #limitReporter: memory.LimitReporter;
  readonly recorder = new metrics.MetricsRecorder();
  readonly #teamOrder = new fairness.TeamOrder({
    onUnderserved: (underserved) => {
      this.recorder.increment("teams_underserved");
      this.logger
        .warn("team_underserved", fairness.toLogFields(underserved));
    },
  });
  readonly directory: peers.PeerDirectory;
  readonly tableCache = new table.TableCache();
  readonly fleet: routing.Fleet;
  readonly admission: gateway.GatewayAdmission;
  readonly claimRunner: claims.ClaimRunner;
  readonly store: store.HttpTableService;
  readonly peerClients: peers.PeerClients;
  readonly #settings: settings.Settings;
  readonly #lifecycle = new core.Lifecycle();
  /** Counts control traffic: peers, platform services and engine reports. */
  readonly #controlMeter = new transport.SocketMeter();
  readonly #supervisor: core.Supervisor;
  readonly #callersListener: CallersListener;
  readonly #exchangeTask: PeersExchangeTask;
  readonly #demandTask: PlacementDemandTask;
  readonly #placementTask: PlacementTask;
  readonly #limitShares: limits.LimitShares;
  readonly #demandAggregator = new placement.DemandAggregator();
  readonly #digests: DigestManager;
  readonly #upstreamClients: HttpUpstreamClients;
  readonly #instanceList: store.InstanceList;
  readonly #tableStore: table.TableStore;
  readonly #tablePollTask: TablePollTask;
  readonly #ledgerController: ledger.LedgerController;

  constructor(
    validSettings: settings.Settings,
    policies: InstancePolicies = {},
  ) {
    this.#settings = validSettings;
    this.fleet = new routing.Fleet(
      validSettings.engines.silentAfterMs * STALE_FACTOR,
    );
    const instanceId = core.brandId<core.InstanceId>(validSettings.instanceId);
    const incarnation = core.randomId<core.Incarnation>("in");
    this.logger = new core.Logger({ instanceId });
    this.#limitReporter = new memory.LimitReporter(this.logger);
    const { memoryMb, descriptorsMax } = validSettings.limits;
    memory.processMemory.configure(memory.deriveLimits({
      ...(memoryMb ? { memoryMb } : {}),
      ...(descriptorsMax ? { descriptorsMax } : {}),
      programMb: PROGRAM_MB,
    }));
    this.#lifecycle.addCleanup(
      new memory.MemoryWatch(memory.processMemory, this.logger).start(),
    );
    this.#supervisor = new core.Supervisor("instance", this.logger);
    this.directory = new peers.PeerDirectory({
      instanceId,
      incarnation,
      callerAddress: "",
      peerAddress: "",
      failureDomain: validSettings.failureDomain,
      heartbeat: 0,
      leaving: false,
      joining: true,
      load: 0,
    }, {
      retentionMs: MEMBER_RETENTION_MS,
    });
    const dispatcher = new Agent({
      connect: this.#controlMeter.connector(CONNECT_TIMEOUT_MS),
    });
    this.#lifecycle.addCleanup(() => dispatcher.destroy());
    const { timeoutMs } = validSettings.platform;
    this.store = new store.HttpTableService(
      dispatcher,
      validSettings.platform.tableServiceUrl,
      timeoutMs,
    );
    this.#instanceList = new store.HttpInstanceList({
      dispatcher,
      origin: validSettings.platform.instanceListUrl,
      timeoutMs,
    });
    this.#tableStore = new table.TableStore(this.store, validSettings.table);
    this.#tablePollTask = new TablePollTask(
      this.#tableStore,
      this.tableCache,
      () =>
        Math.max(
          validSettings.table.pollIntervalMs,
          this.directory.liveMembers().length * TABLE_POLL_PER_MEMBER_MS,
        ),
    );
    this.peerClients = new peers.PeerClients(
      validSettings.peers.timeoutMs,
      this.#controlMeter,
    );
    this.#lifecycle.addCleanup(() => this.peerClients.close());
    this.#upstreamClients = new HttpUpstreamClients(
      validSettings.engines.controlTimeoutMs,
      this.#controlMeter,
    );
    this.#lifecycle.addCleanup(() => this.#upstreamClients.close());
    const batcher = new store.TransactBatcher(this.store, {
      batchMax: CLAIM_BATCH_MAX,
      writesInFlightMax: CLAIM_WRITES_IN_FLIGHT_MAX,
    });
    const objects = new store.HttpObjectStore({
      dispatcher,
      origin: validSettings.platform.objectStoreUrl,
      timeoutMs,
    });
    this.claimRunner = new claims.ClaimRunner({
      instanceId,
      incarnation,
      store: new claims.ClaimStore(batcher, objects),
      peers: new peers.RemoteClaimPeers(this.peerClients, this.directory),
      unsettledMax: validSettings.limits.unsettledClaimsMax,
      settleWaitMs: CLAIM_SETTLE_WAIT_MS,
    });
    this.#limitShares = new limits.LimitShares({
      instanceId,
      incarnation,
      service: this.store,
      isRemoved: (id) => this.directory.isRemoved(id),
    });
    this.#ledgerController = new ledger.LedgerController({
      incarnation,
      store: new ledger.LedgerStore(this.store, {
        slotsMax: validSettings.placement.loadsAtOnceMax,
        slotExpiryMs: validSettings.placement.orderMaxMs,
      }, this.logger),
      honoursFencing: validSettings.engines.honourFencing,
      orderDelayMaxMs: validSettings.engines.orderDelayMaxMs,
      logger: this.logger,
    });
    this.#digests = new DigestManager({
      directory: this.directory,
      fleet: this.fleet,
      tableCache: this.tableCache,
      enginesMax: validSettings.peers.digestEnginesMax,
    });
    this.admission = new gateway.GatewayAdmission({
      inProgressMax: validSettings.limits.inProgressMax,
      isIsolated: () => this.#isIsolated(),
      probe: () => this.#probe(),
      isTableReady: () => this.tableCache.hasSnapshot,
    });
    this.#exchangeTask = new PeersExchangeTask({
      directory: this.directory,
      clients: this.peerClients,
      digests: this.#digests,
      tableCache: this.tableCache,
      intervalMs: validSettings.peers.exchangeIntervalMs,
      fanout: validSettings.peers.fanout,
      load: () => this.admission.inProgress,
    });
    this.#placementTask = this.#makePlacementTask(policies);
    const demand = new placement.LocalDemand();
    this.#demandTask = new PlacementDemandTask({
      directory: this.directory,
      clients: this.peerClients,
      demand,
      demandAggregator: this.#demandAggregator,
      onDemand: () => this.#placementTask.planSoon(),
    });
    this.#callersListener = new CallersListener(
      gateway.makeApp({
        settings: validSettings,
        logger: this.logger,
        tableCache: this.tableCache,
        tableStore: this.#tableStore,
        fleet: this.fleet,
        policy: policies.routing ?? makeRouting(validSettings.policies.routing),
        retryBudget: new routing.RetryBudget({
          retriesPerRequest: RETRIES_PER_REQUEST,
          balanceMax: RETRY_BALANCE_MAX,
        }),
        clients: this.#upstreamClients,
        claims: this.claimRunner,
        demand,
        limits: this.#limitShares,
        directory: this.directory,
        admission: this.admission,
        metrics: this.recorder,
        burn: new metrics.BurnTracker(),
        teamOrder: this.#teamOrder,
        limitReporter: this.#limitReporter,
        onEdit: () => this.#exchangeTask.exchangeSoon(),
        onColdStart: () => this.#demandTask.reportSoon(),
        gauges: () => this.#gauges(),
      }),
      (server) => this.#limitConnections(server, "callers"),
    );
  }

  /**
   * Starts the listeners and all tasks, dependencies first.
   *
   * @example
   * ```ts
   * const running = new instance.Instance(validSettings);
   * const { callerAddress } = await running.start();
   * ```
   */
  async start(): Promise<InstanceAddresses> {
    const { listen: listenSettings } = this.#settings;
    const { host, advertiseHost } = listenSettings;
    const peerListener = await peers.startPeerListener(
      new InstancePeerHandlers({
        digests: this.#digests,
        exchange: this.#exchangeTask,
        tableCache: this.tableCache,
        claims: this.claimRunner,
        demandAggregator: this.#demandAggregator,
        isPlanner: () => this.#isPlanner(),
        onDemand: () => this.#placementTask.planSoon(),
      }),
      {
        host,
        port: listenSettings.peerPort,
        meter: this.#controlMeter,
        patience: this.#listenPatience("peers"),
        limit: (server) => this.#limitConnections(server, "peers"),
      },
    );
    this.#lifecycle.addCleanup(peerListener.cleanup);
    const callerPort = await this.#callersListener.listen(
      host,
      listenSettings.callerPort,
      this.#listenPatience("callers"),
    );
    const peerPort = peerListener.port;
    const advertisedCallerPort = listenSettings.advertiseCallerPort ||
      callerPort;
    const advertisedPeerPort = listenSettings.advertisePeerPort || peerPort;
    const addresses = {
      callerAddress: `http://${advertiseHost}:${advertisedCallerPort}`,
      peerAddress: `http://${advertiseHost}:${advertisedPeerPort}`,
    };
    this.directory.setAddresses(addresses);
    this.#lifecycle.addCleanup(
      this.tableCache.registerListener(({ revision }) => {
        this.logger.info("table_in_force", { revision });
        this.#exchangeTask.exchangeSoon();
      }),
    );
    this.#startTasks();
    this.logger.info("instance_started", addresses);
    return { ...addresses, callerPort, peerPort };
  }

  #limitConnections(server: Server, clients: "callers" | "peers"): void {
    memory.limitConnections(server, {
      listener: clients,
      clients,
      memory: memory.processMemory,
      reporter: this.#limitReporter,
    });
  }

  /** Waits out the planned stop of the process that had the addresses before. */
  #listenPatience(listener: string): transport.ListenPatience {
    const { entriesMaxAgeMs, finishMaxMs } = this.#settings.drain;
    return {
      timeoutMs: entriesMaxAgeMs + finishMaxMs + LISTEN_MARGIN_MS,
      backlogMax: memory.processMemory.limits.backlogMax,
      onWait: (detail) =>
        this.logger.warn("listen_waiting", { listener, detail }),
      signal: this.#lifecycle.signal,
    };
  }

  /** Shuts down gracefully: see `PlannedStop`. */
  async stop(): Promise<void> {
    const { drain, peers: peerSettings } = this.#settings;
    const plannedStop = new PlannedStop({
      logger: this.logger,
      admission: this.admission,
      directory: this.directory,
      exchange: this.#exchangeTask,
      claims: this.claimRunner,
      listener: this.#callersListener,
      entriesMaxAgeMs: drain.entriesMaxAgeMs,
      exchangeIntervalMs: peerSettings.exchangeIntervalMs,
      finishMaxMs: drain.finishMaxMs,
    });
    const idle = await plannedStop.run();
    await this.#supervisor.stop();
    // With nothing in use, the second call releases what the first one kept.
    await this.#limitShares.releaseUnused();
    await this.#limitShares.releaseUnused();
    await this.#lifecycle.close();
    this.logger.info("instance_stopped", { idle });
  }

  #startTasks(): void {
    const { engines } = this.#settings;
    const root = this.#supervisor;
    root.child("table").start(this.#tablePollTask);
    const peersChild = root.child("peers");
    peersChild.start(
      new PeersListTask(this.#instanceList, this.directory, this.fleet),
    );
    peersChild.start(this.#exchangeTask);
    const upstreamsChild = root.child("upstreams");
    upstreamsChild.start(
      new UpstreamsWatchTask({
        fleet: this.fleet,
        directory: this.directory,
        clients: this.#upstreamClients,
        reportIntervalMs: engines.reportIntervalMs,
        watchersPerEngine: engines.watchersPerEngine,
        silentAfterMs: engines.silentAfterMs,
        onUnresponsive: ({ upstreamId }) => {
          this.logger.warn("engine_silent", { upstreamId });
          this.#exchangeTask.exchangeSoon();
        },
        supervisor: upstreamsChild.child("watches"),
      }),
    );
    upstreamsChild.start(
      new UpstreamsReconcileTask({
        fleet: this.fleet,
        directory: this.directory,
        clients: this.#upstreamClients,
        controller: this.#ledgerController,
      }),
    );
    const placementChild = root.child("placement");
    placementChild.start(this.#demandTask);
    placementChild.start(this.#placementTask);
    root.child("callers").start(new LimitsReleaseTask(this.#limitShares));
  }

  #makePlacementTask(policies: InstancePolicies): PlacementTask {
    const { placement: placementSettings } = this.#settings;
    return new PlacementTask({
      fleet: this.fleet,
      tableCache: this.tableCache,
      demandAggregator: this.#demandAggregator,
      policy: policies.placement ?? makePlacement(this.#settings),
      controller: this.#ledgerController,
      clients: this.#upstreamClients,
      metrics: this.recorder,
      logger: this.logger,
      isPlanner: () => this.#isPlanner(),
      onChange: () => this.#exchangeTask.exchangeSoon(),
      intervalMs: placementSettings.intervalMs,
      loadsAtOnceMax: placementSettings.loadsAtOnceMax,
      adapterLoadsAtOnceMax: placementSettings.adapterLoadsAtOnceMax,
      orderMaxMs: placementSettings.orderMaxMs,
    });
  }

  #isPlanner(): boolean {
    const ownId = this.directory.self.instanceId;
    return findPlanner(this.directory)?.instanceId === ownId;
  }

  /** Whether neither the store nor a peer responded within the grace period. */
  #isIsolated(): boolean {
    if (!this.directory.hasPeers) return false;
    const lastContactMs = Math.max(
      this.directory.lastPeerContactAtMs,
      this.store.counters.lastReachedAtMs,
    );
    const sinceContactMs = core.monotonicMs() - lastContactMs;
    return sinceContactMs > this.#settings.isolation.graceMs;
  }

  /** Probes the store and all peers until one responds or time runs out. */
  async #probe(): Promise<void> {
    const updates = Promise.all([
      this.#exchangeTask.exchangeWithAll(),
      this.#tablePollTask.poll(),
    ]);
    const deadline = new core.Deadline(PROBE_MAX_MS);
    while (this.#isIsolated() && !deadline.isOver()) {
      await core.sleep(PROBE_POLL_MS);
    }
    // The same calls may bring a newer table; use the remaining time for it.
    await Promise.race([updates, core.sleep(deadline.remainingMs())]);
  }

  #gauges(): Readonly<Record<string, number>> {
    const { counters: storeCounters } = this.store;
    const cpu = process.cpuUsage();
    return {
      ...this.#limitReporter.metrics,
      memory_held_bytes: memory.processMemory.heldBytes,
      memory_limit_bytes: memory.processMemory.bytesMax,
      cpu_s_total: (cpu.user + cpu.system) / MICROS_PER_S,
      resident_bytes: process.memoryUsage.rss(),
      control_bytes_total: this.#controlMeter.totalBytes,
      table_revision: this.tableCache.snapshot.revision,
      members: this.directory.liveMembers().length,
      unsettled_claims: this.claimRunner.registry.size,
      store_reads_total: storeCounters.reads,
      store_writes_total: storeCounters.writes,
      store_failures_total: storeCounters.failures,
      peer_calls_total: this.peerClients.counters.calls,
      peer_failures_total: this.peerClients.counters.failures,
      answers_foreign_total: this.#upstreamClients.dropped.foreign,
      answers_duplicate_total: this.#upstreamClients.dropped.duplicate,
      ...this.#teamOrder.totals.gauges(),
    };
  }
}
