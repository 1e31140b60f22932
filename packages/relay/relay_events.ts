/** Splits a server-sent event stream at event boundaries. */
import { Buffer } from "node:buffer";
import * as core from "../core/mod.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** A blank line: two line ends, each CRLF, LF or CR. */
const EVENT_END_AT_END = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)$/;
const ID_FIELD = "id:";
/** Last bytes of a stream in which a blank line is recognised. */
const TAIL_BYTES = 4;
const NO_BYTES: Buffer = Buffer.alloc(0);

/**
 * Buffers bytes until they form complete events and tracks the id of the last
 * complete event, so that a broken stream can be resumed after it on another
 * upstream.
 */
export class EventStreamBuffer {
  readonly #pending = new core.ChunkBuffer();
  /** The last bytes of the incomplete event. */
  #pendingTail = NO_BYTES;
  #lastEventId: string | undefined;

  /** Id of the last complete event that has one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Bytes buffered of an incomplete event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /**
   * Appends bytes and returns all events that are now complete, as one buffer;
   * it is empty if no event has been completed.
   *
   * @example
   * ```ts
   * buffer.append(Buffer.from("id: 1\ndata: a\n\nid: 2")); // the first event
   * ```
   */
  append(data: Buffer): Buffer {
    const tail = this.#pendingTail;
    const bytes = tail.length > 0 ? Buffer.concat([tail, data]) : data;
    const end = endOfLastEvent(bytes, tail.length) - tail.length;
    if (end <= 0) {
      this.#pending.append(data);
      this.#pendingTail = Buffer.from(bytes.subarray(-TAIL_BYTES));
      return NO_BYTES;
    }
    this.#pending.append(data.subarray(0, end));
    const complete = this.#pending.take();
    this.#recordLastId(complete);
    const rest = data.subarray(end);
    this.#pending.append(rest);
    this.#pendingTail = Buffer.from(rest.subarray(-TAIL_BYTES));
    return complete;
  }

  /** Returns and removes the bytes after the last complete event. */
  takePending(): Buffer {
    const pending = this.#pending.take();
    this.discardPending();
    return pending;
  }

  /** Discards an incomplete event, which a resumed stream sends again whole. */
  discardPending(): void {
    this.#pending.clear();
    this.#pendingTail = NO_BYTES;
  }

  /** Searches from the end, as the other ids are of no use. */
  #recordLastId(complete: Buffer): void {
    let at = complete.length;
    do {
      if (at === 0) return;
      at = complete.lastIndexOf(ID_FIELD, at - 1);
      if (at < 0) return;
    } while (at > 0 && !isLineEnd(complete[at - 1]));
    const start = at + ID_FIELD.length;
    let end = start;
    while (end < complete.length && !isLineEnd(complete[end])) end++;
    this.#lastEventId = complete.toString("utf8", start, end).trim();
  }
}

function isLineEnd(byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

/**
 * Tells whether the bytes of a stream so far end at the end of an event, for
 * streams that are relayed without being split into events.
 */
export class EventBoundaryTracker {
  /** The last bytes; a whole chunk, as this is called for every event. */
  #tail: Buffer = Buffer.alloc(0);

  /**
   * Accepts the next bytes of the stream.
   *
   * @example
   * ```ts
   * tracker.accept(Buffer.from("id: 1\ndata: a\n"));
   * tracker.isInsideEvent; // true, the blank line is missing
   * ```
   */
  accept(data: Buffer): void {
    if (data.length >= TAIL_BYTES) {
      this.#tail = data;
    } else {
      this.#tail = Buffer.concat([this.#tail.subarray(-TAIL_BYTES), data]);
    }
  }

  /** Whether an event has begun whose final blank line has not arrived. */
  get isInsideEvent(): boolean {
    if (this.#tail.length === 0) return false;
    const tail = this.#tail.subarray(-TAIL_BYTES).toString("latin1");
    return !EVENT_END_AT_END.test(tail);
  }
}

/**
 * Offset after the last blank line that ends after `from`; 0 if there is none.
 */
function endOfLastEvent(bytes: Buffer, from: number): number {
  for (let end = bytes.length; end > Math.max(1, from); end--) {
    const last = bytes[end - 1];
    if (last !== LINE_FEED && last !== CARRIAGE_RETURN) continue;
    // Most streams end their lines so; the pattern costs more.
    if (last === LINE_FEED && bytes[end - 2] === LINE_FEED) return end;
    const tail = bytes.toString("latin1", Math.max(0, end - TAIL_BYTES), end);
    if (EVENT_END_AT_END.test(tail)) return end;
  }
  return 0;
}
