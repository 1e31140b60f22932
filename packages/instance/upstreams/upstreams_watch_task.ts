/** Polls the reports of engines assigned to this instance, one task each. */
import * as core from "../../core/mod.ts";
import type * as gateway from "../../gateway/mod.ts";
import type * as peers from "../../peers/mod.ts";
import * as routing from "../../routing/mod.ts";
import type * as upstream from "../../upstream/mod.ts";

const ASSIGN_INTERVAL_MS = 500;
/** Consecutive failed polls before an engine may count as unresponsive. */
const FAILURES_UNTIL_UNRESPONSIVE = 2;

/** Dependencies and settings of watching. */
export interface WatchOptions {
  readonly fleet: routing.Fleet;
  readonly directory: peers.PeerDirectory;
  readonly clients: gateway.UpstreamClients;
  readonly reportIntervalMs: number;
  readonly watchersPerEngine: number;
  readonly silentAfterMs: number;
  readonly onUnresponsive: (view: routing.EngineView) => void;
  readonly supervisor: core.Supervisor;
}

/** Polls the report of one engine. */
class EngineWatchTask extends core.Task {
  override readonly name: string;
  readonly #view: routing.EngineView;
  readonly #options: WatchOptions;

  constructor(view: routing.EngineView, options: WatchOptions) {
    super();
    this.name = `watch-${view.upstreamId}`;
    this.#view = view;
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { clients, reportIntervalMs } = this.#options;
    let failures = 0;
    this.#view.isWatched = true;
    do {
      const report = await clients.engine(this.#view).report();
      failures = report.isOk() ? 0 : failures + 1;
      report.match(
        (received) => this.#applyReport(received),
        () => this.#recordFailure(failures),
      );
    } while (await core.sleep(core.jitterMs(reportIntervalMs), signal));
    this.#view.isWatched = false;
  }

  #applyReport(report: upstream.EngineReport): void {
    this.#options.fleet.mergeLoad(routing.toEngineLoad(report), 0);
  }

  /**
   * Marks the engine unresponsive after repeated failures, unless another
   * instance has received a recent report from it.
   */
  #recordFailure(failures: number): void {
    const { fleet, silentAfterMs, onUnresponsive } = this.#options;
    const sinceReportMs = core.monotonicMs() - this.#view.observedAtMs;
    if (
      failures < FAILURES_UNTIL_UNRESPONSIVE || sinceReportMs < silentAfterMs
    ) return;
    if (this.#view.load === undefined || this.#view.load.silent) return;
    fleet.markUnresponsive(this.#view);
    onUnresponsive(this.#view);
  }
}

/** Starts and stops watches when the set of engines or instances changes. */
export class UpstreamsWatchTask extends core.Task {
  override readonly name = "assign-watches";
  readonly #options: WatchOptions;
  readonly #watches = new Map<routing.EngineView, core.Cleanup>();

  constructor(options: WatchOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    do {
      this.#assignWatches();
    } while (await core.sleep(core.jitterMs(ASSIGN_INTERVAL_MS), signal));
  }

  #assignWatches(): void {
    const { fleet, supervisor } = this.#options;
    const assigned = new Set(
      fleet.engines.filter((view) => this.#isAssigned(view)),
    );
    for (const view of assigned) {
      if (this.#watches.has(view)) continue;
      const task = new EngineWatchTask(view, this.#options);
      this.#watches.set(view, supervisor.start(task));
    }
    for (const [view, stop] of this.#watches) {
      if (assigned.has(view)) continue;
      this.#watches.delete(view);
      void stop();
    }
  }

  #isAssigned(view: routing.EngineView): boolean {
    const { directory, watchersPerEngine } = this.#options;
    const ids = directory.activeMembers().map(({ instanceId }) => instanceId);
    return core.rendezvous(`watch/${view.upstreamId}`, ids)
      .slice(0, watchersPerEngine)
      .includes(directory.self.instanceId);
  }
}
