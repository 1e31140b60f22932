/**
 * Notices a wait for data that lasts too long. Pattern of load: streams of many
 * small events, where a timer for each event costs more than the event.
 */
import * as core from "../core/mod.ts";

/** Watches the waits of one attempt, one after the other, with one timer. */
export class WaitWatch {
  readonly #timeoutMs: number;
  readonly #onTimeout: () => void;
  readonly #repeatMs: number | undefined;
  #startedAtMs: number | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;

  /**
   * @param onTimeout called when a wait has lasted too long.
   * @param repeatMs interval at which it is called again while that wait lasts;
   * by default it is called at most once per wait.
   * @example
   * ```ts
   * const watch = new WaitWatch(1_200, () => attempt.cancel("no data"));
   * const event = await watch.during(attempt.next());
   * watch.stop();
   * ```
   */
  constructor(timeoutMs: number, onTimeout: () => void, repeatMs?: number) {
    this.#timeoutMs = timeoutMs;
    this.#onTimeout = onTimeout;
    this.#repeatMs = repeatMs;
  }

  /** Watches until the promise settles; returns its result. */
  async during<T>(result: Promise<T>): Promise<T> {
    this.#startedAtMs = core.monotonicMs();
    this.#timer ??= this.#arm(this.#timeoutMs);
    try {
      return await result;
    } finally {
      this.#startedAtMs = undefined;
    }
  }

  /** Stops watching. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#isStopped = true;
  }

  #arm(delayMs: number): NodeJS.Timeout {
    return setTimeout(() => this.#check(), delayMs);
  }

  #check(): void {
    this.#timer = undefined;
    if (this.#startedAtMs === undefined) return;
    const leftMs = this.#startedAtMs + this.#timeoutMs - core.monotonicMs();
    if (leftMs > 0) {
      this.#timer = this.#arm(leftMs);
      return;
    }
    if (this.#repeatMs !== undefined) this.#timer = this.#arm(this.#repeatMs);
    this.#reportAfterPoll(this.#startedAtMs);
  }

  /** Data may have come while the process was held up, and not be read yet. */
  async #reportAfterPoll(startedAtMs: number): Promise<void> {
    await core.nextPoll();
    if (this.#startedAtMs === startedAtMs && !this.#isStopped) {
      this.#onTimeout();
    }
  }
}
