/** Splits a server-sent event stream at event boundaries. */
import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** A blank line: two line ends, each CRLF, LF or CR. */
const EVENT_END = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)/;
const EVENT_ENDS = new RegExp(EVENT_END.source, "g");
const ID_FIELD = "id:";

const WHOLE_NUMBER = /^\d+$/;
/** Below this number of digits, numbers are exact. */
const DIGITS_MAX = 16;
const EMPTY = Buffer.alloc(0);

/**
 * Buffers bytes until they form complete events and tracks the id of the last
 * complete event, so that a broken stream can be resumed after it on another
 * upstream.
 */
export class EventStreamBuffer {
  #pending: Buffer = EMPTY;
  /** Holds the pending bytes at its start, or nothing; it has room for more. */
  #storage: Buffer = EMPTY;
  #lastEventId: string | undefined;
  /** Whether no event with an id of the current answer has come yet. */
  #isFirst = true;
  #isOutOfPlace = false;
  /** Whether the ids so far are numbers without gaps; undefined if not known. */
  #isGapless: boolean | undefined;

  /** @param lastEventId id of the last event that the caller has already. */
  constructor(lastEventId?: string) {
    this.#lastEventId = lastEventId;
  }

  /** Id of the last complete event that has one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /**
   * Whether the answer does not go on after the last event: it is another one
   * than was asked for. None of its events count.
   */
  get isOutOfPlace(): boolean {
    return this.#isOutOfPlace;
  }

  /** Whether an event with an id of the current answer has been passed on. */
  get hasGoneOn(): boolean {
    return !this.#isFirst && !this.#isOutOfPlace;
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
    const searchedBytes = this.#pending.length;
    const bytes = searchedBytes > 0 ? this.#join(data) : data;
    const end = endOfLastEvent(bytes, searchedBytes);
    this.#pending = bytes.subarray(end);
    if (end === 0) return EMPTY;
    this.#storage = EMPTY;
    const complete = this.#checkSeam(bytes.subarray(0, end));
    this.#recordIds(complete);
    return complete;
  }

  /**
   * Returns the events that go on after the last one; nothing else of another
   * answer is to join them, such as an error without an id.
   */
  #checkSeam(complete: Buffer): Buffer {
    const last = this.#lastEventId;
    if (this.#isOutOfPlace) return EMPTY;
    if (!this.#isFirst || last === undefined) return complete;
    let at = 0;
    for (
      const { 0: { length }, index } of complete.toString("latin1")
        .matchAll(EVENT_ENDS)
    ) {
      const end = index + length;
      const event = complete.subarray(at, end);
      const id = firstIdOf(event);
      if (id !== undefined) {
        this.#isOutOfPlace = this.#isGapless === true
          ? !isNextId(id, last)
          : !isLaterId(id, last);
        return this.#isOutOfPlace ? EMPTY : complete;
      }
      if (!isIgnorable(event)) {
        this.#isOutOfPlace = true;
        return EMPTY;
      }
      at = end;
    }
    return complete;
  }

  /** Joins the pending bytes and the next ones, in time linear in the latter. */
  #join(data: Buffer): Buffer {
    const length = this.#pending.length + data.length;
    if (length > this.#storage.length) {
      this.#storage = Buffer.allocUnsafe(2 * length);
      this.#pending.copy(this.#storage);
    }
    data.copy(this.#storage, this.#pending.length);
    return this.#storage.subarray(0, length);
  }

  /** Discards what is left of an answer, before that of another upstream. */
  beginAnswer(): void {
    this.discardPending();
    this.#isFirst = true;
    this.#isOutOfPlace = false;
  }

  /** Returns and removes the bytes after the last complete event. */
  takePending(): Buffer {
    const pending = this.#pending;
    this.discardPending();
    return pending;
  }

  /** Discards an incomplete event, which a resumed stream sends again whole. */
  discardPending(): void {
    this.#pending = EMPTY;
    this.#storage = EMPTY;
  }

  #recordIds(complete: Buffer): void {
    const first = firstIdOf(complete);
    if (first === undefined) return;
    const last = lastIdOf(complete)!;
    if (this.#lastEventId !== undefined) {
      this.#isGapless = this.#isGapless !== false &&
        isNextId(first, this.#lastEventId);
    } else if (first !== last) this.#isGapless = hasNoGaps(complete);
    this.#isFirst = false;
    this.#lastEventId = last;
  }
}

/** Id of the first event that has one. */
function firstIdOf(events: Buffer): string | undefined {
  let at = events.indexOf(ID_FIELD);
  while (at >= 0 && !isLineStart(events, at)) {
    at = events.indexOf(ID_FIELD, at + 1);
  }
  return at < 0 ? undefined : idAt(events, at);
}

/** Id of the last event that has one. */
function lastIdOf(events: Buffer): string | undefined {
  let at = events.lastIndexOf(ID_FIELD);
  while (at > 0 && !isLineStart(events, at)) {
    at = events.lastIndexOf(ID_FIELD, at - 1);
  }
  return at < 0 ? undefined : idAt(events, at);
}

function isLineEnd(byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

function isLineStart(events: Buffer, at: number): boolean {
  return at === 0 || isLineEnd(events[at - 1]);
}

/** The value of the id field that begins at an offset. */
function idAt(events: Buffer, at: number): string {
  const start = at + ID_FIELD.length;
  let end = start;
  while (end < events.length && !isLineEnd(events[end])) end++;
  return events.toString("utf8", start, end).trim();
}

/** Whether an event comes after another; the ids of a stream increase. */
function isLaterId(id: string, last: string): boolean {
  const areNumbers = WHOLE_NUMBER.test(id) && WHOLE_NUMBER.test(last);
  if (!areNumbers) return id !== last;
  // An upstream chooses their length, and parsing a long one takes long.
  const [digits, lastDigits] = [id, last].map((n) => n.replace(/^0+/, ""));
  return digits!.length === lastDigits!.length
    ? digits! > lastDigits!
    : digits!.length > lastDigits!.length;
}

/** Whether an event is the one right after another, by their numbers. */
function isNextId(id: string, last: string): boolean {
  const areNumbers = WHOLE_NUMBER.test(id) && WHOLE_NUMBER.test(last);
  return areNumbers && id.length < DIGITS_MAX &&
    Number(id) === Number(last) + 1;
}

/** Whether the ids of several events follow each other. */
function hasNoGaps(events: Buffer): boolean {
  const ids = events.toString("latin1").split(/[\r\n]+/)
    .filter((line) => line.startsWith(ID_FIELD))
    .map((line) => line.slice(ID_FIELD.length).trim());
  return ids.every((id, index) => index === 0 || isNextId(id, ids[index - 1]!));
}

/** Whether a block has only comments and reconnection times. */
function isIgnorable(block: Buffer): boolean {
  return block.toString("latin1").split(/[\r\n]+/)
    .every((line) => line === "" || /^(:|retry:)/.test(line));
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
 *
 * @param searchedBytes the first bytes, in which no blank line ends.
 */
function endOfLastEvent(bytes: Buffer, searchedBytes: number): number {
  const from = Math.max(1, searchedBytes);
  for (let end = bytes.length; end > from; end--) {
    const last = bytes[end - 1];
    if (last !== LINE_FEED && last !== CARRIAGE_RETURN) continue;
    // Most streams end their lines so; the pattern costs more.
    if (last === LINE_FEED && bytes[end - 2] === LINE_FEED) return end;
    const tail = bytes.toString("latin1", Math.max(0, end - TAIL_BYTES), end);
    if (EVENT_END_AT_END.test(tail)) return end;
  }
  return 0;
}
