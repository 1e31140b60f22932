/**
 * A model engine without network or clock: batches, memory, cached prompt parts,
 * and what the program is to avoid, an overrun of its memory.
 */
import type * as fleet from "../../fleet/mod.ts";

/** Prompt tokens prefilled in a millisecond. */
const PREFILL_TOKENS_PER_MS = 19.2;
export const STEP_MS = 10.5;
export const TOKENS_PER_EVENT = 3;
/** Requests beyond the slots that an engine queues. */
const QUEUED_MAX = 4;

/** One request as the engines see it. */
export interface SimWork {
  readonly modelKey: string;
  readonly parts: readonly fleet.PromptPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A request on an engine, with the times that are known once it runs. */
export interface SimRun {
  readonly work: SimWork;
  firstAtMs: number;
  endAtMs: number;
  /** Called when it starts to run. */
  readonly onStart: () => void;
  readonly onLost: () => void;
}

export class SimEngine {
  readonly capacityTokens: number;
  readonly slots: number;
  heldTokens = 0;
  overruns = 0;
  peakTokens = 0;
  shed = 0;
  beyondSlots = 0;
  prefilledTokens = 0;
  /** Tokens that were prefilled although this engine had them before. */
  readAgainTokens = 0;
  readonly #running = new Set<SimRun>();
  readonly #queued: SimRun[] = [];
  readonly #cache = new Map<string, number>();
  #cachedTokens = 0;
  readonly #seen = new Set<string>();
  #prefillFreeAtMs = 0;
  #downUntilMs = -Infinity;

  constructor(capacityTokens: number, slots: number) {
    this.capacityTokens = capacityTokens;
    this.slots = slots;
  }

  get inFlight(): number {
    return this.#running.size + this.#queued.length;
  }

  isDown(nowMs: number): boolean {
    return nowMs < this.#downUntilMs;
  }

  isPrefilling(nowMs: number): boolean {
    return nowMs < this.#prefillFreeAtMs;
  }

  /** Takes a request, unless it is down, full or the request too large. */
  offer(run: SimRun, nowMs: number): "taken" | "shed" | "down" {
    if (this.isDown(nowMs)) return "down";
    const tokens = tokensOf(run.work);
    const isFull = this.inFlight >= this.slots + QUEUED_MAX;
    if (isFull || tokens > this.capacityTokens) {
      this.shed++;
      return "shed";
    }
    const wasOver = this.heldTokens > this.capacityTokens;
    this.heldTokens += tokens;
    this.peakTokens = Math.max(this.peakTokens, this.heldTokens);
    if (!wasOver && this.heldTokens > this.capacityTokens) this.overruns++;
    if (this.#running.size < this.slots) this.#start(run, nowMs);
    else {
      this.beyondSlots++;
      this.#queued.push(run);
    }
    return "taken";
  }

  #start(run: SimRun, nowMs: number): void {
    this.#running.add(run);
    const { work } = run;
    const prefill = work.promptTokens - this.#useCache(work);
    this.prefilledTokens += prefill;
    this.#prefillFreeAtMs = Math.max(nowMs, this.#prefillFreeAtMs) +
      prefill / PREFILL_TOKENS_PER_MS;
    const stepMs = STEP_MS * (1 + 0.5 * this.#running.size / this.slots);
    run.firstAtMs = this.#prefillFreeAtMs + stepMs * TOKENS_PER_EVENT;
    run.endAtMs = run.firstAtMs + work.outputTokens * stepMs;
    run.onStart();
  }

  end(run: SimRun, nowMs: number): void {
    if (!this.#running.delete(run)) return;
    this.heldTokens -= tokensOf(run.work);
    const next = this.#queued.shift();
    if (next) this.#start(next, nowMs);
  }

  /** Loses all requests and cached parts, and is back after a while. */
  crash(nowMs: number, forMs: number): void {
    this.#downUntilMs = nowMs + forMs;
    const lost = [...this.#running, ...this.#queued.splice(0)];
    this.#running.clear();
    this.#cache.clear();
    this.#cachedTokens = 0;
    this.heldTokens = 0;
    this.#prefillFreeAtMs = 0;
    for (const run of lost) run.onLost();
  }

  /** Tokens of a prompt that are cached; the others are from now on. */
  #useCache({ modelKey, parts }: SimWork): number {
    let hit = 0;
    let isPrefix = true;
    for (const { id, tokens } of parts) {
      const key = `${modelKey}:${id}`;
      isPrefix &&= this.#cache.has(key);
      if (isPrefix) hit += tokens;
      else if (this.#seen.has(key)) this.readAgainTokens += tokens;
      if (this.#cache.delete(key)) this.#cachedTokens -= tokens;
      this.#cache.set(key, tokens);
      this.#cachedTokens += tokens;
      this.#seen.add(key);
    }
    const room = Math.max(0, this.capacityTokens - this.heldTokens);
    for (const [key, tokens] of this.#cache) {
      if (this.#cachedTokens <= room) break;
      this.#cache.delete(key);
      this.#cachedTokens -= tokens;
    }
    return hit;
  }
}

function tokensOf({ promptTokens, outputTokens }: SimWork): number {
  return promptTokens + outputTokens;
}
