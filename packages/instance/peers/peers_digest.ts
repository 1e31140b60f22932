/** Builds and takes digests. */
import { create } from "@bufbuild/protobuf";
import * as core from "../../core/mod.ts";
import * as peers from "../../peers/mod.ts";
import type * as routing from "../../routing/mod.ts";
import type * as table from "../../table/mod.ts";

/** Members in one digest at most. */
const MEMBERS_MAX = 16;
/** Engines in one digest at most; what is left goes into the next one. */
const ENGINES_MAX = 32;

/** Steps of load, as parts of an engine's slots, that count as news. */
const LOAD_STEPS = 8;

/** What a peer was last sent about an engine. */
interface SentEngine {
  readonly stamp: string;
  readonly sentAtMs: number;
}

/** What digests are made of. */
export interface DigestParts {
  readonly directory: peers.PeerDirectory;
  readonly fleet: routing.Fleet;
  readonly keeper: table.TableKeeper;
  /** An engine is told of again after this, also when nothing changed. */
  readonly refreshMs: number;
}

/** Makes digests with what a peer has not been sent yet. */
export class DigestBook {
  readonly #parts: DigestParts;
  readonly #sentByPeer = new Map<string, Map<core.UpstreamId, SentEngine>>();

  constructor(parts: DigestParts) {
    this.#parts = parts;
  }

  /** Makes the digest for one peer. */
  make(peerAddress: string): peers.Digest {
    const { directory, fleet, keeper } = this.#parts;
    const news = directory.takeNews(MEMBERS_MAX);
    return create(peers.DigestSchema, {
      self: peers.toMemberMessage(directory.self),
      members: news.members.map(peers.toMemberMessage),
      suspicions: news.suspicions.map((suspicion) => ({
        ...suspicion,
        heartbeat: BigInt(suspicion.heartbeat),
      })),
      tableRevision: BigInt(keeper.snapshot.revision),
      engines: this.#news(peerAddress),
      leavingUpstreams: fleet.leavingIds(),
    });
  }

  /** Takes a peer's digest; returns the revision of its table. */
  take(digest: peers.Digest): number {
    const { directory, fleet } = this.#parts;
    if (digest.self) {
      const member = peers.fromMemberMessage(digest.self);
      directory.merge(member);
      directory.noteContact(member.instanceId);
    }
    for (const member of digest.members) {
      directory.merge(peers.fromMemberMessage(member));
    }
    for (const { instanceId, incarnation, heartbeat } of digest.suspicions) {
      directory.mergeSuspicion({
        instanceId: core.brandId(instanceId),
        incarnation: core.brandId(incarnation),
        heartbeat: Number(heartbeat),
      });
    }
    for (const engine of digest.engines) {
      fleet.mergeLoad(toLoad(engine), Number(engine.ageMs));
    }
    for (const id of digest.leavingUpstreams) fleet.noteLeaving(id);
    return Number(digest.tableRevision);
  }

  #news(peerAddress: string): peers.EngineDigest[] {
    let sent = this.#sentByPeer.get(peerAddress);
    if (!sent) {
      sent = new Map();
      this.#sentByPeer.set(peerAddress, sent);
    }
    const nowMs = core.monotonicMs();
    const dueMs = nowMs - this.#parts.refreshMs;
    const news = this.#parts.fleet.engines
      .filter((view) => isNews(view, sent.get(view.upstreamId), dueMs))
      .sort((a, b) => b.observedAtMs - a.observedAtMs)
      .slice(0, ENGINES_MAX);
    for (const view of news) {
      const stamp = stampOf(view);
      sent.set(view.upstreamId, { stamp, sentAtMs: nowMs });
    }
    return news.flatMap(({ load, observedAtMs }) =>
      load ? [toEngineDigest(load, observedAtMs)] : []
    );
  }
}

function isNews(
  view: routing.EngineView,
  sent: SentEngine | undefined,
  dueMs: number,
): boolean {
  if (view.load === undefined) return false;
  if (sent === undefined || sent.stamp !== stampOf(view)) return true;
  return sent.sentAtMs < dueMs && view.observedAtMs > sent.sentAtMs;
}

/** Changes when peers should hear of an engine at once. */
function stampOf({ load }: routing.EngineView): string {
  if (load === undefined) return "";
  const { incarnation, artifacts, leaving, running, waiting, slots } = load;
  const step = Math.ceil((running + waiting) * LOAD_STEPS / slots);
  return `${incarnation}|${leaving}|${step}|${artifacts.join()}`;
}

function toEngineDigest(
  load: routing.EngineLoad,
  observedAtMs: number,
): peers.EngineDigest {
  const ageMs = Math.max(0, core.monotonicMs() - observedAtMs);
  return create(peers.EngineDigestSchema, {
    ...load,
    artifacts: [...load.artifacts],
    sequence: BigInt(load.sequence),
    ageMs: BigInt(Math.round(ageMs)),
    capacityBytes: BigInt(load.capacityBytes),
    usedBytes: BigInt(load.usedBytes),
  });
}

function toLoad(digest: peers.EngineDigest): routing.EngineLoad {
  return {
    upstreamId: core.brandId(digest.upstreamId),
    incarnation: core.brandId(digest.incarnation),
    sequence: Number(digest.sequence),
    artifacts: digest.artifacts.map((id) => core.brandId(id)),
    running: digest.running,
    waiting: digest.waiting,
    slots: digest.slots,
    firstTokenMs: digest.firstTokenMs,
    tokenMs: digest.tokenMs,
    capacityBytes: Number(digest.capacityBytes),
    usedBytes: Number(digest.usedBytes),
    leaving: digest.leaving,
  };
}
