/** Settings as shipped, in place of the short intervals of tests. */
import type * as testing from "../testing/mod.ts";

/** The shipped intervals. */
export const SHIPPED: testing.SettingsChange = {
  engines: {
    orderDelayMaxMs: 30_000,
    reportIntervalMs: 500,
    controlTimeoutMs: 1_000,
    silentAfterMs: 5_000,
    watchersPerEngine: 2,
  },
  placement: { residentMinMs: 10_000, intervalMs: 250 },
  peers: {
    exchangeIntervalMs: 500,
    timeoutMs: 500,
    suspectAfterMs: 3_000,
    fanout: 3,
  },
  table: { pollIntervalMs: 1_500 },
  drain: { entriesMaxAgeMs: 3_000 },
};
