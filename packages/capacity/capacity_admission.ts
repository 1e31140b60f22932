/** Limits the requests in progress of an overloaded node. */

/** Time between two changes of the limit, in which the last one takes effect. */
const STEP_MS = 500;
/** The limit falls to this share of the requests in progress. */
const DECREASE = 0.8;
const INCREASE = 1.1;
/**
 * Some requests are always admitted, so that an idle node recovers. So few do
 * not make a node slow, but may use up its memory.
 */
const LIMIT_MIN = 16;
const FATAL_LIMIT_MIN = 4;
/**
 * The limit of a slow node falls no further, relative to the requests at the
 * beginning: nodes were seen to turn five times slower, whatever they shed.
 */
const LIMIT_SHARE_MIN = 0.2;
/** Time without pressure after which the limit is lifted. */
const LIFT_AFTER_MS = 10_000;
/** Bounds of the time after which a caller should try again. */
const RETRY_AFTER_MIN_MS = 1_000;
const RETRY_AFTER_MAX_MS = 5_000;
/** A request that was shed so recently shows that the limit is in effect. */
const SHED_RECENTLY_MS = 1_000;

/**
 * Limit of the requests in progress: it falls by a fifth every half second
 * under pressure and rises by a tenth without. New requests above it are shed;
 * those in progress run on.
 */
export class AdmissionLimit {
  #limit = Infinity;
  #changedAtMs = -Infinity;
  #pressedAtMs = -Infinity;
  #startedAtMs = -Infinity;
  #startedWith = 0;
  #shedAtMs = -Infinity;

  /** Requests that may be in progress; Infinity without overload. */
  get limit(): number {
    return this.#limit;
  }

  /** Whether requests are shed, or would have to be at the present pressure. */
  isOverloaded(nowMs: number): boolean {
    return nowMs - this.#pressedAtMs < STEP_MS ||
      nowMs - this.#shedAtMs < SHED_RECENTLY_MS;
  }

  /**
   * Adapts the limit to a pressure, of which 1 is overload.
   *
   * @param isFatal whether the process ends if the pressure rises further.
   */
  update(
    pressure: number,
    inProgress: number,
    nowMs: number,
    isFatal = false,
  ): void {
    if (pressure >= 1) {
      if (this.#limit === Infinity) {
        this.#startedAtMs = nowMs;
        this.#startedWith = inProgress;
      }
      this.#pressedAtMs = nowMs;
    }
    if (nowMs - this.#changedAtMs < STEP_MS) return;
    if (pressure >= 1) {
      const base = Math.min(this.#limit, inProgress);
      const min = isFatal
        ? FATAL_LIMIT_MIN
        : Math.max(LIMIT_MIN, this.#startedWith * LIMIT_SHARE_MIN);
      this.#limit = Math.max(min, Math.floor(base * DECREASE));
    } else if (this.#limit === Infinity) return;
    else if (nowMs - this.#pressedAtMs >= LIFT_AFTER_MS) this.#limit = Infinity;
    else this.#limit = this.#limit * INCREASE + 1;
    this.#changedAtMs = nowMs;
  }

  /**
   * Whether one more request may be begun.
   *
   * @param inProgress requests in progress, without this one.
   * @example
   * ```ts
   * if (!limit.tryAdmit(inProgress, nowMs)) return reject(503);
   * ```
   */
  tryAdmit(inProgress: number, nowMs: number): boolean {
    if (inProgress < this.#limit) return true;
    this.#shedAtMs = nowMs;
    return false;
  }

  /** Whether a request in progress that was not sent yet is to be shed. */
  mustShed(inProgress: number, nowMs: number): boolean {
    if (inProgress <= this.#limit) return false;
    this.#shedAtMs = nowMs;
    return true;
  }

  /** Requests in progress above the limit. */
  excess(inProgress: number): number {
    return Math.max(0, inProgress - Math.floor(this.#limit));
  }

  /** An overload is expected to last as long again as it has lasted. */
  retryAfterMs(nowMs: number): number {
    const lastedMs = nowMs - this.#startedAtMs;
    return Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, lastedMs));
  }
}
