/** Tracks the entry instances by their heartbeats and the instance list. */
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";

/** State of an entry instance, as published with its heartbeat. */
export interface PeerMember {
  readonly instanceId: core.InstanceId;
  readonly incarnation: core.Incarnation;
  /** Origin at which callers connect. */
  readonly callerAddress: string;
  /** Origin at which peers connect. */
  readonly peerAddress: string;
  readonly failureDomain: string;
  /** Number of the heartbeat; increases within one incarnation. */
  readonly heartbeat: number;
  readonly leaving: boolean;
  /** Whether it has not read the instance list yet. */
  readonly joining: boolean;
  /** Number of requests in progress. */
  readonly load: number;
}

/**
 * Report that a member did not answer after the heartbeat named here. Within
 * that incarnation, only a newer heartbeat refutes it.
 */
export interface PeerSuspicion {
  readonly instanceId: core.InstanceId;
  readonly incarnation: core.Incarnation;
  readonly heartbeat: number;
}

interface TrackedMember {
  member: PeerMember;
  /** Number of consecutive failed exchanges with it. */
  failures: number;
  /** Monotonic time since which it is suspected, in milliseconds. */
  suspectedAtMs: number | undefined;
  /** Number of further digests that will contain it. */
  remainingSends: number;
}

/** Consecutive failed exchanges after which a member is suspected. */
const SUSPICION_FAILURE_THRESHOLD = 2;
/** Digests that contain an update, per doubling of the member count. */
const SENDS_PER_DOUBLING = 3;

/** Options of the directory. */
export interface PeerDirectoryOptions {
  /**
   * Time after which a suspected member is removed unless it is listed, and
   * after which a replaced incarnation is forgotten.
   */
  readonly retentionMs: number;
}

/**
 * Directory of the known members. A member counts as live until it is
 * suspected after failed exchanges, so digests need not contain every
 * heartbeat, only members that changed. A suspected member counts as live again
 * when a newer heartbeat arrives.
 */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;
  readonly #tracked = new Map<core.InstanceId, TrackedMember>();
  /** Replaced incarnations, with the monotonic time of the replacement. */
  readonly #replaced = new Map<core.Incarnation, number>();
  #listed = new Map<core.InstanceId, store.ListedInstance>();
  #self: PeerMember;
  #lastPeerContactAtMs = -Infinity;
  #hasList = false;

  constructor(self: PeerMember, options: PeerDirectoryOptions) {
    this.#self = self;
    this.#options = options;
  }

  /** State of this instance, as published to its peers. */
  get self(): PeerMember {
    return this.#self;
  }

  /** Monotonic time of the last digest from any peer, in milliseconds. */
  get lastPeerContactAtMs(): number {
    return this.#lastPeerContactAtMs;
  }

  /** Whether any other instance is known or listed. */
  get hasPeers(): boolean {
    return this.#tracked.size > 0 || this.#listed.size > 0;
  }

  /** Sets the addresses at which this instance listens. */
  setAddresses(
    addresses: { callerAddress: string; peerAddress: string },
  ): void {
    this.#self = { ...this.#self, ...addresses };
  }

  /** Advances this instance's heartbeat and updates its load. */
  advanceHeartbeat(load: number): void {
    const { heartbeat } = this.#self;
    this.#self = { ...this.#self, heartbeat: heartbeat + 1, load };
  }

  /** Marks this instance as leaving, with a new heartbeat. */
  markSelfLeaving(): void {
    this.#self = { ...this.#self, leaving: true };
    this.advanceHeartbeat(this.#self.load);
  }

  /** Records that a peer was in direct contact. */
  recordContact(instanceId: core.InstanceId): void {
    this.#lastPeerContactAtMs = core.monotonicMs();
    const tracked = this.#tracked.get(instanceId);
    if (tracked) tracked.failures = 0;
  }

  /**
   * Records a failed exchange. The peer is suspected after the threshold of
   * consecutive failures, or at once if it refused the connection: then no
   * process listens at the address.
   */
  recordFailedExchange(peerAddress: string, isRefused: boolean): void {
    for (const tracked of this.#tracked.values()) {
      if (tracked.member.peerAddress !== peerAddress) continue;
      tracked.failures++;
      if (isRefused || tracked.failures >= SUSPICION_FAILURE_THRESHOLD) {
        this.#suspect(tracked);
      }
    }
  }

  /**
   * Merges a member's state if it is newer than the known one. State of a
   * replaced incarnation is ignored.
   */
  mergeMember(member: PeerMember): void {
    if (member.instanceId === this.#self.instanceId) return;
    if (this.#replaced.has(member.incarnation)) return;
    const tracked = this.#tracked.get(member.instanceId);
    if (tracked === undefined) {
      this.#tracked.set(member.instanceId, {
        member,
        failures: 0,
        suspectedAtMs: undefined,
        remainingSends: this.#updateSendCount(),
      });
      return;
    }
    if (!isNewer(member, tracked.member)) return;
    if (tracked.member.incarnation !== member.incarnation) {
      this.#replaced.set(
        tracked.member.incarnation,
        core.monotonicMs(),
      );
    }
    const hasStateChanged = tracked.suspectedAtMs !== undefined ||
      tracked.member.incarnation !== member.incarnation ||
      tracked.member.leaving !== member.leaving ||
      tracked.member.joining !== member.joining;
    if (hasStateChanged) tracked.remainingSends = this.#updateSendCount();
    tracked.suspectedAtMs = undefined;
    tracked.member = member;
  }

  /** Merges a peer's suspicion unless a newer heartbeat is known. */
  mergeSuspicion(suspicion: PeerSuspicion): void {
    const { instanceId, incarnation, heartbeat } = suspicion;
    const tracked = this.#tracked.get(instanceId);
    if (tracked?.member.incarnation !== incarnation) return;
    if (tracked.member.heartbeat <= heartbeat) this.#suspect(tracked);
  }

  /** Applies the platform's instance list and removes expired members. */
  mergeList(instances: readonly store.ListedInstance[]): void {
    const others = instances.filter(({ kind, id }) =>
      kind === "entry" && id !== this.#self.instanceId
    );
    this.#listed = new Map(
      others.map((listed) => [core.brandId(listed.id), listed]),
    );
    this.#hasList = true;
    if (this.#self.joining) {
      this.#self = { ...this.#self, joining: false };
      this.advanceHeartbeat(this.#self.load);
    }
    this.#removeExpired();
  }

  /** Returns this instance and all members that are not suspected. */
  liveMembers(): PeerMember[] {
    const others = [...this.#tracked.values()]
      .filter(({ suspectedAtMs }) => suspectedAtMs === undefined)
      .map(({ member }) => member);
    return [this.#self, ...others];
  }

  /**
   * Returns the live members that are neither joining nor leaving. They share
   * the control work, such as watching engines.
   */
  activeMembers(): PeerMember[] {
    return this.liveMembers().filter((member) =>
      !member.leaving && !member.joining &&
      !this.#isListedLeaving(member.instanceId)
    );
  }

  /**
   * Whether a member is neither listed nor known; never before the first list
   * was read.
   */
  isRemoved(instanceId: core.InstanceId): boolean {
    if (instanceId === this.#self.instanceId || !this.#hasList) return false;
    return !this.#listed.has(instanceId) && !this.#tracked.has(instanceId);
  }

  /** Returns the newest known state of a member. */
  find(instanceId: core.InstanceId): PeerMember | undefined {
    return this.#tracked.get(instanceId)?.member;
  }

  /** Returns the peer origins of all other instances, known or listed. */
  peerAddresses(): string[] {
    const addresses = new Set<string>();
    for (const { member } of this.#tracked.values()) {
      addresses.add(member.peerAddress);
    }
    for (const { peerAddress } of this.#listed.values()) {
      if (peerAddress !== undefined) addresses.add(peerAddress);
    }
    addresses.delete(this.#self.peerAddress);
    return [...addresses];
  }

  /**
   * Returns the peers whose last exchange failed but that are not suspected
   * yet; they are to be contacted first.
   */
  failingAddresses(): string[] {
    return [...this.#tracked.values()]
      .filter(({ failures, suspectedAtMs }) =>
        failures > 0 && suspectedAtMs === undefined
      )
      .map(({ member }) => member.peerAddress);
  }

  /**
   * Takes the updates on other members for the next digest, those that were
   * sent least often first. Each is sent a bounded number of times.
   *
   * @param countMax maximum of members and suspicions together.
   */
  takeUpdates(
    countMax: number,
  ): { members: PeerMember[]; suspicions: PeerSuspicion[] } {
    const updates = [...this.#tracked.values()]
      .filter(({ remainingSends }) => remainingSends > 0)
      .sort((a, b) => b.remainingSends - a.remainingSends)
      .slice(0, countMax);
    const members: PeerMember[] = [];
    const suspicions: PeerSuspicion[] = [];
    for (const tracked of updates) {
      tracked.remainingSends--;
      if (tracked.suspectedAtMs === undefined) members.push(tracked.member);
      else suspicions.push(toSuspicion(tracked.member));
    }
    return { members, suspicions };
  }

  #suspect(tracked: TrackedMember): void {
    if (tracked.suspectedAtMs !== undefined) return;
    tracked.suspectedAtMs = core.monotonicMs();
    tracked.remainingSends = this.#updateSendCount();
  }

  #updateSendCount(): number {
    return SENDS_PER_DOUBLING * Math.ceil(Math.log2(this.#tracked.size + 2));
  }

  #isListedLeaving(instanceId: core.InstanceId): boolean {
    return this.#listed.get(instanceId)?.state === "leaving";
  }

  #removeExpired(): void {
    const cutoffMs = core.monotonicMs() - this.#options.retentionMs;
    for (const [id, { suspectedAtMs }] of this.#tracked) {
      if (suspectedAtMs === undefined || this.#listed.has(id)) continue;
      if (suspectedAtMs < cutoffMs) this.#tracked.delete(id);
    }
    for (const [incarnation, replacedAtMs] of this.#replaced) {
      if (replacedAtMs < cutoffMs) this.#replaced.delete(incarnation);
    }
  }
}

function toSuspicion(member: PeerMember): PeerSuspicion {
  const { instanceId, incarnation, heartbeat } = member;
  return { instanceId, incarnation, heartbeat };
}

function isNewer(member: PeerMember, current: PeerMember): boolean {
  if (member.incarnation !== current.incarnation) return true;
  return member.heartbeat > current.heartbeat;
}
