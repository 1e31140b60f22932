/**
 * Reconciles ledger rows with engine reports. Each engine is reconciled by one
 * instance.
 */
import * as core from "../../core/mod.ts";
import type * as gateway from "../../gateway/mod.ts";
import type * as ledger from "../../ledger/mod.ts";
import type * as peers from "../../peers/mod.ts";
import type * as routing from "../../routing/mod.ts";

const RECONCILE_INTERVAL_MS = 5_000;

/** Dependencies of reconciliation. */
export interface ReconcileTaskOptions {
  readonly fleet: routing.Fleet;
  readonly directory: peers.PeerDirectory;
  readonly clients: gateway.UpstreamClients;
  readonly controller: ledger.LedgerController;
}

/** Periodically reconciles the engines that rendezvous hashing assigns here. */
export class UpstreamsReconcileTask extends core.Task {
  override readonly name = "reconcile-ledger";
  readonly #options: ReconcileTaskOptions;

  constructor(options: ReconcileTaskOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (await core.sleep(core.jitterMs(RECONCILE_INTERVAL_MS), signal)) {
      for (const view of this.#assignedEngines()) {
        if (signal.aborted) return;
        const engine = this.#options.clients.engine(view);
        await this.#options.controller.reconcile(view.upstreamId, engine);
      }
    }
  }

  #assignedEngines(): routing.EngineView[] {
    const { fleet, directory } = this.#options;
    const ids = directory.activeMembers().map(({ instanceId }) => instanceId);
    const ownId = directory.self.instanceId;
    return fleet.usableEngines().filter((view) =>
      core.rendezvous(`ledger/${view.upstreamId}`, ids)[0] === ownId
    );
  }
}
