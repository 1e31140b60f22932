/** Collects a body that may arrive in very small pieces. */
import { Buffer } from "node:buffer";

/** Size of the blocks into which small pieces are copied. */
const BLOCK_BYTES = 16 * 1024;
/** A larger piece is kept as it is. */
const SMALL_BYTES_MAX = 1024;

/**
 * Collects the pieces of a body. Each piece is an object of its own, of a
 * hundred bytes and more, so small ones are copied into blocks: a peer chooses
 * how many pieces a body has, and only its bytes are limited.
 *
 * @example
 * ```ts
 * const collector = new transport.ByteCollector();
 * for await (const piece of body) collector.append(piece);
 * const bytes = collector.take();
 * ```
 */
export class ByteCollector {
  #pieces: Uint8Array[] = [];
  #block = Buffer.alloc(0);
  #blockBytes = 0;
  #length = 0;

  /** Bytes collected. */
  get length(): number {
    return this.#length;
  }

  append(piece: Uint8Array): void {
    this.#length += piece.length;
    const isFirst = this.#length === piece.length;
    if (isFirst || piece.length > SMALL_BYTES_MAX) {
      this.#closeBlock();
      this.#pieces.push(piece);
      return;
    }
    if (piece.length > this.#block.length - this.#blockBytes) {
      this.#closeBlock();
      this.#block = Buffer.allocUnsafe(BLOCK_BYTES);
    }
    this.#block.set(piece, this.#blockBytes);
    this.#blockBytes += piece.length;
  }

  /** Returns all bytes, and forgets them. */
  take(): Buffer {
    this.#closeBlock();
    const pieces = this.#pieces;
    this.#pieces = [];
    this.#length = 0;
    const [first] = pieces;
    const isWhole = pieces.length === 1 && Buffer.isBuffer(first);
    return isWhole ? first : Buffer.concat(pieces);
  }

  /** Keeps what the block holds; the rest of it is used for what follows. */
  #closeBlock(): void {
    if (this.#blockBytes === 0) return;
    this.#pieces.push(this.#block.subarray(0, this.#blockBytes));
    this.#block = this.#block.subarray(this.#blockBytes);
    this.#blockBytes = 0;
  }
}
