/**
 * Parts of an engine's memory that belong to nodes whose sends the others don't
 * hear of. Each part takes a whole request, so only some nodes have one at an
 * engine, others at the next; nodes with the same list of nodes agree on them.
 */
import * as core from "../core/mod.ts";

/** The nodes that may send to the engines. */
export interface NodesView {
  readonly registered: readonly string[];
  /** Those whose sends this node doesn't hear of, though they may go on. */
  readonly lost: ReadonlySet<string>;
}

/** Room for one of the largest usual requests. */
const PART_TOKENS = 6_000;

/** Divides engines among nodes by rendezvous hashing. */
export class OwnParts {
  #registered: readonly string[] = [];
  readonly #owners = new Map<string, readonly string[]>();

  /**
   * Tokens that this node and those it hears of may use together: all but the
   * parts of the lost ones, or their own parts if most are lost.
   *
   * @param usable tokens of the engine that all nodes may use together.
   */
  usableTokens(
    engine: string,
    usable: number,
    { registered, lost }: NodesView,
  ): number {
    if (lost.size === 0) return usable;
    const owners = this.#ownersOf(engine, usable, registered);
    let lostParts = 0;
    for (const owner of owners) if (lost.has(owner)) lostParts++;
    const isMinority = 2 * lost.size >= registered.length;
    return isMinority
      ? (owners.length - lostParts) * PART_TOKENS
      : usable - lostParts * PART_TOKENS;
  }

  /** Tokens that a node may use which hears of no other. */
  ownTokens(
    engine: string,
    usable: number,
    node: string,
    registered: readonly string[],
  ): number {
    const owners = this.#ownersOf(engine, usable, registered);
    return owners.includes(node) ? PART_TOKENS : 0;
  }

  #ownersOf(
    engine: string,
    usable: number,
    registered: readonly string[],
  ): readonly string[] {
    const isSame = registered === this.#registered ||
      (registered.length === this.#registered.length &&
        registered.every((node, n) => node === this.#registered[n]));
    if (!isSame) this.#owners.clear();
    this.#registered = registered;
    let owners = this.#owners.get(engine);
    if (!owners) {
      owners = core.rendezvous(engine, registered)
        .slice(0, Math.floor(usable / PART_TOKENS));
      this.#owners.set(engine, owners);
    }
    return owners;
  }
}
