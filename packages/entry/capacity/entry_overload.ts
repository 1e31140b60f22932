/** Watches this node's load, and sheds requests while it is overloaded. */
import type { Server } from "node:http";
import * as capacity from "../../capacity/mod.ts";
import * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";
import type * as metrics from "../../metrics/mod.ts";
import { CallerBytes, makeLoadSources } from "./entry_load_sources.ts";

/** Interval at which the load is measured. */
const INTERVAL_MS = 100;
const FULL_PERCENT = 100;

/** The process ends if these reach their limit. */
const FATAL_KINDS: ReadonlySet<capacity.LoadKind | undefined> = new Set<
  capacity.LoadKind | undefined
>(["memory", "descriptors"]);

/** What the watch needs of the node's state. */
export interface OverloadNode {
  readonly logger: core.Logger;
  readonly metrics: metrics.MetricsRecorder;
}

/** A request that can be shed until it is sent to an upstream. */
export interface WaitingRequest {
  readonly receivedAtMs: number;
  /** Whether it was sent, or continues what was begun. */
  readonly isBegun: () => boolean;
  readonly shed: (retryAfterMs: number) => void;
}

/** Whether this node is overloaded, and what follows from that. */
export class OverloadWatch {
  readonly #node: OverloadNode;
  readonly #callerBytes = new CallerBytes();
  readonly #limit = new capacity.AdmissionLimit();
  readonly #weight = new capacity.AdvertisedWeight();
  readonly #waiting = new Set<WaitingRequest>();
  #sources: capacity.LoadSource[];
  #peak: capacity.LoadPeak = { kind: undefined, pressure: 0 };
  #limitedSinceMs: number | undefined;
  #shed = 0;
  /** Requests in progress; without those that were shed at once. */
  readonly #begun = new Set<object>();

  constructor(node: OverloadNode, machine: fleet.MachineSpec | undefined) {
    this.#node = node;
    this.#sources = makeLoadSources(machine, this.#callerBytes, INTERVAL_MS);
  }

  /** Replaces the source of a kind, or adds one. */
  setSource(source: capacity.LoadSource): void {
    const others = this.#sources.filter(({ kind }) => kind !== source.kind);
    this.#sources = [...others, source];
  }

  /** Counts the bytes to the callers of a listener. */
  trackLink(server: Server): void {
    this.#callerBytes.track(server);
  }

  /** Starts measuring; the returned cleanup stops it. */
  start(): core.Cleanup {
    const timer = setInterval(
      () => this.update(core.monotonicMs()),
      INTERVAL_MS,
    );
    timer.unref();
    return () => clearInterval(timer);
  }

  /** Percent by which the weight of this node is reduced. */
  get weightReduction(): number {
    return FULL_PERCENT - this.#weight.percent;
  }

  /** Time after which a caller that was shed should try again. */
  get retryAfterMs(): number {
    return this.#limit.retryAfterMs(core.monotonicMs());
  }

  /** Measures the load once. */
  update(nowMs: number): void {
    const peak = this.#peak = capacity.findPeak(this.#sources, nowMs);
    const isFatal = FATAL_KINDS.has(peak.kind);
    this.#limit.update(peak.pressure, this.#begun.size, nowMs, isFatal);
    if (peak.pressure >= 1) {
      this.#shedWaiting(this.#limit.excess(this.#begun.size));
    }
    const isOverloaded = this.#limit.isOverloaded(nowMs);
    this.#logState(nowMs);
    if (!this.#weight.update(isOverloaded, nowMs)) return;
    this.#node.metrics.increment("weight_changes");
    this.#node.logger.info("weight_advertised", {
      percent: this.#weight.percent,
      cause: peak.kind,
    });
  }

  /**
   * Whether a request may be begun; false if it is shed. To be asked when its
   * head was read, and again before it is relayed.
   *
   * @param request identifies it, until `end` is called with the same.
   * @param isContinued whether it continues what was begun, and is not shed.
   */
  mayBegin(request: object, isContinued: boolean): boolean {
    const nowMs = core.monotonicMs();
    const inProgress = this.#begun.size;
    const isAdmitted = isContinued ||
      (this.#begun.has(request)
        ? !this.#limit.mustShed(inProgress, nowMs)
        : this.#limit.tryAdmit(inProgress, nowMs));
    if (isAdmitted) this.#begun.add(request);
    else {
      this.#begun.delete(request);
      this.#noteShed();
    }
    return isAdmitted;
  }

  /** Notes that a request has ended, if it was begun. */
  end(request: object): void {
    this.#begun.delete(request);
  }

  #noteShed(): void {
    this.#shed++;
    this.#node.metrics.increment("requests_shed");
  }

  /** Adds a request that waits, or has been sent; the returned function removes it. */
  addWaiting(request: WaitingRequest): () => void {
    this.#waiting.add(request);
    return () => {
      this.#waiting.delete(request);
    };
  }

  /** Current values for the metrics. */
  gauges(): Record<string, number> {
    const { limit } = this.#limit;
    return {
      load_pressure: Number(this.#peak.pressure.toFixed(3)),
      advertised_weight_percent: this.#weight.percent,
      requests_limit: Number.isFinite(limit) ? Math.floor(limit) : 0,
    };
  }

  /** Sheds the requests that came last, of those not sent to an upstream. */
  #shedWaiting(count: number): void {
    if (count === 0 || this.#waiting.size === 0) return;
    const { retryAfterMs } = this;
    const newest = [...this.#waiting]
      .filter(({ isBegun }) => !isBegun())
      .sort((a, b) => b.receivedAtMs - a.receivedAtMs)
      .slice(0, count);
    for (const request of newest) {
      this.#waiting.delete(request);
      this.#noteShed();
      request.shed(retryAfterMs);
    }
  }

  /** Logs one line when requests are first limited, and one when no longer. */
  #logState(nowMs: number): void {
    const sinceMs = this.#limitedSinceMs;
    const isLimited = Number.isFinite(this.#limit.limit);
    if (isLimited === (sinceMs !== undefined)) return;
    const { logger } = this.#node;
    if (sinceMs === undefined) {
      this.#limitedSinceMs = nowMs;
      this.#shed = 0;
      logger.warn("overload_began", {
        cause: this.#peak.kind,
        pressure: this.#peak.pressure.toFixed(2),
        requests: this.#begun.size,
        limit: Math.floor(this.#limit.limit),
      });
    } else {
      this.#limitedSinceMs = undefined;
      logger.info("overload_ended", {
        tookMs: Math.round(nowMs - sinceMs),
        shed: this.#shed,
        requests: this.#begun.size,
      });
    }
  }
}
