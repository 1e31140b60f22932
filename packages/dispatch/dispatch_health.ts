/** Judges the health of an upstream by the outcomes of requests sent to it. */

/** How one request to an upstream ended. */
export type UpstreamOutcome = "served" | "failed" | "unreachable" | "silent";

/** Half-life of the failure share; a few gray failures fade within seconds. */
const FAILURE_HALF_LIFE_MS = 2_000;
/** Weight of one outcome in the moving average. */
const OUTCOME_WEIGHT = 0.25;
/** Time without any bytes, while requests are in flight, until unresponsive. */
const UNRESPONSIVE_AFTER_MS = 1_200;
/** The same for requests that have to go on at once. */
const SILENT_AFTER_MS = 500;
/** Back-off of an unreachable upstream; doubles per failure up to the max. */
const BACKOFF_MIN_MS = 300;
const BACKOFF_MAX_MS = 3_000;
/**
 * How long an unreachable upstream stays suspect. Longer than the first
 * back-offs, as a crashed process stays down for a while.
 */
const SUSPECT_FOR_MS = 2_000;

/** Tracks the health of one incarnation of an upstream. */
export class UpstreamHealth {
  #failureShare = 0;
  #updatedAtMs = 0;
  #unreachableCount = 0;
  #backoffUntilMs = 0;
  #suspectUntilMs = 0;
  #bytesReceivedAtMs = -Infinity;
  #oldestInFlightMs: number | undefined;
  /** Whether it is suspect because a request was given up as it was silent. */
  #isGivenUp = false;

  /** Records how a request ended. */
  recordOutcome(outcome: UpstreamOutcome, nowMs: number): void {
    const share = this.failureShare(nowMs);
    const failed = outcome === "served" ? 0 : 1;
    this.#failureShare = share + (failed - share) * OUTCOME_WEIGHT;
    this.#updatedAtMs = nowMs;
    if (outcome === "unreachable") this.markUnreachable(nowMs);
    else if (outcome === "silent") this.#markSilent(nowMs);
    else this.markReachable();
  }

  /** Suspects it until it sends something, or for a while. */
  #markSilent(nowMs: number): void {
    this.#isGivenUp = true;
    this.#suspectUntilMs = Math.max(
      this.#suspectUntilMs,
      nowMs + SUSPECT_FOR_MS,
    );
  }

  /** Starts or extends the back-off after a failed request or order. */
  markUnreachable(nowMs: number): void {
    const delayMs = BACKOFF_MIN_MS * 2 ** this.#unreachableCount;
    this.#unreachableCount++;
    this.#backoffUntilMs = nowMs + Math.min(delayMs, BACKOFF_MAX_MS);
    this.#suspectUntilMs = nowMs + SUSPECT_FOR_MS;
  }

  /** Ends back-off and suspicion: it was reached, whatever it responded. */
  markReachable(): void {
    this.#unreachableCount = 0;
    this.#backoffUntilMs = 0;
    this.#suspectUntilMs = 0;
    this.#isGivenUp = false;
  }

  /** Records that bytes arrived from it. */
  recordBytesReceived(nowMs: number): void {
    this.#bytesReceivedAtMs = nowMs;
    if (this.#isGivenUp) this.markReachable();
  }

  /** Sets when the oldest request in flight was sent, if there is one. */
  setOldestInFlight(sentAtMs: number | undefined): void {
    this.#oldestInFlightMs = sentAtMs;
  }

  /** Share of recent requests that failed; decays over time. */
  failureShare(nowMs: number): number {
    const elapsedMs = nowMs - this.#updatedAtMs;
    return this.#failureShare * 0.5 ** (elapsedMs / FAILURE_HALF_LIFE_MS);
  }

  /** Whether requests are in flight and no bytes have arrived for too long. */
  isUnresponsive(nowMs: number): boolean {
    return this.#silenceMs(nowMs) > UNRESPONSIVE_AFTER_MS;
  }

  /** Whether requests are in flight and no bytes have arrived for a moment. */
  isSilent(nowMs: number): boolean {
    return this.#silenceMs(nowMs) > SILENT_AFTER_MS;
  }

  /** Time without bytes while requests are in flight; 0 if none are. */
  #silenceMs(nowMs: number): number {
    if (this.#oldestInFlightMs === undefined) return 0;
    return nowMs - Math.max(this.#oldestInFlightMs, this.#bytesReceivedAtMs);
  }

  /** Whether it was unreachable so recently that nothing is sent to it. */
  isInBackoff(nowMs: number): boolean {
    return nowMs < this.#backoffUntilMs;
  }

  /** Whether new requests should avoid it if possible. */
  isSuspect(nowMs: number): boolean {
    return nowMs < this.#suspectUntilMs || this.isInBackoff(nowMs) ||
      this.isUnresponsive(nowMs);
  }
}
