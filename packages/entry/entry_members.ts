/** The entry nodes: their rows in the store, and who was heard of when. */
import * as purify from "purify-ts";
import * as core from "../core/mod.ts";

/** Table in which entry nodes keep what they agree on. */
export const OWN_TABLE = "carawaywind";
/** Table of the right to send orders: no node follows its renewals. */
export const LEASE_TABLE = "carawaywind-orders";
export const MEMBER_PREFIX = "member/";

/** Time without news after which a member counts as dead. */
const ALIVE_FOR_MS = 1_500;
/** Time after its row was first seen in which a member may be silent. */
const NEW_FOR_MS = 2_500;

export const MemberRowCodec = purify.Codec.interface({
  callerAddress: purify.string,
  peerAddress: purify.string,
  failureDomain: purify.string,
  incarnation: purify.string,
  isLeaving: purify.boolean,
});

/** What a node tells of itself in the store. */
export type MemberRow = purify.GetType<typeof MemberRowCodec>;

interface Member {
  row: MemberRow;
  seenAtMs: number;
  heardAtMs: number;
  accepts: boolean;
}

/** Who the entry nodes are, and which of them live. */
export class Members {
  readonly #self: core.InstanceId;
  readonly #members = new Map<core.InstanceId, Member>();

  constructor(self: core.InstanceId) {
    this.#self = self;
  }

  /** Takes a member's row. */
  set(node: core.InstanceId, row: MemberRow): void {
    const known = this.#members.get(node);
    const nowMs = core.monotonicMs();
    if (known && known.row.incarnation === row.incarnation) {
      known.row = row;
      return;
    }
    const heardAtMs = -Infinity;
    this.#members.set(node, {
      row,
      seenAtMs: nowMs,
      heardAtMs,
      accepts: !row.isLeaving,
    });
  }

  /** Removes a member whose row is gone. */
  remove(node: core.InstanceId): void {
    this.#members.delete(node);
  }

  /** Notes that a member was heard of. */
  heard(node: core.InstanceId, ageMs: number, accepts: boolean): void {
    const member = this.#members.get(node);
    if (!member) return;
    const heardAtMs = core.monotonicMs() - ageMs;
    if (heardAtMs < member.heardAtMs) return;
    member.heardAtMs = heardAtMs;
    member.accepts = accepts;
  }

  row(node: core.InstanceId): MemberRow | undefined {
    return this.#members.get(node)?.row;
  }

  /** Whether a member was heard of lately, or is so new that it may be. */
  isAlive(node: core.InstanceId): boolean {
    if (node === this.#self) return true;
    const member = this.#members.get(node);
    if (!member) return false;
    const nowMs = core.monotonicMs();
    return nowMs - member.heardAtMs < ALIVE_FOR_MS ||
      nowMs - member.seenAtMs < NEW_FOR_MS;
  }

  /** Live members, this node included, in the order of their names. */
  alive(): core.InstanceId[] {
    const others = [...this.#members.keys()].filter((node) =>
      node !== this.#self && this.isAlive(node)
    );
    return [...others, this.#self].sort();
  }

  /** Rows of members that are not known to have left. */
  count(): number {
    let count = this.#members.has(this.#self) ? 0 : 1;
    for (const { row } of this.#members.values()) if (!row.isLeaving) count++;
    return count;
  }

  /** Addresses that callers may be sent to, this node's left out. */
  callerAddresses(): string[] {
    const addresses: string[] = [];
    for (const [node, { row, accepts }] of this.#members) {
      if (node === this.#self || row.isLeaving || !accepts) continue;
      if (this.isAlive(node)) addresses.push(row.callerAddress);
    }
    return addresses;
  }
}
