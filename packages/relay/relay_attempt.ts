/**
 * Sends a request to one upstream once; `RelayTask` decides about retries.
 */
import type { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import * as core from "../core/mod.ts";
import * as memory from "../memory/mod.ts";
import * as transport from "../transport/mod.ts";
import type { RequestConnections, RequestSender } from "./relay_connections.ts";
import { responseMemory } from "./relay_memory.ts";

/** Why an attempt did not yield a complete response. */
export interface AttemptFailure {
  /** "no" only if it is certain that no byte of the request was sent. */
  readonly sent: "no" | "maybe";
  /**
   * `refused`: nothing listens at the upstream's address; `silent`: given up by
   * this node as no data came; `cancelled`: ended by this node for another
   * reason; `broken`: anything else, such as a closed connection.
   */
  readonly cause: "refused" | "silent" | "cancelled" | "broken";
  readonly detail: string;
}

/** Status and headers of an upstream's response. */
export interface AttemptHead {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly framing: transport.BodyFraming;
}

/**
 * Bytes of a response body, the end of the body, or the failure that cut it off.
 */
export type BodyEvent =
  | {
    readonly kind: "data";
    readonly data: Buffer;
    /** Chunks in which the bytes arrived, at about the same time. */
    readonly chunks: number;
    readonly atMs: number;
  }
  | { readonly kind: "end" }
  | { readonly kind: "broken"; readonly failure: AttemptFailure };

/**
 * Bytes buffered for a slow caller before reading from the upstream is paused.
 */
const BUFFERED_BYTES_MAX = 256 * 1024;
/** Counted for each buffered chunk in addition to its bytes. */
const CHUNK_OVERHEAD_BYTES = 512;
/** Chunks that arrive within this time are read as one. */
const CHUNK_MERGE_MS = 1;
/** Largest body with neither a length nor chunks. */
const UNFRAMED_BYTES_MAX = 16 * 1024 * 1024;
/** Bytes that are read of a response that is not passed on. */
const DROPPED_BYTES_MAX = 64 * 1024;
/**
 * Time in which such a response has to end. The request goes on elsewhere only
 * after it, so that no two upstreams work on it.
 */
const DROP_TIMEOUT_MS = 100;
/** Why a response ended that took most of the memory for responses. */
export const MEMORY_EXHAUSTED = "no memory is left for the response";
/** Informational (1xx) responses accepted before the final one. */
const INFORMATIONAL_MAX = 32;

/** Chunks that arrived at about the same time. */
interface UnreadChunks {
  readonly data: core.ChunkBuffer;
  readonly atMs: number;
  chunks: number;
}

/** An in-flight attempt and the response received so far. */
export class Attempt {
  /** Resolves to the response head, or to the failure if none arrived. */
  readonly head: Promise<Result<AttemptHead, AttemptFailure>>;
  readonly #method: string;
  readonly #startBeforeMs: number;
  #settleHead!: (head: Result<AttemptHead, AttemptFailure>) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #sentAtMs: number | undefined;
  #isFinished = false;
  #cancelError: Error | undefined;
  #cancelCause: AttemptFailure["cause"] = "cancelled";
  #informationalCount = 0;
  /** What has arrived of the body and has not been read yet. */
  readonly #unread: UnreadChunks[] = [];
  #unreadBytes = 0;
  #hasReader = false;
  readonly #memory = responseMemory.open(() => this.#evict());
  #end: Exclude<BodyEvent, { kind: "data" }> | undefined;
  #isResuming = false;
  #wakeReader: (() => void) | undefined;

  /** @param startBeforeMs time of the monotonic clock from which not to send. */
  constructor(method: string, startBeforeMs: number) {
    this.#method = method;
    this.#startBeforeMs = startBeforeMs;
    this.head = new Promise((resolve) => {
      this.#settleHead = resolve;
    });
  }

  /**
   * Aborts the attempt and closes its connection, which tells the upstream to
   * stop working on the request. Does nothing once the attempt has ended.
   *
   * @param cause what is reported as the failure's cause.
   */
  cancel(reason: string, cause: AttemptFailure["cause"] = "cancelled"): void {
    if (this.#isFinished) return;
    this.#cancelError = new Error(reason);
    this.#cancelCause = cause;
    this.#discardUnread();
    this.#memory.set(0);
    this.#controller?.abort(this.#cancelError);
    this.#fail(this.#cancelError);
  }

  /**
   * Waits for the next event of the body; reading resumes a paused upstream.
   */
  async next(): Promise<BodyEvent> {
    this.#hasReader = true;
    while (this.#unread.length === 0 && this.#end === undefined) {
      await new Promise<void>((resolve) => {
        this.#wakeReader = resolve;
      });
    }
    const unread = this.#unread.shift();
    if (!unread) return this.#end!;
    const { chunks, atMs } = unread;
    const data = unread.data.take();
    this.#unreadBytes -= data.length + chunks * CHUNK_OVERHEAD_BYTES;
    this.#memory.set(this.#unreadBytes);
    this.#resumeSoon();
    return { kind: "data", data, chunks, atMs };
  }

  /**
   * Discards the rest of the response, so that its connection can be used again.
   * If it does not end soon, cancels the attempt.
   *
   * @returns why the response is not whole, if it is not.
   */
  async drop(): Promise<AttemptFailure | undefined> {
    const timer = setTimeout(
      () => this.cancel("dropped response did not end in time"),
      DROP_TIMEOUT_MS,
    );
    let bytes = 0;
    for (;;) {
      const event = await this.next();
      if (event.kind !== "data") {
        clearTimeout(timer);
        return event.kind === "broken" ? event.failure : undefined;
      }
      bytes += event.data.length;
      if (bytes > DROPPED_BYTES_MAX) {
        this.cancel("dropped response is too large");
      }
    }
  }

  /** When the request was sent; undefined until then. */
  get sentAtMs(): number | undefined {
    return this.#sentAtMs;
  }

  /** Whether it is complete, or was cancelled. */
  get hasEnded(): boolean {
    return this.#isFinished;
  }

  /** Handler to pass to undici's `dispatch`. */
  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => {
      this.#controller = controller;
      // A process that was held up comes here before its timers run.
      if (core.monotonicMs() >= this.#startBeforeMs) {
        this.cancel("deadline passed before the request was sent");
      }
      if (this.#cancelError) controller.abort(this.#cancelError);
      else this.#sentAtMs = core.monotonicMs();
    },
    onResponseStart: (_controller, status, headers) => {
      // 1xx informational responses precede the final response.
      if (status < 200) return this.#countInformational();
      const framing = transport.framingOf(this.#method, status, headers);
      this.#settleHead(ok({ status, headers, framing }));
    },
    onResponseData: (controller, data) => {
      this.#append(data);
      if (this.#unreadBytes > BUFFERED_BYTES_MAX) controller.pause();
      this.#wake();
      this.#memory.set(this.#unreadBytes);
    },
    onResponseEnd: () => this.#finish({ kind: "end" }),
    onResponseError: (_controller, error) => this.#fail(error),
  };

  #countInformational(): void {
    if (++this.#informationalCount <= INFORMATIONAL_MAX) return;
    this.cancel("too many informational responses", "broken");
  }

  #append(data: Buffer): void {
    this.#unreadBytes += data.length + CHUNK_OVERHEAD_BYTES;
    const nowMs = core.monotonicMs();
    let last = this.#unread.at(-1);
    if (!last || nowMs - last.atMs > CHUNK_MERGE_MS) {
      last = { data: new core.ChunkBuffer(), atMs: nowMs, chunks: 0 };
      this.#unread.push(last);
    }
    last.data.append(data);
    memory.processMemory.noteRead(data.length);
    last.chunks++;
  }

  /** Reads on in the next turn of the event loop, after other connections. */
  #resumeSoon(): void {
    if (!this.#controller?.paused || this.#isResuming) return;
    this.#isResuming = true;
    setImmediate(() => {
      this.#isResuming = false;
      if (!this.#isFinished) this.#controller?.resume();
    });
  }

  /** Drops what was not read, so that the response ends as broken off. */
  #evict(): void {
    this.#discardUnread();
    this.cancel(MEMORY_EXHAUSTED, "broken");
    if (this.#end?.kind !== "end") return;
    const failure = {
      sent: "maybe",
      cause: "broken",
      detail: MEMORY_EXHAUSTED,
    } as const;
    this.#end = { kind: "broken", failure };
  }

  #discardUnread(): void {
    this.#unread.length = 0;
    this.#unreadBytes = 0;
  }

  #fail(error: Error): void {
    if (this.#isFinished) return;
    const { code } = error as NodeJS.ErrnoException;
    const failure: AttemptFailure = {
      sent: this.#sentAtMs === undefined ? "no" : "maybe",
      cause: error === this.#cancelError
        ? this.#cancelCause
        : code === "ECONNREFUSED"
        ? "refused"
        : "broken",
      detail: core.messageOf(error),
    };
    this.#settleHead(err(failure));
    this.#finish({ kind: "broken", failure });
  }

  #finish(end: Exclude<BodyEvent, { kind: "data" }>): void {
    this.#isFinished = true;
    this.#end = end;
    // A response that was dropped is never read.
    if (!this.#hasReader) this.#memory.set(0);
    this.#wake();
  }

  #wake(): void {
    this.#wakeReader?.();
    this.#wakeReader = undefined;
  }
}

/** How a failed attempt ended, for the selector of its upstream. */
export function outcomeOf(
  { sent, cause }: AttemptFailure,
  signal: AbortSignal,
): "cancelled" | "silent" | "unreachable" | "failed" {
  if (signal.aborted || cause === "cancelled") return "cancelled";
  if (cause === "silent") return sent === "no" ? "cancelled" : "silent";
  return sent === "no" ? "unreachable" : "failed";
}

/**
 * Sends a request once. Failures, including a request that the HTTP client
 * rejects, are reported through the returned attempt.
 *
 * @example
 * ```ts
 * const attempt = relay.startAttempt(pool, { path: "/a/", method: "GET" });
 * const head = await attempt.head;
 * ```
 */
export function startAttempt(
  sender: RequestSender,
  request: {
    readonly path: string;
    readonly method: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer | null;
    /** Time of the monotonic clock from which the request is not sent. */
    readonly startBeforeMs?: number;
    /** Keeps it off connections on which its id was sent. */
    readonly connections?: RequestConnections;
  },
): Attempt {
  const attempt = new Attempt(
    request.method,
    request.startBeforeMs ?? Infinity,
  );
  try {
    const { handler } = attempt;
    sender.dispatch(
      {
        path: request.path,
        method: request.method as Dispatcher.HttpMethod,
        headers: request.headers,
        body: request.body,
        ...(request.connections === undefined
          ? {}
          : { request: request.connections }),
        mayStart: () => !attempt.hasEnded,
      },
      transport.guardUnframedBody(handler, request.method, UNFRAMED_BYTES_MAX),
    );
  } catch (thrown) {
    // undici rejected the request before sending anything.
    attempt.cancel(core.messageOf(thrown));
  }
  return attempt;
}
