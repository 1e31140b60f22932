/** What a relayed request consists of, and what selects its upstreams. */
import type { Buffer } from "node:buffer";
import type { Result } from "neverthrow";
import type * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type { AttemptFailure } from "./relay_attempt.ts";
import type { RequestSender } from "./relay_connections.ts";

/** A request as received, with the route that it matched. */
export interface RelayedRequest {
  readonly caller: fleet.CallerRequest;
  readonly route: fleet.RouteSpec;
  readonly service: core.ServiceName;
  /** Absent if the configuration has no teams, or no key was needed. */
  readonly team?: fleet.TeamSpec;
  /** Version that began the stream, if the request takes one up. */
  readonly softwareVersion?: core.SoftwareVersion;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly receivedAtMs: number;
  /**
   * The earlier of the caller's deadline and the route's timeout, monotonic ms.
   */
  readonly deadlineAtMs: number;
}

/**
 * An upstream selected for one attempt, and callbacks that report the progress
 * of the attempt to the selector. `onEnd` is called exactly once.
 */
export interface UpstreamAssignment {
  readonly upstream: fleet.UpstreamRecord;
  readonly dispatcher: RequestSender;
  /** Inputs of the selection, added to the request's log entry. */
  readonly logFields: core.LogFields;
  /** The first part of a stream is about to be passed to the caller. */
  onStreamStart(nowMs: number): void;
  /** The first event of a stream, or a complete body, has arrived. */
  onFirstEvent(nowMs: number): void;
  /** The response head, or a chunk of a stream, has arrived. */
  onBytesReceived(nowMs: number): void;
  /**
   * The upstream stated that it did not run the request.
   *
   * @param lacksModel whether it stated that it does not hold the model.
   */
  onNotRun(lacksModel: boolean, nowMs: number): void;
  /** Whether the upstream must not get it, by what it said meanwhile. */
  isWithdrawn(): boolean;
  /** The upstream turned a request away, and wants none for a time. */
  onQuiet(quietMs: number, nowMs: number): void;
  /**
   * The upstream named the rate that it takes from all nodes.
   *
   * @param perS requests per second; undefined if it answered and named none.
   */
  onRateLimit(perS: number | undefined, nowMs: number): void;
  /**
   * The upstream stated that it is leaving.
   *
   * @param isPassedOn whether the caller is about to receive that answer.
   */
  onLeaving(isPassedOn: boolean, nowMs: number): void;
  /** A stream ended complete, with this number of chunks, taken as events. */
  onStreamLength(events: number): void;
  /** Mean time between some consecutive chunks of a stream. */
  onEventGap(gapMs: number): void;
  /** The attempt ended without a complete response; called before `onEnd`. */
  onFailure(cause: AttemptFailure["cause"]): void;
  /** This node closed the connection of the attempt, whose answer it drops. */
  onConnectionClosed(reason: string): void;
  /** The attempt has ended. */
  onEnd(outcome: dispatch.UpstreamOutcome | "shed" | "cancelled"): void;
}

/** Why a request is rejected, and when the caller should retry. */
export interface Rejection {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** Ends a request that has not been sent, as the node is overloaded. */
export class ShedError extends Error {
  readonly retryAfterMs: number;

  constructor(message: string, retryAfterMs: number) {
    super(message);
    this.retryAfterMs = retryAfterMs;
  }
}

/** What the earlier attempts of a request left behind. */
export interface AttemptHistory {
  /** Upstreams on which an attempt has failed; avoided if possible. */
  readonly failed: ReadonlySet<core.UpstreamId>;
  /**
   * Whether the caller has received a part of the response, so that it can be
   * continued but no longer rejected.
   */
  readonly hasStarted: boolean;
  /** Whether to select no upstream that seems not to respond. */
  readonly avoidsSuspects: boolean;
  /** The only software version whose upstreams can continue the response. */
  readonly softwareVersion?: core.SoftwareVersion;
}

/** Selects upstreams for requests and accounts for retries. */
export abstract class UpstreamSelector {
  /**
   * Selects an upstream. If none can take the request now, queues it until one
   * can, unless the wait would be too long. A started response is queued until
   * the signal, as its caller decides how long it waits.
   *
   * @param signal aborts the wait in the queue.
   */
  abstract select(
    request: RelayedRequest,
    history: AttemptHistory,
    signal: AbortSignal,
  ): Promise<Result<UpstreamAssignment, Rejection>>;

  /**
   * Selects an upstream that can take the request now and on which it has not
   * failed, and takes a retry from the budget; undefined if either is not
   * possible.
   */
  abstract trySelectRetry(
    request: RelayedRequest,
    history: AttemptHistory,
  ): UpstreamAssignment | undefined;

  /**
   * Takes one retry from the service's retry budget; false if it is exhausted.
   */
  abstract trySpendRetry(service: core.ServiceName): boolean;
}

export interface RelayDependencies {
  readonly dialect: fleet.HttpDialect;
  readonly selector: UpstreamSelector;
  readonly logger: core.Logger;
}
