/** Which upstreams say in their answers that they are leaving. */
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";

/**
 * Time for which an upstream is believed that has said so to other nodes, or in
 * an answer that no caller has received. One that says so by mistake is used
 * again then.
 */
const BELIEVED_FOR_MS = 30_000;
/** Incarnations that are remembered. */
const REMEMBERED_MAX = 10_000;

/** An incarnation of an upstream. */
type Incarnation = Pick<fleet.UpstreamRecord, "id" | "startedAtMs">;

/** An incarnation that is leaving, and the time since it said so. */
export interface LeavingUpstream extends Incarnation {
  readonly ageMs: number;
}

interface Announcement {
  readonly id: core.UpstreamId;
  readonly startedAtMs: number;
  saidAtMs: number;
  /** Whether a caller has received such an answer from this node. */
  isPassedOn: boolean;
}

/** Remembers incarnations that are leaving, also while they are not listed. */
export class LeavingUpstreams {
  readonly #announcements = new Map<string, Announcement>();

  /**
   * Records that an incarnation is leaving.
   *
   * @param ageMs time since it said so.
   * @returns whether this was not known.
   * @example
   * ```ts
   * if (leaving.record(upstream, 0, nowMs)) log(upstream);
   * ```
   */
  record(upstream: Incarnation, ageMs: number, nowMs: number): boolean {
    const isNew = !this.has(upstream, nowMs);
    const announcement = this.#announce(upstream, nowMs - ageMs);
    announcement.saidAtMs = Math.max(announcement.saidAtMs, nowMs - ageMs);
    return isNew && this.has(upstream, nowMs);
  }

  /** A caller is about to receive such an answer; this holds for good. */
  recordPassedOn(upstream: Incarnation, nowMs: number): void {
    this.#announce(upstream, nowMs).isPassedOn = true;
  }

  /** Whether an incarnation is leaving. */
  has(upstream: Incarnation, nowMs: number): boolean {
    const known = this.#announcements.get(keyOf(upstream));
    if (!known) return false;
    return known.isPassedOn || nowMs - known.saidAtMs < BELIEVED_FOR_MS;
  }

  /** Those that have said so lately, for the other nodes. */
  recent(nowMs: number): LeavingUpstream[] {
    return [...this.#announcements.values()]
      .map(({ id, startedAtMs, saidAtMs }) => ({
        id,
        startedAtMs,
        ageMs: nowMs - saidAtMs,
      }))
      .filter(({ ageMs }) => ageMs < BELIEVED_FOR_MS);
  }

  #announce(upstream: Incarnation, saidAtMs: number): Announcement {
    const { id, startedAtMs } = upstream;
    const key = keyOf(upstream);
    let known = this.#announcements.get(key);
    if (!known) {
      known = { id, startedAtMs, saidAtMs, isPassedOn: false };
      this.#announcements.set(key, known);
      const [oldest] = this.#announcements.keys();
      const isFull = this.#announcements.size > REMEMBERED_MAX;
      if (isFull && oldest !== undefined) this.#announcements.delete(oldest);
    }
    return known;
  }
}

function keyOf({ id, startedAtMs }: Incarnation): string {
  return `${id}@${startedAtMs}`;
}
