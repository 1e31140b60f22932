/**
 * The tree in which nodes exchange their load. Pattern of load: with one hub,
 * its calls grow with the number of nodes; with groups, each node answers a few
 * calls, however many nodes there are.
 */
import * as core from "../core/mod.ts";
import {
  chooseLeaders,
  isLeader,
  type LeaderCandidate,
} from "./capacity/entry_leaders.ts";

/** Up to this number of nodes, all exchange with the root. */
const FLAT_NODES_MAX = 16;

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
export type TreeNode = LeaderCandidate;

/** Position of a node in the tree. */
export type TreeRole = "root" | "leader" | "leaf";

export interface TreePlace {
  readonly role: TreeRole;
  /** Node to exchange with; the node itself if it is the root. */
  readonly parent: core.InstanceId;
}

/**
 * Finds a node's place in the tree. Nodes with the same list of live nodes and
 * the same root agree. Leaders are in their group's failure domain if it has
 * machines that are large enough, so that most exchanges stay inside it.
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
  const candidates = alive.filter(({ node }) =>
    node !== root && !isAvoided(node)
  );
  if (isLeader(self, candidates)) return { role: "leader", parent: root };
  const leaders = chooseLeaders(self.failureDomain, candidates);
  const [parent] = core.rendezvous(self.node, leaders);
  return { role: "leaf", parent: parent ?? root };
}
