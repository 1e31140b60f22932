/** Builds and takes digests. */
import { create } from "@bufbuild/protobuf";
import * as core from "../../core/mod.ts";
import * as peers from "../../peers/mod.ts";
import { EngineNewsBook } from "./peers_engine_news.ts";
import type * as routing from "../../routing/mod.ts";
import type * as table from "../../table/mod.ts";

/** Members in one digest at most. */
const MEMBERS_MAX = 16;
/** What digests are made of. */
export interface DigestParts {
  readonly directory: peers.PeerDirectory;
  readonly fleet: routing.Fleet;
  readonly keeper: table.TableKeeper;
  /** Engines in one digest at most. */
  readonly enginesMax: number;
}

/** Makes digests of what changed, and takes those of others. */
export class DigestBook {
  readonly #parts: DigestParts;
  readonly #engineNews: EngineNewsBook;

  constructor(parts: DigestParts) {
    this.#parts = parts;
    this.#engineNews = new EngineNewsBook(
      parts.fleet,
      () => parts.directory.liveMembers().length,
    );
  }

  /** Makes the next digest. */
  make(): peers.Digest {
    const { directory, fleet, keeper, enginesMax } = this.#parts;
    const news = directory.takeUpdates(MEMBERS_MAX);
    return create(peers.DigestSchema, {
      self: peers.toMemberMessage(directory.self),
      members: news.members.map(peers.toMemberMessage),
      suspicions: news.suspicions.map((suspicion) => ({
        ...suspicion,
        heartbeat: BigInt(suspicion.heartbeat),
      })),
      tableRevision: BigInt(keeper.snapshot.revision),
      engines: this.#engineNews.take(enginesMax).flatMap(toEngineDigest),
      leavingUpstreams: fleet.leavingIds(),
    });
  }

  /** Takes a peer's digest; returns the revision of its table. */
  take(digest: peers.Digest): number {
    const { directory, fleet } = this.#parts;
    if (digest.self) {
      const member = peers.fromMemberMessage(digest.self);
      directory.mergeMember(member);
      directory.recordContact(member.instanceId);
    }
    for (const member of digest.members) {
      directory.mergeMember(peers.fromMemberMessage(member));
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
    for (const id of digest.leavingUpstreams) fleet.markLeaving(id);
    return Number(digest.tableRevision);
  }
}

function toEngineDigest(
  { load, observedAtMs }: routing.EngineView,
): peers.EngineDigest[] {
  if (load === undefined) return [];
  const ageMs = Math.max(0, core.monotonicMs() - observedAtMs);
  return [create(peers.EngineDigestSchema, {
    ...load,
    artifacts: [...load.artifacts],
    sequence: BigInt(load.sequence),
    ageMs: BigInt(Math.round(ageMs)),
    capacityBytes: BigInt(load.capacityBytes),
    usedBytes: BigInt(load.usedBytes),
  })];
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
    silent: digest.silent,
  };
}
