/** Splits a server-sent event stream at event boundaries. */
import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** A blank line: two line ends, each CRLF, LF or CR. */
const EVENT_END = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)/;
const ID_LINE = /^id: ?(.*)$/m;

/**
 * Buffers bytes until they form complete events and tracks the id of the last
 * complete event, so that a broken stream can be resumed after it on another
 * upstream.
 */
export class EventStreamBuffer {
  #pending: Buffer = Buffer.alloc(0);
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
    const bytes = this.#pending.length > 0
      ? Buffer.concat([this.#pending, data])
      : data;
    const end = endOfLastEvent(bytes);
    this.#pending = bytes.subarray(end);
    const complete = bytes.subarray(0, end);
    if (end > 0) this.#recordLastId(complete);
    return complete;
  }

  /** Returns and removes the bytes after the last complete event. */
  takePending(): Buffer {
    const pending = this.#pending;
    this.discardPending();
    return pending;
  }

  /** Discards an incomplete event, which a resumed stream sends again whole. */
  discardPending(): void {
    this.#pending = Buffer.alloc(0);
  }

  #recordLastId(complete: Buffer): void {
    const text = complete.toString("utf8");
    for (const event of text.split(EVENT_END).reverse()) {
      const id = ID_LINE.exec(event)?.[1];
      if (id === undefined) continue;
      this.#lastEventId = id.trim();
      return;
    }
  }
}

/** Last bytes of a stream in which a blank line is recognised. */
const TAIL_BYTES = 4;
const EVENT_END_AT_END = new RegExp(`${EVENT_END.source}$`);

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
 * Offset after the last blank line, which ends an event; 0 if there is none.
 */
function endOfLastEvent(bytes: Buffer): number {
  for (let end = bytes.length; end > 1; end--) {
    const last = bytes[end - 1];
    if (last !== LINE_FEED && last !== CARRIAGE_RETURN) continue;
    // Most streams end their lines so; the pattern costs more.
    if (last === LINE_FEED && bytes[end - 2] === LINE_FEED) return end;
    const tail = bytes.toString("latin1", Math.max(0, end - TAIL_BYTES), end);
    if (EVENT_END_AT_END.test(tail)) return end;
  }
  return 0;
}
