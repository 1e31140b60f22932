/** Divides an upstream's connections among nodes of different sizes. */

/**
 * Returns one node's part of a budget that is divided by weight, where no part
 * is below a minimum: the nodes at the minimum reduce what the others get.
 *
 * @param weights weights of all nodes, this one's included.
 * @example
 * ```ts
 * capacity.shareConnections(1, [1, 0.2, 0.2], 100, 4); // 71
 * ```
 */
export function shareConnections(
  ownWeight: number,
  weights: readonly number[],
  budget: number,
  min: number,
): number {
  const sorted = [...weights].sort((a, b) => a - b);
  let remaining = budget;
  let weightSum = sorted.reduce((sum, weight) => sum + weight, 0);
  for (const weight of sorted) {
    if (remaining * weight / weightSum >= min) break;
    if (ownWeight <= weight) return min;
    remaining -= min;
    weightSum -= weight;
  }
  return Math.max(min, Math.floor(remaining * ownWeight / weightSum));
}
