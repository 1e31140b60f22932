/** Configuration with streams that callers may take up. */
import * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";

/** Service to which the route leads, and one to which it might have led. */
export const STREAM_SERVICE = core.brandId<core.ServiceName>("chat");
export const OTHER_STREAM_SERVICE = core.brandId<core.ServiceName>("chat-2");
/** Service without models, which begins no streams. */
export const PLAIN_SERVICE = core.brandId<core.ServiceName>("stock");

/** Route of resumable streams. */
export const STREAM_ROUTE: fleet.RouteSpec = {
  name: "r",
  host: "chat.example",
  pathPrefix: "/",
  kind: "stream",
  timeoutMs: 5_000,
  latencyTargetMs: 500,
  eventGapTargetMs: 100,
  priority: 0,
  targets: [{ service: STREAM_SERVICE, weight: 1 }],
  attemptsMax: 2,
  isResumable: true,
};

const engine: fleet.EngineSpec = {
  slots: 1,
  kvCacheTokens: 1_000,
  tokensPerEvent: 1,
  weightMemoryMb: 1,
  adapterSlots: 1,
  loadsPerS: 1,
  models: new Map(),
};

/** Two services that run models, one that does not, and one route of streams. */
export function makeStreamConfig(): fleet.FleetConfig {
  const services: fleet.ServiceSpec[] = [
    { name: STREAM_SERVICE, connectionsMax: 1, engine },
    { name: OTHER_STREAM_SERVICE, connectionsMax: 1, engine },
    { name: PLAIN_SERVICE, connectionsMax: 1 },
  ];
  return {
    version: 1,
    routes: [STREAM_ROUTE],
    services: new Map(services.map((service) => [service.name, service])),
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
    bodyBytesMax: 1_000,
  };
}
