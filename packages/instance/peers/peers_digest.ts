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

/** What digests are made of. */
export interface DigestParts {
  readonly directory: peers.PeerDirectory;
  readonly fleet: routing.Fleet;
  readonly keeper: table.TableKeeper;
}

/** Makes digests with what a peer has not been sent yet. */
export class DigestBook {
  readonly #parts: DigestParts;
  readonly #sentByPeer = new Map<string, Map<core.UpstreamId, string>>();

  constructor(parts: DigestParts) {
    this.#parts = parts;
  }

  /** Makes the digest for one peer. */
  make(peerAddress: string): peers.Digest {
    const { directory, fleet, keeper } = this.#parts;
    return create(peers.DigestSchema, {
      self: peers.toMemberMessage(directory.self),
      members: directory.newest(MEMBERS_MAX).map(peers.toMemberMessage),
      tableRevision: BigInt(keeper.snapshot.revision),
      engines: this.#news(peerAddress),
      leavingUpstreams: fleet.leavingIds(),
    });
  }

  /** Takes a peer's digest; returns the revision of its table. */
  take(digest: peers.Digest): number {
    const { directory, fleet } = this.#parts;
    directory.noteContact();
    if (digest.self) directory.merge(peers.fromMemberMessage(digest.self));
    for (const member of digest.members) {
      directory.merge(peers.fromMemberMessage(member));
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
    const news = this.#parts.fleet.engines
      .filter(({ load }) => load !== undefined)
      .filter((view) => sent.get(view.upstreamId) !== stampOf(view))
      .sort((a, b) => b.observedAtMs - a.observedAtMs)
      .slice(0, ENGINES_MAX);
    for (const view of news) sent.set(view.upstreamId, stampOf(view));
    return news.flatMap(({ load, observedAtMs }) =>
      load ? [toEngineDigest(load, observedAtMs)] : []
    );
  }
}

function stampOf(view: routing.EngineView): string {
  return `${view.load?.incarnation}/${view.load?.sequence}`;
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
