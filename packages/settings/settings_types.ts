/** Settings of one entry instance. */

/** A caller and the bearer token that names it. */
export interface CallerSettings {
  readonly callerId: string;
  readonly token: string;
}

/** An operator and the bearer token that names it. */
export interface OperatorSettings {
  readonly operatorId: string;
  readonly token: string;
}

/** A plain service; its calls may not be repeated unless listed here. */
export interface ServiceSettings {
  readonly name: string;
  /** Paths whose calls may be repeated, as prefixes. */
  readonly repeatablePaths: readonly string[];
  readonly callMaxMs: number;
}

/** Routing policies that can be set. */
export type RoutingPolicyName = "estimated" | "least-reported" | "round-robin";

/** Placement policies that can be set. */
export type PlacementPolicyName = "demand" | "lru";

/** Everything an entry instance is told at start. */
export interface Settings {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly listen: {
    readonly host: string;
    readonly callerPort: number;
    readonly peerPort: number;
    /** Host that callers and peers connect to. */
    readonly advertiseHost: string;
    /** Ports that they connect to, where not those listened on; else 0. */
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
    readonly orderDelayMaxMs: number;
    readonly controlTimeoutMs: number;
    readonly reportIntervalMs: number;
    readonly watchersPerEngine: number;
    /** An engine without news for so long gets no work. */
    readonly silentAfterMs: number;
  };
  readonly placement: {
    readonly loadsAtOnceMax: number;
    readonly adapterLoadsAtOnceMax: number;
    readonly intervalMs: number;
    /** 0 spares moves, 1 spares waiting. */
    readonly attainmentWeight: number;
    readonly residentMinMs: number;
    /** An order not carried out for so long counts as lost. */
    readonly orderMaxMs: number;
  };
  readonly peers: {
    readonly exchangeIntervalMs: number;
    readonly fanout: number;
    /** Engines in one digest at most. */
    readonly digestEnginesMax: number;
    readonly timeoutMs: number;
  };
  readonly table: { readonly pollIntervalMs: number };
  readonly drain: {
    readonly entriesMaxAgeMs: number;
    readonly finishMaxMs: number;
  };
  readonly limits: {
    readonly bodyMaxBytes: number;
    readonly inProgressMax: number;
    readonly unsettledClaimsMax: number;
  };
  /** Policies by name; the baselines are kept to measure against. */
  readonly policies: {
    readonly routing: RoutingPolicyName;
    readonly placement: PlacementPolicyName;
  };
  readonly isolation: { readonly graceMs: number };
}
