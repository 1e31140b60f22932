/** Buffers bytes that arrive in chunks of any size. */
import { Buffer } from "node:buffer";

/** Smaller chunks are copied, as keeping one costs more than its bytes. */
const SMALL_CHUNK_BYTES = 1_024;
const BLOCK_BYTES = 4_096;

/** Buffers chunks in order. */
export class ChunkBuffer {
  readonly #chunks: Uint8Array[] = [];
  /** Receives small chunks after the last one of `#chunks`. */
  #block: Buffer | undefined;
  #blockBytes = 0;
  #length = 0;

  /** Bytes buffered. */
  get length(): number {
    return this.#length;
  }

  /**
   * Appends a chunk.
   *
   * @example
   * ```ts
   * chunks.append(Buffer.from("ab"));
   * chunks.append(Buffer.from("c"));
   * chunks.take().toString(); // "abc"
   * ```
   */
  append(chunk: Uint8Array): void {
    if (chunk.length === 0) return;
    const isFirst = this.#length === 0;
    this.#length += chunk.length;
    // Most responses and events arrive in one chunk, which is not copied.
    if (isFirst || chunk.length >= SMALL_CHUNK_BYTES) {
      this.#closeBlock();
      this.#chunks.push(chunk);
      return;
    }
    const room = (this.#block?.length ?? 0) - this.#blockBytes;
    if (chunk.length > room) {
      this.#closeBlock();
      this.#block = Buffer.allocUnsafe(BLOCK_BYTES);
    }
    this.#block!.set(chunk, this.#blockBytes);
    this.#blockBytes += chunk.length;
  }

  /** Removes and returns all bytes; a single chunk is not copied. */
  take(): Buffer {
    this.#closeBlock();
    const [first] = this.#chunks;
    const isWhole = this.#chunks.length === 1 && Buffer.isBuffer(first);
    const bytes = isWhole ? first : Buffer.concat(this.#chunks);
    this.clear();
    return bytes;
  }

  clear(): void {
    this.#chunks.length = 0;
    this.#block = undefined;
    this.#blockBytes = 0;
    this.#length = 0;
  }

  /** Keeps what the block holds; the rest of it is used for what follows. */
  #closeBlock(): void {
    if (!this.#block || this.#blockBytes === 0) return;
    this.#chunks.push(this.#block.subarray(0, this.#blockBytes));
    this.#block = this.#block.subarray(this.#blockBytes);
    this.#blockBytes = 0;
  }
}
