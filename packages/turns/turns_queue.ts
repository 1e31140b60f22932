/** Decides which connections are parsed in a turn of the event loop. */
import * as core from "../core/mod.ts";

/**
 * Time in which connections are parsed in one turn. Whatever else a turn brings,
 * such as an accept, a timer or a response, waits no longer than this for them.
 */
const TURN_MS = 5;
/**
 * Likewise while connections are accepted, as a listener accepts one in each
 * turn.
 */
const ACCEPTING_TURN_MS = 0.25;
/** A connection that took less lately is parsed at once. */
const LIGHT_MS = 1;
/** Time after which half of what a connection took is forgotten. */
const HALF_LIFE_MS = 1_000;

/**
 * How much later a connection's turn comes for each ms that it took lately. It
 * is not put behind newcomers for good, as there may always be more of them.
 */
const WAIT_FACTOR = 20;

/** A connection that has bytes to parse. */
export abstract class TurnReader {
  #usedMs = 0;
  #usedAtMs = 0;

  /** Parses what its share of the turn allows, or reads on if it has nothing. */
  abstract readOn(): void;

  /** Called when it has to wait for a later turn. */
  abstract onDeferred(): void;

  /** Whether it has bytes to parse; if not, its turn is to read some. */
  abstract get hasPending(): boolean;

  /** Time that parsing what one read brings is expected to take. */
  abstract get expectedMs(): number;

  /** Time that parsing took lately. */
  usedMs(nowMs: number): number {
    return this.#usedMs * 2 ** ((this.#usedAtMs - nowMs) / HALF_LIFE_MS);
  }

  /** Records time that parsing took. */
  addUsed(ms: number, nowMs: number): void {
    this.#usedMs = this.usedMs(nowMs) + ms;
    this.#usedAtMs = nowMs;
  }
}

/**
 * Measures what a turn spends on parsing. Connections beyond its time wait for
 * a later one: the longer, the more they took lately.
 */
export class ReadTurns {
  readonly #turnMs: number;
  readonly #lightMs: number;
  #spentMs = 0;
  #limitMs: number;
  #hasAccepted = false;
  #isScheduled = false;
  /** Connections that wait, with the time at which it is their turn. */
  readonly #waiting = new Map<TurnReader, number>();

  /**
   * @param turnMs time in which connections are parsed in one turn, above 0.
   * @param lightMs a connection that took less lately is parsed at once.
   */
  constructor(turnMs = TURN_MS, lightMs = LIGHT_MS) {
    this.#turnMs = turnMs;
    this.#lightMs = lightMs;
    this.#limitMs = turnMs;
  }

  /** Whether connections wait for a later turn, and what they send is unread. */
  get isContended(): boolean {
    return this.#waiting.size > 0;
  }

  /** Records that a connection was accepted; others may wait behind it. */
  noteAccept(): void {
    this.#hasAccepted = true;
    this.#limitMs = Math.min(ACCEPTING_TURN_MS, this.#turnMs);
    this.#schedule();
  }

  /**
   * Whether a connection may parse now. If not, `readOn` is called in a later
   * turn.
   *
   * @example
   * ```ts
   * if (!turns.tryTake(reader)) return;
   * turns.spend(reader, parse(piece));
   * ```
   */
  tryTake(reader: TurnReader): boolean {
    this.#schedule();
    if (this.#spentMs < this.#limitMs) return true;
    const nowMs = core.monotonicMs();
    const usedMs = reader.usedMs(nowMs);
    if (usedMs < this.#lightMs) return true;
    if (this.#waiting.has(reader)) return false;
    this.#waiting.set(reader, nowMs + usedMs * WAIT_FACTOR);
    reader.onDeferred();
    return false;
  }

  /** Records the time in ms that a connection took of the turn. */
  spend(reader: TurnReader, ms: number): void {
    this.#spentMs += ms;
    reader.addUsed(ms, core.monotonicMs());
  }

  /** Takes back a connection that has closed. */
  remove(reader: TurnReader): void {
    this.#waiting.delete(reader);
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#beginTurn());
  }

  #beginTurn(): void {
    this.#isScheduled = false;
    this.#spentMs = 0;
    this.#limitMs = this.#hasAccepted
      ? Math.min(ACCEPTING_TURN_MS, this.#turnMs)
      : this.#turnMs;
    this.#hasAccepted = false;
    // What connections bring that begin to read now is parsed later in the turn.
    let expectedMs = 0;
    for (const reader of this.#inOrder()) {
      if (this.#spentMs + expectedMs >= this.#limitMs) break;
      this.#waiting.delete(reader);
      if (!reader.hasPending) expectedMs += reader.expectedMs;
      reader.readOn();
    }
    if (this.#waiting.size > 0) this.#schedule();
  }

  /** Those that wait, in the order of their turns. */
  #inOrder(): TurnReader[] {
    return [...this.#waiting]
      .sort(([, a], [, b]) => a - b)
      .map(([reader]) => reader);
  }
}

/** Shared by all servers of a process, as they share its event loop. */
export const processTurns = new ReadTurns();
