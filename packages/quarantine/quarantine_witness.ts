/**
 * Relates the end of an upstream to the requests of this node that it cut off.
 * Pattern of load: connections that are reset while their upstream lives on, so
 * a broken connection alone is no evidence.
 */
import type * as core from "../core/mod.ts";

/** An upstream ended under requests with these parts that had no output yet. */
export interface WitnessedCrash {
  readonly run: core.UpstreamRunKey;
  readonly parts: readonly core.PromptPartKey[];
  readonly atMs: number;
}

/** Time in which the end of an upstream must be noticed after broken requests. */
const CONFIRMATION_MS = 8_000;
/** Ended incarnations that are remembered for requests that break later. */
const ENDED_MAX = 256;
/** Time for which a refused connection is passed on to other nodes. */
const REFUSAL_TTL_MS = 10_000;

interface BrokenRequests {
  readonly parts: Set<core.PromptPartKey>;
  readonly firstAtMs: number;
}

/** Collects the broken requests of each incarnation until its end is known. */
export class CrashWitness {
  readonly #broken = new Map<core.UpstreamRunKey, BrokenRequests>();
  /** Incarnations known to have ended, with when their requests broke. */
  readonly #ended = new Map<core.UpstreamRunKey, number>();
  /** Incarnations that refused connections of any node, with when. */
  readonly #refusals = new Map<core.UpstreamRunKey, number>();

  /**
   * Records a request that was cut off before it had output.
   *
   * @returns the crash, if the incarnation is known to have ended.
   */
  recordBroken(
    run: core.UpstreamRunKey,
    parts: readonly core.PromptPartKey[],
    nowMs: number,
  ): WitnessedCrash | undefined {
    const endedAtMs = this.#ended.get(run);
    if (endedAtMs !== undefined) return { run, parts, atMs: endedAtMs };
    const broken = this.#broken.get(run) ??
      { parts: new Set(), firstAtMs: nowMs };
    for (const part of parts) broken.parts.add(part);
    this.#broken.set(run, broken);
    this.#forgetUnconfirmed(nowMs);
    return undefined;
  }

  /**
   * Records that an incarnation has ended.
   *
   * @returns the crash, if it had cut off requests.
   */
  recordEnded(
    run: core.UpstreamRunKey,
    nowMs: number,
  ): WitnessedCrash | undefined {
    this.#forgetUnconfirmed(nowMs);
    const broken = this.#broken.get(run);
    this.#broken.delete(run);
    if (!this.#ended.has(run)) this.#rememberEnded(run, broken, nowMs);
    if (!broken) return undefined;
    return { run, parts: [...broken.parts], atMs: broken.firstAtMs };
  }

  /**
   * Records that an incarnation refused a connection, so that nothing listens at
   * its address any more.
   *
   * @returns whether that was not known.
   */
  recordRefusal(run: core.UpstreamRunKey, atMs: number): boolean {
    if (this.#refusals.has(run)) return false;
    this.#refusals.set(run, atMs);
    return true;
  }

  /** Returns the recent refusals, which other nodes may not have seen. */
  refusals(nowMs: number): ReadonlyMap<core.UpstreamRunKey, number> {
    for (const [run, atMs] of this.#refusals) {
      if (nowMs - atMs > REFUSAL_TTL_MS) this.#refusals.delete(run);
    }
    return this.#refusals;
  }

  #rememberEnded(
    run: core.UpstreamRunKey,
    broken: BrokenRequests | undefined,
    nowMs: number,
  ): void {
    this.#ended.set(run, broken?.firstAtMs ?? nowMs);
    if (this.#ended.size <= ENDED_MAX) return;
    const [oldest] = this.#ended.keys();
    if (oldest !== undefined) this.#ended.delete(oldest);
  }

  #forgetUnconfirmed(nowMs: number): void {
    for (const [run, { firstAtMs }] of this.#broken) {
      if (nowMs - firstAtMs > CONFIRMATION_MS) this.#broken.delete(run);
    }
  }
}
