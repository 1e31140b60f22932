/**
 * Software versions by service that may have begun streams which callers can
 * still take up: those of listed upstreams, those that left recently, and those
 * of which the store has a row.
 */
import type * as core from "../core/mod.ts";
import { TAKE_UP_MAX_MS } from "./origins_types.ts";

/** A software version of one service. */
export interface ServiceVersion {
  readonly service: core.ServiceName;
  readonly softwareVersion: core.SoftwareVersion;
}

interface KnownVersion extends ServiceVersion {
  /** Listed upstreams that run it. */
  upstreams: number;
  /** When it was last known to be in service, unless upstreams run it. */
  leftAtMs: number;
  /** Whether the store has a row for it. */
  isRecorded: boolean;
}

/** Counts the upstreams of each version, and remembers those that left. */
export class SoftwareVersions {
  readonly #known = new Map<string, KnownVersion>();

  /** An upstream of this version is listed. */
  add(version: ServiceVersion): void {
    this.#get(version).upstreams++;
  }

  /** An upstream of this version is no longer listed. */
  remove(version: ServiceVersion, nowMs: number): void {
    const known = this.#get(version);
    known.upstreams = Math.max(0, known.upstreams - 1);
    known.leftAtMs = nowMs;
  }

  /** The store has a row: the version was in service not long ago. */
  recordRow(version: ServiceVersion, nowMs: number): void {
    const known = this.#get(version);
    if (known.leftAtMs === -Infinity) known.leftAtMs = nowMs;
    known.isRecorded = true;
  }

  /** The store has no row, as another node deleted it or it was restored. */
  recordNoRow(version: ServiceVersion): void {
    const known = this.#known.get(keyOf(version));
    if (known) known.isRecorded = false;
  }

  /** The store's rows are read anew; those that it has are recorded again. */
  forgetRows(): void {
    for (const known of this.#known.values()) known.isRecorded = false;
  }

  /**
   * The versions of some services whose streams callers may take up, each once.
   *
   * @example
   * ```ts
   * const isMixed = versions.ofServices(services, nowMs).length > 1;
   * ```
   */
  ofServices(
    services: ReadonlySet<core.ServiceName>,
    nowMs: number,
  ): readonly core.SoftwareVersion[] {
    const versions = [...this.#known.values()]
      .filter((known) => services.has(known.service) && isCurrent(known, nowMs))
      .map(({ softwareVersion }) => softwareVersion);
    return [...new Set(versions)];
  }

  /** Versions in use of which the store has no row. */
  unrecorded(nowMs: number): readonly ServiceVersion[] {
    return [...this.#known.values()]
      .filter((known) => !known.isRecorded && isCurrent(known, nowMs));
  }

  /** Versions whose rows are no longer needed. */
  outdated(nowMs: number): readonly ServiceVersion[] {
    return [...this.#known.values()]
      .filter((known) => known.isRecorded && !isCurrent(known, nowMs));
  }

  #get(version: ServiceVersion): KnownVersion {
    const key = keyOf(version);
    let known = this.#known.get(key);
    if (!known) {
      const { service, softwareVersion } = version;
      known = {
        service,
        softwareVersion,
        upstreams: 0,
        leftAtMs: -Infinity,
        isRecorded: false,
      };
      this.#known.set(key, known);
    }
    return known;
  }
}

function keyOf({ service, softwareVersion }: ServiceVersion): string {
  return JSON.stringify([service, softwareVersion]);
}

function isCurrent(
  { upstreams, leftAtMs }: KnownVersion,
  nowMs: number,
): boolean {
  return upstreams > 0 || nowMs - leftAtMs < TAKE_UP_MAX_MS;
}
