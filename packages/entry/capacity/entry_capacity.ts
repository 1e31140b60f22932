/** The sizes of the fleet's machines, as far as this node knows the members. */
import * as capacity from "../../capacity/mod.ts";
import * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";
import { MEMBER_TIMEOUT_MS, type Members } from "../entry_members.ts";
import { fromMachineRow } from "./entry_machine_row.ts";

/**
 * A small holder of the order lease hands it over when a large node has been in
 * contact for this long: a fleet that starts, or a node that restarts, takes a
 * few seconds.
 */
const HANDOVER_AFTER_MS = 5_000;
/**
 * Places that a small node is behind the large ones. Candidates learn of a free
 * lease up to 0.6 s after each other, which is four times the delay of a place.
 */
const SMALL_RANK_PENALTY = 5;

/** A fleet of the registered members, and the lists that callers are offered. */
interface Fleet {
  readonly rowsVersion: number;
  readonly sizes: capacity.FleetSizes;
  readonly lists: () => capacity.CallerLists;
}

/** What the sizes of the members' machines decide. */
export class EntryCapacity {
  readonly #self: capacity.SizedNode;
  readonly #members: Members;
  readonly #logger: core.Logger;
  #loggedWeight = 1;
  #fleet: Fleet | undefined;
  /** Since when a large node could hold the order lease in place of this one. */
  #successorSinceMs: number | undefined;

  constructor(
    settings: fleet.EntrySettings,
    members: Members,
    logger: core.Logger,
  ) {
    const { nodeName, failureDomain, machine } = settings;
    this.#self = {
      node: nodeName,
      failureDomain,
      ...(machine ? { machine } : {}),
    };
    this.#members = members;
    this.#logger = logger;
  }

  get sizes(): capacity.FleetSizes {
    return this.#current().sizes;
  }

  get lists(): capacity.CallerLists {
    return this.#current().lists();
  }

  /** Position of this node among the live ones, larger machines first. */
  rank(): number {
    const { sizes } = this;
    const alive = this.#members.alive();
    const rank = sizes.largeFirst(alive).indexOf(this.#self.node);
    const isBehind = !sizes.isLarge(this.#self.node) &&
      alive.some((node) => sizes.isLarge(node));
    return isBehind ? rank + SMALL_RANK_PENALTY : rank;
  }

  /**
   * Whether this node should leave the order lease to a larger one, as the
   * lease holder answers the exchanges of the whole fleet.
   */
  yieldsLease(nowMs = core.monotonicMs()): boolean {
    const { sizes } = this;
    const { node: self } = this.#self;
    const hasSuccessor = !sizes.isLarge(self) &&
      this.#members.contacts(nowMs).some(({ node, ageMs, accepts }) =>
        ageMs < MEMBER_TIMEOUT_MS && accepts && sizes.isLarge(node)
      );
    if (!hasSuccessor) {
      this.#successorSinceMs = undefined;
      return false;
    }
    this.#successorSinceMs ??= nowMs;
    return nowMs - this.#successorSinceMs >= HANDOVER_AFTER_MS;
  }

  /**
   * Returns this node's part of the connections to an upstream, in proportion
   * to its size; undefined if all nodes have the same.
   */
  readonly connectionShare = (
    budget: number,
    min: number,
  ): number | undefined => {
    const { sizes } = this;
    if (!sizes.differ) return undefined;
    const weights = this.#registered().map(({ node }) => sizes.weight(node));
    const own = sizes.weight(this.#self.node);
    return capacity.shareConnections(own, weights, budget, min);
  };

  /** Current values for the metrics. */
  gauges(): Record<string, number> {
    const weight = this.sizes.weight(this.#self.node);
    return { machine_weight_percent: Math.round(weight * 100) };
  }

  #current(): Fleet {
    const { rowsVersion } = this.#members;
    if (this.#fleet?.rowsVersion === rowsVersion) return this.#fleet;
    const nodes = this.#registered();
    const sizes = new capacity.FleetSizes(nodes);
    let lists: capacity.CallerLists | undefined;
    this.#fleet = {
      rowsVersion,
      sizes,
      lists: () =>
        lists ??= new capacity.CallerLists(
          nodes.map(({ node, failureDomain }) => ({
            node,
            failureDomain,
            weight: sizes.weight(node),
          })),
        ),
    };
    this.#logSizes(sizes, nodes.length);
    return this.#fleet;
  }

  /** Logs a change of this node's weight, by a percent or more. */
  #logSizes(sizes: capacity.FleetSizes, nodes: number): void {
    const weight = Number(sizes.weight(this.#self.node).toFixed(2));
    if (weight === this.#loggedWeight) return;
    this.#loggedWeight = weight;
    this.#logger.info("machine_weight", {
      weight,
      isLarge: sizes.isLarge(this.#self.node),
      nodes,
    });
  }

  /** The members that are not leaving, and this node, sorted by name. */
  #registered(): capacity.SizedNode[] {
    const others = this.#members.registered()
      .filter((node) => node !== this.#self.node)
      .map((node) => {
        const { failureDomain, machine } = this.#members.row(node)!;
        return { node, failureDomain, machine: fromMachineRow(machine) };
      });
    return [...others, this.#self]
      .sort((a, b) => a.node < b.node ? -1 : 1);
  }
}
