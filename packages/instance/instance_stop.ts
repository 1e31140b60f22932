/** The planned stop of an instance, which cuts off no request. */
import type * as claims from "../claims/mod.ts";
import * as core from "../core/mod.ts";
import type * as gateway from "../gateway/mod.ts";
import type * as peers from "../peers/mod.ts";
import type { CallersListener } from "./callers/callers_listener.ts";
import type { PeersExchangeTask } from "./peers/peers_exchange_task.ts";

/** How long callers may keep connections on which no response is owed. */
const CONNECTION_CLOSE_WAIT_MS = 6_000;
/** How long requests may take to respond once they were ended. */
const REQUEST_END_WAIT_MS = 1_000;
const CLAIM_DRAIN_MAX_MS = 5_000;

/** The parts of an instance that a stop concerns, and its time limits. */
export interface PlannedStopOptions {
  readonly logger: core.Logger;
  readonly admission: gateway.GatewayAdmission;
  readonly directory: peers.PeerDirectory;
  readonly exchange: PeersExchangeTask;
  readonly claims: claims.ClaimRunner;
  readonly listener: CallersListener;
  /** Time for which callers may cache the response of `/v1/entries`. */
  readonly entriesMaxAgeMs: number;
  readonly exchangeIntervalMs: number;
  /** Longest time for requests to finish once new ones are rejected. */
  readonly finishMaxMs: number;
}

/**
 * Announces that the instance is leaving, rejects new requests after a grace
 * period, and waits up to `finishMaxMs` for requests in progress, for their
 * responses to be sent, and for calls that outlasted their callers' deadlines.
 * Requests that take longer end with a failure.
 */
export class PlannedStop {
  readonly #options: PlannedStopOptions;

  constructor(options: PlannedStopOptions) {
    this.#options = options;
  }

  /**
   * Runs the stop, up to the end of the last connection.
   *
   * @returns whether all requests finished in time.
   * @example
   * ```ts
   * const idle = await new PlannedStop(options).run();
   * ```
   */
  async run(): Promise<boolean> {
    const { admission, claims, listener, finishMaxMs } = this.#options;
    await this.#leave();
    admission.startRejecting();
    const deadline = new core.Deadline(finishMaxMs);
    const haveFinished = await this.#finishRequests(deadline);
    const haveCallsEnded = await claims.whenIdle(deadline.remainingMs());
    await claims.settler.drain(CLAIM_DRAIN_MAX_MS);
    await listener.close(
      CONNECTION_CLOSE_WAIT_MS,
      Math.max(CONNECTION_CLOSE_WAIT_MS, deadline.remainingMs()),
    );
    return haveFinished && haveCallsEnded;
  }

  /** Leaves the list of entries, and waits until no caller uses an old one. */
  async #leave(): Promise<void> {
    const { logger, admission, directory } = this.#options;
    const { entriesMaxAgeMs, exchangeIntervalMs } = this.#options;
    logger.info("instance_leaving", { inProgress: admission.inProgress });
    admission.markLeaving();
    directory.markSelfLeaving();
    await this.#tellPeers();
    await core.sleep(entriesMaxAgeMs + exchangeIntervalMs * 2);
  }

  /** The peers learn it later, and the stop goes on, if this fails. */
  async #tellPeers(): Promise<void> {
    const { exchange, logger } = this.#options;
    try {
      await exchange.exchangeWithAll();
    } catch (thrown) {
      const detail = core.messageOf(thrown);
      logger.warn("leaving_not_announced", { detail });
    }
  }

  async #finishRequests(deadline: core.Deadline): Promise<boolean> {
    const { admission } = this.#options;
    if (await admission.whenIdle(deadline.remainingMs())) return true;
    admission.endRequests();
    await admission.whenIdle(REQUEST_END_WAIT_MS);
    return false;
  }
}
