/** Polls the engines that this instance watches, one task for each. */
import * as core from "../../core/mod.ts";
import type * as gateway from "../../gateway/mod.ts";
import type * as peers from "../../peers/mod.ts";
import * as routing from "../../routing/mod.ts";
import type * as upstream from "../../upstream/mod.ts";

const ASSIGN_INTERVAL_MS = 500;
/** Reports in a row that must fail before an engine counts as silent. */
const FAILURES_UNTIL_SILENT = 2;

/** What watching needs. */
export interface WatchOptions {
  readonly fleet: routing.Fleet;
  readonly directory: peers.PeerDirectory;
  readonly clients: gateway.UpstreamClients;
  readonly reportIntervalMs: number;
  readonly watchersPerEngine: number;
  readonly silentAfterMs: number;
  readonly onSilent: (view: routing.EngineView) => void;
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
    const { clients, reportIntervalMs } = this.#options;
    let failures = 0;
    this.#view.isWatched = true;
    do {
      const report = await clients.engine(this.#view).report();
      failures = report.isOk() ? 0 : failures + 1;
      report.match(
        (read) => this.#take(read),
        () => this.#noteFailure(failures),
      );
    } while (await core.sleep(core.jitterMs(reportIntervalMs), signal));
    this.#view.isWatched = false;
  }

  #take(report: upstream.EngineReport): void {
    this.#options.fleet.mergeLoad(routing.toEngineLoad(report), 0);
  }

  /** Nobody else has heard of the engine lately either. */
  #noteFailure(failures: number): void {
    const { fleet, silentAfterMs, onSilent } = this.#options;
    const silentMs = core.monotonicMs() - this.#view.observedAtMs;
    if (failures < FAILURES_UNTIL_SILENT || silentMs < silentAfterMs) return;
    if (this.#view.load === undefined || this.#view.load.silent) return;
    fleet.markUnresponsive(this.#view);
    onSilent(this.#view);
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
    const ids = directory.activeMembers().map(({ instanceId }) => instanceId);
    return core.rendezvous(`watch/${view.upstreamId}`, ids)
      .slice(0, watchersPerEngine)
      .includes(directory.self.instanceId);
  }
}
