/** Requests of several teams, one of which sends bursts. */
import { SimRandom } from "./sim_clock.ts";
import { toModel } from "./sim_fleet.ts";
import type { SimArrival } from "./sim_types.ts";

export interface TrafficOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly models: number;
  readonly durationMs: number;
  /** Requests per second of all teams together, outside bursts. */
  readonly ratePerS: number;
  /** Factor of a team's load in its bursts. */
  readonly burst: number;
  /** Whether prompts of all lengths are as frequent as short ones. */
  readonly isLong?: boolean;
}

const TEAMS = 16;
const BURST_EVERY_MS = 15_000;
const BURST_FOR_MS = 8_000;
const PROMPT_MIN = 650;
const PROMPT_MAX = 5_000;
const OUTPUT_MEAN = 200;
const OUTPUT_MAX = 400;

/** Returns arrivals in order of time; bursts of one team, then of the next. */
export function makeTraffic(
  { seed, nodes, models, durationMs, ratePerS, burst, isLong }: TrafficOptions,
): SimArrival[] {
  const random = new SimRandom(seed);
  const arrivals: SimArrival[] = [];
  for (let team = 0; team < TEAMS; team++) {
    let atMs = 0;
    for (;;) {
      const period = Math.floor(atMs / BURST_EVERY_MS);
      const isBurst = period % 4 === team % 4 && team < 8 &&
        atMs % BURST_EVERY_MS < BURST_FOR_MS;
      const rate = ratePerS / TEAMS * (isBurst ? burst : 1);
      atMs += random.exponential(1_000 / rate);
      if (atMs > durationMs) break;
      const model = toModel(
        Math.floor(models * Math.pow(random.next(), 1.1)),
      );
      const promptTokens = Math.round(
        isLong
          ? PROMPT_MIN + (PROMPT_MAX - PROMPT_MIN) * random.next()
          : PROMPT_MIN * (PROMPT_MAX / PROMPT_MIN) ** random.next(),
      );
      const outputTokens = Math.min(
        OUTPUT_MAX,
        Math.ceil(random.exponential(OUTPUT_MEAN)),
      );
      arrivals.push({
        atMs,
        node: Math.floor(random.next() * nodes),
        team: `t${team}`,
        model,
        modelKey: model,
        parts: [],
        promptTokens,
        outputTokens,
        outputTokensMax: OUTPUT_MAX,
        outputTokensLikely: Math.min(OUTPUT_MAX, 2 * OUTPUT_MEAN),
      });
    }
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}
