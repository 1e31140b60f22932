/** Sizes of the machines of a fleet, and the weights that follow from them. */
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";

/**
 * Memory that the program needs without any load, of which callers get none:
 * 84 MB were measured (docs/design/hard-load.md, part 6).
 */
const PROGRAM_MEMORY_MB = 84;
/** Share of a very small machine's memory that counts as usable. */
const USABLE_MEMORY_SHARE_MIN = 0.1;
/** Sizes differ if the smallest is at most this share of the largest. */
const DIFFERENT_SIZE_RATIO = 0.5;
/** A machine is large from this share of the largest one on. */
const LARGE_RATIO = 0.5;

/** A node and what its machine has, if that is known. */
export interface SizedNode {
  readonly node: core.InstanceId;
  readonly failureDomain: string;
  readonly machine?: fleet.MachineSpec;
}

type Resource = "processorCores" | "memoryMb" | "linkMbps";
const RESOURCES: readonly Resource[] = [
  "processorCores",
  "memoryMb",
  "linkMbps",
];

/**
 * Relative sizes of the nodes of a fleet. The scarcest of processor, usable
 * memory and link decides, each relative to the median of the fleet. The
 * largest machine as the reference would let one oversized resource decide:
 * with links of 140 Mbit/s beside 7, the others would get no callers for a
 * bandwidth that none of them needs (docs/design/unequal-machines.md).
 */
export class FleetSizes {
  readonly #weights = new Map<core.InstanceId, number>();
  /** Weight of a machine of unknown size. */
  readonly #medianWeight: number;
  /** Whether the smallest machine is at most half as large as the largest. */
  readonly differ: boolean;

  constructor(nodes: readonly SizedNode[]) {
    const medians = new Map(RESOURCES.map((resource) => {
      const amounts = nodes.map(({ machine }) => amountOf(machine, resource));
      return [resource, median(amounts.filter((each) => each !== undefined))];
    }));
    const sizes = nodes.map(({ machine }) => relativeSize(machine, medians));
    const largest = Math.max(...sizes, Number.MIN_VALUE);
    this.differ = nodes.length > 1 &&
      Math.min(...sizes) <= largest * DIFFERENT_SIZE_RATIO;
    this.#medianWeight = this.differ ? 1 / largest : 1;
    nodes.forEach(({ node }, index) => {
      const weight = this.differ ? sizes[index]! / largest : 1;
      this.#weights.set(node, weight);
    });
  }

  /** Size relative to the largest machine: 1 for all if sizes do not differ. */
  weight(node: core.InstanceId): number {
    return this.#weights.get(node) ?? Math.min(1, this.#medianWeight);
  }

  /** Whether a node may do work for others; each may if sizes do not differ. */
  isLarge(node: core.InstanceId): boolean {
    return this.weight(node) >= LARGE_RATIO;
  }

  /**
   * Moves large machines to the front; both parts keep their order.
   *
   * @example
   * ```ts
   * const rank = sizes.largeFirst(members.alive()).indexOf(self);
   * ```
   */
  largeFirst(nodes: readonly core.InstanceId[]): core.InstanceId[] {
    if (!this.differ) return [...nodes];
    return [
      ...nodes.filter((node) => this.isLarge(node)),
      ...nodes.filter((node) => !this.isLarge(node)),
    ];
  }
}

function amountOf(
  machine: fleet.MachineSpec | undefined,
  resource: Resource,
): number | undefined {
  const amount = machine?.[resource];
  if (amount === undefined || !(amount > 0)) return undefined;
  if (resource !== "memoryMb") return amount;
  return Math.max(
    amount - PROGRAM_MEMORY_MB,
    amount * USABLE_MEMORY_SHARE_MIN,
  );
}

/** Size in units of the median machine; unknown amounts count as the median. */
function relativeSize(
  machine: fleet.MachineSpec | undefined,
  medians: ReadonlyMap<Resource, number | undefined>,
): number {
  let size: number | undefined;
  for (const resource of RESOURCES) {
    const amount = amountOf(machine, resource);
    const reference = medians.get(resource);
    if (amount === undefined || reference === undefined) continue;
    size = Math.min(size ?? Infinity, amount / reference);
  }
  return size ?? 1;
}

/** The lower one of two middle values. */
function median(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
