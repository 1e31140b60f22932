/** Builds the digests sent to peers and applies those received. */
import { create } from "@bufbuild/protobuf";
import * as core from "../../core/mod.ts";
import * as peers from "../../peers/mod.ts";
import { EngineUpdateSelector } from "./peers_engine_updates.ts";
import type * as routing from "../../routing/mod.ts";
import type * as table from "../../table/mod.ts";

/** Maximum number of members in one digest. */
const MEMBERS_MAX = 16;

/** State that digests are built from and applied to. */
export interface DigestOptions {
  readonly directory: peers.PeerDirectory;
  readonly fleet: routing.Fleet;
  readonly tableCache: table.TableCache;
  /** Maximum number of engines in one digest. */
  readonly enginesMax: number;
}

/** Builds digests of recent changes and applies the digests of peers. */
export class DigestManager {
  readonly #options: DigestOptions;
  readonly #engineSelector: EngineUpdateSelector;

  constructor(options: DigestOptions) {
    this.#options = options;
    this.#engineSelector = new EngineUpdateSelector(
      options.fleet,
      () => options.directory.liveMembers().length,
    );
  }

  /** Builds the next digest; each call advances the selection of updates. */
  build(): peers.Digest {
    const { directory, fleet, tableCache, enginesMax } = this.#options;
    const updates = directory.takeUpdates(MEMBERS_MAX);
    return create(peers.DigestSchema, {
      self: peers.toMemberMessage(directory.self),
      members: updates.members.map(peers.toMemberMessage),
      suspicions: updates.suspicions.map((suspicion) => ({
        ...suspicion,
        heartbeat: BigInt(suspicion.heartbeat),
      })),
      tableRevision: BigInt(tableCache.snapshot.revision),
      engines: this.#engineSelector.select(enginesMax).flatMap(toEngineDigest),
      leavingUpstreams: fleet.leavingIds(),
    });
  }

  /**
   * Applies a peer's digest to the directory and the fleet.
   *
   * @returns the revision of the peer's table.
   */
  apply(digest: peers.Digest): number {
    const { directory, fleet } = this.#options;
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
    ...(digest.softwareVersion === undefined ? {} : {
      softwareVersion: core.brandId<core.SoftwareVersion>(
        digest.softwareVersion,
      ),
    }),
  };
}
