/**
 * Origins of the streams that callers may still take up. Pattern of load: many
 * short streams, of which few break off; each is recorded once, and nodes tell
 * each other only of those that are new.
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
}

/** Origins that became known after a position, and the position after them. */
export interface OriginBatch {
  readonly origins: readonly ReportedOrigin[];
  readonly position: number;
}

/** Origins that are kept; the oldest are dropped beyond that. */
const ORIGINS_MAX = 50_000;
/** Entries at the head that are dropped together, as that copies the rest. */
const TRIM_MIN = 256;

/** Keeps origins until their streams can no longer be taken up. */
export class StreamOrigins {
  readonly #byStream = new Map<core.StreamKey, Entry>();
  /** All entries in the order in which they became known. */
  #log: Entry[] = [];
  /** Position of the first entry of the log. */
  #firstPosition = 0;

  get size(): number {
    return this.#byStream.size;
  }

  /** Position after the last origin. */
  get position(): number {
    return this.#firstPosition + this.#log.length;
  }

  /**
   * Records an origin. The first one of a stream stays, as no later event can
   * change which version began it. Callers may name any deadline, so the time
   * is bounded.
   *
   * @example
   * ```ts
   * origins.record({ stream, service, softwareVersion, ttlMs: 15_000 }, nowMs);
   * ```
   */
  record(origin: ReportedOrigin, nowMs: number): void {
    if (origin.ttlMs <= 0 || this.find(origin.stream, nowMs)) return;
    const { stream, service, softwareVersion, ttlMs } = origin;
    const entry = {
      stream,
      service,
      softwareVersion,
      expiresAtMs: nowMs + Math.min(ttlMs, TAKE_UP_MAX_MS),
    };
    this.#byStream.set(stream, entry);
    this.#log.push(entry);
    this.#trim(nowMs);
  }

  /** Returns the origin of a stream, if it is known and has not expired. */
  find(stream: core.StreamKey, nowMs: number): StreamOrigin | undefined {
    const entry = this.#byStream.get(stream);
    return entry && entry.expiresAtMs > nowMs ? entry : undefined;
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

  #report(
    { stream, service, softwareVersion, expiresAtMs }: Entry,
    nowMs: number,
  ): ReportedOrigin[] {
    const ttlMs = Math.round(expiresAtMs - nowMs);
    return ttlMs > 0 ? [{ stream, service, softwareVersion, ttlMs }] : [];
  }

  #trim(nowMs: number): void {
    let dropped = 0;
    for (const entry of this.#log) {
      const isOver = this.#log.length - dropped > ORIGINS_MAX;
      if (!isOver && entry.expiresAtMs > nowMs) break;
      dropped++;
    }
    if (dropped < Math.min(TRIM_MIN, this.#log.length)) return;
    for (const entry of this.#log.slice(0, dropped)) {
      if (this.#byStream.get(entry.stream) === entry) {
        this.#byStream.delete(entry.stream);
      }
    }
    this.#log = this.#log.slice(dropped);
    this.#firstPosition += dropped;
  }
}
