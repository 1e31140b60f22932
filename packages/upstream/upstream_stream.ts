/** Checks a server-sent event stream of one attempt, event by event. */
import { createParser, type EventSourceMessage } from "eventsource-parser";
import * as core from "../core/mod.ts";
import type {
  AttemptFailure,
  DroppedResponses,
  StreamEvent,
} from "./upstream_types.ts";

/** Events held while an earlier one is awaited. */
const REORDER_MAX_EVENTS = 64;
const DONE_MARK = "[DONE]";

interface Chunk {
  readonly id?: unknown;
  readonly choices?: readonly {
    readonly finish_reason?: unknown;
    readonly delta?: { readonly content?: unknown };
  }[];
}

/** An event with what its text says, so that it is parsed once. */
interface ParsedEvent extends StreamEvent {
  readonly isFinish: boolean;
}

function parseChunk(dataText: string): Chunk | undefined {
  try {
    const parsed: unknown = JSON.parse(dataText);
    return typeof parsed === "object" && parsed !== null ? parsed : undefined;
  } catch {
    return undefined;
  }
}

/** Accepts the events of one attempt in order, each once. */
export class StreamValidator {
  readonly #answerId: string;
  readonly #dropped: DroppedResponses;
  readonly #held = new Map<number, ParsedEvent>();
  #nextSequence: number;
  #finished = false;
  #done = false;

  /** @param firstSequence where a resumed stream goes on. */
  constructor(answerId: string, dropped: DroppedResponses, firstSequence = 0) {
    this.#answerId = answerId;
    this.#nextSequence = firstSequence;
    this.#dropped = dropped;
  }

  /** Whether the finish reason and the end mark have both arrived. */
  get isComplete(): boolean {
    return this.#finished && this.#done && this.#held.size === 0;
  }

  /** Whether the end mark has arrived. */
  get hasEndMarker(): boolean {
    return this.#done;
  }

  /** Takes one raw event and returns those that may be passed on now. */
  accept(message: EventSourceMessage): StreamEvent[] {
    if (message.data === DONE_MARK) {
      this.#done = true;
      return [];
    }
    const chunk = parseChunk(message.data);
    if (chunk?.id !== this.#answerId) {
      this.#dropped.foreign++;
      return [];
    }
    const ready = this.#order(message, toEvent(message.data, chunk));
    if (ready.some(({ isFinish }) => isFinish)) this.#finished = true;
    return ready;
  }

  #order(message: EventSourceMessage, event: ParsedEvent): ParsedEvent[] {
    if (message.id === undefined) return [event];
    const sequence = Number(message.id);
    if (sequence < this.#nextSequence || this.#held.has(sequence)) {
      this.#dropped.duplicate++;
      return [];
    }
    if (this.#held.size < REORDER_MAX_EVENTS) this.#held.set(sequence, event);
    return this.#release();
  }

  #release(): ParsedEvent[] {
    const ready: ParsedEvent[] = [];
    let next = this.#held.get(this.#nextSequence);
    while (next !== undefined) {
      ready.push(next);
      this.#held.delete(this.#nextSequence);
      this.#nextSequence++;
      next = this.#held.get(this.#nextSequence);
    }
    return ready;
  }
}

function toEvent(dataText: string, chunk: Chunk): ParsedEvent {
  const choice = chunk.choices?.[0];
  const content = choice?.delta?.content;
  const reason = choice?.finish_reason;
  return {
    dataText,
    contentText: typeof content === "string" ? content : "",
    isFinish: reason !== undefined && reason !== null,
  };
}

function broken(detail: string): AttemptFailure {
  return { fault: "broke", ran: "yes", detail };
}

/**
 * Reads a body as checked events.
 *
 * @returns as the generator's result, why the stream is not whole, if so.
 * @example
 * ```ts
 * for await (const events of readEvents(body, "chatcmpl-at-1", dropped)) {
 *   for (const { dataText } of events) write(dataText);
 * }
 * ```
 */
export async function* readEvents(
  body: AsyncIterable<Uint8Array>,
  answerId: string,
  dropped: DroppedResponses,
  firstSequence = 0,
): AsyncGenerator<readonly StreamEvent[], AttemptFailure | undefined> {
  const checker = new StreamValidator(answerId, dropped, firstSequence);
  const decoder = new TextDecoder();
  let arrived: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => arrived.push(event) });
  try {
    for await (const bytes of body) {
      parser.feed(decoder.decode(bytes, { stream: true }));
      const batch = arrived;
      arrived = [];
      const ready = batch.flatMap((message) => checker.accept(message));
      if (ready.length > 0) yield ready;
      if (checker.hasEndMarker) break;
    }
  } catch (thrown) {
    return broken(core.messageOf(thrown));
  }
  return checker.isComplete ? undefined : broken("stream ended before its end");
}
