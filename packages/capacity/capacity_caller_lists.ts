/**
 * The nodes that the callers of a failure domain are offered. Callers pick one
 * of them at random, so a node's load follows from the number of lists it is in.
 */
import * as core from "../core/mod.ts";

/** A caller's answer may hold this many addresses. */
export const LIST_LENGTH_MAX = 64;
/** No list is shorter if there are so many nodes. */
const LIST_LENGTH_MIN = 3;
/** Standard deviations kept free below the longest list. */
const LENGTH_MARGIN_DEVIATIONS = 1.3;
const LENGTH_TARGET_MIN = 32;
/** Lists into which the callers of one domain may be divided, by their name. */
const GROUPS_MAX = 12;
/** Nodes that are in one list first; leaves room for unequal numbers of them. */
const FIRST_CHOICES_MAX = 40;
/** How far the rounded number of a node's lists may be off, as a factor. */
const ROUNDING_FACTOR_MAX = 1.5;
/**
 * Share by which a domain's list may hold more of its own nodes than the mean;
 * beyond, the load on them would be lower than that on other domains' nodes.
 */
const OWN_NODES_SLACK = 1.25;
/**
 * Shortest list relative to the mean length. Callers of a shorter one would put
 * more load on each of its nodes.
 */
const LENGTH_SHARE_MIN = 0.8;
/**
 * Reported overload is ignored if it would take more than this share of the
 * fleet's weight out of the lists: then the rest would be overloaded as well.
 */
const REDUCED_SHARE_MAX = 0.5;
/** Below, overloaded nodes in few lists would keep all callers by their hash. */
const HASHED_HEALTH_MIN = 0.5;
const HASH_RANGE = 2 ** 32;
/** Keeps weights of hash choices above 0. */
const DEFICIT_MIN = 0.01;

/** A registered node that does not leave. */
export interface ListedNode {
  readonly node: core.InstanceId;
  readonly failureDomain: string;
  /** Size relative to the largest machine. */
  readonly weight: number;
}

/** Where a caller is, as it says itself. */
export interface CallerPlace {
  readonly name?: string;
  readonly failureDomain?: string;
}

interface Entry {
  readonly node: core.InstanceId;
  /** Position of the list among those that the node prefers. */
  readonly choice: number;
  /** Number of lists that the node should be in, unrounded. */
  readonly lists: number;
  /** Orders the nodes of one list. */
  readonly order: number;
}

/** Expected share of the lists that each node is in. */
interface Shares {
  readonly byNode: ReadonlyMap<core.InstanceId, number>;
  readonly smallest: number;
}

/**
 * The lists of a fleet, one for each failure domain, or several where one is
 * not enough for each node to be in any. Each node chooses its lists by hashes
 * alone, so a node that joins or leaves changes hardly more than its own
 * entries, and all nodes with the same member rows offer the same lists.
 */
export class CallerLists {
  readonly #nodes: readonly ListedNode[];
  readonly #domains: readonly string[];
  readonly #groups: number;
  readonly #shares: Shares;
  readonly #entries = new Map<string, Entry[]>();

  constructor(nodes: readonly ListedNode[]) {
    this.#nodes = nodes;
    this.#domains = [
      ...new Set(nodes.map(({ failureDomain }) => failureDomain)),
    ].sort();
    this.#shares = shareLists(nodes);
    const domains = Math.max(1, this.#domains.length);
    const forSmallest = Math.round(1 / (domains * this.#shares.smallest));
    const forAll = Math.ceil(nodes.length / (domains * FIRST_CHOICES_MAX));
    this.#groups = Math.min(GROUPS_MAX, Math.max(1, forSmallest, forAll));
    this.#assign();
  }

  /** Names of all lists, for tests and reports. */
  get names(): string[] {
    return this.#domains.flatMap((domain) => this.#namesOf(domain));
  }

  #namesOf(domain: string): string[] {
    return Array.from(
      { length: this.#groups },
      (_, group) => toName(domain, group),
    );
  }

  /** The list that a caller is offered; stable for a caller. */
  nameFor({ name = "", failureDomain = "" }: CallerPlace): string {
    const domain = this.#domains.includes(failureDomain)
      ? failureDomain
      : core.rendezvous(`caller-domain/${failureDomain}`, this.#domains)[0]!;
    return toName(domain, core.hash32(`caller/${name}`) % this.#groups);
  }

  /**
   * Returns the nodes of a list.
   *
   * @param health 0 for a node that is not available, 1 for a healthy one, and
   * the remaining share of its weight for an overloaded one.
   * @example
   * ```ts
   * const nodes = lists.nodesOf(lists.nameFor(place), () => 1);
   * ```
   */
  nodesOf(
    list: string,
    health: (node: core.InstanceId) => number,
  ): core.InstanceId[] {
    const { healths, expectedLength } = this.#healths(health);
    const listed = (this.#entries.get(list) ?? [])
      .filter(({ node, choice, lists }) => {
        const share = healths.get(node) ?? 0;
        return share > 0 && choice < countLists(node, lists, share);
      })
      .sort((a, b) => a.choice - b.choice || a.order - b.order)
      .slice(0, LIST_LENGTH_MAX)
      .sort((a, b) => a.order - b.order)
      .map(({ node }) => node);
    const lengthMin = Math.max(
      LIST_LENGTH_MIN,
      Math.ceil(expectedLength * LENGTH_SHARE_MIN),
    );
    if (listed.length >= Math.min(lengthMin, healths.size)) return listed;
    return this.#fill(list, listed, lengthMin, healths);
  }

  /** Adds available nodes, large and healthy ones with a higher probability. */
  #fill(
    list: string,
    listed: readonly core.InstanceId[],
    length: number,
    healths: ReadonlyMap<core.InstanceId, number>,
  ): core.InstanceId[] {
    const others = this.#nodes.filter(({ node }) =>
      healths.has(node) && !listed.includes(node)
    );
    const chosen = weightedOrder(
      others.map(({ node, weight }) => ({
        id: node,
        // Squared, as a further list would often double a small one's load.
        weight: weight ** 2 * healths.get(node)!,
        hash: `fill/${list}|${node}`,
      })),
    );
    return [...listed, ...chosen.slice(0, length - listed.length)];
  }

  /** Health of the available nodes, and the mean length of their lists. */
  #healths(health: (node: core.InstanceId) => number) {
    const healths = new Map<core.InstanceId, number>();
    let weight = 0;
    let reducedWeight = 0;
    let expectedLength = 0;
    for (const each of this.#nodes) {
      const share = Math.min(1, health(each.node));
      if (!(share > 0)) continue;
      healths.set(each.node, share);
      weight += each.weight;
      reducedWeight += each.weight * (1 - share);
      expectedLength += this.#shares.byNode.get(each.node)! * share;
    }
    if (reducedWeight > weight * REDUCED_SHARE_MAX) {
      for (const node of healths.keys()) healths.set(node, 1);
    }
    return { healths, expectedLength };
  }

  /** Enters each node in the lists that it prefers. */
  #assign(): void {
    const { names } = this;
    const keepOwn = this.#ownShares();
    for (const { node, failureDomain } of this.#nodes) {
      const lists = this.#shares.byNode.get(node)! * names.length;
      const count = countLists(node, lists, 1);
      const first = this.#firstList(node, failureDomain, keepOwn);
      const others = count > 1
        ? core.rendezvous(`lists/${node}`, names).filter((list) =>
          list !== first
        )
        : [];
      [first, ...others].slice(0, count).forEach((list, choice) => {
        const entries = this.#entries.get(list) ?? [];
        const order = core.hash32(`order/${list}|${node}`);
        entries.push({ node, choice, lists, order });
        this.#entries.set(list, entries);
      });
    }
  }

  /** The list that a node is in at least: one of its own domain if possible. */
  #firstList(
    node: core.InstanceId,
    failureDomain: string,
    { kept, deficits }: OwnShares,
  ): string {
    const isKept = toUnit(`own/${node}`) < (kept.get(failureDomain) ?? 1);
    const domain = isKept ? failureDomain : weightedOrder(
      this.#domains.map((each) => ({
        id: each,
        weight: deficits.get(each) ?? 0,
        hash: `domain/${each}|${node}`,
      })),
    )[0]!;
    return core.rendezvous(`lists/${node}`, this.#namesOf(domain))[0]!;
  }

  /**
   * The share of each domain's nodes that are in its own list first, and how
   * many nodes of other domains each list lacks then.
   */
  #ownShares(): OwnShares {
    const counts = new Map<string, number>();
    for (const { node, failureDomain } of this.#nodes) {
      if (this.#shares.byNode.get(node)! >= 1) continue;
      counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
    }
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
    const mean = total / this.#domains.length;
    const kept = new Map<string, number>();
    const deficits = new Map<string, number>();
    for (const domain of this.#domains) {
      const count = counts.get(domain) ?? 0;
      const share = count === 0
        ? 1
        : Math.min(1, OWN_NODES_SLACK * mean / count);
      kept.set(domain, share);
      deficits.set(domain, Math.max(DEFICIT_MIN, mean - count * share));
    }
    return { kept, deficits };
  }
}

interface OwnShares {
  readonly kept: ReadonlyMap<string, number>;
  readonly deficits: ReadonlyMap<string, number>;
}

function toName(domain: string, group: number): string {
  return `${domain}#${group}`;
}

/**
 * The number of lists that a node is in, rounded by a hash of its name. A
 * healthy node is in one at least; an overloaded one may be in none, and one
 * with less than half of its weight is rounded down, whatever its hash.
 */
function countLists(
  node: core.InstanceId,
  lists: number,
  health: number,
): number {
  const exact = lists * health;
  const whole = Math.floor(exact);
  if (health < HASHED_HEALTH_MIN) return whole;
  if (health >= 1) {
    if (whole * ROUNDING_FACTOR_MAX < exact) return whole + 1;
    if (whole + 1 > exact * ROUNDING_FACTOR_MAX) return whole;
  }
  return toUnit(`count/${node}`) < exact - whole ? whole + 1 : whole;
}

/**
 * Scales the weights to shares of at most 1, so that the lists are as long as
 * they may be on average, but no shorter than needed.
 */
function shareLists(nodes: readonly ListedNode[]): Shares {
  const weights = nodes.map(({ weight }) => weight);
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const lengthMin = Math.min(LIST_LENGTH_MIN, nodes.length);
  let shares = sum < lengthMin ? scale(weights, lengthMin) : weights;
  let target = LIST_LENGTH_MAX;
  while (!fits(shares) && target > LENGTH_TARGET_MIN) {
    shares = scale(weights, target--);
  }
  return {
    byNode: new Map(nodes.map(({ node }, index) => [node, shares[index]!])),
    smallest: Math.min(1, ...shares),
  };
}

/** Whether lists with these shares are seldom longer than they may be. */
function fits(shares: readonly number[]): boolean {
  let length = 0;
  let variance = 0;
  for (const share of shares) {
    length += share;
    variance += share * (1 - share);
  }
  const margin = LENGTH_MARGIN_DEVIATIONS * Math.sqrt(variance);
  return length + margin <= LIST_LENGTH_MAX || shares.length <= LIST_LENGTH_MAX;
}

/** Multiplies the weights by one factor, with 1 as the limit, to this sum. */
function scale(weights: readonly number[], sum: number): number[] {
  let low = 0;
  let high = sum / Math.min(...weights);
  const apply = (factor: number) =>
    weights.map((weight) => Math.min(1, weight * factor));
  for (let step = 0; step < 50; step++) {
    const middle = (low + high) / 2;
    const total = apply(middle).reduce((a, b) => a + b, 0);
    if (total < sum) low = middle;
    else high = middle;
  }
  return apply(high);
}

interface WeightedCandidate<Id extends string> {
  readonly id: Id;
  readonly weight: number;
  readonly hash: string;
}

/** Rendezvous hashing in which the first place is in proportion to weight. */
function weightedOrder<Id extends string>(
  candidates: readonly WeightedCandidate<Id>[],
): Id[] {
  return candidates
    .map(({ id, weight, hash }) => ({
      id,
      score: -Math.log(toUnit(hash)) / Math.max(weight, Number.MIN_VALUE),
    }))
    .sort((a, b) => a.score - b.score || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

/** Hashes a text to a number above 0 and below 1. */
function toUnit(text: string): number {
  return (core.hash32(text) + 0.5) / HASH_RANGE;
}
