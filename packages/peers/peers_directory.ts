/** Which entry instances live, by heartbeat and by the instance list. */
import * as core from "../core/mod.ts";
import type * as platform from "../platform/mod.ts";

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
  /** Requests in progress. */
  readonly load: number;
}

interface KnownMember {
  member: PeerMember;
  /** When the heartbeat last grew, on our own monotonic clock. */
  advancedAtMs: number;
}

/** How long without a heartbeat until a member counts as gone. */
export interface PeerDirectoryOptions {
  readonly suspectAfterMs: number;
  /** A silent member is forgotten after this, unless it is listed. */
  readonly forgetAfterMs: number;
}

/** Known members; the newest heartbeat of each wins. */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;
  readonly #known = new Map<core.InstanceId, KnownMember>();
  readonly #gone = new Map<core.Incarnation, number>();
  #listed = new Map<core.InstanceId, platform.ListedInstance>();
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
  get lastPeerContactMs(): number {
    return this.#lastPeerContactMs;
  }

  /** Whether any other instance is known or listed. */
  get hasOthers(): boolean {
    return this.#known.size > 0 || this.#listed.size > 0;
  }

  /** Tells where this instance listens. */
  bind(addresses: { callerAddress: string; peerAddress: string }): void {
    this.#self = { ...this.#self, ...addresses };
  }

  /** Advances this instance's heartbeat. */
  beat(load: number): void {
    const { heartbeat } = this.#self;
    this.#self = { ...this.#self, heartbeat: heartbeat + 1, load };
  }

  /** Announces that this instance leaves. */
  leave(): void {
    this.#self = { ...this.#self, leaving: true };
    this.beat(this.#self.load);
  }

  /** Notes a direct word from a peer. */
  noteContact(): void {
    this.#lastPeerContactMs = core.monotonicMs();
  }

  /** Takes a member's heartbeat if it is news. */
  merge(member: PeerMember): void {
    if (member.instanceId === this.#self.instanceId) return;
    if (this.#gone.has(member.incarnation)) return;
    const known = this.#known.get(member.instanceId);
    if (known && !isNewer(member, known.member)) return;
    if (known && known.member.incarnation !== member.incarnation) {
      this.#gone.set(known.member.incarnation, core.monotonicMs());
    }
    const advancedAtMs = core.monotonicMs();
    this.#known.set(member.instanceId, { member, advancedAtMs });
  }

  /** Takes the platform's list of entry instances. */
  mergeList(instances: readonly platform.ListedInstance[]): void {
    const others = instances.filter(({ kind, id }) =>
      kind === "entry" && id !== this.#self.instanceId
    );
    this.#listed = new Map(
      others.map((listed) => [core.brandId(listed.id), listed]),
    );
    this.#listRead = true;
    this.#forgetSilent();
  }

  /** Members whose heartbeats arrive, this instance among them. */
  live(): PeerMember[] {
    const limitMs = core.monotonicMs() - this.#options.suspectAfterMs;
    const others = [...this.#known.values()]
      .filter(({ advancedAtMs }) => advancedAtMs >= limitMs)
      .map(({ member }) => member);
    return [this.#self, ...others];
  }

  /** Live members that do not leave; they share the work of control. */
  active(): PeerMember[] {
    return this.live().filter((member) =>
      !member.leaving && !this.#isListedLeaving(member.instanceId)
    );
  }

  /** Whether a member is neither listed nor heard of any more. */
  isGone(instanceId: core.InstanceId): boolean {
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

  /** The members whose heartbeats advanced last, newest first. */
  newest(countMax: number, exceptPeerAddress: string): PeerMember[] {
    return [...this.#known.values()]
      .filter(({ member }) => member.peerAddress !== exceptPeerAddress)
      .sort((a, b) => b.advancedAtMs - a.advancedAtMs)
      .slice(0, countMax)
      .map(({ member }) => member);
  }

  #isListedLeaving(instanceId: core.InstanceId): boolean {
    return this.#listed.get(instanceId)?.state === "leaving";
  }

  #forgetSilent(): void {
    const limitMs = core.monotonicMs() - this.#options.forgetAfterMs;
    for (const [id, { advancedAtMs }] of this.#known) {
      if (advancedAtMs < limitMs && !this.#listed.has(id)) {
        this.#known.delete(id);
      }
    }
    for (const [incarnation, goneAtMs] of this.#gone) {
      if (goneAtMs < limitMs) this.#gone.delete(incarnation);
    }
  }
}

function isNewer(member: PeerMember, known: PeerMember): boolean {
  if (member.incarnation !== known.incarnation) return true;
  return member.heartbeat > known.heartbeat;
}
