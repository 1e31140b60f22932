/** What each settings field must be; the checker walks this. */

/** A field's kind. */
export type FieldRule =
  | { readonly kind: "text"; readonly pattern?: RegExp; readonly hint: string }
  | {
    readonly kind: "number";
    readonly min: number;
    readonly max: number;
    readonly whole: boolean;
    readonly byDefault?: number;
  }
  | { readonly kind: "flag"; readonly byDefault?: boolean }
  | {
    readonly kind: "choice";
    readonly names: readonly string[];
    readonly byDefault: string;
  }
  | {
    readonly kind: "object";
    readonly fields: Readonly<Record<string, FieldRule>>;
    /** Whether the whole object may be absent. */
    readonly optional: boolean;
  }
  | {
    readonly kind: "list";
    readonly of: FieldRule;
    readonly optional: boolean;
  };

const DAY_MS = 86_400_000;
const PORT_MAX = 65_535;
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const IP_NUMBER = /^(\d{1,3}(\.\d{1,3}){3}|\[?[0-9a-fA-F:]+\]?)$/;
const ORIGIN = /^https?:\/\/[^/]+$/;

const name: FieldRule = {
  kind: "text",
  pattern: NAME,
  hint: "a name of letters, digits, dots, dashes and underscores",
};
const ipNumber: FieldRule = {
  kind: "text",
  pattern: IP_NUMBER,
  hint: "an IP number",
};
const origin: FieldRule = {
  kind: "text",
  pattern: ORIGIN,
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
const port: FieldRule = { kind: "number", min: 0, max: PORT_MAX, whole: true };
const advertisedPort: FieldRule = {
  kind: "number",
  min: 0,
  max: PORT_MAX,
  whole: true,
  byDefault: 0,
};

function ms(byDefault: number, min = 1): FieldRule {
  return { kind: "number", min, max: DAY_MS, whole: true, byDefault };
}

function count(byDefault: number, max = 1_000_000): FieldRule {
  return { kind: "number", min: 1, max, whole: true, byDefault };
}

function share(byDefault: number): FieldRule {
  return { kind: "number", min: 0, max: 1, whole: false, byDefault };
}

function object(fields: Record<string, FieldRule>, optional = true): FieldRule {
  return { kind: "object", fields, optional };
}

function list(fields: Record<string, FieldRule>): FieldRule {
  return { kind: "list", of: object(fields, false), optional: true };
}

/** The rule of a whole settings file. */
export const SETTINGS_RULE = object({
  instanceId: name,
  failureDomain: name,
  listen: object({
    host: ipNumber,
    callerPort: port,
    peerPort: port,
    advertiseHost: ipNumber,
    advertiseCallerPort: advertisedPort,
    advertisePeerPort: advertisedPort,
  }, false),
  platform: object({
    tableServiceUrl: origin,
    objectStoreUrl: origin,
    instanceListUrl: origin,
    weightStoreUrl: origin,
    timeoutMs: ms(1_000),
  }, false),
  callers: list({ callerId: name, token }),
  operators: list({ operatorId: name, token }),
  services: list({
    name,
    repeatablePaths: { kind: "list", of: path, optional: true },
    callMaxMs: ms(30_000),
  }),
  engines: object({
    honourFencing: { kind: "flag", byDefault: false },
    orderDelayMaxMs: ms(30_000, 0),
    controlTimeoutMs: ms(1_000),
    reportIntervalMs: ms(1_000),
    watchersPerEngine: count(2, 64),
    silentAfterMs: ms(5_000),
  }),
  placement: object({
    loadsAtOnceMax: count(3),
    adapterLoadsAtOnceMax: count(24),
    intervalMs: ms(500),
    attainmentWeight: share(0.7),
    residentMinMs: ms(10_000, 0),
    orderMaxMs: ms(30_000),
  }),
  peers: object({
    exchangeIntervalMs: ms(1_000),
    fanout: count(2, 64),
    digestEnginesMax: count(32, 10_000),
    timeoutMs: ms(500),
  }),
  table: object({ pollIntervalMs: ms(1_200) }),
  drain: object({ entriesMaxAgeMs: ms(3_000, 0), finishMaxMs: ms(600_000) }),
  limits: object({
    bodyMaxBytes: count(1_048_576, 1_073_741_824),
    inProgressMax: count(4_000),
    unsettledClaimsMax: count(10_000),
  }),
  policies: object({
    routing: {
      kind: "choice",
      names: ["estimated", "least-reported", "round-robin"],
      byDefault: "estimated",
    },
    placement: {
      kind: "choice",
      names: ["demand", "lru"],
      byDefault: "demand",
    },
  }),
  isolation: object({ graceMs: ms(2_000) }),
}, false);
