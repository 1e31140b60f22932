/** Assembles a body from chunks of any size. */
import { Buffer } from "node:buffer";
import * as core from "../core/mod.ts";
import { BLOCK_BYTES, type BlockPool } from "./memory_blocks.ts";

/** A larger body is kept in blocks of the pool. */
const SMALL_BODY_BYTES = 16 * 1024;

/** Collects a body's bytes without keeping the chunks that they arrived in. */
export class BodyAssembler {
  readonly #pool: BlockPool;
  readonly #small = new core.ChunkBuffer();
  readonly #blocks: Buffer[] = [];
  /** Bytes used of the last block. */
  #lastBytes = BLOCK_BYTES;
  #length = 0;
  #chunks = 0;

  constructor(pool: BlockPool) {
    this.#pool = pool;
  }

  /** Bytes of the body so far. */
  get length(): number {
    return this.#length;
  }

  /** Chunks so far, each of which took time to parse. */
  get chunks(): number {
    return this.#chunks;
  }

  /** Memory that is held for the body. */
  get heldBytes(): number {
    return this.#small.length + this.#blocks.length * BLOCK_BYTES;
  }

  /**
   * Appends a chunk, whose bytes are copied.
   *
   * @example
   * ```ts
   * body.append(Buffer.from("ab"));
   * body.append(Buffer.from("c"));
   * body.take().toString(); // "abc"
   * ```
   */
  append(chunk: Buffer): void {
    this.#chunks++;
    this.#length += chunk.length;
    if (this.#blocks.length === 0) {
      // A chunk may refer to a larger buffer of the connection.
      const isOwn = chunk.buffer.byteLength === chunk.length;
      if (this.#length <= SMALL_BODY_BYTES) {
        return this.#small.append(isOwn ? chunk : Buffer.from(chunk));
      }
      this.#fill(this.#small.take());
    }
    this.#fill(chunk);
  }

  /** Returns the whole body and gives its blocks back. */
  take(): Buffer {
    if (this.#blocks.length === 0) return this.#small.take();
    const body = Buffer.allocUnsafeSlow(this.#length);
    this.#blocks.forEach((block, index) => {
      const at = index * BLOCK_BYTES;
      block.copy(body, at, 0, Math.min(BLOCK_BYTES, this.#length - at));
    });
    this.discard();
    return body;
  }

  /** Gives all memory back. */
  discard(): void {
    this.#small.clear();
    if (this.#blocks.length > 0) this.#pool.give(this.#blocks.splice(0));
    this.#lastBytes = BLOCK_BYTES;
  }

  #fill(chunk: Buffer): void {
    for (let at = 0; at < chunk.length;) {
      if (this.#lastBytes === BLOCK_BYTES) {
        this.#blocks.push(this.#pool.take());
        this.#lastBytes = 0;
      }
      const block = this.#blocks.at(-1)!;
      const copied = chunk.copy(block, this.#lastBytes, at);
      this.#lastBytes += copied;
      at += copied;
    }
  }
}
