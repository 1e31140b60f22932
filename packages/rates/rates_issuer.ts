/** Issues permits for the requests of all nodes to an upstream, at its rate. */
import type * as core from "../core/mod.ts";
import type { Incarnation } from "./rates_named.ts";

/** Time for which permits may be issued at once that were not asked for. */
const BURST_MS = 250;
/**
 * Lowest rate, in requests per second. An upstream that takes none still gets
 * some, whose responses show when that ends.
 */
export const RATE_MIN_PER_S = 0.2;
/** After this without a request a bucket, or a waiting node, is forgotten. */
const BUCKET_IDLE_MS = 60_000;
const WAITING_IDLE_MS = 4_000;
const MS_PER_S = 1_000;

/** Answer to a node that asks for permits. */
export interface PermitDecision {
  readonly granted: number;
  /** Expected time until the next one, if none was granted. */
  readonly waitMs: number;
}

/** Permits of one incarnation that may be issued. */
interface Bucket {
  readonly startedAtMs: number;
  tokens: number;
  atMs: number;
  /** Nodes that got none, with their last request, in the order of the first. */
  readonly waiting: Map<core.InstanceId, number>;
}

/** Kept by the node that issues the permits for an incarnation. */
export class PermitIssuer {
  readonly #buckets = new Map<core.UpstreamId, Bucket>();

  /**
   * Issues permits. A new bucket is empty, so that an upstream gets no more when
   * another node begins to issue them.
   *
   * @param perS requests per second that the upstream takes.
   * @param count permits that the node has use for.
   * @example
   * ```ts
   * const { granted, waitMs } = issuer.issue(record, 2.5, 1, node, nowMs);
   * ```
   */
  issue(
    upstream: Incarnation,
    perS: number,
    count: number,
    node: core.InstanceId,
    nowMs: number,
  ): PermitDecision {
    const rate = Math.max(RATE_MIN_PER_S, perS) / MS_PER_S;
    const bucket = this.#fill(upstream, rate, nowMs);
    const { waiting } = bucket;
    const granted = Math.min(count, Math.floor(bucket.tokens));
    if (granted > 0) {
      bucket.tokens -= granted;
      waiting.delete(node);
      return { granted, waitMs: 0 };
    }
    for (const [other, askedAtMs] of waiting) {
      if (nowMs - askedAtMs > WAITING_IDLE_MS) waiting.delete(other);
    }
    waiting.set(node, nowMs);
    const ahead = [...waiting.keys()].indexOf(node);
    const waitMs = Math.ceil((1 + ahead - bucket.tokens) / rate);
    return { granted: 0, waitMs };
  }

  /** Forgets an incarnation for which another node issues permits. */
  forget({ id }: Incarnation): void {
    this.#buckets.delete(id);
  }

  #fill(
    { id, startedAtMs }: Incarnation,
    rate: number,
    nowMs: number,
  ): Bucket {
    for (const [other, { atMs }] of this.#buckets) {
      if (nowMs - atMs > BUCKET_IDLE_MS) this.#buckets.delete(other);
    }
    let bucket = this.#buckets.get(id);
    if (bucket?.startedAtMs !== startedAtMs) {
      bucket = { startedAtMs, tokens: 0, atMs: nowMs, waiting: new Map() };
      this.#buckets.set(id, bucket);
    }
    const burst = 1 + rate * BURST_MS;
    const filled = bucket.tokens + (nowMs - bucket.atMs) * rate;
    bucket.tokens = Math.min(burst, filled);
    bucket.atMs = nowMs;
    return bucket;
  }
}
