/** Cuts an event stream into whole events. */
import { Buffer } from "node:buffer";

const NEWLINE = 0x0a;
const ID_LINE = /^id: ?(.*)$/m;

/**
 * Passes on whole events only, and knows the id of the last one passed on, so
 * that a stream that breaks can go on elsewhere after it.
 */
export class EventStreamBuffer {
  #rest: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;

  /** Id of the last whole event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Bytes of an event that is not whole yet. */
  get pendingBytes(): number {
    return this.#rest.length;
  }

  /**
   * Takes bytes and returns the whole events that they end.
   *
   * @example
   * ```ts
   * buffer.append(Buffer.from("id: 1\ndata: a\n\nid: 2")); // the first event
   * ```
   */
  append(data: Buffer): Buffer {
    const all = this.#rest.length > 0
      ? Buffer.concat([this.#rest, data])
      : data;
    const end = endOfLastEvent(all);
    this.#rest = all.subarray(end);
    const whole = all.subarray(0, end);
    if (end > 0) this.#noteId(whole);
    return whole;
  }

  /** Drops the beginning of an event that broke off. */
  discardPending(): void {
    this.#rest = Buffer.alloc(0);
  }

  #noteId(whole: Buffer): void {
    const text = whole.toString("utf8");
    for (const event of text.split("\n\n").reverse()) {
      const id = ID_LINE.exec(event)?.[1];
      if (id === undefined) continue;
      this.#lastEventId = id.trim();
      return;
    }
  }
}

/** Offset after the last blank line. */
function endOfLastEvent(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (bytes[at] !== NEWLINE) continue;
    if (bytes[at - 1] === NEWLINE) return at + 1;
    const isCrLf = bytes[at - 1] === 0x0d && bytes[at - 2] === NEWLINE;
    if (isCrLf) return at + 1;
  }
  return 0;
}
