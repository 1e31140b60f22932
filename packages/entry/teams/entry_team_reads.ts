/** How often the configuration is read, so that the keys of teams are current. */
import type * as fleet from "../../fleet/mod.ts";
import * as teams from "../../teams/mod.ts";
import type { FollowOptions } from "../entry_follow_task.ts";

/** Without a bound for removed keys. */
const WAIT_MS = 2_000;
const SHARED_WAIT_MS = 1_000;

/**
 * Options for following the configuration.
 *
 * @example
 * ```ts
 * const { waitMs } = followConfig({ ...settings, revocationMs: 3_000 }); // 1000
 * ```
 */
export function followConfig(
  { revocationMs }: fleet.EntrySettings,
): FollowOptions {
  return {
    waitMs: teams.longestReadMs(revocationMs, WAIT_MS),
    sharedWaitMs: teams.longestReadMs(revocationMs, SHARED_WAIT_MS),
    coalesceMs: 0,
  };
}
