/** Settings, table rows and tokens for tests, the demo and benchmarks. */
import type * as settings from "../settings/mod.ts";
import type * as table from "../table/mod.ts";
import * as core from "../core/mod.ts";

export const CALLER_TOKENS = {
  kiosk: "kiosk-token-0123456789",
  dispatch: "dispatch-token-0123456789",
} as const;

export const OPERATOR_TOKENS = {
  ana: "operator-token-ana-0123",
  ben: "operator-token-ben-0123",
} as const;

/** Addresses of the fake platform services. */
export interface PlatformOrigins {
  readonly tableServiceUrl: string;
  readonly objectStoreUrl: string;
  readonly instanceListUrl: string;
  readonly weightStoreUrl: string;
}

/** Settings to override; each section may be partial. */
export type SettingsOverrides = {
  readonly [Key in keyof settings.Settings]?: settings.Settings[Key] extends
    string | readonly unknown[] ? settings.Settings[Key]
    : Partial<settings.Settings[Key]>;
};

/** Returns settings with short intervals and ports chosen by the OS. */
export function makeSettings(
  instanceId: string,
  failureDomain: string,
  origins: PlatformOrigins,
  overrides: SettingsOverrides = {},
): Record<string, unknown> {
  const base: Record<string, unknown> = {
    instanceId,
    failureDomain,
    listen: {
      host: "127.0.0.1",
      callerPort: 0,
      peerPort: 0,
      advertiseHost: "127.0.0.1",
    },
    platform: { ...origins, timeoutMs: 500 },
    callers: Object.entries(CALLER_TOKENS)
      .map(([callerId, token]) => ({ callerId, token })),
    operators: Object.entries(OPERATOR_TOKENS)
      .map(([operatorId, token]) => ({ operatorId, token })),
    services: [
      { name: "orders", repeatablePaths: ["stock"] },
      { name: "stock", repeatablePaths: ["/"] },
    ],
    engines: {
      orderDelayMaxMs: 1_000,
      reportIntervalMs: 200,
      controlTimeoutMs: 500,
      silentAfterMs: 2_500,
    },
    placement: { orderMaxMs: 2_000, residentMinMs: 1_000, intervalMs: 100 },
    peers: { exchangeIntervalMs: 200, timeoutMs: 300 },
    table: { pollIntervalMs: 500 },
    drain: { entriesMaxAgeMs: 500 },
  };
  for (const [key, value] of Object.entries(overrides)) {
    const isSection = typeof value === "object" && !Array.isArray(value);
    base[key] = isSection ? { ...(base[key] as object), ...value } : value;
  }
  return base;
}

/** Returns a model's row with typical values. */
export function makeRow(
  name: string,
  overrides: Partial<table.TableRow> = {},
): table.TableRow {
  return {
    name: core.brandId<core.RowName>(name),
    kind: "model",
    version: "1",
    weight: 1,
    priority: 5,
    limits: {},
    weightBytes: 20,
    deadlineMs: 20_000,
    ...overrides,
  };
}

/** Returns an adapter's row with typical values. */
export function makeAdapter(
  name: string,
  baseModel: string,
  overrides: Partial<table.TableRow> = {},
): table.TableRow {
  return makeRow(name, {
    kind: "adapter",
    baseModel: core.brandId<core.RowName>(baseModel),
    weightBytes: 2,
    ...overrides,
  });
}
