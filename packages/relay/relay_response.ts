/**
 * Writes the response to one caller. A response that cannot be finished is
 * aborted, so that a truncated body never looks complete to the caller.
 */
import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Time after which a response is aborted of which its caller has read nothing
 * more. Callers keep connections open that were idle for up to 12 s.
 */
const UNREAD_TIMEOUT_MS = 15_000;

/** Bytes that the kernel has not taken yet. */
function queuedBytes(socket: Socket): number {
  // Part of a write in progress; Node itself measures progress by it.
  const { _handle: handle } = socket as {
    _handle?: { readonly writeQueueSize?: number } | null;
  };
  return socket.writableLength + (handle?.writeQueueSize ?? 0);
}

/** Calls back when a connection's peer reads nothing for a time. */
function watchReading(socket: Socket, onStalled: () => void): () => void {
  let queuedBefore = queuedBytes(socket);
  const timer = setInterval(() => {
    const queued = queuedBytes(socket);
    if (queued > 0 && queued === queuedBefore) onStalled();
    queuedBefore = queued;
  }, UNREAD_TIMEOUT_MS);
  return () => clearInterval(timer);
}

export class CallerResponse {
  readonly #response: ServerResponse;
  readonly #mayKeepAlive: () => boolean;
  #firstByteAtMs: number | undefined;
  /** Whether the body's length or chunks tell the caller that it is whole. */
  #isFramed = true;
  #mayWait = true;
  #endWait: (() => void) | undefined;

  /** @param mayKeepAlive whether the connection may be reused afterwards. */
  constructor(response: ServerResponse, mayKeepAlive: () => boolean) {
    this.#response = response;
    this.#mayKeepAlive = mayKeepAlive;
  }

  /** Whether the status line and headers have been written. */
  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  /** Whether the response has neither ended nor lost its connection. */
  get isWritable(): boolean {
    return !this.#response.writableEnded && !this.#response.destroyed;
  }

  /** Time at which the headers were written, on the monotonic clock in ms. */
  get firstByteAtMs(): number | undefined {
    return this.#firstByteAtMs;
  }

  /**
   * Writes status and headers. Node buffers them, so that they are sent
   * together with the first chunk of the body.
   */
  start(
    status: number,
    headers: Record<string, string | string[]>,
    nowMs: number,
  ): void {
    this.#firstByteAtMs = nowMs;
    this.#isFramed = headers["content-length"] !== undefined ||
      this.#response.req.httpVersion !== "1.0";
    if (!this.#mayKeepAlive()) this.#response.setHeader("connection", "close");
    this.#response.writeHead(status, headers);
  }

  /**
   * Writes a chunk of the body. If the caller reads too slowly and the socket's
   * buffer is full, waits until it drains, the connection closes or waiting is
   * over.
   */
  async write(data: Buffer): Promise<void> {
    const isDrained = !this.isWritable || this.#response.write(data);
    if (isDrained || !this.#mayWait) return;
    await new Promise<void>((resolve) => {
      const endWait = () => {
        this.#response.off("drain", endWait);
        this.#response.off("close", endWait);
        resolve();
      };
      this.#response.on("drain", endWait);
      this.#response.on("close", endWait);
      this.#endWait = endWait;
    });
  }

  /** Waits no longer for the caller, as the response is to be ended or aborted. */
  stopWaiting(): void {
    this.#mayWait = false;
    this.#endWait?.();
  }

  /**
   * Sends the headers now, so that the caller has a response without a body
   * before that is ended, which may close the connection.
   */
  flushHeaders(): void {
    if (this.isWritable) this.#response.flushHeaders();
  }

  /** Ends the response as complete. */
  end(data?: Buffer | string): void {
    if (this.isWritable) this.#response.end(data);
  }

  /**
   * Ends a response that could not be written as meant: with an error, or, if
   * it has started, by an abort. One that has ended already stays as it is.
   */
  fail(status: number, nowMs: number): void {
    if (!this.isWritable) return;
    if (this.hasStarted) return this.abort();
    // Node keeps parts of a head that it refused to write.
    const names = this.#response.getHeaderNames();
    for (const name of names) this.#response.removeHeader(name);
    this.#response.statusMessage = "";
    this.start(status, { "content-length": "0" }, nowMs);
    this.end();
  }

  /**
   * Waits until every byte of an ended response has been passed to the kernel,
   * or its connection has closed.
   */
  async flushed(): Promise<void> {
    const response = this.#response;
    const { socket } = response.req;
    if (response.closed || socket.destroyed) return;
    await new Promise<void>((resolve) => {
      const stopWatch = watchReading(socket, () => this.abort());
      const onClose = () => {
        stopWatch();
        response.off("close", onClose);
        socket.off("close", onClose);
        resolve();
      };
      response.on("close", onClose);
      // A response behind others of its connection does not see it close.
      const isBehindOthers = !response.socket && !response.writableFinished;
      if (isBehindOthers) socket.on("close", onClose);
    });
  }

  /**
   * Destroys the connection, so that the response cannot look complete. An
   * orderly close would complete a body that only the connection frames.
   */
  abort(): void {
    if (!this.#isFramed) this.#response.socket?.resetAndDestroy();
    this.#response.destroy();
  }
}
