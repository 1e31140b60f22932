/** Types of the validated settings of an entry instance. */

/** A caller and the bearer token that authenticates it. */
export interface CallerSettings {
  readonly callerId: string;
  readonly token: string;
}

/** An operator and the bearer token that authenticates it. */
export interface OperatorSettings {
  readonly operatorId: string;
  readonly token: string;
}

/**
 * A plain service (see packages/upstream). Its calls may not be repeated,
 * except under the listed path prefixes.
 */
export interface ServiceSettings {
  readonly name: string;
  /** Path prefixes of the calls that may be repeated. */
  readonly repeatablePaths: readonly string[];
  readonly callMaxMs: number;
}

/** Names of the available routing policies. */
export type RoutingPolicyName = "estimated" | "least-reported" | "round-robin";

/** Names of the available placement policies. */
export type PlacementPolicyName = "demand" | "lru";

/** The complete settings that an entry instance starts with. */
export interface Settings {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly listen: {
    readonly host: string;
    readonly callerPort: number;
    readonly peerPort: number;
    /** Host that callers and peers connect to. */
    readonly advertiseHost: string;
    /** Ports that they connect to; 0 if these are the ports listened on. */
    readonly advertiseCallerPort: number;
    readonly advertisePeerPort: number;
  };
  readonly platform: {
    readonly tableServiceUrl: string;
    readonly objectStoreUrl: string;
    readonly instanceListUrl: string;
    readonly weightStoreUrl: string;
    readonly timeoutMs: number;
  };
  readonly callers: readonly CallerSettings[];
  readonly operators: readonly OperatorSettings[];
  readonly services: readonly ServiceSettings[];
  readonly engines: {
    readonly honourFencing: boolean;
    /** The longest time that an order may be in flight. */
    readonly orderDelayMaxMs: number;
    readonly controlTimeoutMs: number;
    readonly reportIntervalMs: number;
    /** Number of instances that poll the reports of each engine. */
    readonly watchersPerEngine: number;
    /** An engine that has not reported for this long gets no work. */
    readonly silentAfterMs: number;
  };
  readonly placement: {
    readonly loadsAtOnceMax: number;
    readonly adapterLoadsAtOnceMax: number;
    readonly intervalMs: number;
    /** From 0, which minimizes moves, to 1, which minimizes waiting. */
    readonly attainmentWeight: number;
    readonly residentMinMs: number;
    /** An order not carried out within this time counts as lost. */
    readonly orderMaxMs: number;
  };
  readonly peers: {
    readonly exchangeIntervalMs: number;
    readonly fanout: number;
    /** Maximum number of engines in one digest. */
    readonly digestEnginesMax: number;
    readonly timeoutMs: number;
  };
  readonly table: {
    readonly pollIntervalMs: number;
    /** Time for which an edit is retried, as other edits win or reads lag. */
    readonly editMaxMs: number;
  };
  readonly drain: {
    /** Time for which callers may cache the response of `/v1/entries`. */
    readonly entriesMaxAgeMs: number;
    /** Maximum wait for in-flight requests when the instance stops. */
    readonly finishMaxMs: number;
  };
  readonly limits: {
    readonly bodyMaxBytes: number;
    readonly inProgressMax: number;
    /** Memory of the machine for this process; 0 if not known. */
    readonly memoryMb: number;
    /** File descriptors that the process may have open; 0 if not known. */
    readonly descriptorsMax: number;
    readonly unsettledClaimsMax: number;
  };
  /** Policies by name; the baselines are kept for comparison. */
  readonly policies: {
    readonly routing: RoutingPolicyName;
    readonly placement: PlacementPolicyName;
  };
  readonly isolation: {
    /** Time without contact to store and peers until requests are rejected. */
    readonly graceMs: number;
  };
}
