/** Which engines a digest tells of. */
import type * as core from "../../core/mod.ts";
import type * as routing from "../../routing/mod.ts";

/** Steps of load, as parts of an engine's slots, that count as news. */
const LOAD_STEPS = 8;
/** A change of load is told in so many digests. */
const LOAD_SENDS = 4;
/** Other changes are told so often, times the member count's binary digits. */
const SENDS_PER_DOUBLING = 3;
/** Engines without news in each digest, in turn, to mend what got lost. */
const REFRESHED = 2;

interface EngineNews {
  load: routing.EngineLoad;
  stamp: string;
  step: number;
  sendsLeft: number;
  loadSendsLeft: number;
}

/**
 * Chooses engines with news. What an engine holds, and whether it leaves or is
 * silent, is passed on by everyone a bounded number of times; its load only by
 * its watchers, as engines may tell it with their answers.
 */
export class EngineNewsBook {
  readonly #fleet: routing.Fleet;
  readonly #members: () => number;
  readonly #news = new Map<core.UpstreamId, EngineNews>();
  #turn = 0;

  constructor(fleet: routing.Fleet, members: () => number) {
    this.#fleet = fleet;
    this.#members = members;
  }

  /** Takes the engines that the next digest tells of. */
  take(countMax: number): routing.EngineView[] {
    const views = this.#fleet.engines.filter((view) => this.#note(view));
    const chosen = new Set<routing.EngineView>();
    const choose = (view: routing.EngineView) => {
      if (chosen.size < countMax) chosen.add(view);
    };
    views
      .filter((view) => this.#of(view).sendsLeft > 0)
      .sort((a, b) => this.#of(b).sendsLeft - this.#of(a).sendsLeft)
      .forEach(choose);
    views.filter((view) => this.#of(view).loadSendsLeft > 0).forEach(choose);
    for (let n = 0; n < Math.min(REFRESHED, views.length); n++) {
      const view = views[this.#turn++ % views.length];
      if (view) choose(view);
    }
    for (const view of chosen) this.#countSend(view);
    return [...chosen];
  }

  #of(view: routing.EngineView): EngineNews {
    const news = this.#news.get(view.upstreamId);
    if (news === undefined) throw new Error(`No news of ${view.upstreamId}`);
    return news;
  }

  #countSend(view: routing.EngineView): void {
    const news = this.#of(view);
    news.sendsLeft = Math.max(0, news.sendsLeft - 1);
    news.loadSendsLeft = Math.max(0, news.loadSendsLeft - 1);
  }

  /** Notes what changed since the last look; false without a report. */
  #note(view: routing.EngineView): boolean {
    const { load } = view;
    if (load === undefined) return false;
    const known = this.#news.get(view.upstreamId);
    if (known?.load === load) return true;
    const stamp = stampOf(load);
    const step = stepOf(load);
    const isChanged = known?.stamp !== stamp;
    const isLoadChanged = view.isWatched && known?.step !== step;
    this.#news.set(view.upstreamId, {
      load,
      stamp,
      step,
      sendsLeft: isChanged ? this.#spread() : known.sendsLeft,
      loadSendsLeft: isLoadChanged ? LOAD_SENDS : known?.loadSendsLeft ?? 0,
    });
    return true;
  }

  #spread(): number {
    return SENDS_PER_DOUBLING * Math.ceil(Math.log2(this.#members() + 1));
  }
}

function stampOf(load: routing.EngineLoad): string {
  const { incarnation, artifacts, leaving, silent } = load;
  return `${incarnation}|${leaving}|${silent}|${artifacts.join()}`;
}

function stepOf({ running, waiting, slots }: routing.EngineLoad): number {
  return Math.ceil((running + waiting) * LOAD_STEPS / slots);
}
