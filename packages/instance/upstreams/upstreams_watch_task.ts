/** Polls the engines that this instance watches, one task for each. */
import * as core from "../../core/mod.ts";
import type * as gateway from "../../gateway/mod.ts";
import type * as peers from "../../peers/mod.ts";
import * as routing from "../../routing/mod.ts";

const ASSIGN_INTERVAL_MS = 500;

/** What watching needs. */
export interface WatchOptions {
  readonly fleet: routing.Fleet;
  readonly directory: peers.PeerDirectory;
  readonly clients: gateway.UpstreamClients;
  readonly reportIntervalMs: number;
  readonly watchersPerEngine: number;
  readonly supervisor: core.Supervisor;
}

/** Polls one engine's report. */
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
    const { fleet, clients, reportIntervalMs } = this.#options;
    do {
      const report = await clients.engine(this.#view).report();
      if (report.isOk()) fleet.mergeLoad(routing.toEngineLoad(report.value), 0);
    } while (await core.sleep(core.jitterMs(reportIntervalMs), signal));
  }
}

/** Starts and stops watches as engines and instances come and go. */
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
      this.#assign();
    } while (await core.sleep(core.jitterMs(ASSIGN_INTERVAL_MS), signal));
  }

  #assign(): void {
    const { fleet, supervisor } = this.#options;
    const wanted = new Set(fleet.engines.filter((view) => this.#isMine(view)));
    for (const view of wanted) {
      if (this.#watches.has(view)) continue;
      const task = new EngineWatchTask(view, this.#options);
      this.#watches.set(view, supervisor.start(task));
    }
    for (const [view, stop] of this.#watches) {
      if (wanted.has(view)) continue;
      this.#watches.delete(view);
      void stop();
    }
  }

  #isMine(view: routing.EngineView): boolean {
    const { directory, watchersPerEngine } = this.#options;
    const ids = directory.active().map(({ instanceId }) => instanceId);
    return core.rendezvous(`watch/${view.upstreamId}`, ids)
      .slice(0, watchersPerEngine)
      .includes(directory.self.instanceId);
  }
}
