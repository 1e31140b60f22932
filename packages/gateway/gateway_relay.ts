/** Passes a checked stream on to the caller. */
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

/** Writes events as they come; the caller sees each token once. */
export class StreamRelay {
  readonly #outgoing: Outgoing;
  #started = false;
  #firstAnswerId = "";
  #events = 0;
  #text = "";

  constructor(outgoing: Outgoing) {
    this.#outgoing = outgoing;
  }

  /** Whether anything has been written to the caller. */
  get hasStarted(): boolean {
    return this.#started;
  }

  /** What the caller has, for another engine to go on from. */
  get position(): upstream.StreamPosition {
    return { events: this.#events, text: this.#text };
  }

  /**
   * Passes a stream on, with its end mark if it is whole. A stream that goes
   * on for another one keeps the first one's id.
   *
   * @returns why the stream is not whole, if it is not; then nothing but
   * events was written, and another `run` or `break` must end the answer.
   */
  async relayEvents(
    stream: upstream.CompletionStream,
    onFirst: () => void,
  ): Promise<upstream.AttemptFailure | undefined> {
    this.#firstAnswerId ||= stream.completionId;
    for (;;) {
      const next = await stream.events.next();
      if (next.done) {
        if (next.value === undefined) this.#outgoing.end("data: [DONE]\n\n");
        return next.value;
      }
      if (!this.#started) onFirst();
      await this.#write(this.#render(next.value, stream.completionId));
    }
  }

  /** Ends a stream that is not whole with an error event. */
  abort(failure: core.Failure): void {
    const { error, ...problem } = core.toProblem(failure);
    const text = JSON.stringify({ error: { ...problem, ...error } });
    this.#outgoing.end(`event: error\ndata: ${text}\n\n`);
  }

  /** What arrived together is written together. */
  #render(events: readonly upstream.StreamEvent[], answerId: string): string {
    let rendered = "";
    for (const { dataText, contentText } of events) {
      const ownText = answerId === this.#firstAnswerId
        ? dataText
        : dataText.replace(answerId, this.#firstAnswerId);
      rendered += `data: ${ownText}\n\n`;
      this.#events++;
      this.#text += contentText;
    }
    return rendered;
  }

  async #write(text: string): Promise<void> {
    if (!this.#started) {
      this.#started = true;
      this.#outgoing.writeHead(200, STREAM_HEADERS);
    }
    if (this.#outgoing.write(text) || this.#outgoing.destroyed) return;
    await new Promise<void>((resolve) => {
      const proceed = () => {
        this.#outgoing.off("drain", proceed);
        this.#outgoing.off("close", proceed);
        resolve();
      };
      this.#outgoing.once("drain", proceed);
      this.#outgoing.once("close", proceed);
    });
  }
}
