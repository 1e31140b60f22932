/** Histograms and counters of one instance, rendered for Prometheus. */
import * as hdr from "hdr-histogram-js";

const DURATION_MAX_MS = 3_600_000;
const MICROS_PER_MS = 1_000;
const PERCENTILES = [50, 95, 99];

/** Histogram of durations, recorded in whole microseconds. */
class DurationHistogram {
  readonly #histogram = hdr.build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: DURATION_MAX_MS * MICROS_PER_MS,
    numberOfSignificantValueDigits: 2,
  });

  record(durationMs: number): void {
    const micros = Math.min(durationMs, DURATION_MAX_MS) * MICROS_PER_MS;
    this.#histogram.recordValue(Math.max(1, Math.round(micros)));
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  percentileMs(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }
}

/** Names of the histograms; they are part of the metric names. */
export type DurationName =
  | "first_token"
  | "whole_answer"
  | "service_call"
  | "shed_wait"
  | "stalled_gap"
  | "edit_accept"
  | "cold_load";

/** Names of the counters; they are part of the metric names. */
export type CounterName =
  | "requests"
  | "answers"
  | "refusals"
  | "failures"
  | "callers_left"
  | "retries"
  | "streams_broken"
  | "connections_closed"
  | "upstreams_leaving"
  | "quiet_times"
  | "memory_waits"
  | "rate_limit_changes"
  | "keys_refused"
  | "keys_not_current"
  | "quota_rejections"
  | "quota_waits"
  | "quota_refunds"
  | "teams_underserved"
  | "requests_shed"
  | "weight_changes"
  | "orders_load"
  | "orders_unload";

/** Records durations and counters, and renders them for scraping. */
export class MetricsRecorder {
  readonly #durations = new Map<DurationName, DurationHistogram>();
  readonly #counts = new Map<CounterName, number>();

  /** Adds a duration in milliseconds to a histogram. */
  recordDuration(name: DurationName, durationMs: number): void {
    let histogram = this.#durations.get(name);
    if (!histogram) {
      histogram = new DurationHistogram();
      this.#durations.set(name, histogram);
    }
    histogram.record(durationMs);
  }

  /** Adds an amount to a counter. */
  increment(name: CounterName, amount = 1): void {
    this.#counts.set(name, this.counterValue(name) + amount);
  }

  /** Returns the value of a counter; 0 if it was never incremented. */
  counterValue(name: CounterName): number {
    return this.#counts.get(name) ?? 0;
  }

  /**
   * Renders counters, gauges and histograms in the Prometheus text format.
   *
   * @param gauges current values by name.
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
