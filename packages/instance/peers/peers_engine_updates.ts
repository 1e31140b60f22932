/** Selects the engines whose state the next digest carries. */
import type * as core from "../../core/mod.ts";
import type * as routing from "../../routing/mod.ts";

/** Load counts as changed when it crosses a step of `slots / LOAD_STEPS`. */
const LOAD_STEPS = 8;
/** Number of digests that carry a change of load. */
const LOAD_SENDS = 4;
/** Number of digests that carry any other change, per doubling of members. */
const SENDS_PER_DOUBLING = 3;
/**
 * Engines added to each digest in rotation, changed or not, to repair updates
 * that were lost.
 */
const REFRESHES_PER_DIGEST = 2;

interface EngineUpdate {
  load: routing.EngineLoad;
  fingerprint: string;
  loadStep: number;
  remainingSends: number;
  remainingLoadSends: number;
}

/**
 * Selects engines with unsent changes. Every instance forwards a change of an
 * engine's incarnation, artifacts, leaving or unresponsive state a bounded
 * number of times. Only its watchers send a change of load, because engines may
 * also report their load along with their responses.
 */
export class EngineUpdateSelector {
  readonly #fleet: routing.Fleet;
  readonly #memberCount: () => number;
  readonly #updates = new Map<core.UpstreamId, EngineUpdate>();
  #nextIndex = 0;

  constructor(fleet: routing.Fleet, memberCount: () => number) {
    this.#fleet = fleet;
    this.#memberCount = memberCount;
  }

  /** Selects at most `countMax` engines for the next digest. */
  select(countMax: number): routing.EngineView[] {
    const views = this.#fleet.engines.filter((view) => this.#recordLoad(view));
    const chosen = new Set<routing.EngineView>();
    const choose = (view: routing.EngineView) => {
      if (chosen.size < countMax) chosen.add(view);
    };
    views
      .filter((view) => this.#updateOf(view).remainingSends > 0)
      .sort((a, b) =>
        this.#updateOf(b).remainingSends - this.#updateOf(a).remainingSends
      )
      .forEach(choose);
    views.filter((view) => this.#updateOf(view).remainingLoadSends > 0).forEach(
      choose,
    );
    for (let n = 0; n < Math.min(REFRESHES_PER_DIGEST, views.length); n++) {
      const view = views[this.#nextIndex++ % views.length];
      if (view) choose(view);
    }
    for (const view of chosen) this.#recordSend(view);
    return [...chosen];
  }

  #updateOf(view: routing.EngineView): EngineUpdate {
    const update = this.#updates.get(view.upstreamId);
    if (update === undefined) throw new Error(`No load of ${view.upstreamId}`);
    return update;
  }

  #recordSend(view: routing.EngineView): void {
    const update = this.#updateOf(view);
    update.remainingSends = Math.max(0, update.remainingSends - 1);
    update.remainingLoadSends = Math.max(0, update.remainingLoadSends - 1);
  }

  /** Records changes since the last call; false if there is no report yet. */
  #recordLoad(view: routing.EngineView): boolean {
    const { load } = view;
    if (load === undefined) return false;
    const known = this.#updates.get(view.upstreamId);
    if (known?.load === load) return true;
    const fingerprint = fingerprintOf(load);
    const loadStep = loadStepOf(load);
    const isChanged = known?.fingerprint !== fingerprint;
    const isLoadChanged = view.isWatched && known?.loadStep !== loadStep;
    this.#updates.set(view.upstreamId, {
      load,
      fingerprint,
      loadStep,
      remainingSends: isChanged
        ? this.#updateSendCount()
        : known.remainingSends,
      remainingLoadSends: isLoadChanged
        ? LOAD_SENDS
        : known?.remainingLoadSends ?? 0,
    });
    return true;
  }

  #updateSendCount(): number {
    return SENDS_PER_DOUBLING * Math.ceil(Math.log2(this.#memberCount() + 1));
  }
}

function fingerprintOf(load: routing.EngineLoad): string {
  const { incarnation, softwareVersion, artifacts, leaving, silent } = load;
  const run = `${incarnation}|${softwareVersion}`;
  return `${run}|${leaving}|${silent}|${artifacts.join()}`;
}

function loadStepOf({ running, waiting, slots }: routing.EngineLoad): number {
  return Math.ceil((running + waiting) * LOAD_STEPS / slots);
}
