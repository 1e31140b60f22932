/**
 * Chooses the nodes of a failure domain that sum the load of the others. Where
 * machines differ in size, large ones lead, also for other domains.
 */
import * as core from "../../core/mod.ts";

/** Nodes that exchange with the same group leader. */
const GROUP_SIZE = 20;
/** Where a domain has few large machines, each leads up to so many nodes. */
const LARGE_GROUP_SIZE_MAX = 2 * GROUP_SIZE;
/**
 * Nodes that exchange with a small machine, of which each sends up to ten calls
 * a second: a node with 0.243 of a core must not answer a hundred.
 */
const SMALL_GROUP_SIZE = 5;
const RENDEZVOUS_KEY = "exchange-leader";

/** A live node that may lead, as it has answered lately. */
export interface LeaderCandidate {
  readonly node: core.InstanceId;
  readonly failureDomain: string;
  /** Whether its machine may do work for others; absent means that it may. */
  readonly isLarge?: boolean;
}

/**
 * Returns the leaders of a failure domain. Nodes with the same candidates
 * agree. If all machines are large, a domain is led by its own nodes alone.
 *
 * @param candidates the live nodes but the root.
 * @example
 * ```ts
 * const leaders = chooseLeaders("zone-1", candidates);
 * ```
 */
export function chooseLeaders(
  failureDomain: string,
  candidates: readonly LeaderCandidate[],
): core.InstanceId[] {
  const group = candidates.filter((each) =>
    each.failureDomain === failureDomain
  );
  const count = Math.ceil(group.length / GROUP_SIZE);
  const own = core.rendezvous(RENDEZVOUS_KEY, namesOf(group.filter(isLarge)))
    .slice(0, count);
  if (own.length === count) return own;
  const large = candidates.filter(isLarge);
  const areEnough = large.length * GROUP_SIZE >= candidates.length;
  const others = areEnough
    ? core.rendezvous(
      `${RENDEZVOUS_KEY}/${failureDomain}`,
      namesOf(large.filter((each) => each.failureDomain !== failureDomain)),
    )
    : [];
  const leaders = [...own, ...others.slice(0, count - own.length)];
  if (leaders.length * LARGE_GROUP_SIZE_MAX >= group.length) return leaders;
  return core.rendezvous(RENDEZVOUS_KEY, namesOf(group))
    .slice(0, Math.ceil(group.length / SMALL_GROUP_SIZE));
}

/**
 * Whether a node leads its own domain, or another one that lacks leaders.
 *
 * @example
 * ```ts
 * const role = isLeader(self, candidates) ? "leader" : "leaf";
 * ```
 */
export function isLeader(
  self: LeaderCandidate,
  candidates: readonly LeaderCandidate[],
): boolean {
  const domains = candidates.every(isLarge) || !isLarge(self)
    ? [self.failureDomain]
    : new Set(candidates.map(({ failureDomain }) => failureDomain));
  for (const domain of domains) {
    if (chooseLeaders(domain, candidates).includes(self.node)) return true;
  }
  return false;
}

function isLarge({ isLarge = true }: LeaderCandidate): boolean {
  return isLarge;
}

function namesOf(nodes: readonly LeaderCandidate[]): core.InstanceId[] {
  return nodes.map(({ node }) => node);
}
