/** For how long an upstream has asked for no requests, and how they resume. */

/**
 * The time for which an upstream wants no requests. After it, requests are sent
 * one for each that was answered, as all that waited would go there at once.
 */
export class QuietTime {
  #untilMs = -Infinity;
  /** Requests sent since that have not ended. */
  #inFlight = 0;
  /** Requests that may be in flight; Infinity once it serves as before. */
  #inFlightMax = Infinity;

  /** When it ends, on the monotonic clock. */
  get untilMs(): number {
    return this.#untilMs;
  }

  /**
   * Starts or extends it. Requests in flight are not counted when it ends.
   *
   * @example
   * ```ts
   * quiet.start(1_500, core.monotonicMs());
   * ```
   */
  start(durationMs: number, nowMs: number): void {
    this.#untilMs = Math.max(this.#untilMs, nowMs + durationMs);
    this.#inFlightMax = 1;
  }

  isActive(nowMs: number): boolean {
    return nowMs < this.#untilMs;
  }

  /** Whether a request may be sent. */
  maySend(nowMs: number): boolean {
    return !this.isActive(nowMs) && this.#inFlight < this.#inFlightMax;
  }

  /** Counts a request; the returned function is to be called at its end. */
  countSent(nowMs: number): () => void {
    if (this.isActive(nowMs) || this.#inFlightMax === Infinity) return () => {};
    this.#inFlight++;
    return () => {
      this.#inFlight--;
    };
  }

  /**
   * A request was answered, so that another one may be in flight.
   *
   * @param slots requests that the upstream runs at the same time.
   */
  recordAnswer(slots: number, nowMs: number): void {
    if (this.isActive(nowMs)) return;
    this.#inFlightMax++;
    if (this.#inFlightMax > slots) this.#inFlightMax = Infinity;
  }
}
