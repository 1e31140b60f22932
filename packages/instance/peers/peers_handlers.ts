/** What this instance answers to its peers. */
import { create } from "@bufbuild/protobuf";
import type * as claims from "../../claims/mod.ts";
import * as core from "../../core/mod.ts";
import * as peers from "../../peers/mod.ts";
import type * as placement from "../../placement/mod.ts";
import * as table from "../../table/mod.ts";
import type { DigestBook } from "./peers_digest.ts";
import type { PeersExchangeTask } from "./peers_exchange_task.ts";

/** What the handlers need. */
export interface PeerHandlerParts {
  readonly digests: DigestBook;
  readonly exchange: PeersExchangeTask;
  readonly keeper: table.TableKeeper;
  readonly claims: claims.ClaimRunner;
  readonly board: placement.DemandAggregator;
  readonly isPlanner: () => boolean;
  readonly onDemand: () => void;
}

/** Answers peers from what this instance knows. */
export class InstancePeerHandlers extends peers.PeerHandlers {
  readonly #parts: PeerHandlerParts;

  constructor(parts: PeerHandlerParts) {
    super();
    this.#parts = parts;
  }

  override exchange(digest: peers.Digest): peers.Digest {
    const { digests, exchange } = this.#parts;
    const revision = digests.take(digest);
    const address = digest.self?.peerAddress ?? "";
    if (address !== "") void exchange.catchUp(address, revision);
    return digests.make();
  }

  override fetchTable(request: peers.FetchTableRequest): peers.FetchTableReply {
    const { keeper } = this.#parts;
    const { snapshot } = keeper;
    const afterRevision = Number(request.afterRevision);
    const reply = create(peers.FetchTableReplySchema, {
      revision: BigInt(snapshot.revision),
    });
    if (!keeper.isKnown || snapshot.revision < afterRevision) return reply;
    const delta = request.takesDelta
      ? keeper.deltaSince(afterRevision)
      : undefined;
    if (delta) reply.deltaJson = JSON.stringify(delta);
    else reply.snapshotJson = table.encodeSnapshot(snapshot);
    return reply;
  }

  override resolveClaim(
    request: peers.ResolveClaimRequest,
  ): peers.ResolveClaimReply {
    const fate = this.#parts.claims.fateOf(
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
    this.#parts.board.setReport(core.brandId(report.instanceId), rows);
    this.#parts.onDemand();
    return this.#parts.isPlanner();
  }
}
