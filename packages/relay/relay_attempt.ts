/** One sending of a request to one upstream; nothing here sends it again. */
import type { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import * as core from "../core/mod.ts";

/** Why an attempt has no whole answer. */
export interface AttemptFailure {
  /** Whether any byte of the request may have left. */
  readonly sent: "no" | "maybe";
  readonly detail: string;
}

/** Status and headers of an upstream's answer. */
export interface AttemptHead {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
}

/** The next piece of an answer's body, its end, or why it broke. */
export type BodyEvent =
  | { readonly kind: "data"; readonly data: Buffer; readonly atMs: number }
  | { readonly kind: "end" }
  | { readonly kind: "broken"; readonly failure: AttemptFailure };

/** Bytes held for a slow caller before the upstream is paused. */
const HELD_BYTES_MAX = 256 * 1024;

/** An attempt on its way. */
export class Attempt {
  /** Settles with the answer's head, or with why there is none. */
  readonly head: Promise<Result<AttemptHead, AttemptFailure>>;
  #settleHead!: (head: Result<AttemptHead, AttemptFailure>) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #isSent = false;
  #isOver = false;
  #cancelled: Error | undefined;
  #heldBytes = 0;
  #endsWithConnection = false;
  #hasDataThisTurn = false;
  readonly #pieces: BodyEvent[] = [];
  #wake: (() => void) | undefined;

  constructor() {
    this.head = new Promise((resolve) => {
      this.#settleHead = resolve;
    });
  }

  /** Ends the attempt and its connection, so that the upstream stops. */
  cancel(reason: string): void {
    if (this.#isOver) return;
    this.#cancelled = new Error(reason);
    this.#controller?.abort(this.#cancelled);
    this.#fail(this.#cancelled);
  }

  /** Waits for the next piece of the body. */
  async next(): Promise<BodyEvent> {
    while (this.#pieces.length === 0) {
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
    const piece = this.#pieces.shift()!;
    if (piece.kind === "data") {
      this.#heldBytes -= piece.data.length;
      if (this.#controller?.paused) this.#controller.resume();
    }
    return piece;
  }

  /** Receives undici's events. */
  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => {
      this.#controller = controller;
      if (this.#cancelled) controller.abort(this.#cancelled);
      else this.#isSent = true;
    },
    onResponseStart: (_controller, status, headers) => {
      // Informational answers come before the real one.
      if (status < 200) return;
      this.#endsWithConnection = headers["content-length"] === undefined &&
        headers["transfer-encoding"] === undefined;
      this.#settleHead(ok({ status, headers }));
    },
    onResponseData: (controller, data) => {
      this.#heldBytes += data.length;
      if (this.#heldBytes > HELD_BYTES_MAX) controller.pause();
      if (this.#endsWithConnection) this.#noteTurn();
      this.#push({ kind: "data", data, atMs: core.monotonicMs() });
    },
    onResponseEnd: () => {
      if (this.#hasDataThisTurn) {
        return this.#fail(new Error("reset right after the last bytes"));
      }
      this.#isOver = true;
      this.#push({ kind: "end" });
    },
    onResponseError: (_controller, error) => this.#fail(error),
  };

  /**
   * Notes that data came in this turn of the event loop. A connection that ends
   * in order tells so in a later turn; one that was reset tells both at once,
   * as libuv reports a hang-up after a partial read as the end.
   */
  #noteTurn(): void {
    this.#hasDataThisTurn = true;
    setImmediate(() => {
      this.#hasDataThisTurn = false;
    });
  }

  #fail(error: Error): void {
    if (this.#isOver) return;
    this.#isOver = true;
    const failure: AttemptFailure = {
      sent: this.#isSent ? "maybe" : "no",
      detail: core.messageOf(error),
    };
    this.#settleHead(err(failure));
    this.#push({ kind: "broken", failure });
  }

  #push(piece: BodyEvent): void {
    this.#pieces.push(piece);
    this.#wake?.();
    this.#wake = undefined;
  }
}

/**
 * Sends a request once.
 *
 * @example
 * ```ts
 * const attempt = relay.startAttempt(pool, { path: "/a/", method: "GET" });
 * const head = await attempt.head;
 * ```
 */
export function startAttempt(
  dispatcher: Dispatcher,
  request: {
    readonly path: string;
    readonly method: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer | null;
  },
): Attempt {
  const attempt = new Attempt();
  try {
    dispatcher.dispatch({
      path: request.path,
      method: request.method as Dispatcher.HttpMethod,
      headers: request.headers,
      body: request.body,
    }, attempt.handler);
  } catch (thrown) {
    // The client refused the request itself, so nothing was sent.
    attempt.cancel(core.messageOf(thrown));
  }
  return attempt;
}
