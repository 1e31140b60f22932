/** Rules by which a node admits a request to an engine's memory. */
import { type EngineMemory, RECENT_MS } from "./admission_memory.ts";

/** The engine on which a request needs room. */
export interface EngineRoom {
  readonly id: string;
  readonly capacityTokens: number;
  readonly memory: EngineMemory;
  /** Requests of all nodes in flight, as this node knows them. */
  readonly inFlight: number;
  /** Engines of about the same cost, among which nodes choose. */
  readonly alternatives: number;
}

/**
 * What the other nodes may send, in all, to the engines that could run a request
 * while sums travel.
 */
export class Competition {
  #recentSends = 0;
  #contenders = 0;

  /** Adds an engine that holds the model, whether or not it has a place. */
  add({ others }: EngineMemory): void {
    this.#recentSends += others.recentSends;
    this.#contenders += others.contenders;
  }

  /** Sends of others that are expected within a time, at most. */
  expectedSends(withinMs: number): number {
    return this.#recentSends * withinMs / RECENT_MS + this.#contenders;
  }
}

/** A request that needs room. */
export interface AdmissionRequest {
  /** Identifies it while it is tried again. */
  readonly key: object;
  /** What it is expected to need: prompt and output. */
  readonly tokens: number;
}

/** Decides whether a request may be sent to an engine now. */
export abstract class AdmissionRule {
  abstract admits(
    room: EngineRoom,
    request: AdmissionRequest,
    competition: Competition,
    nowMs: number,
  ): boolean;

  /**
   * Keeps room for a request that no engine admits. Called each time that it is
   * tried, with the engines that would take it but for their memory.
   */
  claim(
    _request: AdmissionRequest,
    _rooms: readonly EngineRoom[],
    _nowMs: number,
  ): void {}

  /** The request is sent, or waits no more. */
  release(_request: AdmissionRequest): void {}
}

/** Share of the memory that is used; the rest is for longer outputs. */
const OPTIMISTIC_SHARE = 0.9;

/**
 * Takes the sums of the other nodes for current ones. Sound for nodes that are
 * few or exchange in a moment; an idle engine accepts a request of any size.
 */
export class OptimisticRule extends AdmissionRule {
  override admits(
    { capacityTokens, memory, inFlight }: EngineRoom,
    { tokens }: AdmissionRequest,
  ): boolean {
    const usedTokens = memory.ownTokens + memory.others.tokens;
    return inFlight === 0 ||
      tokens <= capacityTokens * OPTIMISTIC_SHARE - usedTokens;
  }
}
