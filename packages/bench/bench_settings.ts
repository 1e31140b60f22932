/** Shipped settings, in place of the short intervals that tests use. */
import type * as testing from "../testing/mod.ts";

/** Intervals, time-outs and fan-out as shipped. */
export const SHIPPED_SETTINGS: testing.SettingsOverrides = {
  engines: {
    orderDelayMaxMs: 30_000,
    reportIntervalMs: 1_000,
    controlTimeoutMs: 1_000,
    silentAfterMs: 5_000,
    watchersPerEngine: 2,
  },
  placement: { residentMinMs: 10_000, intervalMs: 500 },
  peers: {
    exchangeIntervalMs: 1_000,
    timeoutMs: 500,
    fanout: 2,
  },
  table: { pollIntervalMs: 1_200 },
  drain: { entriesMaxAgeMs: 3_000 },
};
