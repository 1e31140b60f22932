/** Quarantine of prompt parts that end each upstream which answers them. */
import * as core from "../core/mod.ts";
import { CrashEvidence, type ReportedEvidence } from "./quarantine_evidence.ts";
import { PartSurvivals } from "./quarantine_survivals.ts";
import { CrashWitness, type WitnessedCrash } from "./quarantine_witness.ts";

/** A quarantined part in messages between nodes. */
export interface ReportedHold {
  readonly part: string;
  /** Time since the part was quarantined. */
  readonly heldAgeMs: number;
}

/** An engine that refused a connection, in messages between nodes. */
export interface ReportedRefusal {
  readonly run: string;
  readonly ageMs: number;
}

/** What a node tells the others. */
export interface QuarantineReport {
  readonly refusals: readonly ReportedRefusal[];
  readonly evidence: readonly ReportedEvidence[];
  readonly holds: readonly ReportedHold[];
}

/** How a node learned that a part is quarantined. */
export type HoldSource = "evidence" | "peer" | "store";

interface Hold {
  heldAtMs: number;
  /** Whether the store has a row for it. */
  isRecorded: boolean;
}

/** Interval at which the evidence is judged, however many requests come. */
const DECIDE_INTERVAL_MS = 20;
/** Time after which unchanged evidence needs no further judgement. */
const SETTLED_AFTER_MS = 1_000;
/** Quarantined parts that are kept. */
const HOLDS_MAX = 512;
/** Parts that a log line names. */
const LOGGED_PARTS_MAX = 8;

/**
 * Decides which prompt parts are quarantined. Each node decides for itself and
 * adopts the decisions of the others; no request with such a part is sent.
 *
 * Times are of the monotonic clock, in ms.
 */
export class PromptQuarantine {
  readonly #logger: core.Logger;
  readonly #witness = new CrashWitness();
  readonly #survivals = new PartSurvivals();
  readonly #evidence = new CrashEvidence();
  readonly #holds = new Map<core.PromptPartKey, Hold>();
  /** When parts were released; older decisions and crashes do not count. */
  readonly #releasedAtMs = new Map<core.PromptPartKey, number>();

  #decidedAtMs = -Infinity;
  /** Revision of the evidence that was last judged, and since when it holds. */
  #judgedRevision = 0;
  #changedAtMs = -Infinity;
  #isLimitLogged = false;
  /** Counts changes of holds and refusals. */
  #revision = 0;
  #tag: { readonly of: string; readonly text: string } | undefined;

  constructor(logger: core.Logger) {
    this.#logger = logger;
  }

  /** Number of quarantined parts. */
  get size(): number {
    return this.#holds.size;
  }

  /**
   * Returns the first quarantined one of a prompt's parts.
   *
   * @example
   * ```ts
   * const parts = quarantine.sharedPartKeys(caller.promptParts);
   * if (state.quarantine.find(parts, nowMs)) reject();
   * ```
   */
  find(
    parts: readonly core.PromptPartKey[],
    nowMs: number,
  ): core.PromptPartKey | undefined {
    this.decide(nowMs);
    if (this.#holds.size === 0) return undefined;
    return parts.find((part) => this.#holds.has(part));
  }

  /** Records that a request with these parts had output and lived on. */
  recordSurvival(parts: readonly core.PromptPartKey[], nowMs: number): void {
    for (const part of parts) {
      this.#survivals.record(part, nowMs);
      this.#evidence.addSurvival(part, nowMs);
    }
  }

  /** Records that a request was cut off before it had output. */
  recordBroken(
    run: core.UpstreamRunKey,
    parts: readonly core.PromptPartKey[],
    nowMs: number,
  ): void {
    if (parts.length === 0) return;
    this.#addCrash(this.#witness.recordBroken(run, parts, nowMs), nowMs);
  }

  /** Records that an incarnation of an upstream has ended. */
  recordEnded(run: core.UpstreamRunKey, nowMs: number): void {
    this.#addCrash(this.#witness.recordEnded(run, nowMs), nowMs);
  }

  /** Records that an incarnation refused a connection of this node. */
  recordRefusal(run: core.UpstreamRunKey, nowMs: number): void {
    if (this.#witness.recordRefusal(run, nowMs)) this.#revision++;
    this.recordEnded(run, nowMs);
  }

  /** Quarantines the parts to which the evidence points by now. */
  decide(nowMs: number): void {
    if (this.#evidence.size === 0) return;
    if (this.#evidence.revision !== this.#judgedRevision) {
      this.#judgedRevision = this.#evidence.revision;
      this.#changedAtMs = nowMs;
    }
    const isSettled = this.#decidedAtMs - this.#changedAtMs > SETTLED_AFTER_MS;
    if (isSettled || nowMs - this.#decidedAtMs < DECIDE_INTERVAL_MS) return;
    this.#decidedAtMs = nowMs;
    for (;;) {
      const held = new Set(this.#holds.keys());
      const culprit = this.#evidence.findCulprit(held, nowMs);
      if (!culprit) return;
      const { part, crashes } = culprit;
      if (!this.#hold(part, nowMs, "evidence", crashes)) return;
    }
  }

  /** Tag that is equal on nodes which know the same. */
  tag(nowMs: number): string {
    const refusals = this.#witness.refusals(nowMs);
    const isEmpty = this.#evidence.size === 0 && this.#holds.size === 0 &&
      refusals.size === 0;
    if (isEmpty) return "";
    const of = [this.#revision, this.#evidence.revision, refusals.size].join();
    if (this.#tag?.of !== of) {
      const known = [
        this.#evidence.signature(),
        [...this.#holds.keys()].sort().join(" "),
        [...refusals.keys()].sort().join(" "),
      ];
      const text = core.hash32(known.join("\n")).toString(36);
      this.#tag = { of, text };
    }
    return this.#tag.text;
  }

  /** Returns all that this node knows. */
  report(nowMs: number): QuarantineReport {
    return {
      refusals: [...this.#witness.refusals(nowMs)].map(([run, atMs]) => ({
        run,
        ageMs: Math.max(0, Math.round(nowMs - atMs)),
      })),
      evidence: this.#evidence.report(nowMs),
      holds: [...this.#holds].map(([part, { heldAtMs }]) => ({
        part,
        heldAgeMs: Math.max(0, Math.round(nowMs - heldAtMs)),
      })),
    };
  }

  /** Adopts what another node knows. */
  merge({ refusals, evidence, holds }: QuarantineReport, nowMs: number): void {
    for (const { run: text, ageMs } of refusals) {
      const run = core.brandId<core.UpstreamRunKey>(text);
      if (!this.#witness.recordRefusal(run, nowMs - ageMs)) continue;
      this.#revision++;
      this.recordEnded(run, nowMs);
    }
    for (const { part: text, crashes, survivedAgeMs } of evidence) {
      const part = core.brandId<core.PromptPartKey>(text);
      const survivedAtMs = nowMs - (survivedAgeMs ?? Infinity);
      for (const { run, ageMs } of crashes) {
        this.#addPartCrash(
          part,
          core.brandId<core.UpstreamRunKey>(run),
          nowMs - ageMs,
          survivedAtMs,
          nowMs,
        );
      }
    }
    for (const { part: text, heldAgeMs } of holds) {
      const part = core.brandId<core.PromptPartKey>(text);
      const heldAtMs = nowMs - heldAgeMs;
      if (heldAtMs <= this.#releaseTimeMs(part)) continue;
      this.#hold(part, heldAtMs, "peer");
    }
  }

  /** Applies the store's row of a quarantined part. */
  applyRow(part: core.PromptPartKey, nowMs: number): void {
    this.#hold(part, nowMs, "store");
    const hold = this.#holds.get(part);
    if (hold) hold.isRecorded = true;
  }

  /** Notes that the store was restored from a copy, which may lack rows. */
  noteRestored(): void {
    for (const hold of this.#holds.values()) hold.isRecorded = false;
  }

  /** Releases a part whose row was deleted. */
  release(part: core.PromptPartKey, nowMs: number): void {
    this.#releasedAtMs.delete(part);
    this.#releasedAtMs.set(part, nowMs);
    const [oldest] = this.#releasedAtMs.keys();
    if (this.#releasedAtMs.size > HOLDS_MAX && oldest !== undefined) {
      this.#releasedAtMs.delete(oldest);
    }
    this.#evidence.forget(part);
    if (!this.#holds.delete(part)) return;
    this.#isLimitLogged = false;
    this.#revision++;
    this.#logger.info("part_released", { part });
  }

  /** Parts quarantined for at least `forMs` of which the store has no row. */
  unrecorded(forMs: number, nowMs: number): core.PromptPartKey[] {
    this.decide(nowMs);
    return [...this.#holds]
      .filter(([, hold]) => !hold.isRecorded && nowMs - hold.heldAtMs >= forMs)
      .map(([part]) => part);
  }

  /** Parts with a row that have been quarantined for at least `forMs`. */
  heldFor(forMs: number, nowMs: number): core.PromptPartKey[] {
    return [...this.#holds]
      .filter(([, hold]) => hold.isRecorded && nowMs - hold.heldAtMs >= forMs)
      .map(([part]) => part);
  }

  #addCrash(crash: WitnessedCrash | undefined, nowMs: number): void {
    if (!crash) return;
    const { run, parts, atMs } = crash;
    const added = parts
      .filter((part) => this.#addPartCrash(part, run, atMs, -Infinity, nowMs));
    if (added.length === 0) return;
    this.#logger.info("crash_attributed", {
      upstream: run,
      parts: added.slice(0, LOGGED_PARTS_MAX).join(","),
      candidates: added.length,
      ageMs: Math.round(nowMs - atMs),
    });
  }

  /** @param survivedAtMs when the part last survived at other nodes. */
  #addPartCrash(
    part: core.PromptPartKey,
    run: core.UpstreamRunKey,
    atMs: number,
    survivedAtMs: number,
    nowMs: number,
  ): boolean {
    if (atMs <= this.#releaseTimeMs(part)) return false;
    const lastAtMs = Math.max(survivedAtMs, this.#survivals.lastAtMs(part));
    return this.#evidence.addCrash(part, run, atMs, lastAtMs, nowMs);
  }

  #releaseTimeMs(part: core.PromptPartKey): number {
    return this.#releasedAtMs.get(part) ?? -Infinity;
  }

  /** @returns whether the part is held. */
  #hold(
    part: core.PromptPartKey,
    heldAtMs: number,
    source: HoldSource,
    crashes?: number,
  ): boolean {
    if (this.#holds.has(part)) return true;
    if (this.#holds.size >= HOLDS_MAX) {
      // Logged once, as each decision and exchange comes here again.
      if (!this.#isLimitLogged) {
        this.#logger.warn("part_not_held", { part, source, held: HOLDS_MAX });
      }
      this.#isLimitLogged = true;
      return false;
    }
    this.#holds.set(part, { heldAtMs, isRecorded: false });
    this.#revision++;
    this.#logger.warn("part_held", { part, source, crashes });
    return true;
  }
}
