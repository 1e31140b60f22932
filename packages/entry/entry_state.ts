/** What one entry node knows and has under way; its tasks share it. */
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as metrics from "../metrics/mod.ts";
import * as relay from "../relay/mod.ts";
import * as routes from "../routes/mod.ts";
import { Members } from "./entry_members.ts";

/** Tokens of prompts remembered for upstreams that run no models. */
const NO_CACHE_TOKENS = 0;

/** The node's state. */
export class EntryState {
  settings: fleet.EntrySettings;
  /** Tells one life of this node from another. */
  readonly incarnation: string;
  readonly bornMs: number;
  readonly board = new dispatch.EngineBoard();
  readonly pace = new dispatch.ModelPace();
  readonly output = new dispatch.OutputLength();
  readonly demand = new dispatch.DemandMeter();
  readonly queue = new dispatch.WaitingQueue();
  readonly pools = new relay.UpstreamPools();
  readonly members: Members;
  readonly metrics = new metrics.MetricsRecorder();
  readonly logger: core.Logger;
  readonly budgets = new Map<core.ServiceName, dispatch.SharedRetryBudget>();
  config: fleet.FleetConfig | undefined;
  table: routes.RouteTable | undefined;
  /** Whether the list of upstreams has been read. */
  hasUpstreams = false;
  isStopping = false;
  /** Requests that have not ended. */
  requests = 0;

  constructor(settings: fleet.EntrySettings, logger: core.Logger) {
    this.settings = settings;
    this.logger = logger;
    this.bornMs = Date.now();
    this.incarnation = core.randomId<core.Incarnation>("in");
    this.members = new Members(settings.nodeName);
  }

  /** Whether callers may be sent here. */
  get isReady(): boolean {
    return this.table !== undefined && this.hasUpstreams && !this.isStopping;
  }

  /** Takes changed settings; listeners stay where they are. */
  reload(settings: fleet.EntrySettings): void {
    const { listen, nodeName, failureDomain, storeOrigin } = this.settings;
    this.settings = {
      ...settings,
      listen,
      nodeName,
      failureDomain,
      storeOrigin,
    };
    for (const budget of this.budgets.values()) {
      budget.reload(settings.retryBudget);
    }
  }

  /** Puts a configuration in force, unless a newer one is. */
  apply(config: fleet.FleetConfig): void {
    if (this.config && config.version <= this.config.version) return;
    this.table = new routes.RouteTable(config.version, config.routes);
    this.config = config;
    this.logger.info("config_in_force", {
      version: config.version,
      routes: config.routes.length,
      services: config.services.size,
    });
  }

  /** Takes an upstream's entry. */
  setUpstream(record: fleet.UpstreamRecord): void {
    const known = this.board.get(record.id);
    const service = this.config?.services.get(record.service);
    const cacheTokens = service?.engine?.kvCacheTokens ?? NO_CACHE_TOKENS;
    const engine = this.board.set(record, cacheTokens);
    if (engine === known) {
      if (!known.record.isLeaving || known.isLeavingNoted) return;
    } else if (known) this.pools.retire(known.record);
    engine.isLeavingNoted = record.isLeaving;
    this.logger.info("upstream_seen", {
      upstream: record.id,
      service: record.service,
      address: record.address,
      leaving: record.isLeaving,
      remainingMs: record.remainingMs,
    });
  }

  /** Removes an upstream that is gone. */
  removeUpstream(id: core.UpstreamId, reason: string): void {
    const engine = this.board.get(id);
    if (!engine) return;
    this.board.remove(id);
    this.pools.retire(engine.record);
    this.logger.info("upstream_gone", { upstream: id, reason });
  }

  /** This node's share of a service's retry budget. */
  budget(service: core.ServiceName): dispatch.SharedRetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      budget = new dispatch.SharedRetryBudget(this.settings.retryBudget);
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
