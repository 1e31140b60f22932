/**
 * Reads response bodies with neither a length nor chunks, which end with their
 * connection.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { noteProgress } from "./transport_read_limit.ts";
import { ResetDetector, ResetError } from "./transport_reset.ts";

/**
 * What marks the end of a response body: RFC 9112, section 6.3. `none`: the
 * response cannot have a body.
 */
export type BodyFraming = "length" | "chunks" | "close" | "none";

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/**
 * Returns what marks the end of a response's body.
 *
 * @param method method of the request.
 * @example
 * ```ts
 * transport.framingOf("GET", 200, { "content-length": "12" }); // "length"
 * ```
 */
export function framingOf(
  method: string,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): BodyFraming {
  const hasNoBody = method === "HEAD" || status < 200 ||
    status === STATUS_NO_CONTENT || status === STATUS_NOT_MODIFIED;
  if (hasNoBody) return "none";
  const codings = headers["transfer-encoding"];
  if (codings !== undefined) {
    return /(^|,)\s*chunked\s*$/i.test(String(codings)) ? "chunks" : "close";
  }
  return headers["content-length"] === undefined ? "close" : "length";
}

/** A body without framing exceeds the limit up to which it is buffered. */
export class UnframedBodyTooLargeError extends Error {
  override readonly name = "UnframedBodyTooLargeError";

  constructor(bytesMax: number) {
    super(`body without length or chunks exceeds ${bytesMax} bytes`);
  }
}

/** Passes everything on except pauses of a body without framing. */
class PauseGuard implements Dispatcher.DispatchController {
  readonly #inner: Dispatcher.DispatchController;
  mayPause = true;

  constructor(inner: Dispatcher.DispatchController) {
    this.#inner = inner;
  }

  get aborted(): boolean {
    return this.#inner.aborted;
  }

  get paused(): boolean {
    return this.#inner.paused;
  }

  get reason(): Error | null {
    return this.#inner.reason;
  }

  get rawHeaders() {
    return this.#inner.rawHeaders ?? null;
  }

  get rawTrailers() {
    return this.#inner.rawTrailers ?? null;
  }

  abort(reason: Error): void {
    this.#inner.abort(reason);
  }

  pause(): void {
    if (this.mayPause) this.#inner.pause();
  }

  resume(): void {
    this.#inner.resume();
  }
}

class UnframedBodyHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;
  readonly #bytesMax: number;
  readonly #method: string;
  #controller!: PauseGuard;
  readonly #resetDetector = new ResetDetector();
  #isUnframed = false;
  #bytes = 0;

  constructor(
    handler: Dispatcher.DispatchHandler,
    method: string,
    bytesMax: number,
  ) {
    this.#handler = handler;
    this.#method = method;
    this.#bytesMax = bytesMax;
  }

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.#controller = new PauseGuard(controller);
    this.#handler.onRequestStart?.(this.#controller, context);
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    statusMessage?: string,
  ): void {
    noteProgress();
    this.#isUnframed = framingOf(this.#method, status, headers) === "close";
    this.#controller.mayPause = !this.#isUnframed;
    if (this.#isUnframed) this.#resetDetector.onBytes();
    this.#handler
      .onResponseStart?.(this.#controller, status, headers, statusMessage);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    noteProgress();
    if (this.#isUnframed && !this.#acceptUnframed(chunk)) return;
    this.#handler.onResponseData?.(this.#controller, chunk);
  }

  #acceptUnframed(chunk: Buffer): boolean {
    this.#resetDetector.onBytes();
    this.#bytes += chunk.length;
    if (this.#bytes <= this.#bytesMax) return true;
    this.#controller.abort(new UnframedBodyTooLargeError(this.#bytesMax));
    return false;
  }

  onResponseEnd(
    _controller: Dispatcher.DispatchController,
    trailers: IncomingHttpHeaders,
  ): void {
    if (this.#resetDetector.isEndReset) {
      const error = new ResetError();
      return this.#handler.onResponseError?.(this.#controller, error);
    }
    this.#handler.onResponseEnd?.(this.#controller, trailers);
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#handler.onResponseError?.(this.#controller ?? controller, error);
  }
}

/**
 * Returns a handler for one request, whose response may have a body without
 * framing. Such a body fails if its connection is reset, provided that the
 * connection is from `connector`. It is read at the speed of its connection,
 * whatever its reader's: if it is paused when the connection ends, undici throws
 * outside of any request.
 *
 * @param method method of the request.
 * @param bytesMax largest body without framing; it may be buffered as a whole.
 * @example
 * ```ts
 * pool.dispatch(options, transport.guardUnframedBody(handler, "GET", 1_024));
 * ```
 */
export function guardUnframedBody(
  handler: Dispatcher.DispatchHandler,
  method: string,
  bytesMax: number,
): Dispatcher.DispatchHandler {
  return new UnframedBodyHandler(handler, method, bytesMax);
}

/**
 * Returns a dispatcher that guards each of its requests, as `guardUnframedBody`
 * does.
 *
 * @example
 * ```ts
 * const guarded = transport.guardUnframedBodies(new Agent(), 8_388_608);
 * ```
 */
export function guardUnframedBodies(
  dispatcher: Dispatcher,
  bytesMax: number,
): Dispatcher {
  return dispatcher.compose((dispatch) => (options, handler) =>
    dispatch(options, guardUnframedBody(handler, options.method, bytesMax))
  );
}
