/** Detects that the table service was restored from an older copy. */
import type * as core from "../core/mod.ts";

/** Versions of one generation are below this number. */
const VERSIONS_PER_GENERATION = 2 ** 40;

/**
 * The generation of the table service: how often it was restored from an older
 * copy. A restore loses acknowledged writes, and versions are given out again,
 * so versions of two generations must not be compared.
 */
export class GenerationTracker {
  readonly #logger: core.Logger;
  #generation: number | undefined;

  constructor(logger: core.Logger) {
    this.#logger = logger;
  }

  /** The highest generation seen in a response; 0 before the first. */
  get current(): number {
    return this.#generation ?? 0;
  }

  /** The highest generation seen; undefined before the first response. */
  get known(): number | undefined {
    return this.#generation;
  }

  /**
   * Records the generation of a response.
   *
   * @returns whether the response is of the current generation; an older one
   * was late and must not be used.
   */
  accept(generation: number): boolean {
    const known = this.#generation;
    if (known !== undefined && generation < known) {
      this.#logger.warn("store_response_outdated", {
        generation,
        current: known,
      });
      return false;
    }
    this.#generation = generation;
    if (known !== undefined && generation > known) {
      this.#logger.warn("store_restored", { before: known, now: generation });
    }
    return true;
  }
}

/**
 * Combines generation and version to one number, which grows with every commit
 * and never repeats, also across restores.
 *
 * @example
 * ```ts
 * const fencingToken = store.toOrdinal(generation, version);
 * ```
 */
export function toOrdinal(generation: number, version: number): number {
  return generation * VERSIONS_PER_GENERATION + version;
}
