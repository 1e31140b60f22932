/** Teams that share a fleet: their keys, and when keys may be used. */
export { TeamDirectory } from "./teams_directory.ts";
export { digestKey, KeyDirectory, readBearerKey } from "./teams_keys.ts";
export { isTrusted, longestReadMs, trustedAgeMs } from "./teams_revocation.ts";
