/**
 * The tree in which nodes exchange their load. Pattern of load: with one hub,
 * its calls grow with the number of nodes; with groups, each node answers a few
 * calls, however many nodes there are.
 */
import * as core from "../core/mod.ts";

/** Up to this number of nodes, all exchange with the root. */
const FLAT_NODES_MAX = 16;
/** Nodes that exchange with the same group leader. */
const GROUP_SIZE = 20;

/**
 * Whether so many live nodes form groups, over which messages take longer.
 *
 * @example
 * ```ts
 * const isTree = hasGroups(members.alive().length);
 * ```
 */
export function hasGroups(nodes: number): boolean {
  return nodes > FLAT_NODES_MAX;
}

/** A live node and its failure domain. */
export interface TreeNode {
  readonly node: core.InstanceId;
  readonly failureDomain: string;
}

/** Position of a node in the tree. */
export type TreeRole = "root" | "leader" | "leaf";

export interface TreePlace {
  readonly role: TreeRole;
  /** Node to exchange with; the node itself if it is the root. */
  readonly parent: core.InstanceId;
}

/**
 * Finds a node's place in the tree. Nodes with the same list of live nodes and
 * the same root agree. Leaders are in their group's failure domain, so that
 * most exchanges stay inside it.
 *
 * @param alive the live nodes, `self` included.
 * @param isAvoided whether a node did not answer recently.
 * @example
 * ```ts
 * const { parent } = findTreePlace(self, root, alive, () => false);
 * ```
 */
export function findTreePlace(
  self: TreeNode,
  root: core.InstanceId,
  alive: readonly TreeNode[],
  isAvoided: (node: core.InstanceId) => boolean,
): TreePlace {
  if (self.node === root) return { role: "root", parent: root };
  if (!hasGroups(alive.length)) return { role: "leaf", parent: root };
  const group = alive.filter(({ node, failureDomain }) =>
    node !== root && failureDomain === self.failureDomain && !isAvoided(node)
  ).map(({ node }) => node);
  const leaderCount = Math.ceil(group.length / GROUP_SIZE);
  const leaders = core.rendezvous("exchange-leader", group)
    .slice(0, leaderCount);
  if (leaders.includes(self.node)) return { role: "leader", parent: root };
  const [parent] = core.rendezvous(self.node, leaders);
  return { role: "leaf", parent: parent ?? root };
}
