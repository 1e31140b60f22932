/** Histograms and counters of one instance. */
import * as hdr from "hdr-histogram-js";

const HIGHEST_MS = 3_600_000;
const MICROS_PER_MS = 1_000;
const PERCENTILES = [50, 95, 99];

/** One histogram of durations. */
class DurationHistogram {
  readonly #histogram = hdr.build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS * MICROS_PER_MS,
    numberOfSignificantValueDigits: 2,
  });

  record(durationMs: number): void {
    const micros = Math.min(durationMs, HIGHEST_MS) * MICROS_PER_MS;
    this.#histogram.recordValue(Math.max(1, Math.round(micros)));
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  percentileMs(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }
}

/** Names of the histograms. */
export type DurationName =
  | "first_token"
  | "whole_answer"
  | "service_call"
  | "edit_accept"
  | "cold_load";

/** Names of the counters. */
export type CounterName =
  | "requests"
  | "answers"
  | "refusals"
  | "failures"
  | "callers_left"
  | "retries"
  | "streams_broken"
  | "orders_load"
  | "orders_unload";

/** Records durations and counts; renders them for scraping. */
export class MetricsRecorder {
  readonly #durations = new Map<DurationName, DurationHistogram>();
  readonly #counts = new Map<CounterName, number>();

  /** Records how long something took, in milliseconds. */
  recordDuration(name: DurationName, durationMs: number): void {
    let histogram = this.#durations.get(name);
    if (!histogram) {
      histogram = new DurationHistogram();
      this.#durations.set(name, histogram);
    }
    histogram.record(durationMs);
  }

  /** Adds to a counter. */
  increment(name: CounterName, by = 1): void {
    this.#counts.set(name, this.counterValue(name) + by);
  }

  /** Reads a counter. */
  counterValue(name: CounterName): number {
    return this.#counts.get(name) ?? 0;
  }

  /**
   * Renders everything in the Prometheus text format.
   *
   * @param gauges values read at this moment, by name.
   * @example
   * ```ts
   * context.text(recorder.render({ in_progress: admission.inProgress }));
   * ```
   */
  render(gauges: Readonly<Record<string, number>>): string {
    const lines: string[] = [];
    for (const [name, value] of this.#counts) {
      lines.push(`carawaywind_${name}_total ${value}`);
    }
    for (const [name, value] of Object.entries(gauges)) {
      lines.push(`carawaywind_${name} ${value}`);
    }
    for (const [name, histogram] of this.#durations) {
      for (const percentile of PERCENTILES) {
        const quantile = percentile / 100;
        const valueMs = histogram.percentileMs(percentile).toFixed(3);
        lines.push(`carawaywind_${name}_ms{quantile="${quantile}"} ${valueMs}`);
      }
      lines.push(`carawaywind_${name}_ms_count ${histogram.count}`);
    }
    return `${lines.join("\n")}\n`;
  }
}
