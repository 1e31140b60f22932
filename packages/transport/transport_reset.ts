/**
 * Tells resets of connections from orderly closes. The body of a response with
 * neither a length nor chunks ends with its connection; if that was reset, the
 * body is incomplete.
 */

/**
 * Notices that a connection was reset directly after the last bytes of a
 * close-delimited body. An orderly close is reported in a later turn of the
 * event loop than the last bytes. A reset is reported in the same turn, because
 * libuv reports a hang-up after a partial read as end of stream.
 */
export class ResetDetector {
  #isCloseDelimited = false;
  #hasBytesThisTurn = false;

  /** Records that the head arrived, which may be the last thing to do so. */
  onHead(isCloseDelimited: boolean): void {
    this.#isCloseDelimited = isCloseDelimited;
    this.onBytes();
  }

  /** Records that bytes of the response arrived. */
  onBytes(): void {
    if (!this.#isCloseDelimited) return;
    this.#hasBytesThisTurn = true;
    setImmediate(() => {
      this.#hasBytesThisTurn = false;
    });
  }

  /**
   * Whether the end of the body, which is being reported now, was a reset.
   *
   * @example
   * ```ts
   * if (detector.isEndReset) fail(transport.RESET_DETAIL);
   * ```
   */
  get isEndReset(): boolean {
    return this.#hasBytesThisTurn;
  }
}

/** Detail of a failure that `ResetDetector` noticed. */
export const RESET_DETAIL = "connection reset directly after the last bytes";
