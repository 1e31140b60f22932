/** Tracks load, replicas and health of every upstream known to this node. */
import * as admission from "../admission/mod.ts";
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as rates from "../rates/mod.ts";
import { UpstreamHealth } from "./dispatch_health.ts";
import { LatencyFactor } from "./dispatch_latency_factor.ts";
import { LeavingUpstreams } from "./dispatch_leaving.ts";
import { toModelKey } from "./dispatch_model_key.ts";
import { PrefixCacheTracker } from "./dispatch_prefixes.ts";
import { QuietTime } from "./dispatch_quiet.ts";

/** A request that this node has sent to an upstream and that has not ended. */
export interface InFlightRequest {
  /** `model`, or `model/adapter`; empty for services that run no models. */
  readonly modelKey: string;
  /** Undefined for services that run no models. */
  readonly model?: core.ModelName;
  /** Engine memory reserved for prompt and output, in tokens. */
  readonly reservedTokens: number;
  /** Maximum number of output tokens; 0 if unknown. */
  readonly outputTokensMax: number;
  /** Estimated prefill time. */
  readonly prefillMs: number;
  readonly sentAtMs: number;
  /** Whether its first event or whole response arrived, so prefill is over. */
  hasOutput: boolean;
}

/** Total in-flight load of all other nodes on one upstream. */
export interface PeerLoad {
  readonly inFlight: number;
  /** Prefill work not finished yet. */
  readonly prefillMs: number;
  /** Reserved engine memory, in tokens. */
  readonly tokens: number;
  /** Requests sent lately; 0 if not told. */
  readonly recentSends?: number;
  /** Queued requests that may be sent there; 0 if not known. */
  readonly contenders?: number;
  /** Engine memory kept for requests that are not sent yet, in tokens. */
  readonly claimedTokens?: number;
  /** The claims of all nodes on its memory that go first. */
  readonly firstClaims?: readonly admission.TicketedClaim[];
  /** Mean age of the sums. */
  readonly ageMs?: number;
}

/** A replica of a model on an engine. */
export interface ModelReplica {
  /** Whether requests may be sent to it; false while loading or draining. */
  readonly isUsable: boolean;
  /** Adapters loaded for it. */
  readonly adapters: ReadonlySet<string>;
  /**
   * When a load is expected to end, on the monotonic clock. From then on
   * requests may be sent, although no node has reported the replica as usable.
   */
  readonly readyAtMs?: number;
}

const NO_LOAD: PeerLoad = { inFlight: 0, prefillMs: 0, tokens: 0 };
/** Age at which the load received from other nodes is discarded. */
const PEER_LOAD_TTL_MS = 1_500;
/** How long a model is skipped after the upstream reported that it lacks it. */
const MODEL_ABSENT_BACKOFF_MS = 400;
/** How long a model is skipped after a rejection for lack of capacity. */
const ENGINE_FULL_BACKOFF_MS = 50;
/** State of one incarnation of an upstream, as seen by this node. */
export class UpstreamState {
  readonly health = new UpstreamHealth();
  readonly memory = new admission.EngineMemory();
  /** For how long it has asked for no requests. */
  readonly quiet: QuietTime;
  readonly prefixCache: PrefixCacheTracker;
  record: fleet.UpstreamRecord;
  /**
   * Order count and time of the last order, as last reported by the lease
   * holder. Kept so that this node can continue from them if it acquires the
   * order lease.
   */
  reportedOrders:
    | { orderCount: number; lastOrderAtMs: number | undefined }
    | undefined;
  /** Whether the log already shows that it is leaving. */
  isLeavingLogged = false;
  /** Measured over estimated time to first event. */
  readonly latency = new LatencyFactor();
  readonly #local = new Set<InFlightRequest>();
  #peerLoad = NO_LOAD;
  #peerLoadAtMs = -Infinity;
  #replicas = new Map<core.ModelName, ModelReplica>();
  readonly #skippedUntilMs = new Map<string, number>();
  #isSuspectedByPeers = false;
  readonly #leaving: LeavingUpstreams;

  /**
   * @param leaving the incarnations that say that they are leaving.
   * @param quiet what the incarnation has asked for, if it was listed before.
   */
  constructor(
    record: fleet.UpstreamRecord,
    kvCacheTokens: number,
    leaving = new LeavingUpstreams(),
    quiet = new QuietTime(),
  ) {
    this.record = record;
    this.quiet = quiet;
    this.#leaving = leaving;
    this.prefixCache = new PrefixCacheTracker(kvCacheTokens);
    this.setListedReplicas();
  }

  /** By how much it is slower than estimated. */
  get latencyFactor(): number {
    return this.latency.value;
  }

  /** Number of in-flight requests of all nodes. */
  get inFlight(): number {
    return this.#local.size + this.#peerLoad.inFlight;
  }

  /** In-flight requests of this node. */
  get localRequests(): ReadonlySet<InFlightRequest> {
    return this.#local;
  }

  /** Prefill work of all nodes that a new request has to wait for, in ms. */
  get prefillBacklogMs(): number {
    let sumMs = this.#peerLoad.prefillMs;
    for (const req of this.#local) if (!req.hasOutput) sumMs += req.prefillMs;
    return sumMs;
  }

  /** Engine memory reserved for in-flight requests of all nodes, in tokens. */
  get reservedTokens(): number {
    let sum = this.#peerLoad.tokens;
    for (const request of this.#local) sum += request.reservedTokens;
    return sum;
  }

  get replicas(): ReadonlyMap<core.ModelName, ModelReplica> {
    return this.#replicas;
  }

  /** Adds an in-flight request; the returned function removes it. */
  trackRequest(request: InFlightRequest): () => void {
    this.#local.add(request);
    this.#updateOldestInFlight();
    const uncount = this.quiet.countSent(request.sentAtMs);
    const release = this.memory.hold(request.reservedTokens, request.sentAtMs);
    return () => {
      uncount();
      release();
      this.#local.delete(request);
      this.#updateOldestInFlight();
    };
  }

  /**
   * Marks a request's prefill as finished and updates the latency factor.
   *
   * @param estimatedMs estimated time to first event, with the latency factor
   * applied; 0 if there was no estimate, which leaves the factor as it is.
   */
  recordFirstEvent(
    request: InFlightRequest,
    estimatedMs: number,
    nowMs: number,
  ): void {
    request.hasOutput = true;
    this.quiet.recordAnswer(this.record.slots, nowMs);
    if (estimatedMs <= 0) return;
    // The estimate has the factor applied, so multiplying takes it out again.
    const ratio = (nowMs - request.sentAtMs) / estimatedMs * this.latencyFactor;
    this.latency.record(ratio, nowMs);
  }

  /**
   * Replaces the load received from the other nodes.
   *
   * @param isSuspect whether any of them suspects the upstream.
   */
  setPeerLoad(load: PeerLoad, isSuspect: boolean, nowMs: number): void {
    this.#peerLoad = load;
    this.#isSuspectedByPeers = isSuspect;
    this.#peerLoadAtMs = nowMs;
    this.memory.setOthers({
      inFlight: load.inFlight,
      tokens: load.tokens,
      recentSends: load.recentSends ?? 0,
      contenders: load.contenders ?? 0,
      claimedTokens: load.claimedTokens ?? 0,
      firstClaims: load.firstClaims ?? [],
      ageMs: load.ageMs ?? 0,
    }, nowMs);
  }

  /** Time since the load of the other nodes was last received, in ms. */
  peerLoadAgeMs(nowMs: number): number {
    return nowMs - this.#peerLoadAtMs;
  }

  /** Discards the load and suspicion of other nodes once they are stale. */
  expirePeerLoad(nowMs: number): void {
    if (nowMs - this.#peerLoadAtMs <= PEER_LOAD_TTL_MS) return;
    this.#peerLoad = NO_LOAD;
    this.#isSuspectedByPeers = false;
  }

  /** Replaces the replicas, as known to the holder of the order lease. */
  setReplicas(replicas: ReadonlyMap<core.ModelName, ModelReplica>): void {
    for (const model of this.#replicas.keys()) {
      if (!replicas.has(model)) this.prefixCache.dropModel(model);
    }
    this.#replicas = new Map(replicas);
  }

  /** Replaces the replicas with those in the upstream's own list entry. */
  setListedReplicas(): void {
    this.setReplicas(
      new Map(
        this.record.models.map(({ model, adapters }) => [
          model,
          { isUsable: true, adapters: new Set(adapters) },
        ]),
      ),
    );
  }

  /**
   * Skips a model, or one adapter of it, for a while after a rejection.
   *
   * @param lacksModel whether the upstream reported that it lacks the model;
   * the skip is then longer than after a rejection for lack of capacity.
   */
  recordRejection(modelKey: string, lacksModel: boolean, nowMs: number): void {
    const forMs = lacksModel ? MODEL_ABSENT_BACKOFF_MS : ENGINE_FULL_BACKOFF_MS;
    this.#skippedUntilMs.set(modelKey, nowMs + forMs);
  }

  /** Whether it can run the model, with the adapter if one is given. */
  canRun(
    model: core.ModelName,
    adapter: string | undefined,
    nowMs: number,
  ): boolean {
    const replica = this.#replicas.get(model);
    if (!replica || !isReplicaUsable(replica, nowMs)) return false;
    if (adapter !== undefined && !replica.adapters.has(adapter)) return false;
    const modelKey = toModelKey(model, adapter);
    return (this.#skippedUntilMs.get(modelKey) ?? 0) <= nowMs;
  }

  /** Whether it gets nothing new: by the list, its answers or other nodes. */
  isLeaving(nowMs: number): boolean {
    return this.record.isLeaving || this.#leaving.has(this.record, nowMs);
  }

  /** Whether requests may be sent to it now. */
  maySend(nowMs: number): boolean {
    return !this.isLeaving(nowMs) && this.quiet.maySend(nowMs);
  }

  /** Whether requests should avoid it if possible, by any node's judgement. */
  isSuspect(nowMs: number): boolean {
    return this.health.isSuspect(nowMs) || this.#isSuspectedByPeers;
  }

  #updateOldestInFlight(): void {
    // Requests are kept in the order in which they were sent.
    const [oldest] = this.#local;
    this.health.setOldestInFlight(oldest?.sentAtMs);
  }
}

function incarnationKey({ id, startedAtMs }: fleet.UpstreamRecord): string {
  return `${id}@${startedAtMs}`;
}

function isReplicaUsable(
  { isUsable, readyAtMs }: ModelReplica,
  nowMs: number,
): boolean {
  return isUsable || (readyAtMs !== undefined && readyAtMs <= nowMs);
}

/** All upstreams on the platform's list, by id and by service. */
export class UpstreamRegistry {
  readonly #upstreams = new Map<core.UpstreamId, UpstreamState>();
  readonly #byService = new Map<core.ServiceName, Set<UpstreamState>>();
  /** Those that say so themselves, in addition to the list. */
  readonly leaving = new LeavingUpstreams();
  readonly namedRates = new rates.NamedRates();
  /** Those of incarnations that are not listed any more. */
  readonly #unlistedQuiet = new Map<string, QuietTime>();
  #listings = 0;

  /** Times that an upstream was listed with fresh state; rises with each. */
  get listings(): number {
    return this.#listings;
  }

  /**
   * Adds an upstream or updates its record. A new incarnation, address, service
   * or software version starts with fresh state.
   */
  upsert(record: fleet.UpstreamRecord, kvCacheTokens: number): UpstreamState {
    const known = this.#upstreams.get(record.id);
    const isSame = known && known.record.startedAtMs === record.startedAtMs &&
      known.record.address === record.address &&
      known.record.service === record.service &&
      known.record.softwareVersion === record.softwareVersion;
    if (isSame) {
      // An incarnation that leaves does not return, though a row may be old.
      const isLeaving = known.record.isLeaving || record.isLeaving;
      known.record = { ...record, isLeaving };
      return known;
    }
    if (known) this.remove(record.id);
    const upstream = new UpstreamState(
      record,
      kvCacheTokens,
      this.leaving,
      this.#unlistedQuiet.get(incarnationKey(record)),
    );
    this.#upstreams.set(record.id, upstream);
    this.#listings++;
    let group = this.#byService.get(record.service);
    if (!group) this.#byService.set(record.service, group = new Set());
    group.add(upstream);
    return upstream;
  }

  /** Removes an upstream that is no longer listed. */
  remove(id: core.UpstreamId): void {
    const upstream = this.#upstreams.get(id);
    if (!upstream) return;
    this.#upstreams.delete(id);
    this.#byService.get(upstream.record.service)?.delete(upstream);
    const nowMs = core.monotonicMs();
    for (const [key, quiet] of this.#unlistedQuiet) {
      if (!quiet.isActive(nowMs)) this.#unlistedQuiet.delete(key);
    }
    if (!upstream.quiet.isActive(nowMs)) return;
    this.#unlistedQuiet.set(incarnationKey(upstream.record), upstream.quiet);
  }

  get(id: core.UpstreamId): UpstreamState | undefined {
    return this.#upstreams.get(id);
  }

  all(): Iterable<UpstreamState> {
    return this.#upstreams.values();
  }

  /** Upstreams of a service, including those that are leaving. */
  ofService(service: core.ServiceName): ReadonlySet<UpstreamState> {
    return this.#byService.get(service) ?? new Set();
  }
}
