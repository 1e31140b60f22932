/**
 * Origins of the streams that callers may still take up. Pattern of load: many
 * short streams, of which few break off; each is recorded once, and nodes tell
 * each other only of those that are new. A node that reads the store learns of
 * all streams at once; these are not news.
 */
import type * as core from "../core/mod.ts";
import {
  type ReportedOrigin,
  type StreamOrigin,
  TAKE_UP_MAX_MS,
} from "./origins_types.ts";

interface Entry extends StreamOrigin {
  readonly stream: core.StreamKey;
  readonly expiresAtMs: number;
  /** Whether it is known from the store alone. */
  readonly isStored: boolean;
}

/** Origins that became known after a position, and the position after them. */
export interface OriginBatch {
  readonly origins: readonly ReportedOrigin[];
  readonly position: number;
}

/** Origins of nodes, and of the store; the oldest are dropped beyond that. */
const ORIGINS_MAX = 50_000;
/** Entries at the head that are dropped together, as that copies the rest. */
const TRIM_MIN = 256;

/** Keeps origins until their streams can no longer be taken up. */
export class StreamOrigins {
  readonly #byStream = new Map<core.StreamKey, Entry>();
  /** Entries of this node and of others, in the order they became known. */
  #log: Entry[] = [];
  /** Position of the first entry of the log. */
  #firstPosition = 0;
  /** Entries known from the store alone, in the order they became known. */
  #stored: Entry[] = [];

  get size(): number {
    return this.#byStream.size;
  }

  /** Position after the last origin. */
  get position(): number {
    return this.#firstPosition + this.#log.length;
  }

  /**
   * Records an origin, to be passed on. The first one of a stream stays, as no
   * later event can change which version began it. Callers may name any
   * deadline, so the time is bounded.
   *
   * @example
   * ```ts
   * origins.record({ stream, service, softwareVersion, ttlMs: 15_000 }, nowMs);
   * ```
   */
  record(origin: ReportedOrigin, nowMs: number): void {
    const known = this.#findEntry(origin.stream, nowMs);
    if (origin.ttlMs <= 0 || (known && !known.isStored)) return;
    const entry = known
      ? { ...known, isStored: false }
      : toEntry(origin, nowMs, false);
    this.#byStream.set(entry.stream, entry);
    this.#log.push(entry);
    const dropped = this.#dropHead(this.#log, nowMs);
    this.#firstPosition += dropped;
  }

  /**
   * Records an origin that the store has. It is not passed on, as each node and
   * the next root can read it there.
   *
   * @example
   * ```ts
   * origins.recordStored({ ...origin, ttlMs: row.ttlMs }, nowMs);
   * ```
   */
  recordStored(origin: ReportedOrigin, nowMs: number): void {
    const isKnown = this.#findEntry(origin.stream, nowMs) !== undefined;
    if (origin.ttlMs <= 0 || isKnown) return;
    const entry = toEntry(origin, nowMs, true);
    this.#byStream.set(entry.stream, entry);
    this.#stored.push(entry);
    this.#dropHead(this.#stored, nowMs);
  }

  /** Returns the origin of a stream, if it is known and has not expired. */
  find(stream: core.StreamKey, nowMs: number): StreamOrigin | undefined {
    return this.#findEntry(stream, nowMs);
  }

  /**
   * Returns the origins that became known after a position, the oldest first.
   *
   * @param position 0, or the position of an earlier batch.
   */
  since(position: number, limit: number, nowMs: number): OriginBatch {
    const from = Math.max(0, position - this.#firstPosition);
    const entries = this.#log.slice(from, from + limit);
    return {
      origins: entries.flatMap((entry) => this.#report(entry, nowMs)),
      position: this.#firstPosition + from + entries.length,
    };
  }

  /** Returns the known ones of some streams. */
  report(
    streams: readonly core.StreamKey[],
    nowMs: number,
  ): readonly ReportedOrigin[] {
    return streams.flatMap((stream) => {
      const entry = this.#byStream.get(stream);
      return entry ? this.#report(entry, nowMs) : [];
    });
  }

  #findEntry(stream: core.StreamKey, nowMs: number): Entry | undefined {
    const entry = this.#byStream.get(stream);
    return entry && entry.expiresAtMs > nowMs ? entry : undefined;
  }

  #report(
    { stream, service, softwareVersion, expiresAtMs }: Entry,
    nowMs: number,
  ): ReportedOrigin[] {
    const ttlMs = Math.round(expiresAtMs - nowMs);
    return ttlMs > 0 ? [{ stream, service, softwareVersion, ttlMs }] : [];
  }

  /** Drops expired and surplus entries; returns how many. */
  #dropHead(entries: Entry[], nowMs: number): number {
    let dropped = 0;
    for (const entry of entries) {
      const isOver = entries.length - dropped > ORIGINS_MAX;
      if (!isOver && entry.expiresAtMs > nowMs) break;
      dropped++;
    }
    if (dropped < Math.min(TRIM_MIN, entries.length)) return 0;
    for (const entry of entries.splice(0, dropped)) {
      if (this.#byStream.get(entry.stream) === entry) {
        this.#byStream.delete(entry.stream);
      }
    }
    return dropped;
  }
}

function toEntry(
  { stream, service, softwareVersion, ttlMs }: ReportedOrigin,
  nowMs: number,
  isStored: boolean,
): Entry {
  const expiresAtMs = nowMs + Math.min(ttlMs, TAKE_UP_MAX_MS);
  return { stream, service, softwareVersion, expiresAtMs, isStored };
}
