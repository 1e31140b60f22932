/**
 * Which software version began each stream, so that streams which break off are
 * continued only by upstreams of the same version.
 */
export { StreamOrigins } from "./origins_registry.ts";
export type { OriginBatch } from "./origins_registry.ts";
export { toStreamKey } from "./origins_types.ts";
export type { ReportedOrigin, StreamOrigin } from "./origins_types.ts";
export { SoftwareVersions } from "./origins_versions.ts";
export type { ServiceVersion } from "./origins_versions.ts";
