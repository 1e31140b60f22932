/** The prompt parts of a request, as its log line names them. */
import type * as fleet from "../fleet/mod.ts";

/** Parts of a prompt, and characters of each, in the log. */
const LOGGED_PARTS_MAX = 4;
const LOGGED_PART_LENGTH = 16;

/**
 * The ids of the prompt's shared parts, shortened to bound the line.
 *
 * @example
 * ```ts
 * logger.info("request_end", { parts: loggedParts(caller) });
 * ```
 */
export function loggedParts(
  { promptParts }: fleet.CallerRequest,
): string | undefined {
  const shared = promptParts.slice(0, -1);
  if (shared.length === 0) return undefined;
  return shared.slice(0, LOGGED_PARTS_MAX)
    .map(({ id }) => id.slice(0, LOGGED_PART_LENGTH)).join(",");
}
