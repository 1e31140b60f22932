/** Rules of admission that were weighed and not taken. */
import * as admission from "../../admission/mod.ts";
import type { SimFleet } from "./sim_fleet.ts";

/** Every node has the same part of each engine, whatever is free. */
export class FixedParts extends admission.AdmissionRule {
  readonly #senders: number;

  constructor(senders: number) {
    super();
    this.#senders = senders;
  }

  override admits(
    { capacityTokens, memory }: admission.EngineRoom,
    { tokens }: admission.AdmissionRequest,
  ): boolean {
    return memory.ownTokens + tokens <= capacityTokens / this.#senders;
  }
}

/** A part of the free memory by the requests in flight and the sums' age. */
export class PartByAge extends admission.AdmissionRule {
  override admits(
    { capacityTokens, memory, inFlight }: admission.EngineRoom,
    { tokens }: admission.AdmissionRequest,
    _competition: admission.Competition,
    nowMs: number,
  ): boolean {
    const free = capacityTokens * 0.95 - memory.ownTokens -
      memory.others.tokens;
    const competing = memory.othersAgeMs(nowMs) / 200 *
      (memory.others.contenders + inFlight / 8);
    return tokens <= free / (1 + competing);
  }
}

/** Asks one node that knows all that is held; nothing else if it is cut off. */
export class Reservation extends admission.AdmissionRule {
  readonly #fleet: SimFleet;
  readonly #node: string;

  constructor(fleet: SimFleet, node: string) {
    super();
    this.#fleet = fleet;
    this.#node = node;
  }

  override admits(
    { id, capacityTokens }: admission.EngineRoom,
    { tokens }: admission.AdmissionRequest,
  ): boolean {
    const node = this.#fleet.nodes.find(({ name }) => name === this.#node);
    if (node?.cutSinceMs !== undefined) return false;
    const e = Number(id.slice(1));
    let held = 0;
    for (const { engines } of this.#fleet.nodes) {
      held += engines[e]!.memory.ownTokens;
    }
    return held + tokens <= capacityTokens * 0.95;
  }
}
