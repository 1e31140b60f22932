/** Values and situations that unit tests of several packages need. */
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";

/** Returns an upstream without models, on an address that nobody uses. */
export function makeUpstreamRecord(
  part: Partial<fleet.UpstreamRecord> = {},
): fleet.UpstreamRecord {
  return {
    id: core.brandId<core.UpstreamId>("e"),
    startedAtMs: 1,
    service: core.brandId<core.ServiceName>("s"),
    softwareVersion: core.brandId<core.SoftwareVersion>("v1"),
    address: "127.0.0.1:1",
    failureDomain: "z",
    slots: 1,
    isLeaving: false,
    models: [],
    modelsInMemory: [],
    modelsOnDisk: [],
    ...part,
  };
}

/**
 * Starts something and keeps the event loop busy right after, as a pause of the
 * process does: the kernel goes on, but no timer and no callback runs.
 */
export function startThenHoldUp<T>(
  start: () => T,
  holdUpMs: number,
): Promise<Awaited<T>> {
  return new Promise((resolve) => {
    // In a timer, as the loop then polls before it runs timers again.
    setTimeout(() => {
      resolve(start() as Awaited<T>);
      const untilMs = core.monotonicMs() + holdUpMs;
      while (core.monotonicMs() < untilMs);
    }, 10);
  });
}
