/** The engines and services as this instance knows them. */
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";
import type * as upstream from "../upstream/mod.ts";

/** The part of an engine's report that routing needs. */
export interface EngineLoad {
  readonly upstreamId: core.UpstreamId;
  readonly incarnation: core.Incarnation;
  readonly sequence: number;
  readonly artifacts: readonly core.ArtifactId[];
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  readonly capacityBytes: number;
  readonly usedBytes: number;
  readonly leaving: boolean;
  /** Whether its watchers get no reports from it any more. */
  readonly silent: boolean;
}

/** One engine: its listing, its last report, and our own sends to it. */
export class EngineView {
  listed: store.ListedInstance;
  load: EngineLoad | undefined;
  /** When the report was true, on our monotonic clock. */
  observedAtMs = -Infinity;
  /** Our requests on the engine now. */
  ownInProgress = 0;
  /** Our requests on the engine when the report was true. */
  ownAtReport = 0;
  /** No sends before this, on our monotonic clock. */
  avoidUntilMs = -Infinity;
  /** Average duration of our recent requests, in milliseconds. */
  serviceMs = 0;
  leavingIncarnation: core.Incarnation | undefined;
  /** Whether this instance reads the engine's reports itself. */
  isWatched = false;

  constructor(listed: store.ListedInstance) {
    this.listed = listed;
  }

  /** The engine's identifier. */
  get upstreamId(): core.UpstreamId {
    return core.brandId(this.listed.id);
  }

  /** Whether any source says that the engine leaves. */
  get isLeaving(): boolean {
    if (this.listed.state === "leaving") return true;
    const incarnation = this.load?.incarnation;
    return incarnation !== undefined && incarnation === this.leavingIncarnation;
  }

  /** Whether the engine holds an artifact, ready to serve. */
  holds(artifactId: core.ArtifactId): boolean {
    return this.load?.artifacts.includes(artifactId) ?? false;
  }

  /** Requests on the engine: its report, corrected by our sends since. */
  get inProgress(): number {
    const reported = (this.load?.running ?? 0) + (this.load?.waiting ?? 0);
    const since = this.ownInProgress - this.ownAtReport;
    return Math.max(reported + since, this.ownInProgress);
  }

  /** Takes the load that the engine told with an answer. */
  noteAnswered(answered: upstream.ResponseLoad): void {
    if (this.load === undefined) return;
    this.load = { ...this.load, ...answered };
    this.ownAtReport = this.ownInProgress;
  }

  /** Notes the end of one of our requests. */
  noteServed(durationMs: number): void {
    this.serviceMs = this.serviceMs === 0
      ? durationMs
      : this.serviceMs * 0.9 + durationMs * 0.1;
  }
}

/** Digests older than this are not worth merging, in milliseconds. */
const LEAVING_WORD_MS = 60_000;

/** Called after an engine's report or listing changed. */
export type FleetListener = () => void;

/** Every listed upstream. */
export class Fleet {
  readonly #listeners = new Set<FleetListener>();
  readonly #staleAfterMs: number;
  readonly #engines = new Map<core.UpstreamId, EngineView>();
  #services: store.ListedInstance[] = [];
  readonly #leavingSince = new Map<string, number>();
  readonly #serviceAvoidUntilMs = new Map<string, number>();

  /** @param staleAfterMs an engine without any news for so long is not used. */
  constructor(staleAfterMs: number) {
    this.#staleAfterMs = staleAfterMs;
  }

  /** Every listed engine. */
  get engines(): readonly EngineView[] {
    return [...this.#engines.values()];
  }

  /** The engine of this id, if it is listed. */
  engine(upstreamId: core.UpstreamId): EngineView | undefined {
    return this.#engines.get(upstreamId);
  }

  /** Engines that may be sent new work. */
  usable(): EngineView[] {
    const nowMs = core.monotonicMs();
    const oldestMs = nowMs - this.#staleAfterMs;
    return this.engines.filter((view) =>
      !view.isLeaving && view.load?.silent === false &&
      view.observedAtMs >= oldestMs && view.avoidUntilMs < nowMs
    );
  }

  /** Instances of a service that may be sent new work. */
  servicesNamed(service: string): store.ListedInstance[] {
    const nowMs = core.monotonicMs();
    return this.#services.filter((listed) =>
      listed.service === service && !this.#isServiceLeaving(listed) &&
      (this.#serviceAvoidUntilMs.get(listed.id) ?? -Infinity) < nowMs
    );
  }

  /** Whether any instance of this service is listed. */
  hasService(service: string): boolean {
    return this.#services.some((listed) => listed.service === service);
  }

  /** Sends nothing to a service instance for a while. */
  avoidService(id: string, durationMs: number): void {
    this.#serviceAvoidUntilMs.set(id, core.monotonicMs() + durationMs);
  }

  /** Upstreams known to be leaving, for peers to learn of. */
  leavingIds(): string[] {
    const listed = [
      ...this.engines.map((view) => view.listed),
      ...this.#services,
    ]
      .filter(({ state }) => state === "leaving")
      .map(({ id }) => id);
    const heard = [...this.#leavingSince.keys()];
    return [...new Set([...listed, ...heard])];
  }

  /** Takes the platform's list of upstreams. */
  mergeList(instances: readonly store.ListedInstance[]): void {
    const engines = instances.filter(({ kind }) => kind === "engine");
    for (const listed of engines) this.#listEngine(listed);
    const ids = new Set(engines.map(({ id }) => id));
    for (const id of this.#engines.keys()) {
      if (!ids.has(id)) this.#engines.delete(id);
    }
    this.#services = instances.filter(({ kind }) => kind === "service");
    this.#forgetOldWords();
  }

  /** Takes a peer's word that an upstream leaves. */
  noteLeaving(upstreamId: string): void {
    if (!this.#leavingSince.has(upstreamId)) {
      this.#leavingSince.set(upstreamId, core.monotonicMs());
    }
    const view = this.#engines.get(core.brandId(upstreamId));
    if (view) view.leavingIncarnation = view.load?.incarnation;
  }

  /** Notes that a watched engine gives no reports any more. */
  noteSilent(view: EngineView): void {
    if (view.load) view.load = { ...view.load, silent: true };
  }

  /** Takes a report or a digest of one, if it is news. */
  mergeLoad(load: EngineLoad, ageMs: number): boolean {
    const view = this.#engines.get(load.upstreamId);
    if (!view) return false;
    const observedAtMs = core.monotonicMs() - ageMs;
    if (!isNews(view, load, observedAtMs)) return false;
    view.load = load;
    view.observedAtMs = observedAtMs;
    view.ownAtReport = view.ownInProgress;
    if (load.leaving) view.leavingIncarnation = load.incarnation;
    for (const listener of this.#listeners) listener();
    return true;
  }

  /** Registers a listener and returns its clean-up. */
  registerListener(listener: FleetListener): core.Cleanup {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #listEngine(listed: store.ListedInstance): void {
    const id = core.brandId<core.UpstreamId>(listed.id);
    const known = this.#engines.get(id);
    if (known && known.listed.address === listed.address) known.listed = listed;
    else this.#engines.set(id, new EngineView(listed));
  }

  #isServiceLeaving(listed: store.ListedInstance): boolean {
    return listed.state === "leaving" || this.#leavingSince.has(listed.id);
  }

  #forgetOldWords(): void {
    const limitMs = core.monotonicMs() - LEAVING_WORD_MS;
    for (const [id, sinceMs] of this.#leavingSince) {
      if (sinceMs < limitMs) this.#leavingSince.delete(id);
    }
  }
}

function isNews(
  view: EngineView,
  load: EngineLoad,
  observedAtMs: number,
): boolean {
  if (view.load === undefined) return true;
  if (view.load.incarnation === load.incarnation) {
    const isSilenced = load.silent && !view.load.silent;
    return load.sequence > view.load.sequence ||
      (isSilenced && load.sequence === view.load.sequence);
  }
  return observedAtMs > view.observedAtMs;
}

/**
 * Reduces an engine's report to what routing needs.
 *
 * @example
 * ```ts
 * fleet.mergeLoad(routing.toEngineLoad(report), 0);
 * ```
 */
export function toEngineLoad(report: upstream.EngineReport): EngineLoad {
  const weightBytes = report.residents
    .reduce((sum, resident) => sum + resident.weightBytes, 0);
  return {
    upstreamId: report.upstreamId,
    incarnation: report.incarnation,
    sequence: report.sequence,
    artifacts: report.residents.map(({ artifactId }) => artifactId),
    running: report.running,
    waiting: report.waiting,
    slots: report.slots,
    firstTokenMs: report.firstTokenMs,
    tokenMs: report.tokenMs,
    capacityBytes: report.capacityBytes,
    usedBytes: report.kvReserveBytes + report.roleOverheadBytes + weightBytes,
    leaving: report.leaving,
    silent: false,
  };
}
