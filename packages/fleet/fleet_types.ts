/** Shapes of routes, services, upstreams and of a node's settings. */
import type * as core from "../core/mod.ts";

/** What of a route's requests may be repeated. */
export type RouteKind = "safe" | "unsafe" | "stream";

/** One service that a route sends a share of its requests to. */
export interface RouteTarget {
  readonly service: core.ServiceName;
  readonly weight: number;
}

/** One route: which requests it selects, and how they are treated. */
export interface RouteSpec {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, for full credit. */
  readonly latencyTargetMs: number;
  /** Longest pause between two events of a stream for full credit. */
  readonly eventGapTargetMs: number;
  /** Rank of its requests; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Upstreams that may run one request. */
  readonly attemptsMax: number;
  /** Whether a broken stream may go on at another engine. */
  readonly isResumable: boolean;
}

/** One model that a service's engines may load. */
export interface ModelSpec {
  readonly name: core.ModelName;
  readonly weightsMb: number;
  readonly loadMs: number;
  /** Load time from a copy in the engine's host memory. */
  readonly loadFromMemoryMs: number;
  /** Load time from a copy on the engine's disk. */
  readonly loadFromDiskMs: number;
  readonly adapterMb: number;
}

/** What all engines of one service have in common. */
export interface EngineSpec {
  readonly slots: number;
  /** Tokens that running requests and cached prompts share. */
  readonly kvCacheTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  readonly weightMemoryMb: number;
  readonly adapterSlots: number;
  /** Loads from the weight store allowed in a second over all engines. */
  readonly loadsPerS: number;
  readonly models: ReadonlyMap<core.ModelName, ModelSpec>;
}

/** One service and, where it runs models, its engines. */
export interface ServiceSpec {
  readonly name: core.ServiceName;
  readonly connectionsMax: number;
  readonly engine?: EngineSpec;
}

/** One accepted configuration, whole. */
export interface FleetConfig {
  readonly version: number;
  readonly routes: readonly RouteSpec[];
  readonly services: ReadonlyMap<core.ServiceName, ServiceSpec>;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly bodyBytesMax: number;
}

/** A model on an engine, and the adapters loaded for it. */
export interface LoadedModel {
  readonly model: core.ModelName;
  readonly adapters: readonly string[];
}

/** An upstream as it describes itself on the platform's list. */
export interface UpstreamRecord {
  readonly id: core.UpstreamId;
  /** Start of this incarnation; an id may be used again by a later one. */
  readonly startedAtMs: number;
  readonly service: core.ServiceName;
  /** Host and port, as `10.0.0.1:8080`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Time left until a leaving upstream ends, where it is known. */
  readonly remainingMs?: number;
  readonly models: readonly LoadedModel[];
  readonly modelsInMemory: readonly core.ModelName[];
  readonly modelsOnDisk: readonly core.ModelName[];
}

/** Where a listener binds. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of one entry node, whatever their file looks like. */
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
  /** Time between a stop signal and the kill. */
  readonly graceMs: number;
  /** Longest time for which callers keep a directory answer. */
  readonly directoryTtlMs: number;
  readonly retryBudget: {
    readonly ratio: number;
    readonly windowMs: number;
    readonly slack: number;
  };
  readonly orders: {
    /** Time that must pass between orders of two holders to one engine. */
    readonly leaseMs: number;
    /** Whether engines refuse orders with a lower fencing number. */
    readonly enginesCheckFences: boolean;
  };
}
