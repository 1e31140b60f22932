/** The answer to one caller: written once, and never made to look whole. */
import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";

/** Writes one answer. */
export class CallerResponse {
  readonly #response: ServerResponse;
  readonly #mayKeepOpen: () => boolean;
  #firstByteAtMs: number | undefined;

  /** @param mayKeepOpen whether the connection may be used again. */
  constructor(response: ServerResponse, mayKeepOpen: () => boolean) {
    this.#response = response;
    this.#mayKeepOpen = mayKeepOpen;
  }

  /** Whether the head has been written. */
  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  /** Whether the caller can still be written to. */
  get isWritable(): boolean {
    return !this.#response.writableEnded && !this.#response.destroyed;
  }

  /** When the head was written, on the monotonic clock. */
  get firstByteAtMs(): number | undefined {
    return this.#firstByteAtMs;
  }

  /** Writes the head; it leaves with the first piece of the body. */
  start(
    status: number,
    headers: Record<string, string | string[]>,
    nowMs: number,
  ): void {
    this.#firstByteAtMs = nowMs;
    if (!this.#mayKeepOpen()) this.#response.setHeader("connection", "close");
    this.#response.writeHead(status, headers);
  }

  /** Writes a piece, and waits while the caller reads too slowly. */
  async write(data: Buffer): Promise<void> {
    if (!this.isWritable || this.#response.write(data)) return;
    await new Promise<void>((resolve) => {
      const go = () => {
        this.#response.off("drain", go);
        this.#response.off("close", go);
        resolve();
      };
      this.#response.on("drain", go);
      this.#response.on("close", go);
    });
  }

  /** Ends the answer as complete. */
  end(data?: Buffer | string): void {
    if (this.isWritable) this.#response.end(data);
  }

  /** Breaks the answer off so that it cannot look complete. */
  abort(): void {
    this.#response.destroy();
  }
}
