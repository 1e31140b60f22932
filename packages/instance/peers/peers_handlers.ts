/** Handles the requests that peers send to this instance. */
import { create } from "@bufbuild/protobuf";
import type * as claims from "../../claims/mod.ts";
import * as core from "../../core/mod.ts";
import * as peers from "../../peers/mod.ts";
import type * as placement from "../../placement/mod.ts";
import * as table from "../../table/mod.ts";
import type { DigestManager } from "./peers_digest.ts";
import type { PeersExchangeTask } from "./peers_exchange_task.ts";

/** Dependencies of the handlers. */
export interface PeerHandlerDependencies {
  readonly digests: DigestManager;
  readonly exchange: PeersExchangeTask;
  readonly tableCache: table.TableCache;
  readonly claims: claims.ClaimRunner;
  readonly demandAggregator: placement.DemandAggregator;
  readonly isPlanner: () => boolean;
  readonly onDemand: () => void;
}

/** Responds to peers from this instance's local state. */
export class InstancePeerHandlers extends peers.PeerHandlers {
  readonly #dependencies: PeerHandlerDependencies;

  constructor(dependencies: PeerHandlerDependencies) {
    super();
    this.#dependencies = dependencies;
  }

  override exchange(digest: peers.Digest): peers.Digest {
    const { digests, exchange } = this.#dependencies;
    const revision = digests.apply(digest);
    const address = digest.self?.peerAddress ?? "";
    if (address !== "") void exchange.fetchTableIfNewer(address, revision);
    return digests.build();
  }

  override fetchTable(request: peers.FetchTableRequest): peers.FetchTableReply {
    const { tableCache } = this.#dependencies;
    const { snapshot } = tableCache;
    const afterRevision = Number(request.afterRevision);
    const reply = create(peers.FetchTableReplySchema, {
      revision: BigInt(snapshot.revision),
    });
    if (!tableCache.hasSnapshot || snapshot.revision < afterRevision) {
      return reply;
    }
    const delta = request.takesDelta
      ? tableCache.deltaSince(afterRevision)
      : undefined;
    if (delta) reply.deltaJson = JSON.stringify(delta);
    else reply.snapshotJson = table.encodeSnapshot(snapshot);
    return reply;
  }

  override resolveClaim(
    request: peers.ResolveClaimRequest,
  ): peers.ResolveClaimReply {
    const fate = this.#dependencies.claims.fateOf(
      core.brandId(request.nonce),
      core.brandId(request.incarnation),
    );
    return peers.toFateMessage(fate);
  }

  override reportDemand(report: peers.DemandReport): boolean {
    const rows = report.rows.map((row) => ({
      rowName: core.brandId<core.RowName>(row.rowName),
      ratePerS: row.ratePerS,
      waiting: row.waiting,
      serviceMs: row.serviceMs,
      inProgress: row.inProgress,
    }));
    this.#dependencies.demandAggregator.setReport(
      core.brandId(report.instanceId),
      rows,
    );
    this.#dependencies.onDemand();
    return this.#dependencies.isPlanner();
  }
}
