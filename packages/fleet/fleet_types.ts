/** Types of routes, services, upstreams and the settings of an entry node. */
import type * as core from "../core/mod.ts";

/**
 * How requests of a route may be retried: `safe` requests and resumable streams
 * may run again after a failure, `unsafe` ones run at most once.
 */
export type RouteKind = "safe" | "unsafe" | "stream";

/** A service to which a route sends a share of its requests, by weight. */
export interface RouteTarget {
  readonly service: core.ServiceName;
  readonly weight: number;
}

/** A route: which requests it matches, and their limits and targets. */
export interface RouteSpec {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly timeoutMs: number;
  /** Target for the time to the whole response or a stream's first event. */
  readonly latencyTargetMs: number;
  /** Target for the longest gap between two events of a stream. */
  readonly eventGapTargetMs: number;
  /** Priority of its requests; 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of runs of one request, the first included. */
  readonly attemptsMax: number;
  /** Whether a broken stream may be resumed on another engine. */
  readonly isResumable: boolean;
  /** Whether requests need no key where the configuration has teams. */
  readonly isPublic?: boolean;
}

/** What a team's requests are counted in. */
export type QuotaUnit = "requests" | "tokens";

/** Limit of a team's requests over all nodes: a token bucket. */
export interface QuotaSpec {
  readonly unit: QuotaUnit;
  /** Refill of the bucket, in units per second. */
  readonly ratePerS: number;
  /** Size of the bucket, in units. */
  readonly burst: number;
  /** Tokens that a request without token counts costs. */
  readonly plainTokens: number;
}

/** A team that shares the fleet with others. */
export interface TeamSpec {
  readonly name: core.TeamName;
  readonly keyDigests: readonly core.KeyDigest[];
  /** Takes precedence over the priority of the route; 0 is the highest. */
  readonly priority?: number;
  /** Absent if the team's requests are not limited. */
  readonly quota?: QuotaSpec;
}

/** A model that the engines of a service may load. */
export interface ModelSpec {
  readonly name: core.ModelName;
  readonly weightsMb: number;
  /** Load time from the weight store. */
  readonly loadMs: number;
  /** Load time from a cached copy in the engine's host memory. */
  readonly loadFromMemoryMs: number;
  /** Load time from a cached copy on the engine's disk. */
  readonly loadFromDiskMs: number;
  readonly adapterMb: number;
}

/** Capacity of each engine of a service, and the models it may load. */
export interface EngineSpec {
  /** Requests that an engine runs at the same time. */
  readonly slots: number;
  /** KV cache size in tokens, shared by running requests and cached prompts. */
  readonly kvCacheTokens: number;
  /** Tokens that one event of a stream carries. */
  readonly tokensPerEvent: number;
  /** Memory of one engine for weights and adapters. */
  readonly weightMemoryMb: number;
  /** Adapters that an engine holds at the same time, over all models. */
  readonly adapterSlots: number;
  /** Rate limit of loads from the weight store, over all engines. */
  readonly loadsPerS: number;
  readonly models: ReadonlyMap<core.ModelName, ModelSpec>;
}

/** A service; `engine` is set if its upstreams run models. */
export interface ServiceSpec {
  readonly name: core.ServiceName;
  /** Connections to one upstream, over all entry nodes. */
  readonly connectionsMax: number;
  readonly engine?: EngineSpec;
}

/** A complete configuration, as accepted from the operator. */
export interface FleetConfig {
  readonly version: number;
  readonly routes: readonly RouteSpec[];
  readonly services: ReadonlyMap<core.ServiceName, ServiceSpec>;
  /** Absent if requests need no keys. */
  readonly teams?: readonly TeamSpec[];
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly bodyBytesMax: number;
}

/** A model that is loaded on an engine, with its loaded adapters. */
export interface LoadedModel {
  readonly model: core.ModelName;
  readonly adapters: readonly string[];
}

/** An upstream, as it registers itself in the platform's upstream table. */
export interface UpstreamRecord {
  readonly id: core.UpstreamId;
  /**
   * Start of this incarnation, as Unix time; a later incarnation may have the
   * same id.
   */
  readonly startedAtMs: number;
  readonly service: core.ServiceName;
  /**
   * Version of its software, not of the weights. Streams of two versions do not
   * fit together.
   */
  readonly softwareVersion: core.SoftwareVersion;
  /** Host and port, as `10.0.0.1:8080`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Time until a leaving upstream exits, if known. */
  readonly remainingMs?: number;
  readonly models: readonly LoadedModel[];
  /** Models with a cached copy in host memory. */
  readonly modelsInMemory: readonly core.ModelName[];
  /** Models with a cached copy on disk. */
  readonly modelsOnDisk: readonly core.ModelName[];
}

/** The address that a listener binds to. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** What the machine of a node has; absent values are not known. */
export interface MachineSpec {
  /** Processor time per second, relative to one core of usual speed. */
  readonly processorCores?: number;
  readonly memoryMb?: number;
  readonly descriptorsMax?: number;
  readonly linkMbps?: number;
}

/** How far quotas may be exceeded over all nodes, in any window. */
export interface QuotaBounds {
  readonly windowMs: number;
  /** Share of the window's quota by which it may be exceeded. */
  readonly overage: number;
  /** Units by which it may be exceeded in addition. */
  readonly slack: number;
}

/** Settings of an entry node, independent of the format of their file. */
export interface EntrySettings {
  readonly nodeName: core.InstanceId;
  readonly failureDomain: string;
  readonly listen: {
    readonly callers: ListenAddress;
    readonly readiness: ListenAddress;
    readonly directory: ListenAddress;
    readonly peers: ListenAddress;
    readonly metrics: ListenAddress;
  };
  readonly storeOrigin: string;
  /** Time between the stop signal and the kill of the process. */
  readonly graceMs: number;
  /** Upper limit of the TTL of directory responses, which callers cache. */
  readonly directoryTtlMs: number;
  readonly retryBudget: {
    /** Retries allowed per request. */
    readonly ratio: number;
    readonly windowMs: number;
    /** Retries allowed beyond the ratio in one window, over all nodes. */
    readonly slack: number;
  };
  readonly orders: {
    /** Minimum time between orders of two lease holders to one engine. */
    readonly leaseMs: number;
    /** Whether engines reject orders whose fencing token is too low. */
    readonly enginesCheckFences: boolean;
  };
  /**
   * Time after the acknowledgement of a configuration from which on no request
   * under a key that it removed may run; absent if that is not bounded.
   */
  readonly revocationMs?: number;
  readonly quotaBounds?: QuotaBounds;
  /**
   * How requests are admitted to engines' memory: `sums` takes the other nodes'
   * load for current, `shares` allows for what they send meanwhile, as engines
   * end if they are overrun. Absent: `sums`.
   */
  readonly engineAdmission?: "sums" | "shares";
  readonly machine?: MachineSpec;
}
