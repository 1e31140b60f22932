/** Brings the ledger up to what engines report, each by one instance. */
import * as core from "../../core/mod.ts";
import type * as gateway from "../../gateway/mod.ts";
import type * as ledger from "../../ledger/mod.ts";
import type * as peers from "../../peers/mod.ts";
import type * as routing from "../../routing/mod.ts";

const SWEEP_INTERVAL_MS = 5_000;

/** What reconciliation needs. */
export interface ReconcileTaskOptions {
  readonly fleet: routing.Fleet;
  readonly directory: peers.PeerDirectory;
  readonly clients: gateway.UpstreamClients;
  readonly controller: ledger.LedgerController;
}

/** Sweeps over the engines that this instance is the first to answer for. */
export class UpstreamsReconcileTask extends core.Task {
  override readonly name = "reconcile-ledger";
  readonly #options: ReconcileTaskOptions;

  constructor(options: ReconcileTaskOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (await core.sleep(core.jitterMs(SWEEP_INTERVAL_MS), signal)) {
      for (const view of this.#mine()) {
        if (signal.aborted) return;
        const engine = this.#options.clients.engine(view);
        await this.#options.controller.reconcile(view.upstreamId, engine);
      }
    }
  }

  #mine(): routing.EngineView[] {
    const { fleet, directory } = this.#options;
    const ids = directory.activeMembers().map(({ instanceId }) => instanceId);
    const own = directory.self.instanceId;
    return fleet.usableEngines().filter((view) =>
      core.rendezvous(`ledger/${view.upstreamId}`, ids)[0] === own
    );
  }
}
