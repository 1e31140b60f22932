/** Schema of the settings: the type, range and default of each field. */

/** Validation rule of one field. */
export type FieldRule =
  | { readonly kind: "text"; readonly pattern?: RegExp; readonly hint: string }
  | {
    readonly kind: "number";
    readonly min: number;
    readonly max: number;
    readonly isInteger: boolean;
    readonly defaultValue?: number;
  }
  | { readonly kind: "flag"; readonly defaultValue?: boolean }
  | {
    readonly kind: "choice";
    readonly names: readonly string[];
    readonly defaultValue: string;
  }
  | {
    readonly kind: "object";
    readonly fields: Readonly<Record<string, FieldRule>>;
    /** Whether the object may be omitted; its defaults then apply. */
    readonly optional: boolean;
  }
  | {
    readonly kind: "list";
    readonly item: FieldRule;
    readonly optional: boolean;
  };

const DAY_MS = 86_400_000;
const PORT_MAX = 65_535;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const IP_ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[?[0-9a-fA-F:]+\]?)$/;
const ORIGIN_PATTERN = /^https?:\/\/[^/]+$/;

const name: FieldRule = {
  kind: "text",
  pattern: NAME_PATTERN,
  hint: "a name of letters, digits, dots, dashes and underscores",
};
const ipAddress: FieldRule = {
  kind: "text",
  pattern: IP_ADDRESS_PATTERN,
  hint: "an IP number",
};
const origin: FieldRule = {
  kind: "text",
  pattern: ORIGIN_PATTERN,
  hint: "an origin such as http://127.0.0.1:9000",
};
const token: FieldRule = {
  kind: "text",
  pattern: /^\S{16,}$/,
  hint: "a token of at least 16 characters",
};
const path: FieldRule = {
  kind: "text",
  pattern: /^\/?\S*$/,
  hint: "a path prefix",
};
const port: FieldRule = {
  kind: "number",
  min: 0,
  max: PORT_MAX,
  isInteger: true,
};
const advertisedPort: FieldRule = {
  kind: "number",
  min: 0,
  max: PORT_MAX,
  isInteger: true,
  defaultValue: 0,
};

function durationMs(defaultMs: number, min = 1): FieldRule {
  return {
    kind: "number",
    min,
    max: DAY_MS,
    isInteger: true,
    defaultValue: defaultMs,
  };
}

function count(defaultCount: number, max = 1_000_000): FieldRule {
  return {
    kind: "number",
    min: 1,
    max,
    isInteger: true,
    defaultValue: defaultCount,
  };
}

/** A count that is 0 unless it is known. */
const countOrUnknown: FieldRule = {
  kind: "number",
  min: 0,
  max: 100_000_000,
  isInteger: true,
  defaultValue: 0,
};

function ratio(defaultRatio: number): FieldRule {
  return {
    kind: "number",
    min: 0,
    max: 1,
    isInteger: false,
    defaultValue: defaultRatio,
  };
}

function object(fields: Record<string, FieldRule>, optional = true): FieldRule {
  return { kind: "object", fields, optional };
}

function list(fields: Record<string, FieldRule>): FieldRule {
  return { kind: "list", item: object(fields, false), optional: true };
}

/** Schema of a settings file. */
export const SETTINGS_SCHEMA = object({
  instanceId: name,
  failureDomain: name,
  listen: object({
    host: ipAddress,
    callerPort: port,
    peerPort: port,
    advertiseHost: ipAddress,
    advertiseCallerPort: advertisedPort,
    advertisePeerPort: advertisedPort,
  }, false),
  platform: object({
    tableServiceUrl: origin,
    objectStoreUrl: origin,
    instanceListUrl: origin,
    weightStoreUrl: origin,
    timeoutMs: durationMs(1_000),
  }, false),
  callers: list({ callerId: name, token }),
  operators: list({ operatorId: name, token }),
  services: list({
    name,
    repeatablePaths: { kind: "list", item: path, optional: true },
    callMaxMs: durationMs(30_000),
  }),
  engines: object({
    honourFencing: { kind: "flag", defaultValue: false },
    orderDelayMaxMs: durationMs(30_000, 0),
    controlTimeoutMs: durationMs(1_000),
    reportIntervalMs: durationMs(1_000),
    watchersPerEngine: count(2, 64),
    silentAfterMs: durationMs(5_000),
  }),
  placement: object({
    loadsAtOnceMax: count(3),
    adapterLoadsAtOnceMax: count(24),
    intervalMs: durationMs(500),
    attainmentWeight: ratio(0.7),
    residentMinMs: durationMs(10_000, 0),
    orderMaxMs: durationMs(30_000),
  }),
  peers: object({
    exchangeIntervalMs: durationMs(1_000),
    fanout: count(2, 64),
    digestEnginesMax: count(32, 10_000),
    timeoutMs: durationMs(500),
  }),
  table: object({
    pollIntervalMs: durationMs(1_200),
    editMaxMs: durationMs(3_000),
  }),
  drain: object({
    entriesMaxAgeMs: durationMs(3_000, 0),
    finishMaxMs: durationMs(600_000),
  }),
  limits: object({
    bodyMaxBytes: count(1_048_576, 1_073_741_824),
    inProgressMax: count(4_000),
    memoryMb: countOrUnknown,
    descriptorsMax: countOrUnknown,
    unsettledClaimsMax: count(10_000),
  }),
  policies: object({
    routing: {
      kind: "choice",
      names: ["estimated", "least-reported", "round-robin"],
      defaultValue: "estimated",
    },
    placement: {
      kind: "choice",
      names: ["demand", "lru"],
      defaultValue: "demand",
    },
  }),
  isolation: object({ graceMs: durationMs(2_000) }),
}, false);
