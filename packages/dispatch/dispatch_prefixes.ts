/** Which prompt parts an engine is believed to keep, from what it was sent. */
import type * as fleet from "../fleet/mod.ts";

/** Least recently used parts yield when the engine's memory is full. */
export class PrefixCacheTracker {
  readonly #tokensMax: number;
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  constructor(tokensMax: number) {
    this.#tokensMax = tokensMax;
  }

  /**
   * Tokens of a prompt that need not be read again: whole parts from its
   * beginning, as a part counts only if all parts before it are kept.
   *
   * @param weights the model, with its adapter if there is one.
   */
  cachedTokens(weights: string, parts: readonly fleet.PromptPart[]): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      if (!this.#parts.has(`${weights}:${id}`)) break;
      cached += tokens;
    }
    return cached;
  }

  /** Notes that a prompt was read. */
  recordPrompt(weights: string, parts: readonly fleet.PromptPart[]): void {
    for (const { id, tokens } of parts) {
      const key = `${weights}:${id}`;
      if (this.#parts.delete(key)) this.#tokens -= tokens;
      this.#parts.set(key, tokens);
      this.#tokens += tokens;
    }
    for (const [key, tokens] of this.#parts) {
      if (this.#tokens <= this.#tokensMax) break;
      this.#parts.delete(key);
      this.#tokens -= tokens;
    }
  }

  /** Forgets what was kept for a model that has been unloaded. */
  dropModel(weights: string): void {
    for (const [key, tokens] of this.#parts) {
      const kept = key.slice(0, key.lastIndexOf(":"));
      if (kept !== weights && !kept.startsWith(`${weights}/`)) continue;
      this.#parts.delete(key);
      this.#tokens -= tokens;
    }
  }
}
