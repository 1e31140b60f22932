/** Settings of an entry node that listens nowhere. */
import * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";

export function makeEntrySettings(nodeName: string): fleet.EntrySettings {
  const address = { host: "127.0.0.1", port: 1 };
  return {
    nodeName: core.brandId<core.InstanceId>(nodeName),
    failureDomain: "d",
    listen: {
      callers: address,
      readiness: address,
      directory: address,
      peers: address,
      metrics: address,
    },
    storeOrigin: "",
    graceMs: 1,
    directoryTtlMs: 1,
    retryBudget: { ratio: 1, windowMs: 10_000, slack: 100 },
    orders: { leaseMs: 1, enginesCheckFences: true },
  };
}
