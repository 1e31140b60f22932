/** Which entry instances live, by heartbeat and by the instance list. */
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";

/** One entry instance as its own heartbeat describes it. */
export interface PeerMember {
  readonly instanceId: core.InstanceId;
  readonly incarnation: core.Incarnation;
  /** Origin for callers. */
  readonly callerAddress: string;
  /** Origin for peers. */
  readonly peerAddress: string;
  readonly failureDomain: string;
  /** Grows with every heartbeat of one incarnation. */
  readonly heartbeat: number;
  readonly leaving: boolean;
  /** Whether it has not read the list of upstreams yet. */
  readonly joining: boolean;
  /** Requests in progress. */
  readonly load: number;
}

/** A word that a member did not answer after its heartbeat had this value. */
export interface PeerSuspicion {
  readonly instanceId: core.InstanceId;
  readonly incarnation: core.Incarnation;
  readonly heartbeat: number;
}

interface KnownMember {
  member: PeerMember;
  /** Exchanges with it that failed in a row. */
  failures: number;
  /** When it came to be suspected, on our monotonic clock. */
  suspectedAtMs: number | undefined;
  /** Digests that are still to carry its news. */
  sendsLeft: number;
}

/** Exchanges in a row that must fail before a silent member is suspected. */
const FAILURES_UNTIL_SUSPECTED = 2;
/** News is sent so often, times the digits of the member count in base 2. */
const SENDS_PER_DOUBLING = 3;

/** How long members are remembered. */
export interface PeerDirectoryOptions {
  /** A suspected member is forgotten after this, unless it is listed. */
  readonly retentionMs: number;
}

/**
 * Known members. A member counts as live until an exchange with it fails, so
 * digests need not carry every heartbeat: they carry what changed. A suspected
 * member counts as live again as soon as a newer heartbeat of it arrives.
 */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;
  readonly #known = new Map<core.InstanceId, KnownMember>();
  readonly #gone = new Map<core.Incarnation, number>();
  #listed = new Map<core.InstanceId, store.ListedInstance>();
  #self: PeerMember;
  #lastPeerContactMs = -Infinity;
  #listRead = false;

  constructor(self: PeerMember, options: PeerDirectoryOptions) {
    this.#self = self;
    this.#options = options;
  }

  /** This instance as others see it. */
  get self(): PeerMember {
    return this.#self;
  }

  /** Monotonic time of the last word from any peer, in milliseconds. */
  get lastPeerContactAtMs(): number {
    return this.#lastPeerContactMs;
  }

  /** Whether any other instance is known or listed. */
  get hasPeers(): boolean {
    return this.#known.size > 0 || this.#listed.size > 0;
  }

  /** Tells where this instance listens. */
  setAddresses(
    addresses: { callerAddress: string; peerAddress: string },
  ): void {
    this.#self = { ...this.#self, ...addresses };
  }

  /** Advances this instance's heartbeat. */
  advanceHeartbeat(load: number): void {
    const { heartbeat } = this.#self;
    this.#self = { ...this.#self, heartbeat: heartbeat + 1, load };
  }

  /** Announces that this instance leaves. */
  markSelfLeaving(): void {
    this.#self = { ...this.#self, leaving: true };
    this.advanceHeartbeat(this.#self.load);
  }

  /** Notes a direct word from a peer. */
  recordContact(instanceId: core.InstanceId): void {
    this.#lastPeerContactMs = core.monotonicMs();
    const known = this.#known.get(instanceId);
    if (known) known.failures = 0;
  }

  /** Notes an exchange that failed; refused means that nothing listens. */
  recordFailedExchange(peerAddress: string, refused: boolean): void {
    for (const known of this.#known.values()) {
      if (known.member.peerAddress !== peerAddress) continue;
      known.failures++;
      if (refused || known.failures >= FAILURES_UNTIL_SUSPECTED) {
        this.#suspect(known);
      }
    }
  }

  /** Takes a member's description if it is news. */
  mergeMember(member: PeerMember): void {
    if (member.instanceId === this.#self.instanceId) return;
    if (this.#gone.has(member.incarnation)) return;
    const known = this.#known.get(member.instanceId);
    if (known === undefined) {
      this.#known.set(member.instanceId, {
        member,
        failures: 0,
        suspectedAtMs: undefined,
        sendsLeft: this.#spread(),
      });
      return;
    }
    if (!isNewer(member, known.member)) return;
    if (known.member.incarnation !== member.incarnation) {
      this.#gone.set(known.member.incarnation, core.monotonicMs());
    }
    const isNews = known.suspectedAtMs !== undefined ||
      known.member.incarnation !== member.incarnation ||
      known.member.leaving !== member.leaving ||
      known.member.joining !== member.joining;
    if (isNews) known.sendsLeft = this.#spread();
    known.suspectedAtMs = undefined;
    known.member = member;
  }

  /** Takes another member's suspicion, unless a newer heartbeat is known. */
  mergeSuspicion(suspicion: PeerSuspicion): void {
    const { instanceId, incarnation, heartbeat } = suspicion;
    const known = this.#known.get(instanceId);
    if (known?.member.incarnation !== incarnation) return;
    if (known.member.heartbeat <= heartbeat) this.#suspect(known);
  }

  /** Takes the platform's list of entry instances. */
  mergeList(instances: readonly store.ListedInstance[]): void {
    const others = instances.filter(({ kind, id }) =>
      kind === "entry" && id !== this.#self.instanceId
    );
    this.#listed = new Map(
      others.map((listed) => [core.brandId(listed.id), listed]),
    );
    this.#listRead = true;
    if (this.#self.joining) {
      this.#self = { ...this.#self, joining: false };
      this.advanceHeartbeat(this.#self.load);
    }
    this.#forgetSilent();
  }

  /** Members that are not suspected, this instance among them. */
  liveMembers(): PeerMember[] {
    const others = [...this.#known.values()]
      .filter(({ suspectedAtMs }) => suspectedAtMs === undefined)
      .map(({ member }) => member);
    return [this.#self, ...others];
  }

  /** Live members that serve; they share the work of control. */
  activeMembers(): PeerMember[] {
    return this.liveMembers().filter((member) =>
      !member.leaving && !member.joining &&
      !this.#isListedLeaving(member.instanceId)
    );
  }

  /** Whether a member is neither listed nor heard of any more. */
  isRemoved(instanceId: core.InstanceId): boolean {
    if (instanceId === this.#self.instanceId || !this.#listRead) return false;
    return !this.#listed.has(instanceId) && !this.#known.has(instanceId);
  }

  /** The newest known description of a member. */
  find(instanceId: core.InstanceId): PeerMember | undefined {
    return this.#known.get(instanceId)?.member;
  }

  /** Origins of every other instance, known or only listed. */
  peerAddresses(): string[] {
    const addresses = new Set<string>();
    for (const { member } of this.#known.values()) {
      addresses.add(member.peerAddress);
    }
    for (const { peerAddress } of this.#listed.values()) {
      if (peerAddress !== undefined) addresses.add(peerAddress);
    }
    addresses.delete(this.#self.peerAddress);
    return [...addresses];
  }

  /** Peers whose last exchange failed, to be tried again first. */
  failingAddresses(): string[] {
    return [...this.#known.values()]
      .filter(({ failures, suspectedAtMs }) =>
        failures > 0 && suspectedAtMs === undefined
      )
      .map(({ member }) => member.peerAddress);
  }

  /** What a digest should carry of other members, newest news first. */
  takeUpdates(
    countMax: number,
  ): { members: PeerMember[]; suspicions: PeerSuspicion[] } {
    const news = [...this.#known.values()]
      .filter(({ sendsLeft }) => sendsLeft > 0)
      .sort((a, b) => b.sendsLeft - a.sendsLeft)
      .slice(0, countMax);
    const members: PeerMember[] = [];
    const suspicions: PeerSuspicion[] = [];
    for (const known of news) {
      known.sendsLeft--;
      if (known.suspectedAtMs === undefined) members.push(known.member);
      else suspicions.push(toSuspicion(known.member));
    }
    return { members, suspicions };
  }

  #suspect(known: KnownMember): void {
    if (known.suspectedAtMs !== undefined) return;
    known.suspectedAtMs = core.monotonicMs();
    known.sendsLeft = this.#spread();
  }

  #spread(): number {
    return SENDS_PER_DOUBLING * Math.ceil(Math.log2(this.#known.size + 2));
  }

  #isListedLeaving(instanceId: core.InstanceId): boolean {
    return this.#listed.get(instanceId)?.state === "leaving";
  }

  #forgetSilent(): void {
    const limitMs = core.monotonicMs() - this.#options.retentionMs;
    for (const [id, { suspectedAtMs }] of this.#known) {
      if (suspectedAtMs === undefined || this.#listed.has(id)) continue;
      if (suspectedAtMs < limitMs) this.#known.delete(id);
    }
    for (const [incarnation, goneAtMs] of this.#gone) {
      if (goneAtMs < limitMs) this.#gone.delete(incarnation);
    }
  }
}

function toSuspicion(member: PeerMember): PeerSuspicion {
  const { instanceId, incarnation, heartbeat } = member;
  return { instanceId, incarnation, heartbeat };
}

function isNewer(member: PeerMember, known: PeerMember): boolean {
  if (member.incarnation !== known.incarnation) return true;
  return member.heartbeat > known.heartbeat;
}
