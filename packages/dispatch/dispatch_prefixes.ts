/** Estimates which prompt prefixes an engine has cached, from past requests. */
import type * as fleet from "../fleet/mod.ts";

/** Evicts the least recently used parts when the engine's cache is full. */
export class PrefixCacheTracker {
  readonly #tokensMax: number;
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  /** @param tokensMax capacity of the engine's cache. */
  constructor(tokensMax: number) {
    this.#tokensMax = tokensMax;
  }

  /**
   * Number of prompt tokens that need no prefill. Only whole parts from the
   * beginning count: a part is of use only if all parts before it are cached.
   *
   * @param modelKey `model`, or `model/adapter`.
   */
  cachedTokens(modelKey: string, parts: readonly fleet.PromptPart[]): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      if (!this.#parts.has(`${modelKey}:${id}`)) break;
      cached += tokens;
    }
    return cached;
  }

  /** Records that the engine was sent a prompt, and evicts old parts. */
  recordPrompt(modelKey: string, parts: readonly fleet.PromptPart[]): void {
    for (const { id, tokens } of parts) {
      const key = `${modelKey}:${id}`;
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

  /** Drops all parts of an unloaded model and of its adapters. */
  dropModel(modelKey: string): void {
    for (const [key, tokens] of this.#parts) {
      const owner = key.slice(0, key.lastIndexOf(":"));
      if (owner !== modelKey && !owner.startsWith(`${modelKey}/`)) continue;
      this.#parts.delete(key);
      this.#tokens -= tokens;
    }
  }
}
