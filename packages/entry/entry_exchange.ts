/**
 * Exchange of load, demand and engine states between nodes: what a node has
 * received from its children and its parent, and what it answers.
 */
import { create } from "@bufbuild/protobuf";
import * as core from "../core/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import type * as orders from "../orders/mod.ts";
import * as peers from "../peers/mod.ts";
import {
  addUses,
  applyPeerLoad,
  makeDigest,
  sumDemand,
  sumQueues,
  sumUses,
  type UsesById,
  usesWithout,
} from "./entry_digest.ts";
import {
  ageEngineStates,
  type EngineOrderState,
  tagEngineStates,
  type TaggedEngineStates,
} from "./entry_engine_states.ts";
import { ExchangePace } from "./entry_exchange_pace.ts";
import { applyLeavingNews, leavingNews } from "./entry_leaving.ts";
import { applyRateNews, rateNews } from "./entry_permits.ts";
import { OriginExchange } from "./entry_origins.ts";
import { childStates, memberStates } from "./entry_member_states.ts";
import type { EntryState } from "./entry_state.ts";
import { QuarantineExchange } from "./entry_quarantine.ts";
import type { TableNewsExchange } from "./entry_table_news.ts";
import { fleetAgeMs, groupAge } from "./memory/entry_memory_sums.ts";

/** A digest older than this is dropped. */
const DIGEST_TTL_MS = 1_000;
/** A node without a digest for this long has switched to another parent. */
const FOLLOWER_TIMEOUT_MS = 800;
/** Time for which sums and engine states are used again for other children. */
const SUMS_TTL_MS = 15;
/** Interval at which a child is sent all members. */
const MEMBERS_INTERVAL_MS = 300;
/**
 * Levels of the tree below the root. A node at a deeper one has no path to a
 * root, since nodes that disagree on it form a ring.
 */
const LEVELS_MAX = 2;
/** After this, the parent's load and engine states are no longer passed on. */
const PARENT_VIEW_TTL_MS = 1_500;

interface Child {
  digest: peers.NodeDigest;
  receivedAtMs: number;
  membersSentAtMs: number;
}

/** Load over several digests, with the digests that it contains, by node. */
interface LoadSums {
  readonly uses: UsesById;
  readonly digests: ReadonlyMap<string, peers.NodeDigest>;
  readonly queues: peers.FleetView["queues"];
  /** Mean age of the load. */
  readonly ageMs: number;
  readonly atMs: number;
}

/** What the hub needs of the node's other parts. */
export interface ExchangeHubSources {
  /** The state of the engines if this node is the lease holder. */
  readonly engineStates: () => readonly EngineOrderState[] | undefined;
  readonly lastRenewal: () => orders.LeaseRenewal | undefined;
  /** Called when a digest reports queued requests. */
  readonly onQueued: () => void;
}

/**
 * Sums the digests of this node and its children, and answers each child with
 * the load of all others.
 */
export class ExchangeHub {
  readonly #state: EntryState;
  readonly #news: TableNewsExchange;
  readonly #quarantine: QuarantineExchange;
  readonly #origins: OriginExchange;
  readonly #pace = new ExchangePace();
  readonly #children = new Map<string, Child>();
  #sources: ExchangeHubSources = {
    engineStates: () => undefined,
    lastRenewal: () => undefined,
    onQueued: () => {},
  };
  #sums: LoadSums | undefined;
  #ownEngineStates: TaggedEngineStates | undefined;
  /** When their tag was last compared with the engines' states. */
  #taggedAtMs = -Infinity;
  #parentEngineStates: TaggedEngineStates | undefined;
  #parentUses: readonly peers.EngineUse[] = [];
  #parentUsesAgeMs = 0;
  #parentQueues: peers.FleetView["queues"] | undefined;
  #parentViewAtMs = -Infinity;
  #level = 0;
  #isRoot = false;

  constructor(state: EntryState, news: TableNewsExchange) {
    this.#state = state;
    this.#news = news;
    this.#quarantine = new QuarantineExchange(state.quarantine);
    this.#origins = new OriginExchange(state);
  }

  /** Whether this node has no parent, as far as it knows the members. */
  get isRoot(): boolean {
    return this.#isRoot;
  }

  connect(sources: ExchangeHubSources): void {
    this.#sources = sources;
  }

  /** Stores a child's digest and returns the view of the rest of the fleet. */
  exchange(digest: peers.NodeDigest): peers.FleetView {
    const nowMs = core.monotonicMs();
    const node = core.brandId<core.InstanceId>(digest.node);
    const known = this.#children.get(digest.node);
    const membersSentAtMs = known?.membersSentAtMs ?? -Infinity;
    const isMembersDue = nowMs - membersSentAtMs >= MEMBERS_INTERVAL_MS;
    this.#children.set(digest.node, {
      digest,
      receivedAtMs: nowMs,
      membersSentAtMs: isMembersDue ? nowMs : membersSentAtMs,
    });
    const { members } = this.#state;
    members.recordContact(node, 0, digest.accepts, digest.weightReduction);
    for (const child of digest.children) {
      members.recordContact(
        core.brandId<core.InstanceId>(child.node),
        child.ageMs,
        child.accepts,
        child.weightReduction,
      );
    }
    this.#news.apply(node, digest.tables, nowMs);
    this.#quarantine.apply(digest.quarantine, nowMs);
    applyLeavingNews(this.#state.upstreams, digest.leaving, nowMs);
    applyRateNews(this.#state, digest.rateLimits, nowMs);
    if (digest.demand.some(({ waiting }) => waiting > 0)) {
      this.#sources.onQueued();
    }
    const lease = this.#sources.lastRenewal();
    const engineStates = this.engineStates(nowMs);
    const hasTag = engineStates?.tag === digest.enginesTag;
    return create(peers.FleetViewSchema, {
      hasOrders: engineStates !== undefined,
      leaseHolder: lease?.holder ?? "",
      leaseGeneration: lease?.generation ?? 0,
      leaseVersion: lease?.version ?? 0,
      leaseAgeMs: core.toUint32(lease?.ageMs ?? 0),
      members: isMembersDue ? memberStates(this.#state, nowMs) : [],
      uses: this.#usesOfOthers(digest.node, nowMs),
      usesAgeMs: core.toUint32(this.#currentSums(nowMs).ageMs),
      enginesTag: engineStates?.tag ?? "",
      engines: engineStates && !hasTag
        ? ageEngineStates(engineStates, nowMs)
        : [],
      tables: this.#news.forChild(digest.tables, nowMs),
      ...this.#quarantine.forChild(digest.quarantineTag, nowMs),
      level: this.#level,
      queues: this.#currentSums(nowMs).queues,
      origins: this.#origins.exchange(digest, nowMs),
      incarnation: this.#state.incarnation,
      leaving: leavingNews(this.#state.upstreams, nowMs),
      rateLimits: rateNews(this.#state, nowMs),
      ...this.#state.quotas.answer(digest),
      minIntervalMs: this.#pace.minIntervalMs(nowMs),
    });
  }

  /** Returns what another node's copy of a table lacks. */
  readTable(request: peers.ReadTableRequest): peers.ReadTableReply {
    return this.#news.readTable(request, core.monotonicMs());
  }

  /** Returns the digest for the parent: of this node and of its children. */
  digestForParent(parent: string, nowMs: number): peers.NodeDigest {
    const digests = this.#ownDigests(nowMs);
    const own = digests[0]!;
    const isSum = digests.length > 1;
    return create(peers.NodeDigestSchema, {
      ...own,
      ...(isSum
        ? {
          uses: [...sumUses(digests).values()],
          demand: sumDemand(digests),
          usesAgeMs: core.toUint32(
            groupAge(this.#freshChildren(nowMs), nowMs).ageMs,
          ),
        }
        : {}),
      isSum,
      children: childStates(this.#freshChildren(nowMs), nowMs),
      enginesTag: this.#parentEngineStates?.tag ?? "",
      tables: this.#news.forParent(parent, nowMs),
      ...this.#quarantine.forParent(parent, nowMs),
      ...this.#origins.forParent(parent, nowMs),
      leaving: leavingNews(this.#state.upstreams, nowMs),
      rateLimits: rateNews(this.#state, nowMs),
    });
  }

  /**
   * Stores the parent's view, for this node's children. Returns the lease
   * holder's engine states, if the parent has them.
   *
   * @param askedAtMs when this node asked for the view.
   */
  applyParentView(
    parent: core.InstanceId,
    view: peers.FleetView,
    nowMs: number,
    askedAtMs = nowMs,
  ): TaggedEngineStates | undefined {
    this.#level = Math.min(view.level, LEVELS_MAX) + 1;
    const hasRoot = this.#level <= LEVELS_MAX;
    this.#parentUses = hasRoot ? view.uses : [];
    this.#parentUsesAgeMs = view.usesAgeMs;
    this.#parentQueues = hasRoot ? view.queues : undefined;
    this.#parentViewAtMs = nowMs;
    this.#news.applyFromParent(parent, view.tables, nowMs, askedAtMs);
    this.#quarantine.applyFromParent(view, nowMs);
    this.#origins.applyFromParent(view, nowMs);
    applyLeavingNews(this.#state.upstreams, view.leaving, nowMs);
    applyRateNews(this.#state, view.rateLimits, nowMs);
    this.#isRoot = false;
    if (!view.hasOrders) {
      this.#parentEngineStates = undefined;
      return undefined;
    }
    if (this.#parentEngineStates?.tag !== view.enginesTag) {
      this.#parentEngineStates = {
        tag: view.enginesTag,
        engines: view.engines,
        atMs: nowMs,
      };
    }
    return this.#parentEngineStates;
  }

  /**
   * Applies what a node that is neither parent nor child knows of the store's
   * tables, of leaving upstreams and of rate limits.
   */
  applyStrangerView(
    node: core.InstanceId,
    view: peers.FleetView,
    nowMs: number,
    askedAtMs = nowMs,
  ): void {
    this.#news.apply(node, view.tables, nowMs, askedAtMs);
    applyLeavingNews(this.#state.upstreams, view.leaving, nowMs);
    applyRateNews(this.#state, view.rateLimits, nowMs);
  }

  /** Returns the members that neither exchange with this node nor leave. */
  strangers(nowMs: number): core.InstanceId[] {
    const known = new Set<string>([this.#state.settings.nodeName]);
    for (const { digest } of this.#freshChildren(nowMs)) {
      known.add(digest.node);
      for (const { node } of digest.children) known.add(node);
    }
    return this.#state.members.registered().filter((node) => !known.has(node));
  }

  /** The engine states to pass on: own ones if this node holds the lease. */
  engineStates(nowMs: number): TaggedEngineStates | undefined {
    const own = this.#sources.engineStates();
    if (own) {
      const cached = this.#ownEngineStates;
      if (cached && nowMs - this.#taggedAtMs < SUMS_TTL_MS) return cached;
      this.#taggedAtMs = nowMs;
      this.#ownEngineStates = tagEngineStates(
        this.#state.incarnation,
        own,
        nowMs,
        cached,
      );
      return this.#ownEngineStates;
    }
    const isFresh = nowMs - this.#parentViewAtMs < PARENT_VIEW_TTL_MS;
    return isFresh ? this.#parentEngineStates : undefined;
  }

  /** Returns the number of other nodes below this one in the tree. */
  followers(): number {
    const nowMs = core.monotonicMs();
    const nodes = new Set<string>();
    for (const [node, { digest, receivedAtMs }] of this.#children) {
      if (nowMs - receivedAtMs >= FOLLOWER_TIMEOUT_MS) continue;
      nodes.add(node);
      for (const child of digest.children) {
        if (child.ageMs < FOLLOWER_TIMEOUT_MS) nodes.add(child.node);
      }
    }
    nodes.delete(this.#state.settings.nodeName);
    return nodes.size;
  }

  /** Returns this node's own digest and all current ones of its children. */
  digests(nowMs: number): peers.NodeDigest[] {
    return [
      makeDigest(this.#state, nowMs),
      ...this.#freshChildren(nowMs).map(({ digest }) => digest),
    ];
  }

  /** Applies the load of all other nodes to this node's own state. */
  applyLoad(nowMs: number): void {
    const self = this.#state.settings.nodeName;
    const { queues, ageMs } = this.#currentSums(nowMs);
    this.#state.fleetQueues = new Map(
      queues.map(({ model, adapter, waiting }) => [
        dispatch.toModelKey(model, adapter),
        waiting,
      ]),
    );
    const uses = this.#usesOfOthers(self, nowMs);
    applyPeerLoad(this.#state, uses, ageMs, nowMs);
  }

  #freshChildren(nowMs: number): Child[] {
    const fresh: Child[] = [];
    for (const [node, child] of this.#children) {
      if (nowMs - child.receivedAtMs > DIGEST_TTL_MS) {
        this.#children.delete(node);
      } else if (node !== this.#state.settings.nodeName) fresh.push(child);
    }
    return fresh;
  }

  /**
   * The digests that are summed for the parent. Sums of other nodes are left
   * out: while nodes disagree on the root, they could contain this node's.
   */
  #ownDigests(nowMs: number): peers.NodeDigest[] {
    const children = this.#freshChildren(nowMs).map(({ digest }) => digest)
      .filter(({ isSum }) => !isSum);
    return [makeDigest(this.#state, nowMs), ...children];
  }

  #usesOfOthers(node: string, nowMs: number): peers.EngineUse[] {
    const { uses, digests } = this.#currentSums(nowMs);
    return usesWithout(uses, digests.get(node));
  }

  #currentSums(nowMs: number): LoadSums {
    const cached = this.#sums;
    if (cached && nowMs - cached.atMs < SUMS_TTL_MS) return cached;
    const isRoot = nowMs - this.#parentViewAtMs >= PARENT_VIEW_TTL_MS;
    const digests = isRoot ? this.digests(nowMs) : this.#ownDigests(nowMs);
    const uses = sumUses(digests);
    if (!isRoot) addUses(uses, this.#parentUses);
    const queues = (isRoot ? undefined : this.#parentQueues) ??
      sumQueues(digests);
    this.#sums = {
      uses,
      queues,
      digests: new Map(digests.map((digest) => [digest.node, digest])),
      ageMs: fleetAgeMs(
        groupAge(this.#freshChildren(nowMs), nowMs),
        this.#state.members.count(),
        isRoot
          ? undefined
          : this.#parentUsesAgeMs + nowMs - this.#parentViewAtMs,
      ),
      atMs: nowMs,
    };
    return this.#sums;
  }

  /** Records that this node is the root, which has no parent. */
  becomeRoot(): void {
    this.#parentViewAtMs = -Infinity;
    this.#parentEngineStates = undefined;
    this.#level = 0;
    // A node that knows no members takes itself for the only one.
    this.#isRoot = this.#state.hasReadMembers;
    this.forgetParent();
  }

  /** Records that the parent did not answer, and may have lost its memory. */
  forgetParent(): void {
    this.#origins.forgetParent();
  }
}
