/**
 * The connections to one upstream. No request id is sent twice on one of them,
 * so that a second, late copy of an answer is never taken for the answer to the
 * next sending of its request, by this node or by a caller that comes back.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import * as undici from "undici";
import * as core from "../core/mod.ts";

/** Requests that a connection bears, as it remembers the ids of all of them. */
const REQUESTS_MAX = 256;

type Handler = undici.Dispatcher.DispatchHandler;
type Controller = undici.Dispatcher.DispatchController;

/** Identifies a request to connections, and knows that of its last sending. */
export class RequestConnections {
  /** Hash of its id; two with the same one do not share a connection. */
  readonly idHash: number;
  #closeLast: () => void = () => {};
  #isLastNew = false;

  /**
   * @param requestId what its answers are told by.
   * @example
   * ```ts
   * const connections = new relay.RequestConnections(caller.requestId);
   * ```
   */
  constructor(requestId: string) {
    this.idHash = core.hash32(requestId);
  }

  /**
   * Notes the connection on which the request is being sent.
   *
   * @param isNew whether no request was sent on it before.
   * @param close closes it, unless another request has been sent on it since.
   */
  noteSending(isNew: boolean, close: () => void): void {
    this.#isLastNew = isNew;
    this.#closeLast = close;
  }

  /**
   * Whether the last sending was the first on its connection, so that an answer
   * on it can only be the answer to this request.
   */
  get isLastNew(): boolean {
    return this.#isLastNew;
  }

  /**
   * Closes the connection of the last sending, also if its answer has ended,
   * unless another request has been sent on it since.
   */
  closeLast(): void {
    this.#closeLast();
  }
}

/** Options of a request that may be sent more than once. */
export interface SendOptions extends undici.Dispatcher.DispatchOptions {
  /** The request; connections on which its id was sent are not used. */
  readonly request?: RequestConnections;
  /** Asked right before the request is sent, as it may wait until then. */
  readonly mayStart?: () => boolean;
}

/** Sends requests to one upstream. */
export interface RequestSender {
  dispatch(options: SendOptions, handler: Handler): unknown;
}

/** A request must not be sent any more; no byte of it was. */
export class StartRefusedError extends Error {
  override readonly name = "StartRefusedError";

  constructor() {
    super("the request must not be sent any more");
  }
}

/**
 * Returns a sender that asks right before it sends a request.
 *
 * @example
 * ```ts
 * const guarded = relay.guardStart(connections, () => !upstream.isLeaving);
 * ```
 */
export function guardStart(
  sender: RequestSender,
  mayStart: () => boolean,
): RequestSender {
  return {
    dispatch: (options, handler) =>
      sender.dispatch({
        ...options,
        mayStart: () => mayStart() && (options.mayStart?.() ?? true),
      }, handler),
  };
}

/** Why this node closes a connection on which no request is in progress. */
export type CloseReason =
  /** All others are busy, and the next request was sent on it before. */
  | "requestSentBefore"
  /** Bytes came though no answer was due. */
  | "unexpectedBytes"
  /** It has borne as many requests as it may. */
  | "requestLimit";

export interface ConnectionsOptions
  extends Omit<undici.Client.Options, "connect" | "pipelining"> {
  readonly connect: undici.buildConnector.connector;
  readonly connectionsMax: number;
  readonly onClose?: (reason: CloseReason) => void;
}

interface Sending {
  readonly options: SendOptions;
  readonly handler: Handler;
}

/** Controller of a request that has no connection. */
class RefusedController implements Controller {
  readonly aborted = true;
  readonly paused = false;
  readonly reason: Error;

  constructor(reason: Error) {
    this.reason = reason;
  }

  abort(): void {}
  pause(): void {}
  resume(): void {}
}

/** Whether a request may be sent; one that may not fails. */
function mayStart({ options, handler }: Sending): boolean {
  if (options.mayStart?.() ?? true) return true;
  const error = new StartRefusedError();
  handler.onResponseError?.(new RefusedController(error), error);
  return false;
}

/** Message of undici's error for bytes that come when no answer is due. */
const UNEXPECTED_BYTES_MESSAGE = "bad response";

/** One connection at a time, which bears one request at a time. */
class Lane {
  readonly #origin: string;
  readonly #options: ConnectionsOptions;
  #client: undici.Client | undefined;
  #socket: Socket | undefined;
  #sentCount = 0;
  /** The connection of the last sending. */
  #sentOn: Socket | undefined;
  /** Hashes of the ids that were sent on it. */
  readonly #sentIds = new Set<number>();
  /** Resolves when the connections of failed requests are closed. */
  #closing: Promise<unknown> = Promise.resolve();
  isBusy = false;

  constructor(origin: string, options: ConnectionsOptions) {
    this.#origin = origin;
    this.#options = options;
  }

  /** The open connection, if there is one. */
  get connection(): Socket | undefined {
    return this.#socket?.destroyed ? undefined : this.#socket;
  }

  /** Whether the id of a request was sent on the open connection. */
  hasSent(request: RequestConnections | undefined): boolean {
    const { connection } = this;
    if (!request || !connection || connection !== this.#sentOn) return false;
    return this.#sentIds.has(request.idHash);
  }

  /** Sends a request, on a new connection if none is open. */
  send({ options, handler }: Sending, onFree: () => void): void {
    this.isBusy = true;
    const client = this.#client ??= this.#openClient();
    let hasStarted = false;
    const onStart = () => {
      hasStarted = true;
      const socket = this.#socket!;
      const count = ++this.#sentCount;
      const isNew = this.#sentOn !== socket;
      this.#sentOn = socket;
      if (isNew) this.#sentIds.clear();
      if (options.request) this.#sentIds.add(options.request.idHash);
      options.request?.noteSending(isNew, () => {
        if (this.#sentCount === count) socket.destroy();
      });
    };
    const onEnd = (error?: Error) => {
      // The connection is closed; undici would open one for an aborted request.
      const isSpent = error !== undefined && hasStarted;
      if (isSpent) this.#client = this.#socket = undefined;
      this.isBusy = false;
      queueMicrotask(() => {
        if (isSpent) this.#closing = client.destroy(error).catch(() => {});
        else this.#closeIfSpent();
        onFree();
      });
    };
    const laneHandler = new LaneHandler(handler, onStart, onEnd, options);
    client.dispatch(options, laneHandler);
  }

  /** Closes the connection once its request has ended; for good. */
  async close(): Promise<void> {
    await Promise.all([this.#closing, this.#client?.close()]);
  }

  /** Closes the connection; its request, and later ones, fail. */
  async destroy(): Promise<void> {
    this.#client ??= this.#openClient();
    await Promise.all([this.#closing, this.#client.destroy()]);
  }

  /** Closes a connection that is not to remember more ids. */
  #closeIfSpent(): void {
    if (this.#sentIds.size < REQUESTS_MAX) return;
    this.connection?.destroy();
    this.#options.onClose?.("requestLimit");
  }

  #openClient(): undici.Client {
    const { connect, connectionsMax: _, onClose, ...options } = this.#options;
    const client = new undici.Client(this.#origin, {
      ...options,
      // Without pipelining undici never resends a request by itself.
      pipelining: 1,
      connect: (target, callback) =>
        connect(target, (...result) => {
          this.#socket = result[1] ?? undefined;
          callback(...result);
        }),
    });
    client.on("disconnect", (_origin, _targets, { message }) => {
      if (message === UNEXPECTED_BYTES_MESSAGE) onClose?.("unexpectedBytes");
    });
    return client;
  }
}

/** Passes everything on, and tells when a request is written and has ended. */
class LaneHandler implements Handler {
  readonly #handler: Handler;
  readonly #onStart: () => void;
  readonly #onEnd: (error?: Error) => void;
  readonly #options: SendOptions;

  constructor(
    handler: Handler,
    onStart: () => void,
    onEnd: (error?: Error) => void,
    options: SendOptions,
  ) {
    this.#handler = handler;
    this.#onStart = onStart;
    this.#onEnd = onEnd;
    this.#options = options;
  }

  onRequestStart(controller: Controller, context: unknown): void {
    if (this.#options.mayStart?.() === false) {
      return controller.abort(new StartRefusedError());
    }
    this.#onStart();
    this.#handler.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Controller,
    status: number,
    headers: IncomingHttpHeaders,
    statusMessage?: string,
  ): void {
    this.#handler
      .onResponseStart?.(controller, status, headers, statusMessage);
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    this.#handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(controller: Controller, trailers: IncomingHttpHeaders): void {
    this.#onEnd();
    this.#handler.onResponseEnd?.(controller, trailers);
  }

  onResponseError(controller: Controller, error: Error): void {
    this.#onEnd(error);
    this.#handler.onResponseError?.(controller, error);
  }
}

/** The open connections to one upstream, up to a limit. */
export class UpstreamConnections implements RequestSender {
  readonly #origin: string;
  readonly #options: ConnectionsOptions;
  readonly #lanes: Lane[] = [];
  /** Requests for which no lane is free, in the order of their arrival. */
  readonly #waiting: Sending[] = [];
  #isClosed = false;

  /**
   * @param origin scheme and address of the upstream.
   * @example
   * ```ts
   * const connections = new UpstreamConnections("http://127.0.0.1:9000", {
   *   connect: transport.connector(600), connectionsMax: 4,
   * });
   * ```
   */
  constructor(origin: string, options: ConnectionsOptions) {
    this.#origin = origin;
    this.#options = options;
  }

  /**
   * Sends a request on an open connection that may be used, else on a new one.
   * While all connections are busy it waits for one.
   *
   * @throws ClientClosedError after `close` or `destroy`.
   */
  dispatch(options: SendOptions, handler: Handler): void {
    if (this.#isClosed) throw new undici.errors.ClientClosedError();
    const sending = { options, handler };
    const lane = this.#findFree(options.request);
    if (!lane) this.#waiting.push(sending);
    else if (mayStart(sending)) this.#send(lane, sending);
  }

  /** Closes each connection once the requests that were given are answered. */
  async close(): Promise<void> {
    this.#isClosed = true;
    if (this.#waiting.length > 0) return;
    await Promise.all(this.#lanes.map((lane) => lane.close()));
  }

  /** Closes all connections; the requests fail. */
  async destroy(): Promise<void> {
    this.#isClosed = true;
    const closed = this.#lanes.map((lane) => lane.destroy());
    // A destroyed lane fails each request as one that was not sent.
    for (const sending of this.#waiting.splice(0)) {
      this.#lanes[0]!.send(sending, () => {});
    }
    await Promise.all(closed);
  }

  /** Prefers connections that are open, and the first ones among them. */
  #findFree(request: RequestConnections | undefined): Lane | undefined {
    let unopened: Lane | undefined;
    let spent: Lane | undefined;
    for (const lane of this.#lanes) {
      if (lane.isBusy) continue;
      if (lane.connection === undefined) unopened ??= lane;
      else if (lane.hasSent(request)) spent ??= lane;
      else return lane;
    }
    if (unopened) return unopened;
    return this.#lanes.length < this.#options.connectionsMax
      ? this.#open()
      : spent;
  }

  #open(): Lane {
    const lane = new Lane(this.#origin, this.#options);
    this.#lanes.push(lane);
    return lane;
  }

  #send(lane: Lane, sending: Sending): void {
    if (lane.hasSent(sending.options.request)) {
      lane.connection?.destroy();
      this.#options.onClose?.("requestSentBefore");
    }
    lane.send(sending, () => this.#sendNext(lane));
  }

  /** Gives a lane that has become free to the request that waits longest. */
  #sendNext(lane: Lane): void {
    if (lane.isBusy) return;
    let sending = this.#waiting.shift();
    // Its connection is not used up by a request that must not be sent.
    while (sending && !mayStart(sending)) sending = this.#waiting.shift();
    if (sending) this.#send(lane, sending);
    if (this.#isClosed) this.close().catch(() => {});
  }
}
