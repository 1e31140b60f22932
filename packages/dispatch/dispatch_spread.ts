/** Which of several engines with nearly the same estimate gets a request. */
import * as core from "../core/mod.ts";

/** An engine that could start the request, and its cost. */
export interface CostedEngine<Choice> {
  readonly id: core.UpstreamId;
  readonly costMs: number;
  readonly choice: Choice;
}

/** Chooses among engines by cost. */
export abstract class EngineSpread {
  /** @param costed in no order; not empty. */
  abstract pick<Choice>(costed: readonly CostedEngine<Choice>[]): Choice;

  /**
   * For each engine, the number of those of about its cost: nodes that see it as
   * the best choose among so many.
   */
  abstract countNear<Choice>(
    costed: readonly CostedEngine<Choice>[],
  ): readonly number[];
}

/** Always the engine with the lowest cost. */
export class CheapestEngine extends EngineSpread {
  override pick<Choice>(costed: readonly CostedEngine<Choice>[]): Choice {
    return cheapestOf(costed).choice;
  }

  override countNear<Choice>(
    costed: readonly CostedEngine<Choice>[],
  ): readonly number[] {
    return costed.map(() => 1);
  }
}

/**
 * Costs whose difference says nothing. With 40 ms, prompts of 4,000 tokens found
 * fewer engines without a prefill under way, and waited longer.
 */
const NEAR_EQUAL_MS = 5;

/**
 * One of the engines near the lowest cost, another one for each node. Nodes that
 * see the same engine as the best at the same moment don't all send to it.
 */
export class SpreadByNode extends EngineSpread {
  readonly #node: string;
  readonly #nearMs: number;

  constructor(node: string, nearMs = NEAR_EQUAL_MS) {
    super();
    this.#node = node;
    this.#nearMs = nearMs;
  }

  override pick<Choice>(costed: readonly CostedEngine<Choice>[]): Choice {
    const { costMs } = cheapestOf(costed);
    let best = costed[0]!;
    let bestWeight = -1;
    for (const each of costed) {
      if (each.costMs > costMs + this.#nearMs) continue;
      const weight = core.hash32(`${this.#node}|${each.id}`);
      if (weight <= bestWeight) continue;
      best = each;
      bestWeight = weight;
    }
    return best.choice;
  }

  override countNear<Choice>(
    costed: readonly CostedEngine<Choice>[],
  ): readonly number[] {
    const sorted = costed.map(({ costMs }) => costMs).sort((a, b) => a - b);
    return costed.map(({ costMs }) =>
      countBelow(sorted, costMs + this.#nearMs) -
      countBelow(sorted, costMs - this.#nearMs)
    );
  }
}

/** Number of sorted values that are below a limit, or at it. */
function countBelow(sorted: readonly number[], limit: number): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle]! <= limit) low = middle + 1;
    else high = middle;
  }
  return low;
}

function cheapestOf<Choice>(
  costed: readonly CostedEngine<Choice>[],
): CostedEngine<Choice> {
  return costed.reduce((best, each) => each.costMs < best.costMs ? each : best);
}
