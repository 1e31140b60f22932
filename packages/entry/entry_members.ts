/** Membership: rows of the entry nodes in the store, and their liveness. */
import * as purify from "purify-ts";
import { isDeepStrictEqual } from "node:util";
import * as core from "../core/mod.ts";
import {
  type MachineRow,
  MachineRowCodec,
} from "./capacity/entry_machine_row.ts";

/** Table in which the entry nodes register. */
export const NODE_TABLE = "carawaywind";
/**
 * Table of the order lease. It is separate, so that no node has to follow the
 * lease's frequent renewals.
 */
export const LEASE_TABLE = "carawaywind-orders";
export const MEMBER_PREFIX = "member/";

/** A member without contact for this long counts as dead. */
export const MEMBER_TIMEOUT_MS = 1_500;
/** Contacts older than this are not passed on to other nodes. */
const CONTACT_AGE_MAX_MS = 3_000;
/** An overloaded member keeps some weight, whatever it says, in percent. */
const WEIGHT_REDUCTION_MAX = 99;
/** A member counts as alive for this long after its row was first seen. */
const NEW_MEMBER_GRACE_MS = 2_500;

export const MemberRowCodec = purify.Codec.interface({
  callerAddress: purify.string,
  peerAddress: purify.string,
  failureDomain: purify.string,
  incarnation: purify.string,
  isLeaving: purify.boolean,
  machine: MachineRowCodec,
});

/** The row by which a node registers itself in the store. */
export type MemberRow =
  & Omit<purify.GetType<typeof MemberRowCodec>, "machine">
  & { readonly machine?: MachineRow };

/** Last contact of a member with any node. */
export interface MemberContact {
  readonly node: core.InstanceId;
  readonly ageMs: number;
  readonly accepts: boolean;
  /** Percent by which its weight for callers is reduced. */
  readonly weightReduction: number;
}

interface Member {
  row: MemberRow;
  rowSeenAtMs: number;
  lastContactAtMs: number;
  acceptsRequests: boolean;
  weightReduction: number;
}

/** The registered entry nodes, and which of them are alive. */
export class Members {
  readonly #self: core.InstanceId;
  readonly #members = new Map<core.InstanceId, Member>();
  /** Incarnations that a later one has replaced; an older row may return. */
  readonly #replacedIncarnations = new Set<string>();
  #rowsVersion = 0;

  constructor(self: core.InstanceId) {
    this.#self = self;
  }

  /** Grows with each change of a row. */
  get rowsVersion(): number {
    return this.#rowsVersion;
  }

  /** Adds or updates a member; a new incarnation resets its liveness. */
  setRow(node: core.InstanceId, row: MemberRow): void {
    const existing = this.#members.get(node);
    const nowMs = core.monotonicMs();
    if (existing && existing.row.incarnation === row.incarnation) {
      if (!isDeepStrictEqual(existing.row, row)) this.#rowsVersion++;
      existing.row = row;
      return;
    }
    if (this.#replacedIncarnations.has(row.incarnation)) return;
    this.#rowsVersion++;
    if (existing) this.#replacedIncarnations.add(existing.row.incarnation);
    const lastContactAtMs = -Infinity;
    this.#members.set(node, {
      row,
      rowSeenAtMs: nowMs,
      lastContactAtMs,
      acceptsRequests: !row.isLeaving,
      weightReduction: 0,
    });
  }

  /** Removes a member whose row was deleted. */
  remove(node: core.InstanceId): void {
    if (this.#members.delete(node)) this.#rowsVersion++;
  }

  /**
   * Records that a member was in contact with this node or the hub.
   *
   * @param ageMs time since the contact; older reports than the last are
   * ignored.
   * @param accepts whether the member accepts callers.
   * @param weightReduction percent by which it reduces its weight; unchanged if
   * absent.
   */
  recordContact(
    node: core.InstanceId,
    ageMs: number,
    accepts: boolean,
    weightReduction?: number,
  ): void {
    const member = this.#members.get(node);
    if (!member) return;
    const contactAtMs = core.monotonicMs() - ageMs;
    if (contactAtMs < member.lastContactAtMs) return;
    member.lastContactAtMs = contactAtMs;
    member.acceptsRequests = accepts;
    if (weightReduction === undefined) return;
    member.weightReduction = Math.min(WEIGHT_REDUCTION_MAX, weightReduction);
  }

  /** Percent by which a member reduces its weight for callers. */
  weightReduction(node: core.InstanceId): number {
    return this.#members.get(node)?.weightReduction ?? 0;
  }

  /** Whether a member accepts callers, as far as this node knows. */
  accepts(node: core.InstanceId): boolean {
    return this.#members.get(node)?.acceptsRequests ?? false;
  }

  row(node: core.InstanceId): MemberRow | undefined {
    return this.#members.get(node)?.row;
  }

  /** Returns the recent contacts of the other members. */
  contacts(nowMs: number): MemberContact[] {
    const contacts: MemberContact[] = [];
    for (const [node, member] of this.#members) {
      const { lastContactAtMs, acceptsRequests, weightReduction } = member;
      const ageMs = Math.max(0, Math.round(nowMs - lastContactAtMs));
      if (node === this.#self || ageMs > CONTACT_AGE_MAX_MS) continue;
      const accepts = acceptsRequests;
      contacts.push({ node, ageMs, accepts, weightReduction });
    }
    return contacts;
  }

  /** Whether a member had contact recently, or is too new to have had any. */
  isAlive(node: core.InstanceId): boolean {
    if (node === this.#self) return true;
    const member = this.#members.get(node);
    if (!member) return false;
    const nowMs = core.monotonicMs();
    return nowMs - member.lastContactAtMs < MEMBER_TIMEOUT_MS ||
      nowMs - member.rowSeenAtMs < NEW_MEMBER_GRACE_MS;
  }

  /** Whether a member was in contact since then. */
  wasInContact(node: core.InstanceId, sinceMs: number): boolean {
    return (this.#members.get(node)?.lastContactAtMs ?? -Infinity) >= sinceMs;
  }

  /** Returns the live members, this node included, sorted by name. */
  alive(): core.InstanceId[] {
    const others = [...this.#members.keys()].filter((node) =>
      node !== this.#self && this.isAlive(node)
    );
    return [...others, this.#self].sort();
  }

  /** Returns the members that are not leaving, alive or not, sorted by name. */
  registered(): core.InstanceId[] {
    const nodes: core.InstanceId[] = [];
    for (const [node, { row }] of this.#members) {
      if (!row.isLeaving) nodes.push(node);
    }
    return nodes.sort();
  }

  /** Returns the number of members in contact since then, and this node. */
  countInContact(sinceMs: number): number {
    let count = 1;
    for (const [node, { lastContactAtMs }] of this.#members) {
      if (node !== this.#self && lastContactAtMs >= sinceMs) count++;
    }
    return count;
  }

  /** Returns the number of members that are not leaving, this node included. */
  count(): number {
    let count = this.#members.has(this.#self) ? 0 : 1;
    for (const { row } of this.#members.values()) if (!row.isLeaving) count++;
    return count;
  }

  /** Returns the caller addresses of the other live members that accept. */
  callerAddresses(): string[] {
    return [...this.accepting().values()];
  }

  /** As `callerAddresses`, by node. */
  accepting(): Map<core.InstanceId, string> {
    const addresses = new Map<core.InstanceId, string>();
    for (const [node, { row, acceptsRequests }] of this.#members) {
      if (node === this.#self || row.isLeaving || !acceptsRequests) continue;
      if (this.isAlive(node)) addresses.set(node, row.callerAddress);
    }
    return addresses;
  }
}
