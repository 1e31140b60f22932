/** Validates the server-sent events of one attempt and restores their order. */
import { createParser, type EventSourceMessage } from "eventsource-parser";
import * as core from "../core/mod.ts";
import type {
  AttemptFailure,
  DroppedResponses,
  StreamEvent,
} from "./upstream_types.ts";

/**
 * Maximum number of events buffered while an earlier one is missing. Further
 * events are dropped, so that the stream does not count as complete.
 */
const REORDER_MAX_EVENTS = 64;
const DONE_MARKER = "[DONE]";

interface Chunk {
  readonly id?: unknown;
  readonly choices?: readonly {
    readonly finish_reason?: unknown;
    readonly delta?: { readonly content?: unknown };
  }[];
}

/** An event with the content of its JSON text, so that it is parsed once. */
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

/**
 * Yields the events of one attempt in order and each once. Counts and drops
 * duplicates and events of other attempts. Events without a sequence number,
 * which is the SSE field `id`, are returned at once.
 */
export class StreamValidator {
  readonly #completionId: string;
  readonly #dropped: DroppedResponses;
  readonly #early = new Map<number, ParsedEvent>();
  #nextSequence: number;
  #hasFinishReason = false;
  #hasDoneMarker = false;

  /** @param firstSequence sequence number of the first event expected. */
  constructor(
    completionId: string,
    dropped: DroppedResponses,
    firstSequence = 0,
  ) {
    this.#completionId = completionId;
    this.#nextSequence = firstSequence;
    this.#dropped = dropped;
  }

  /**
   * Whether finish reason and end marker have arrived, and no event is missing.
   */
  get isComplete(): boolean {
    return this.#hasFinishReason && this.#hasDoneMarker &&
      this.#early.size === 0;
  }

  /** Whether the end marker has arrived. */
  get hasEndMarker(): boolean {
    return this.#hasDoneMarker;
  }

  /** Accepts one raw event and returns the events that are now in order. */
  accept(message: EventSourceMessage): StreamEvent[] {
    if (message.data === DONE_MARKER) {
      this.#hasDoneMarker = true;
      return [];
    }
    const chunk = parseChunk(message.data);
    if (chunk?.id !== this.#completionId) {
      this.#dropped.foreign++;
      return [];
    }
    const ready = this.#reorder(message, toEvent(message.data, chunk));
    if (ready.some(({ isFinish }) => isFinish)) this.#hasFinishReason = true;
    return ready;
  }

  #reorder(message: EventSourceMessage, event: ParsedEvent): ParsedEvent[] {
    if (message.id === undefined) return [event];
    const sequence = Number(message.id);
    if (sequence < this.#nextSequence || this.#early.has(sequence)) {
      this.#dropped.duplicate++;
      return [];
    }
    const isAwaited = sequence === this.#nextSequence;
    if (isAwaited || this.#early.size < REORDER_MAX_EVENTS) {
      this.#early.set(sequence, event);
    }
    return this.#takeInOrder();
  }

  #takeInOrder(): ParsedEvent[] {
    const ready: ParsedEvent[] = [];
    let next = this.#early.get(this.#nextSequence);
    while (next !== undefined) {
      ready.push(next);
      this.#early.delete(this.#nextSequence);
      this.#nextSequence++;
      next = this.#early.get(this.#nextSequence);
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

function toStreamFailure(detail: string): AttemptFailure {
  return { fault: "broke", ran: "yes", detail };
}

/**
 * Reads a body as validated events, in batches as they arrive.
 *
 * @returns the failure if the stream is incomplete, as the generator's result.
 * @example
 * ```ts
 * for await (const events of readEvents(body, "chatcmpl-at-1", dropped)) {
 *   for (const { dataText } of events) write(dataText);
 * }
 * ```
 */
export async function* readEvents(
  body: AsyncIterable<Uint8Array>,
  completionId: string,
  dropped: DroppedResponses,
  firstSequence = 0,
): AsyncGenerator<readonly StreamEvent[], AttemptFailure | undefined> {
  const validator = new StreamValidator(completionId, dropped, firstSequence);
  const decoder = new TextDecoder();
  let parsed: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => parsed.push(event) });
  try {
    for await (const bytes of body) {
      parser.feed(decoder.decode(bytes, { stream: true }));
      const batch = parsed;
      parsed = [];
      const ready = batch.flatMap((message) => validator.accept(message));
      if (ready.length > 0) yield ready;
      if (validator.hasEndMarker) break;
    }
  } catch (thrown) {
    return toStreamFailure(core.messageOf(thrown));
  }
  return validator.isComplete
    ? undefined
    : toStreamFailure("stream ended before its end");
}
