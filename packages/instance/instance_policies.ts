/** Creates the routing and placement policies that the settings name. */
import * as placement from "../placement/mod.ts";
import * as routing from "../routing/mod.ts";
import type * as settings from "../settings/mod.ts";

const AFFINITY_MAX_MS = 100;
const PREFIXES_MAX = 10_000;

/** Creates the routing policy of the given name. */
export function makeRouting(
  name: settings.RoutingPolicyName,
): routing.RoutingPolicy {
  switch (name) {
    case "estimated":
      return new routing.EstimatedRouting({
        affinityMaxMs: AFFINITY_MAX_MS,
        prefixesMax: PREFIXES_MAX,
      });
    case "least-reported":
      return new routing.LeastReportedRouting();
    case "round-robin":
      return new routing.RoundRobinRouting();
  }
}

/** Creates the placement policy that the settings name. */
export function makePlacement(
  validSettings: settings.Settings,
): placement.PlacementPolicy {
  switch (validSettings.policies.placement) {
    case "demand":
      return new placement.DemandPlacement(validSettings.placement);
    case "lru":
      return new placement.LruPlacement();
  }
}
