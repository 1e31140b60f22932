/** Relays a validated event stream to the caller. */
import type { ServerResponse } from "node:http";
import * as core from "../core/mod.ts";
import type * as upstream from "../upstream/mod.ts";

const STREAM_HEADERS = {
  "content-type": "text/event-stream; charset=utf-8",
  "cache-control": "no-cache",
};

type Outgoing = Pick<
  ServerResponse,
  "writeHead" | "write" | "end" | "once" | "off" | "destroyed" | "headersSent"
>;

/**
 * Relays the streams of one completion. When a stream breaks, another engine
 * can resume at `position`, so that the caller receives each token once.
 */
export class StreamRelay {
  readonly #outgoing: Outgoing;
  readonly #onStart: () => void;
  #started = false;
  #firstCompletionId = "";
  #eventCount = 0;
  #relayedText = "";

  /** @param onStart called before the head of the response is written. */
  constructor(outgoing: Outgoing, onStart: () => void) {
    this.#outgoing = outgoing;
    this.#onStart = onStart;
  }

  /** Whether the response to the caller has started. */
  get hasStarted(): boolean {
    return this.#started;
  }

  /** Events and text relayed so far, where another engine can resume. */
  get position(): upstream.StreamPosition {
    return { events: this.#eventCount, text: this.#relayedText };
  }

  /**
   * Relays a stream, and its end marker if the stream is complete. The events
   * of a resumed stream get the completion id of the first stream.
   *
   * @returns the failure if the stream is incomplete; then only events were
   * written, and another `relayEvents` or `abort` must end the response.
   */
  async relayEvents(
    stream: upstream.CompletionStream,
    onFirstEvents: () => void,
  ): Promise<upstream.AttemptFailure | undefined> {
    this.#firstCompletionId ||= stream.completionId;
    for (;;) {
      const next = await stream.events.next();
      if (next.done) {
        if (next.value === undefined) this.#outgoing.end("data: [DONE]\n\n");
        return next.value;
      }
      if (!this.#started) onFirstEvents();
      await this.#write(this.#render(next.value, stream.completionId));
    }
  }

  /** Ends an incomplete stream with an error event. */
  abort(failure: core.Failure): void {
    const { error, ...problem } = core.toProblem(failure);
    const text = JSON.stringify({ error: { ...problem, ...error } });
    this.#outgoing.end(`event: error\ndata: ${text}\n\n`);
  }

  /** Renders a batch of events as the text of one write. */
  #render(
    events: readonly upstream.StreamEvent[],
    completionId: string,
  ): string {
    let rendered = "";
    for (const { dataText, contentText } of events) {
      const eventText = completionId === this.#firstCompletionId
        ? dataText
        : dataText.replace(completionId, this.#firstCompletionId);
      rendered += `data: ${eventText}\n\n`;
      this.#eventCount++;
      this.#relayedText += contentText;
    }
    return rendered;
  }

  async #write(text: string): Promise<void> {
    if (!this.#started) {
      this.#started = true;
      this.#onStart();
      this.#outgoing.writeHead(200, STREAM_HEADERS);
    }
    if (this.#outgoing.write(text) || this.#outgoing.destroyed) return;
    await new Promise<void>((resolve) => {
      const onWritable = () => {
        this.#outgoing.off("drain", onWritable);
        this.#outgoing.off("close", onWritable);
        resolve();
      };
      this.#outgoing.once("drain", onWritable);
      this.#outgoing.once("close", onWritable);
    });
  }
}
