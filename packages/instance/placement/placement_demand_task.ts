/** Tells the planner what callers ask for here. */
import { create } from "@bufbuild/protobuf";
import * as core from "../../core/mod.ts";
import * as peers from "../../peers/mod.ts";
import type * as placement from "../../placement/mod.ts";

const INTERVAL_MIN_MS = 1_000;
/** The planner is told so seldom that it takes some twenty reports a second. */
const INTERVAL_PER_MEMBER_MS = 50;

/**
 * The instance that plans placement; every instance names the same one.
 *
 * @example
 * ```ts
 * const isPlanner = plannerOf(directory) === directory.self;
 * ```
 */
export function plannerOf(
  directory: peers.PeerDirectory,
): peers.PeerMember | undefined {
  const active = directory.activeMembers();
  const ids = active.map(({ instanceId }) => instanceId);
  const [plannerId] = core.rendezvous("placement", ids);
  return active.find(({ instanceId }) => instanceId === plannerId);
}

/** What reporting demand needs. */
export interface DemandTaskOptions {
  readonly directory: peers.PeerDirectory;
  readonly clients: peers.PeerClients;
  readonly demand: placement.LocalDemand;
  readonly board: placement.DemandAggregator;
  readonly onDemand: () => void;
}

/** Reports at intervals, and at once when a request waits for a load. */
export class PlacementDemandTask extends core.Task {
  override readonly name = "report-demand";
  readonly #options: DemandTaskOptions;
  readonly #alarm = new core.Alarm();
  #hadRows = false;

  constructor(options: DemandTaskOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#alarm.pause(core.jitterMs(this.#intervalMs()), signal);
      await this.#report();
    }
  }

  /** Reports without waiting for the interval to end. */
  reportSoon(): void {
    this.#alarm.ring();
  }

  #intervalMs(): number {
    const members = this.#options.directory.liveMembers().length;
    return Math.max(INTERVAL_MIN_MS, members * INTERVAL_PER_MEMBER_MS);
  }

  async #report(): Promise<void> {
    const { directory, clients, demand, board, onDemand } = this.#options;
    const planner = plannerOf(directory);
    const rows = demand.collect();
    if (rows.length === 0 && !this.#hadRows) return;
    this.#hadRows = rows.length > 0;
    const { instanceId } = directory.self;
    if (planner === undefined || planner.instanceId === instanceId) {
      board.setReport(instanceId, rows);
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
