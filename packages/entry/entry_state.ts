/** State of an entry node, shared by its tasks and listeners. */
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import * as fairness from "../fairness/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as memory from "../memory/mod.ts";
import * as metrics from "../metrics/mod.ts";
import type * as orders from "../orders/mod.ts";
import * as origins from "../origins/mod.ts";
import * as quarantine from "../quarantine/mod.ts";
import type * as rates from "../rates/mod.ts";
import * as relay from "../relay/mod.ts";
import * as routes from "../routes/mod.ts";
import * as teams from "../teams/mod.ts";
import { EntryCapacity } from "./capacity/entry_capacity.ts";
import { OverloadWatch } from "./capacity/entry_overload.ts";
import { Members } from "./entry_members.ts";
import { WantedStreams } from "./entry_origins.ts";
import { EntryQuotas } from "./quotas/entry_quotas.ts";

/** KV cache size of upstreams that run no models. */
const NO_KV_CACHE_TOKENS = 0;
/** Teams that a log line names. */
const LOGGED_TEAMS_MAX = 8;

export class EntryState {
  settings: fleet.EntrySettings;
  /** Identifies this run of the node; a restarted node gets another. */
  readonly incarnation: string;
  /** Start of the process, as Unix time. */
  readonly startedAtMs: number;
  readonly upstreams = new dispatch.UpstreamRegistry();
  readonly stepTimes = new dispatch.StepTimeEstimator();
  /**
   * Orders without a reply, by the engine's id: beyond its incarnations and
   * those who hold the order lease.
   */
  readonly lateOrders = new Map<core.UpstreamId, orders.LateOrders>();
  readonly outputLengths = new dispatch.OutputLengthEstimator();
  readonly demand = new dispatch.DemandTracker();
  /** Order of the queue; as without teams if requests have none. */
  readonly teamOrder = new fairness.TeamOrder({
    onUnderserved: (underserved) => {
      this.metrics.increment("teams_underserved");
      this.logger
        .warn("team_underserved", fairness.toLogFields(underserved));
    },
  });
  readonly queue = new dispatch.RequestQueue(this.teamOrder);
  readonly pools = new relay.UpstreamPools((upstream, reason) =>
    this.recordConnectionClosed(upstream, reason)
  );
  readonly members: Members;
  /** Sizes of the members' machines, and what follows from them. */
  readonly capacity: EntryCapacity;
  /** Whether this node is overloaded. */
  readonly overload: OverloadWatch;
  readonly metrics = new metrics.MetricsRecorder();
  readonly logger: core.Logger;
  /** What the limits of this node cost its clients. */
  readonly limitReporter: memory.LimitReporter;
  readonly quarantine: quarantine.PromptQuarantine;
  /** What began the streams in progress, as far as this node knows. */
  readonly origins = new origins.StreamOrigins();
  readonly softwareVersions = new origins.SoftwareVersions();
  readonly wantedStreams = new WantedStreams();
  readonly quotas: EntryQuotas;
  readonly retryBudgets = new Map<
    core.ServiceName,
    dispatch.SharedRetryBudget
  >();
  /** Queued requests of all nodes, by `model` or `model/adapter`. */
  fleetQueues: ReadonlyMap<string, number> = new Map();
  config: fleet.FleetConfig | undefined;
  table: routes.RouteTable | undefined;
  /** Absent if requests need no keys. */
  teams: teams.TeamDirectory | undefined;
  /** Whether the newest configuration could not be read, so is not in force. */
  isConfigUnreadable = false;
  /** Whether the upstream table has been read at least once. */
  hasReadUpstreams = false;
  /**
   * Whether the member rows have been read at least once. Before, this node
   * would take itself for the only one, with the whole retry budget.
   */
  hasReadMembers = false;
  isStopping = false;
  /**
   * End of the last exchange with other nodes that could tell this one what has
   * happened meanwhile, on the monotonic clock.
   */
  exchangedAtMs = -Infinity;
  /** Start of that exchange. */
  exchangeStartedAtMs = -Infinity;
  /** Called when a configuration has come into force. */
  onConfig: (config: fleet.FleetConfig) => void = () => {};
  /** Callers' requests in flight: until their responses are handed on whole. */
  requestsInFlight = 0;

  constructor(settings: fleet.EntrySettings, logger: core.Logger) {
    this.settings = settings;
    this.logger = logger;
    this.limitReporter = new memory.LimitReporter(logger);
    memory.processMemory.configure(memory.deriveLimits(settings.machine ?? {}));
    this.startedAtMs = Date.now();
    this.incarnation = core.randomId<core.Incarnation>("in");
    this.members = new Members(settings.nodeName);
    this.capacity = new EntryCapacity(settings, this.members, logger);
    this.overload = new OverloadWatch(this, settings.machine);
    this.quarantine = new quarantine.PromptQuarantine(logger);
    this.quotas = new EntryQuotas(this);
  }

  /** Whether this node accepts callers: all tables read, and not stopping. */
  get isReady(): boolean {
    return this.table !== undefined && this.hasReadUpstreams &&
      this.hasReadMembers && !this.isStopping;
  }

  /** Counts and logs a connection that this node closed, other than idle ones. */
  recordConnectionClosed(
    upstream: fleet.UpstreamRecord,
    reason: string,
    request?: core.RequestId,
  ): void {
    this.metrics.increment("connections_closed");
    const fields = { upstream: upstream.id, reason, request };
    this.logger.info("connection_closed", fields);
  }

  /**
   * Applies changed settings. Addresses, node name, failure domain and store
   * stay as they were at the start.
   */
  reload(settings: fleet.EntrySettings): void {
    const { listen, nodeName, failureDomain, storeOrigin } = this.settings;
    this.settings = {
      ...settings,
      listen,
      nodeName,
      failureDomain,
      storeOrigin,
    };
    memory.processMemory.configure(memory.deriveLimits(settings.machine ?? {}));
    for (const budget of this.retryBudgets.values()) {
      budget.updateOptions(settings.retryBudget);
    }
    this.quotas.configure();
  }

  /** Applies a configuration, unless it is not newer than the current one. */
  applyConfig(config: fleet.FleetConfig): void {
    if (this.config && config.version <= this.config.version) {
      if (config.version < this.config.version) {
        this.logger.warn("config_not_newer", {
          version: config.version,
          inForce: this.config.version,
        });
      }
      return;
    }
    this.table = new routes.RouteTable(config.version, config.routes);
    this.config = config;
    this.#applyTeams(config);
    this.quotas.configure();
    this.onConfig(config);
    this.logger.info("config_in_force", {
      version: config.version,
      routes: config.routes.length,
      services: config.services.size,
      teams: config.teams?.length,
    });
  }

  #applyTeams({ version, teams: specs }: fleet.FleetConfig): void {
    this.teams = specs && new teams.TeamDirectory(specs);
    const { conflicting = [] } = this.teams ?? {};
    if (conflicting.length === 0) return;
    this.logger.warn("keys_held_twice", {
      version,
      teams: conflicting.slice(0, LOGGED_TEAMS_MAX).join(","),
    });
  }

  /**
   * Adds or updates an upstream. A new incarnation or address replaces the old
   * upstream, whose connection pool is drained.
   */
  setUpstream(record: fleet.UpstreamRecord): void {
    const existing = this.upstreams.get(record.id);
    const service = this.config?.services.get(record.service);
    const kvCacheTokens = service?.engine?.kvCacheTokens ?? NO_KV_CACHE_TOKENS;
    const upstream = this.upstreams.upsert(record, kvCacheTokens);
    if (upstream === existing) {
      if (!existing.record.isLeaving || existing.isLeavingLogged) return;
    } else {
      this.softwareVersions.add(record);
      if (existing) this.#noteEnded(existing.record);
    }
    upstream.isLeavingLogged = record.isLeaving;
    this.logger.info("upstream_seen", {
      upstream: record.id,
      service: record.service,
      softwareVersion: record.softwareVersion,
      address: record.address,
      leaving: record.isLeaving,
      remainingMs: record.remainingMs,
    });
  }

  /** Removes an upstream, whose connection pool is drained. */
  removeUpstream(id: core.UpstreamId, reason: string): void {
    const upstream = this.upstreams.get(id);
    if (!upstream) return;
    this.upstreams.remove(id);
    this.#noteEnded(upstream.record);
    this.logger.info("upstream_gone", { upstream: id, reason });
  }

  /**
   * Records that an upstream says that it is leaving.
   *
   * @param isPassedOn whether a caller is about to receive that answer.
   */
  recordLeaving(
    upstream: fleet.UpstreamRecord,
    isPassedOn: boolean,
    nowMs: number,
  ): void {
    const { leaving } = this.upstreams;
    const isNew = leaving.record(upstream, 0, nowMs);
    if (isPassedOn) leaving.recordPassedOn(upstream, nowMs);
    if (!isNew) return;
    this.metrics.increment("upstreams_leaving");
    this.logger.info("upstream_says_leaving", { upstream: upstream.id });
  }

  /** Records that an upstream wants no requests for a time. */
  recordQuiet(
    { quiet, record }: dispatch.UpstreamState,
    quietMs: number,
    nowMs: number,
  ): void {
    const isNew = !quiet.isActive(nowMs);
    quiet.start(quietMs, nowMs);
    if (!isNew) return;
    this.metrics.increment("quiet_times");
    this.logger.info("upstream_asks_for_quiet", {
      upstream: record.id,
      forMs: Math.round(quietMs),
    });
  }

  /**
   * Records the rate limit in an upstream's response.
   *
   * @param perS requests per second from all nodes; undefined if it names none.
   */
  recordRateLimit(
    upstream: fleet.UpstreamRecord,
    perS: number | undefined,
    sentAtMs: number,
    nowMs: number,
  ): void {
    const { namedRates } = this.upstreams;
    const before = namedRates.perS(upstream);
    const isChanged = namedRates
      .recordResponse(upstream, perS, sentAtMs, nowMs);
    if (isChanged) this.#logRateLimit(upstream.id, before, perS, "response");
  }

  /** Applies what another node knows of an upstream's rate limit. */
  mergeRateLimit(statement: rates.RateStatement, nowMs: number): void {
    const { namedRates } = this.upstreams;
    const before = namedRates.perS(statement);
    if (!namedRates.merge(statement, nowMs)) return;
    this.#logRateLimit(statement.id, before, statement.perS, "node");
  }

  #logRateLimit(
    upstream: core.UpstreamId,
    before: number | undefined,
    perS: number | undefined,
    from: "response" | "node",
  ): void {
    this.metrics.increment("rate_limit_changes");
    const event = perS === undefined ? "rate_limit_lifted" : "rate_limit_named";
    this.logger.info(event, { upstream, before, perS, from });
  }

  /** An incarnation is no longer listed, or was replaced by another one. */
  #noteEnded(record: fleet.UpstreamRecord): void {
    const nowMs = core.monotonicMs();
    this.pools.drain(record);
    this.softwareVersions.remove(record, nowMs);
    this.quarantine.recordEnded(quarantine.toRunKey(record), nowMs);
  }

  /**
   * Returns the software versions that may have begun a stream which a service
   * is to continue. Routes are split over services of a kind and moved between
   * them, so the versions of all of that kind are meant.
   */
  versionsOfStreams(
    service: core.ServiceName,
    nowMs: number,
  ): readonly core.SoftwareVersion[] {
    const services = this.config?.services;
    const runsModels = services?.get(service)?.engine !== undefined;
    const alternatives = [...services?.values() ?? []]
      .filter(({ engine }) => (engine !== undefined) === runsModels)
      .map(({ name }) => name);
    return this.softwareVersions
      .ofServices(new Set([service, ...alternatives]), nowMs);
  }

  /** Whether callers may take up streams of several software versions. */
  hasMixedStreams(nowMs: number): boolean {
    const resumable = (this.config?.routes ?? [])
      .filter(({ kind, isResumable }) => kind === "stream" && isResumable);
    const services = new Set(
      resumable.flatMap(({ targets }) => targets.map(({ service }) => service)),
    );
    return [...services].some((service) =>
      this.versionsOfStreams(service, nowMs).length > 1
    );
  }

  /** Returns this node's share of a service's retry budget. */
  retryBudget(service: core.ServiceName): dispatch.SharedRetryBudget {
    let budget = this.retryBudgets.get(service);
    if (!budget) {
      budget = new dispatch.SharedRetryBudget(this.settings.retryBudget);
      this.retryBudgets.set(service, budget);
    }
    return budget;
  }
}
