/** Blocks of memory for bodies, which are used again without being collected. */
import { Buffer } from "node:buffer";
import type * as core from "../core/mod.ts";

export const BLOCK_BYTES = 64 * 1024;

/**
 * Keeps blocks for the next body. What a shed body held could otherwise not be
 * used before a full garbage collection, which may come after tens of megabytes.
 */
export class BlockPool {
  readonly #free: Buffer[] = [];
  readonly #share: core.MemoryShare;

  constructor(budget: core.MemoryBudget) {
    // Unused blocks are dropped before anyone is shed.
    const rank = (bytes: number) => bytes > 0 ? Infinity : 0;
    this.#share = budget.open(() => this.#free.length = 0, rank);
  }

  /** Bytes of the blocks that are not in use. */
  get freeBytes(): number {
    return this.#free.length * BLOCK_BYTES;
  }

  /**
   * Takes a block; its bytes are whatever they were.
   *
   * @example
   * ```ts
   * const block = pool.take();
   * pool.give([block]);
   * ```
   */
  take(): Buffer {
    const block = this.#free.pop();
    if (!block) return Buffer.allocUnsafeSlow(BLOCK_BYTES);
    this.#share.set(this.freeBytes);
    return block;
  }

  /** Takes blocks back that nobody refers to any more. */
  give(blocks: readonly Buffer[]): void {
    this.#free.push(...blocks);
    this.#share.set(this.freeBytes);
  }
}
