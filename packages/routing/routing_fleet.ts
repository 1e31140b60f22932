/** Tracks the listed engines and service instances and their reported state. */
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";
import type * as upstream from "../upstream/mod.ts";

/** The part of an engine's report that routing uses. */
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
  /** Whether the instances that watch it no longer receive its reports. */
  readonly silent: boolean;
  /** Engines that tell none count as running the same software. */
  readonly softwareVersion?: core.SoftwareVersion;
}

/**
 * Requests sent to an engine for each of its slots. Those beyond one keep its
 * slots busy; more of them would wait there instead of here, by priority.
 */
const REQUESTS_PER_SLOT_MAX = 4;
/** Time in which the number of requests that a full engine may hold doubles. */
const PLACES_DOUBLE_AFTER_MS = 2_000;

/** State of one engine: list entry, last report and local requests. */
export class EngineView {
  listed: store.ListedInstance;
  load: EngineLoad | undefined;
  /** When the report was made, on the local monotonic clock. */
  observedAtMs = -Infinity;
  /** In-flight requests of this instance. */
  localInFlight = 0;
  /** In-flight requests of this instance when the report was received. */
  localInFlightAtReport = 0;
  /** No requests are sent before this time, on the local monotonic clock. */
  avoidUntilMs = -Infinity;
  /** Moving average of the duration of this instance's requests, in ms. */
  serviceMs = 0;
  /** The incarnation that is known to be leaving, if there is one. */
  leavingIncarnation: core.Incarnation | undefined;
  /** Whether this instance receives the reports from the engine itself. */
  isWatched = false;
  /** Requests on the engine when it last rejected one for lack of a place. */
  #full: { readonly inFlight: number; readonly atMs: number } | undefined;

  constructor(listed: store.ListedInstance) {
    this.listed = listed;
  }

  get upstreamId(): core.UpstreamId {
    return core.brandId(this.listed.id);
  }

  /** Whether the list, a report or a peer says that the engine is leaving. */
  get isLeaving(): boolean {
    if (this.listed.state === "leaving") return true;
    const incarnation = this.load?.incarnation;
    return incarnation !== undefined && incarnation === this.leavingIncarnation;
  }

  /** Whether the engine has loaded an artifact and can serve it. */
  holds(artifactId: core.ArtifactId): boolean {
    return this.load?.artifacts.includes(artifactId) ?? false;
  }

  /** Requests on the engine: as reported, plus local changes since then. */
  get inFlight(): number {
    const reported = (this.load?.running ?? 0) + (this.load?.waiting ?? 0);
    const localChange = this.localInFlight - this.localInFlightAtReport;
    return Math.max(reported + localChange, this.localInFlight);
  }

  /**
   * Records that the engine rejected a request for lack of a place, after which
   * it counts as full for a while at its present number of requests.
   *
   * @param inFlightAtSend requests on the engine when the request was sent.
   * @returns false if it had a free slot then, so that it rejected for another
   * reason.
   */
  recordFull(inFlightAtSend: number, nowMs: number): boolean {
    const slots = this.load?.slots ?? 1;
    if (inFlightAtSend < slots) return false;
    this.#full = { inFlight: Math.max(slots, this.inFlight), atMs: nowMs };
    return true;
  }

  /**
   * Whether the engine should get another request now. After it rejected one
   * for lack of a place, the number that it is expected to hold grows as long as
   * it rejects no other.
   */
  hasPlace(nowMs: number): boolean {
    if (this.load === undefined) return true;
    if (this.inFlight >= this.load.slots * REQUESTS_PER_SLOT_MAX) return false;
    if (this.#full === undefined) return true;
    const growth = 1 + (nowMs - this.#full.atMs) / PLACES_DOUBLE_AFTER_MS;
    return this.inFlight < Math.floor(this.#full.inFlight * growth);
  }

  /** Applies the load that the engine reported along with a response. */
  applyResponseLoad(load: upstream.ResponseLoad): void {
    if (this.load === undefined) return;
    this.load = { ...this.load, ...load };
    this.localInFlightAtReport = this.localInFlight;
  }

  /** Adds the duration of a completed request to the average. */
  recordServiceTime(durationMs: number): void {
    this.serviceMs = this.serviceMs === 0
      ? durationMs
      : this.serviceMs * 0.9 + durationMs * 0.1;
  }
}

/**
 * How long a peer's notice that an upstream is leaving is kept, in
 * milliseconds: digests older than this are not worth merging.
 */
const LEAVING_NOTICE_TTL_MS = 60_000;

/** Called after a newer report of an engine has been merged. */
export type FleetListener = () => void;

/** All upstreams on the platform's list. */
export class Fleet {
  readonly #listeners = new Set<FleetListener>();
  readonly #staleAfterMs: number;
  readonly #engines = new Map<core.UpstreamId, EngineView>();
  #services: store.ListedInstance[] = [];
  readonly #leavingNoticedAtMs = new Map<string, number>();
  readonly #serviceAvoidUntilMs = new Map<string, number>();

  /** @param staleAfterMs report age beyond which an engine is not used. */
  constructor(staleAfterMs: number) {
    this.#staleAfterMs = staleAfterMs;
  }

  get engines(): readonly EngineView[] {
    return [...this.#engines.values()];
  }

  engine(upstreamId: core.UpstreamId): EngineView | undefined {
    return this.#engines.get(upstreamId);
  }

  /** Engines that may be sent new requests. */
  usableEngines(): EngineView[] {
    const nowMs = core.monotonicMs();
    const oldestMs = nowMs - this.#staleAfterMs;
    return this.engines.filter((view) =>
      !view.isLeaving && view.load?.silent === false &&
      view.observedAtMs >= oldestMs && view.avoidUntilMs < nowMs
    );
  }

  /** Instances of a service that may be sent new requests. */
  usableServiceInstances(service: string): store.ListedInstance[] {
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

  /** Excludes a service instance from new requests for some time. */
  avoidServiceInstance(id: string, durationMs: number): void {
    this.#serviceAvoidUntilMs.set(id, core.monotonicMs() + durationMs);
  }

  /** Ids of the upstreams known to be leaving, for the digests to peers. */
  leavingIds(): string[] {
    const listed = [
      ...this.engines.map((view) => view.listed),
      ...this.#services,
    ]
      .filter(({ state }) => state === "leaving")
      .map(({ id }) => id);
    const noticed = [...this.#leavingNoticedAtMs.keys()];
    return [...new Set([...listed, ...noticed])];
  }

  /** Merges the platform's list of upstreams and drops unlisted ones. */
  mergeList(instances: readonly store.ListedInstance[]): void {
    const engines = instances.filter(({ kind }) => kind === "engine");
    for (const listed of engines) this.#mergeListedEngine(listed);
    const ids = new Set(engines.map(({ id }) => id));
    for (const id of this.#engines.keys()) {
      if (!ids.has(id)) this.#engines.delete(id);
    }
    this.#services = instances.filter(({ kind }) => kind === "service");
    this.#expireLeavingNotices();
  }

  /** Records a peer's notice that an upstream is leaving. */
  markLeaving(upstreamId: string): void {
    if (!this.#leavingNoticedAtMs.has(upstreamId)) {
      this.#leavingNoticedAtMs.set(upstreamId, core.monotonicMs());
    }
    const view = this.#engines.get(core.brandId(upstreamId));
    if (view) view.leavingIncarnation = view.load?.incarnation;
  }

  /** Records that a watched engine no longer sends reports. */
  markUnresponsive(view: EngineView): void {
    if (view.load) view.load = { ...view.load, silent: true };
  }

  /**
   * Merges a report, received directly or in a peer's digest.
   *
   * @returns whether it was newer than the known one.
   */
  mergeLoad(load: EngineLoad, ageMs: number): boolean {
    const view = this.#engines.get(load.upstreamId);
    if (!view) return false;
    const observedAtMs = core.monotonicMs() - ageMs;
    if (!isNewer(view, load, observedAtMs)) return false;
    view.load = load;
    view.observedAtMs = observedAtMs;
    view.localInFlightAtReport = view.localInFlight;
    if (load.leaving) view.leavingIncarnation = load.incarnation;
    for (const listener of this.#listeners) listener();
    return true;
  }

  /** Registers a listener; the returned function removes it. */
  registerListener(listener: FleetListener): core.Cleanup {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #mergeListedEngine(listed: store.ListedInstance): void {
    const id = core.brandId<core.UpstreamId>(listed.id);
    const known = this.#engines.get(id);
    if (known && known.listed.address === listed.address) known.listed = listed;
    else this.#engines.set(id, new EngineView(listed));
  }

  #isServiceLeaving(listed: store.ListedInstance): boolean {
    return listed.state === "leaving" ||
      this.#leavingNoticedAtMs.has(listed.id);
  }

  #expireLeavingNotices(): void {
    const limitMs = core.monotonicMs() - LEAVING_NOTICE_TTL_MS;
    for (const [id, noticedAtMs] of this.#leavingNoticedAtMs) {
      if (noticedAtMs < limitMs) this.#leavingNoticedAtMs.delete(id);
    }
  }
}

function isNewer(
  view: EngineView,
  load: EngineLoad,
  observedAtMs: number,
): boolean {
  if (view.load === undefined) return true;
  if (view.load.incarnation === load.incarnation) {
    // The watcher marks the last report it received, so the sequence is equal.
    const isMarkedUnresponsive = load.silent && !view.load.silent;
    return load.sequence > view.load.sequence ||
      (isMarkedUnresponsive && load.sequence === view.load.sequence);
  }
  // Sequences of different incarnations are not comparable.
  return observedAtMs > view.observedAtMs;
}

/**
 * Reduces an engine's report to what routing uses.
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
    ...(report.softwareVersion === undefined
      ? {}
      : { softwareVersion: report.softwareVersion }),
  };
}
