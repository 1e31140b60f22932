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

  /** Number of engines among which nodes choose where one is the best. */
  abstract countNear<Choice>(
    best: CostedEngine<Choice>,
    costed: readonly CostedEngine<Choice>[],
  ): number;
}

/** Always the engine with the lowest cost. */
export class CheapestEngine extends EngineSpread {
  override pick<Choice>(costed: readonly CostedEngine<Choice>[]): Choice {
    return cheapestOf(costed).choice;
  }

  override countNear(): number {
    return 1;
  }
}

/**
 * Costs whose difference says nothing: sums of the other nodes' load are 50 to
 * 200 ms old, in which an engine gets about one prompt more.
 */
const NEAR_EQUAL_MS = 40;

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
    { costMs }: CostedEngine<Choice>,
    costed: readonly CostedEngine<Choice>[],
  ): number {
    let near = 0;
    for (const each of costed) {
      if (Math.abs(each.costMs - costMs) <= this.#nearMs) near++;
    }
    return near;
  }
}

function cheapestOf<Choice>(
  costed: readonly CostedEngine<Choice>[],
): CostedEngine<Choice> {
  return costed.reduce((best, each) => each.costMs < best.costMs ? each : best);
}
