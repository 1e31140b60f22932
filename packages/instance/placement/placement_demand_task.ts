/** Reports this instance's local demand to the placement planner. */
import { create } from "@bufbuild/protobuf";
import * as core from "../../core/mod.ts";
import * as peers from "../../peers/mod.ts";
import type * as placement from "../../placement/mod.ts";

const INTERVAL_MIN_MS = 1_000;
/**
 * Report interval per live member, so that the planner receives at most about
 * 20 scheduled reports per second.
 */
const INTERVAL_PER_MEMBER_MS = 50;

/**
 * The instance that plans placement, chosen by rendezvous hashing: instances
 * that see the same active members choose the same one.
 *
 * @example
 * ```ts
 * const isPlanner = findPlanner(directory) === directory.self;
 * ```
 */
export function findPlanner(
  directory: peers.PeerDirectory,
): peers.PeerMember | undefined {
  const active = directory.activeMembers();
  const ids = active.map(({ instanceId }) => instanceId);
  const [plannerId] = core.rendezvous("placement", ids);
  return active.find(({ instanceId }) => instanceId === plannerId);
}

/** Dependencies of demand reporting. */
export interface DemandTaskOptions {
  readonly directory: peers.PeerDirectory;
  readonly clients: peers.PeerClients;
  readonly demand: placement.LocalDemand;
  readonly demandAggregator: placement.DemandAggregator;
  readonly onDemand: () => void;
}

/** Reports at intervals, and immediately when a request waits for a load. */
export class PlacementDemandTask extends core.Task {
  override readonly name = "report-demand";
  readonly #options: DemandTaskOptions;
  readonly #wakeSignal = new core.WakeSignal();
  #lastReportHadRows = false;

  constructor(options: DemandTaskOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#wakeSignal.wait(core.jitterMs(this.#intervalMs()), signal);
      await this.#report();
    }
  }

  /** Sends the next report without waiting for the interval to end. */
  reportSoon(): void {
    this.#wakeSignal.wake();
  }

  #intervalMs(): number {
    const members = this.#options.directory.liveMembers().length;
    return Math.max(INTERVAL_MIN_MS, members * INTERVAL_PER_MEMBER_MS);
  }

  async #report(): Promise<void> {
    const { directory, clients, demand, demandAggregator, onDemand } =
      this.#options;
    const planner = findPlanner(directory);
    const rows = demand.collect();
    if (rows.length === 0 && !this.#lastReportHadRows) return;
    this.#lastReportHadRows = rows.length > 0;
    const { instanceId } = directory.self;
    if (planner === undefined || planner.instanceId === instanceId) {
      demandAggregator.setReport(instanceId, rows);
      onDemand();
      return;
    }
    const report = create(peers.DemandReportSchema, {
      instanceId,
      rows: rows.map((row) => ({ ...row })),
    });
    await clients.reportDemand(planner.peerAddress, report);
  }
}
