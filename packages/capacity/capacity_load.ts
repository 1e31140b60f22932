/** What overloads a node. */

/** What a node's load is measured on; bounded, as logs and metrics name it. */
export type LoadKind = "memory" | "descriptors" | "processor" | "link";

/** Measures one kind of load on this node. */
export abstract class LoadSource {
  abstract readonly kind: LoadKind;
  /**
   * Returns the load relative to the level from which on requests are to be
   * shed; 0 if it is not known. Called several times a second.
   */
  abstract pressure(nowMs: number): number;
}

/** The source with the highest pressure. */
export interface LoadPeak {
  readonly kind: LoadKind | undefined;
  readonly pressure: number;
}

/**
 * Finds the highest pressure of several sources.
 *
 * @example
 * ```ts
 * const { kind, pressure } = capacity.findPeak(sources, core.monotonicMs());
 * ```
 */
export function findPeak(
  sources: readonly LoadSource[],
  nowMs: number,
): LoadPeak {
  let peak: LoadPeak = { kind: undefined, pressure: 0 };
  for (const source of sources) {
    const pressure = source.pressure(nowMs);
    if (pressure > peak.pressure) peak = { kind: source.kind, pressure };
  }
  return peak;
}

/**
 * Lateness of a timer that shows that the processor is behind. A machine with a
 * quarter of a core stands still for up to 76 ms of every 100 by its quota.
 */
const LATE_MS = 150;
/** The event loop has to be late in each turn for this long. */
const LATE_FOR_MS = 1_000;
/** A process that only stood still once is late in one turn. */
const LATE_TURNS_MIN = 3;

/** Pressure on the processor, from how late a timer of this process is. */
export class LatenessSource extends LoadSource {
  override readonly kind = "processor";
  readonly #intervalMs: number;
  #dueAtMs: number | undefined;
  #lateSinceMs: number | undefined;
  #lateTurns = 0;
  #latenessMs = 0;

  /** @param intervalMs interval at which `pressure` is called by a timer. */
  constructor(intervalMs: number) {
    super();
    this.#intervalMs = intervalMs;
  }

  override pressure(nowMs: number): number {
    const dueAtMs = this.#dueAtMs ?? nowMs;
    this.#dueAtMs = nowMs + this.#intervalMs;
    this.#latenessMs = nowMs - dueAtMs;
    if (this.#latenessMs < LATE_MS) {
      this.#lateSinceMs = undefined;
      this.#lateTurns = 0;
      return Math.min(0.99, Math.max(0, this.#latenessMs / LATE_MS));
    }
    this.#lateSinceMs ??= dueAtMs;
    this.#lateTurns++;
    const isLasting = this.#lateTurns >= LATE_TURNS_MIN &&
      nowMs - this.#lateSinceMs >= LATE_FOR_MS;
    return isLasting ? this.#latenessMs / LATE_MS : 0.99;
  }
}

/** Share of its limit from which on a resource that ends the process is full. */
const FULL_SHARE = 0.92;

/** Pressure on a resource that has a limit, such as memory or descriptors. */
export class LimitSource extends LoadSource {
  override readonly kind: LoadKind;
  readonly #limit: number;
  readonly #used: () => number;

  /** @param used returns how much of it is in use now. */
  constructor(kind: LoadKind, limit: number, used: () => number) {
    super();
    this.kind = kind;
    this.#limit = limit;
    this.#used = used;
  }

  override pressure(): number {
    return this.#used() / (this.#limit * FULL_SHARE);
  }
}

/** Share of a link's bandwidth from which on it counts as full. */
const LINK_FULL_SHARE = 0.85;
/** Bytes that wait for the link although it is full, as time on it. */
const LINK_BEHIND_MS = 200;
/** Time over which the use of the link is averaged. */
const LINK_WINDOW_MS = 1_000;
const BITS_PER_BYTE = 8;
const BYTES_PER_MS_AND_MBPS = 1_000 / BITS_PER_BYTE;

/** Bytes written so far, and those that wait to be sent. */
export interface LinkBytes {
  readonly written: number;
  readonly waiting: number;
}

/**
 * Pressure on the node's link: it is full, and bytes wait. Bytes that wait
 * without a full link belong to callers that read slowly.
 */
export class LinkSource extends LoadSource {
  override readonly kind = "link";
  readonly #bytesPerMs: number;
  readonly #read: () => LinkBytes;
  #windowAtMs: number | undefined;
  #writtenBefore = 0;
  #use = 0;

  constructor(linkMbps: number, read: () => LinkBytes) {
    super();
    this.#bytesPerMs = linkMbps * BYTES_PER_MS_AND_MBPS;
    this.#read = read;
  }

  override pressure(nowMs: number): number {
    const { written, waiting } = this.#read();
    this.#windowAtMs ??= nowMs;
    const elapsedMs = nowMs - this.#windowAtMs;
    if (elapsedMs >= LINK_WINDOW_MS) {
      const perMs = (written - this.#writtenBefore) / elapsedMs;
      this.#use = perMs / this.#bytesPerMs;
      this.#windowAtMs = nowMs;
      this.#writtenBefore = written;
    }
    return Math.min(
      this.#use / LINK_FULL_SHARE,
      waiting / (this.#bytesPerMs * LINK_BEHIND_MS),
    );
  }
}
