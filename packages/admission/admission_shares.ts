/**
 * Admits requests by what the other nodes may send at the same time. Pattern of
 * load: many nodes with sums 50 to 200 ms old see the same room at the same
 * moment. Where the room is large enough for all that are likely to come, a node
 * sends at once; else it announces a claim and sends when it is its turn.
 */
import * as core from "../core/mod.ts";
import { ArrivalsTable } from "./admission_arrivals.ts";
import type { EngineMemory } from "./admission_memory.ts";
import { type NodesView, OwnParts } from "./admission_parts.ts";
import {
  type AdmissionRequest,
  AdmissionRule,
  type Competition,
  type EngineRoom,
} from "./admission_rule.ts";

/** Share of the memory that is used; the rest is for longer outputs. */
const USED_SHARE = 0.92;
/** Accepted probability that the sends of others exceed the rest. */
const RISK = 1e-3;
/** Requests of others from which the usual size is known. */
const SAMPLES_MIN = 4;
/** Room for fewer requests is given out by claims. */
const TIGHT_PLACES = 6;
/** Size of a request while few others are known. */
const REQUEST_TOKENS_DEFAULT = 2_500;
/** Time after which every node knows of a send while the exchange works. */
const VISIBLE_AFTER_MS = 200;
/** Oldest sums by mean age, relative to the mean. */
const AGE_MAX_FACTOR = 1.5;
/** Age of the sums from which a node uses only its own part. */
const CUT_AFTER_MS = 800;
/** A request above this share of the memory is sent only after a claim. */
const LARGE_SHARE = 0.25;
/** Time after which a claim moves to another engine. */
const CLAIM_MOVE_MS = 2_000;
/** Difference of the use of two engines that says nothing. */
const NEAR_TOKENS = 5_000;
/** Claims on one engine that nodes hear of, the first ones. */
export const CLAIMS_TOLD_MAX = 4;
/** Lower part of a ticket, which is random; the upper one is the order. */
const TICKET_RANDOM = 2 ** 32;

/** What a node may send to engines that others send to as well. */
export class SharesRule extends AdmissionRule {
  readonly #node: string;
  readonly #nodes: () => NodesView;
  readonly #parts = new OwnParts();
  readonly #arrivals: ArrivalsTable;
  readonly #claimed = new WeakMap<object, EngineMemory>();
  readonly #serials = new WeakMap<object, number>();
  #requests = 0;
  #claims = 0;

  /**
   * @param nodes the nodes that may send to the engines.
   * @param risk accepted probability of an overrun by sends without a claim.
   */
  constructor(node: string, nodes: () => NodesView, risk = RISK) {
    super();
    this.#node = node;
    this.#nodes = nodes;
    this.#arrivals = new ArrivalsTable(risk);
  }

  override admits(
    room: EngineRoom,
    { key, tokens }: AdmissionRequest,
    competition: Competition,
    nowMs: number,
  ): boolean {
    const { memory } = room;
    const { others } = memory;
    const ageMs = memory.othersAgeMs(nowMs);
    const nodes = this.#nodes();
    const isAlone = nodes.registered.length <= 1;
    if (!isAlone && ageMs > CUT_AFTER_MS) {
      const own = this.#parts.ownTokens(
        room.id,
        usableTokens(room),
        this.#node,
        nodes.registered,
      );
      return memory.ownTokens + tokens <= own;
    }
    const usable = this.#parts
      .usableTokens(room.id, usableTokens(room), nodes);
    // An idle engine takes a request of any size, and refuses it if need be.
    const needed = Math.min(tokens, usable);
    const free = usable - memory.ownTokens - others.tokens;
    if (needed > free) return false;
    if (isAlone) return true;
    if (isClaimDue(memory, needed, free, ageMs, nowMs)) return true;
    if (needed > usable * LARGE_SHARE) return false;
    const places = placesBeside(room, usable, needed);
    const competing = competition.expectedSends(ageMs) / room.alternatives;
    const safeMean = this.#arrivals.safeMean(places);
    if (competing <= safeMean) return true;
    // As many nodes as are safe, and each but once until the others know.
    if (memory.hasSentWithin(VISIBLE_AFTER_MS, nowMs)) return false;
    return this.#draw(key, nowMs) < safeMean / competing;
  }

  override claim(
    { key, tokens }: AdmissionRequest,
    rooms: readonly EngineRoom[],
    nowMs: number,
  ): void {
    const held = this.#claimed.get(key);
    const claim = held?.claim(nowMs);
    if (held && claim) {
      if (nowMs - claim.placedAtMs < CLAIM_MOVE_MS) {
        return held.touchClaim(nowMs);
      }
      held.dropClaim();
    }
    // Where there is room for several, one of the next draws comes sooner.
    const isTight = rooms.every((room) =>
      tokens > usableTokens(room) * LARGE_SHARE ||
      placesBeside(room, usableTokens(room), tokens) < TIGHT_PLACES
    );
    if (!isTight) return;
    const best = this.#leastUsed(rooms, nowMs);
    if (!best) return;
    const { memory } = best;
    const { firstClaims } = memory.others;
    const lastTicket = firstClaims.at(-1)?.ticket ?? 0;
    const order = Math.floor(lastTicket / TICKET_RANDOM) + 1;
    const random = core.hash32(`${this.#node} ${best.id} ${++this.#claims}`);
    memory.placeClaim({
      tokens: Math.min(tokens, usableTokens(best)),
      ticket: order * TICKET_RANDOM + random,
      placedAtMs: nowMs,
    });
    this.#claimed.set(key, memory);
  }

  override release({ key }: AdmissionRequest): void {
    this.#claimed.get(key)?.dropClaim();
    this.#claimed.delete(key);
  }

  /** One of the least used engines without a claim, another for each node. */
  #leastUsed(
    rooms: readonly EngineRoom[],
    nowMs: number,
  ): EngineRoom | undefined {
    const left = rooms.filter(({ memory }) => !memory.claim(nowMs));
    const least = Math.min(...left.map(usedTokens));
    const [id] = core.rendezvous(
      this.#node,
      left.filter((room) => usedTokens(room) <= least + NEAR_TOKENS)
        .map((room) => room.id),
    );
    return left.find((room) => room.id === id);
  }

  /**
   * A number from 0 to 1 for a request, which changes once a send is known. It is
   * the same for all engines, among which the request would go to one.
   */
  #draw(key: object, nowMs: number): number {
    let serial = this.#serials.get(key);
    if (serial === undefined) this.#serials.set(key, serial = ++this.#requests);
    const turn = Math.floor(nowMs / VISIBLE_AFTER_MS);
    return core.hash32(`${this.#node} ${serial} ${turn}`) / 2 ** 32;
  }
}

function usableTokens({ capacityTokens }: EngineRoom): number {
  return capacityTokens * USED_SHARE;
}

/**
 * Requests that find room besides one, of the usual size or its own. Long prompts
 * wait for the same engines, so those that compete are long as well.
 */
function placesBeside(
  room: EngineRoom,
  usable: number,
  tokens: number,
): number {
  const { inFlight, tokens: othersTokens } = room.memory.others;
  const meanTokens = inFlight >= SAMPLES_MIN
    ? othersTokens / inFlight
    : REQUEST_TOKENS_DEFAULT;
  const sizeTokens = Math.max(meanTokens, tokens);
  return (usable - usedTokens(room) - tokens) / sizeTokens;
}

function usedTokens({ memory }: EngineRoom): number {
  const { tokens, claimedTokens } = memory.others;
  return memory.ownTokens + tokens + claimedTokens;
}

/**
 * Whether it is the turn of this node's claim: it was placed so long ago that all
 * claims and sends of nodes which didn't know of it are in the sums, and none of
 * them goes first.
 */
function isClaimDue(
  memory: EngineMemory,
  tokens: number,
  free: number,
  ageMs: number,
  nowMs: number,
): boolean {
  const claim = memory.claim(nowMs);
  if (claim === undefined || claim.tokens < tokens) return false;
  const delayMs = Math.max(VISIBLE_AFTER_MS, AGE_MAX_FACTOR * ageMs);
  if (nowMs - claim.placedAtMs < 2 * delayMs) return false;
  const { firstClaims } = memory.others;
  let before = 0;
  for (const other of firstClaims) {
    if (other.ticket >= claim.ticket) return before + tokens <= free;
    before += other.tokens;
  }
  // Not among the first, or nobody has heard of it yet.
  return firstClaims.length < CLAIMS_TOLD_MAX && before + tokens <= free;
}
