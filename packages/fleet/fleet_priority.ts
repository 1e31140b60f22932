/** Priority of a request, in this system's queues and at its upstream. */
import type { RouteSpec, TeamSpec } from "./fleet_types.ts";

/**
 * Returns the priority of a request: its team's if it has one, else its route's.
 *
 * @example
 * ```ts
 * const priority = fleet.priorityOf(request);
 * ```
 */
export function priorityOf(
  { route, team }: {
    readonly route: Pick<RouteSpec, "priority">;
    readonly team?: Pick<TeamSpec, "priority">;
  },
): number {
  return team?.priority ?? route.priority;
}
