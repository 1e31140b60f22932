/** Metrics of one instance: histograms, counters and burn rates. */
export {
  BURN_WINDOWS_MS,
  burnRate,
  BurnTracker,
  mergeBurn,
  OBJECTIVE,
} from "./metrics_burn.ts";
export type {
  BurnCount,
  BurnLine,
  BurnSubject,
  BurnWindow,
} from "./metrics_burn.ts";
export { MetricsRecorder } from "./metrics_recorder.ts";
export type { CounterName, DurationName } from "./metrics_recorder.ts";
