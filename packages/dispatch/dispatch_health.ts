/** Whether an upstream serves, judged by the outcomes of requests sent to it. */

/** How one request to an upstream ended. */
export type UpstreamOutcome = "served" | "failed" | "unreachable";

/** Half-life of the share of failures; a few gray failures fade in seconds. */
const FAILURE_HALF_LIFE_MS = 2_000;
/** Weight of one outcome against the history. */
const OUTCOME_WEIGHT = 0.25;
/** Silence with requests pending after which an engine counts as dark. */
const SILENT_AFTER_MS = 1_200;
/** Pause before an unreachable upstream is tried again; doubles to the max. */
const RETRY_DELAY_MIN_MS = 300;
const RETRY_DELAY_MAX_MS = 3_000;
/** Time for which an unreachable upstream is not counted on: crashes last. */
const SUSPECT_FOR_MS = 2_000;

/** Tracks one incarnation of an upstream. */
export class UpstreamHealth {
  #failureShare = 0;
  #updatedAtMs = 0;
  #unreachableRow = 0;
  #closedUntilMs = 0;
  #suspectUntilMs = 0;
  #heardAtMs = -Infinity;
  #oldestPendingMs: number | undefined;

  /** Notes how a request ended. */
  recordOutcome(outcome: UpstreamOutcome, nowMs: number): void {
    const share = this.failureShare(nowMs);
    const failed = outcome === "served" ? 0 : 1;
    this.#failureShare = share + (failed - share) * OUTCOME_WEIGHT;
    this.#updatedAtMs = nowMs;
    if (outcome === "unreachable") this.markUnreachable(nowMs);
    else this.markReachable();
  }

  /** Notes that it could not be reached, be it by orders or requests. */
  markUnreachable(nowMs: number): void {
    const delayMs = RETRY_DELAY_MIN_MS * 2 ** this.#unreachableRow;
    this.#unreachableRow++;
    this.#closedUntilMs = nowMs + Math.min(delayMs, RETRY_DELAY_MAX_MS);
    this.#suspectUntilMs = nowMs + SUSPECT_FOR_MS;
  }

  /** Notes that it was reached, whatever it answered. */
  markReachable(): void {
    this.#unreachableRow = 0;
    this.#closedUntilMs = 0;
    this.#suspectUntilMs = 0;
  }

  /** Notes that bytes arrived from it. */
  recordBytesReceived(nowMs: number): void {
    this.#heardAtMs = nowMs;
  }

  /** Notes when the oldest request without an answer was sent. */
  setOldestPending(sentAtMs: number | undefined): void {
    this.#oldestPendingMs = sentAtMs;
  }

  /** Share of recent requests that failed, fading with time. */
  failureShare(nowMs: number): number {
    const elapsedMs = nowMs - this.#updatedAtMs;
    return this.#failureShare * 0.5 ** (elapsedMs / FAILURE_HALF_LIFE_MS);
  }

  /** Whether requests wait at it and nothing at all comes back. */
  isUnresponsive(nowMs: number): boolean {
    if (this.#oldestPendingMs === undefined) return false;
    const sinceMs = Math.max(this.#oldestPendingMs, this.#heardAtMs);
    return nowMs - sinceMs > SILENT_AFTER_MS;
  }

  /** Whether connections were refused so lately that none is tried. */
  isInBackoff(nowMs: number): boolean {
    return nowMs < this.#closedUntilMs;
  }

  /** Whether new requests should go elsewhere if they can. */
  isSuspect(nowMs: number): boolean {
    return nowMs < this.#suspectUntilMs || this.isInBackoff(nowMs) ||
      this.isUnresponsive(nowMs);
  }
}
