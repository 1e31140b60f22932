/**
 * Evidence of all nodes on which prompt part ends upstreams. A crash has one
 * cause among the requests that were cut off without output; over several
 * crashes, only the part that causes them is always among these and never in a
 * request that survives.
 *
 * Invariants:
 * 1. Merging is idempotent and commutative, so evidence may be passed on along
 *    any path, any number of times.
 * 2. A part that survived after a crash is not blamed for that crash.
 * 3. A crash that a quarantined part explains counts against no other part.
 */
import type * as core from "../core/mod.ts";

/** One crash, as known here. */
interface Crash {
  /** When requests broke, on this node's monotonic clock. */
  atMs: number;
  /** When this node learned of it. */
  readonly learnedAtMs: number;
}

interface PartEvidence {
  readonly crashes: Map<core.UpstreamRunKey, Crash>;
  /** When a request with the part last survived, at any node; else -Infinity. */
  survivedAtMs: number;
}

/** Evidence on one part in messages between nodes, with relative times. */
export interface ReportedEvidence {
  readonly part: string;
  readonly crashes: readonly { readonly run: string; readonly ageMs: number }[];
  /** Time since a request with the part survived; undefined if unknown. */
  readonly survivedAgeMs?: number | undefined;
}

/** Crashes after which a part is blamed. */
const CRASHES_TO_BLAME = 3;
/** The same for a part that survived shortly before the first of them. */
const CRASHES_TO_BLAME_SURVIVOR = 6;
const SURVIVOR_WINDOW_MS = 60_000;
/** Crashes closer to each other count as one: a failure domain that is lost. */
const COMMON_CAUSE_MS = 50;
/** Time in which other nodes' survivals arrive after a crash is known. */
const SETTLE_MS = 500;
/** Age at which a crash is dropped. */
const CRASH_TTL_MS = 10 * 60_000;
const PARTS_MAX = 128;
const CRASHES_PER_PART_MAX = 16;

/** Interval at which old crashes are dropped. */
const EXPIRY_INTERVAL_MS = 1_000;

/** Collects crashes and survivals by part, and names the part to blame. */
export class CrashEvidence {
  readonly #parts = new Map<core.PromptPartKey, PartEvidence>();
  #expiredAtMs = -Infinity;
  #revision = 0;

  /** Changes with the evidence, so that what is derived can be kept. */
  get revision(): number {
    return this.#revision;
  }

  get size(): number {
    return this.#parts.size;
  }

  /**
   * Adds a crash.
   *
   * @param survivedAtMs when a request with the part last survived here.
   * @returns whether it was not known.
   */
  addCrash(
    part: core.PromptPartKey,
    run: core.UpstreamRunKey,
    atMs: number,
    survivedAtMs: number,
    nowMs: number,
  ): boolean {
    if (nowMs - atMs > CRASH_TTL_MS) return false;
    let evidence = this.#parts.get(part);
    if (!evidence) {
      if (this.#parts.size >= PARTS_MAX) this.#dropLeastBlamed();
      evidence = { crashes: new Map(), survivedAtMs };
      this.#parts.set(part, evidence);
    }
    if (survivedAtMs > evidence.survivedAtMs) {
      evidence.survivedAtMs = survivedAtMs;
      this.#revision++;
    }
    const known = evidence.crashes.get(run);
    if (known) {
      known.atMs = Math.min(known.atMs, atMs);
      return false;
    }
    if (evidence.crashes.size >= CRASHES_PER_PART_MAX) return false;
    evidence.crashes.set(run, { atMs, learnedAtMs: nowMs });
    this.#revision++;
    return true;
  }

  /**
   * Records that a request with the part survived.
   *
   * @returns whether that exonerates the part of a crash.
   */
  addSurvival(part: core.PromptPartKey, atMs: number): boolean {
    const evidence = this.#parts.get(part);
    if (!evidence || atMs <= evidence.survivedAtMs) return false;
    const { survivedAtMs } = evidence;
    const exonerates = [...evidence.crashes.values()]
      .some((crash) => crash.atMs > survivedAtMs && crash.atMs <= atMs);
    // Other survivals change no decision, and each change is sent to all nodes.
    if (!exonerates) return false;
    evidence.survivedAtMs = atMs;
    this.#revision++;
    return true;
  }

  /** Drops all evidence on a part. */
  forget(part: core.PromptPartKey): void {
    if (this.#parts.delete(part)) this.#revision++;
  }

  /** Returns the part to blame next, if any, and the number of its crashes. */
  findCulprit(
    held: ReadonlySet<core.PromptPartKey>,
    nowMs: number,
  ): { part: core.PromptPartKey; crashes: number } | undefined {
    this.#expire(nowMs);
    const explained = new Set<core.UpstreamRunKey>();
    for (const part of held) {
      for (const run of this.#parts.get(part)?.crashes.keys() ?? []) {
        explained.add(run);
      }
    }
    let culprit: { part: core.PromptPartKey; crashes: number } | undefined;
    for (const [part, evidence] of this.#parts) {
      if (held.has(part)) continue;
      const timesMs = unexoneratedTimes(evidence, explained, nowMs);
      const crashes = countSeparate(timesMs);
      const needed = isSurvivor(evidence)
        ? CRASHES_TO_BLAME_SURVIVOR
        : CRASHES_TO_BLAME;
      if (crashes < needed) continue;
      // Of two parts that are always together, the later is the narrower one.
      if (crashes >= (culprit?.crashes ?? 0)) culprit = { part, crashes };
    }
    return culprit;
  }

  /** Returns the evidence for other nodes. */
  report(nowMs: number): ReportedEvidence[] {
    this.#expire(nowMs);
    return [...this.#parts].map(([part, { crashes, survivedAtMs }]) => ({
      part,
      crashes: [...crashes].map(([run, { atMs }]) => ({
        run,
        ageMs: Math.max(0, Math.round(nowMs - atMs)),
      })),
      ...(survivedAtMs === -Infinity
        ? {}
        : { survivedAgeMs: Math.max(0, Math.round(nowMs - survivedAtMs)) }),
    }));
  }

  /** Text that is equal on nodes with equal evidence, whatever the delays. */
  signature(): string {
    return [...this.#parts].map(([part, evidence]) => {
      const runs = [...evidence.crashes.keys()].sort().join(" ");
      const blame = `${blamedCount(evidence)} ${isSurvivor(evidence)}`;
      return `${part} ${blame} ${runs}`;
    }).sort().join("\n");
  }

  #dropLeastBlamed(): void {
    let least: { part: core.PromptPartKey; blamed: number } | undefined;
    for (const [part, evidence] of this.#parts) {
      const blamed = blamedCount(evidence);
      if (!least || blamed < least.blamed) least = { part, blamed };
    }
    if (least) this.#parts.delete(least.part);
  }

  #expire(nowMs: number): void {
    if (nowMs - this.#expiredAtMs < EXPIRY_INTERVAL_MS) return;
    this.#expiredAtMs = nowMs;
    for (const [part, { crashes }] of this.#parts) {
      for (const [run, { atMs }] of crashes) {
        if (nowMs - atMs <= CRASH_TTL_MS) continue;
        crashes.delete(run);
        this.#revision++;
      }
      if (crashes.size === 0) this.#parts.delete(part);
    }
  }
}

/** Times of the settled crashes for which a part may be blamed, in order. */
function unexoneratedTimes(
  { crashes, survivedAtMs }: PartEvidence,
  explained: ReadonlySet<core.UpstreamRunKey>,
  nowMs: number,
): number[] {
  return [...crashes]
    .filter(([run, { atMs, learnedAtMs }]) =>
      atMs > survivedAtMs && !explained.has(run) &&
      nowMs - learnedAtMs >= SETTLE_MS
    )
    .map(([, { atMs }]) => atMs)
    .sort((a, b) => a - b);
}

function countSeparate(timesMs: readonly number[]): number {
  let count = 0;
  let lastMs = -Infinity;
  for (const atMs of timesMs) {
    if (atMs - lastMs < COMMON_CAUSE_MS) continue;
    count++;
    lastMs = atMs;
  }
  return count;
}

/** Number of crashes after which the part has not survived. */
function blamedCount({ crashes, survivedAtMs }: PartEvidence): number {
  return [...crashes.values()].filter(({ atMs }) => atMs > survivedAtMs).length;
}

/** Whether the part survived shortly before the first crash it is blamed for. */
function isSurvivor({ crashes, survivedAtMs }: PartEvidence): boolean {
  return [...crashes.values()].some(({ atMs }) =>
    atMs > survivedAtMs && atMs - survivedAtMs < SURVIVOR_WINDOW_MS
  );
}
