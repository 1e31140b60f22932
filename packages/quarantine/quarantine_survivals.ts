/** When requests with each prompt part last had output and lived on. */
import type * as core from "../core/mod.ts";

/** Parts that are remembered; the longest without survival is dropped first. */
const PARTS_MAX = 4_096;

/** Remembers the last survival of each part. */
export class PartSurvivals {
  readonly #survivedAtMs = new Map<core.PromptPartKey, number>();

  record(part: core.PromptPartKey, atMs: number): void {
    this.#survivedAtMs.delete(part);
    this.#survivedAtMs.set(part, atMs);
    if (this.#survivedAtMs.size <= PARTS_MAX) return;
    const [oldest] = this.#survivedAtMs.keys();
    if (oldest !== undefined) this.#survivedAtMs.delete(oldest);
  }

  /** Time of the last survival, or -Infinity if none is known. */
  lastAtMs(part: core.PromptPartKey): number {
    return this.#survivedAtMs.get(part) ?? -Infinity;
  }
}
