/** Fleets of machines of three sizes, and the load that lists put on them. */
import * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";
import {
  CallerLists,
  FleetSizes,
  type ListedNode,
  type SizedNode,
} from "../mod.ts";

/** Machines of the heterogeneous deployment (docs/design/hard-load.md). */
export const SMALL: fleet.MachineSpec = {
  processorCores: 0.243,
  memoryMb: 210,
  linkMbps: 7,
};
export const MEDIUM: fleet.MachineSpec = {
  processorCores: 0.81,
  memoryMb: 490,
  linkMbps: 17.5,
};
export const LARGE: fleet.MachineSpec = {
  processorCores: 1.35,
  memoryMb: 602,
  linkMbps: 140,
};
const SMALL_SHARE = 58 / 84;
const MEDIUM_SHARE = 20 / 84;

/**
 * Makes nodes with the deployment's shares of sizes, spread over the domains.
 *
 * @example
 * ```ts
 * const nodes = makeMixedFleet(84, 5);
 * ```
 */
export function makeMixedFleet(count: number, domains: number): SizedNode[] {
  const small = Math.round(count * SMALL_SHARE);
  const medium = Math.round(count * MEDIUM_SHARE);
  return Array.from({ length: count }, (_, index) => ({
    node: core.brandId<core.InstanceId>(`front-${index}`),
    failureDomain: `zone-${index % domains}`,
    machine: index < small ? SMALL : index < small + medium ? MEDIUM : LARGE,
  }));
}

/** Makes nodes of one size. */
export function makeEqualFleet(count: number, domains: number): SizedNode[] {
  return makeMixedFleet(count, domains)
    .map((each) => ({ ...each, machine: LARGE }));
}

/** Adds the weights to the nodes. */
export function toListed(nodes: readonly SizedNode[]): ListedNode[] {
  const sizes = new FleetSizes(nodes);
  return nodes.map(({ node, failureDomain }) => ({
    node,
    failureDomain,
    weight: sizes.weight(node),
  }));
}

/** The share of all callers that each node gets, if each list has as many. */
export function callerShares(
  lists: CallerLists,
  health: (node: core.InstanceId) => number = () => 1,
): Map<core.InstanceId, number> {
  const shares = new Map<core.InstanceId, number>();
  const { names } = lists;
  for (const name of names) {
    const nodes = lists.nodesOf(name, health);
    for (const node of nodes) {
      const share = 1 / nodes.length / names.length;
      shares.set(node, (shares.get(node) ?? 0) + share);
    }
  }
  return shares;
}
