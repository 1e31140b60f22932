/** Decides at which software version a stream that is taken up may go on. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as origins from "../origins/mod.ts";
import type * as relay from "../relay/mod.ts";
import { MEMBER_TIMEOUT_MS } from "./entry_members.ts";
import type { OriginReader } from "./entry_origin_rows.ts";
import type { EntryState } from "./entry_state.ts";
import { hasGroups } from "./entry_topology.ts";

/** Shortest lookups, in which other nodes tell the origin of a stream. */
interface LookupTimes {
  /** While streams are of several versions. */
  readonly mixedMs: number;
  /** While they are of one version, which the origin must be. */
  readonly singleMs: number;
}

/** Times where all nodes exchange with the root. */
const FLAT_LOOKUP: LookupTimes = { mixedMs: 200, singleMs: 100 };
/**
 * Times where a new origin passes a leader on its way to the root, and another
 * one on its way to the node that asks for it.
 */
const GROUPS_LOOKUP: LookupTimes = { mixedMs: 400, singleMs: 300 };
/**
 * Time after which the store is asked as well. Most origins are told before by
 * the other nodes, and each read takes the whole table.
 */
const STORE_READ_AFTER_MS = 100;
/** Longest lookup, if a node or the store does not answer. */
const LOOKUP_MAX_MS = 800;
const LOOKUP_POLL_MS = 10;
/** Interval between exchanges while streams are looked up. */
const EXCHANGE_INTERVAL_MS = 25;
/** Retry-After while other nodes or the store cannot be asked. */
const NOT_ASKED_RETRY_AFTER_MS = 500;
/** Retry-After of a stream whose origin nobody knows. */
const UNKNOWN_RETRY_AFTER_MS = 60_000;

/**
 * Age of the list of upstreams from which on a node may lack a version. Below
 * the time after which a node without contact takes itself for the only one.
 */
const UPSTREAMS_AGE_MAX_MS = MEMBER_TIMEOUT_MS - 100;
/** Time for which a stream of inferred origin may be taken up again. */
const INFERRED_TTL_MS = 60_000;

/** What is known of a stream's origin, and from where. */
interface Lookup {
  readonly origin?: origins.StreamOrigin;
  readonly source: "memory" | "others" | "onlyVersion" | "unknown" | "notAsked";
}

type StoreRead = "due" | "pending" | "done" | "failed";

/** What the resolver needs of the node's other parts. */
export interface TakeUpSources {
  /** Makes this node exchange with the others soon. */
  readonly wakeExchange: () => void;
  /** When the store last confirmed the list of upstreams to any node. */
  readonly upstreamsConfirmedAtMs: () => number;
}

/** Finds the origins of streams that callers take up. */
export class TakeUpResolver {
  readonly #state: EntryState;
  readonly #reader: OriginReader;
  readonly #sources: TakeUpSources;
  #askedAtMs = -Infinity;

  constructor(
    state: EntryState,
    reader: OriginReader,
    sources: TakeUpSources,
  ) {
    this.#state = state;
    this.#reader = reader;
    this.#sources = sources;
  }

  /**
   * Returns what may continue the stream that a request takes up, or why it is
   * rejected; undefined if the request begins a stream.
   *
   * @param service the service that would serve it if any could.
   * @param signal ends the lookup, as the request is to be rejected.
   */
  async resolve(
    caller: fleet.CallerRequest,
    route: fleet.RouteSpec,
    service: core.ServiceName,
    signal?: AbortSignal,
  ): Promise<Result<origins.StreamOrigin | undefined, relay.Rejection>> {
    if (route.kind !== "stream" || !caller.takenUpStream) return ok(undefined);
    const startedAtMs = core.monotonicMs();
    const { firstRequestId } = caller.takenUpStream;
    const stream = firstRequestId && origins.toStreamKey(firstRequestId);
    const known = stream && this.#state.origins.find(stream, startedAtMs);
    const found: Lookup = known
      ? { origin: known, source: "memory" }
      : await this.#lookUp(stream, service, startedAtMs, signal);
    this.#state.logger.info("take_up", {
      request: caller.requestId,
      stream: firstRequestId,
      source: found.source,
      service: found.origin?.service,
      softwareVersion: found.origin?.softwareVersion,
      tookMs: Math.round(core.monotonicMs() - startedAtMs),
    });
    if (found.origin) return ok(found.origin);
    return err({
      reason: `origin of the stream: ${found.source}`,
      retryAfterMs: found.source === "unknown"
        ? UNKNOWN_RETRY_AFTER_MS
        : NOT_ASKED_RETRY_AFTER_MS,
    });
  }

  async #lookUp(
    stream: core.StreamKey | undefined,
    service: core.ServiceName,
    startedAtMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Lookup> {
    const { origins: known, wantedStreams, members } = this.#state;
    const isMixed =
      this.#state.versionsOfStreams(service, startedAtMs).length > 1;
    const times = hasGroups(members.alive().length)
      ? GROUPS_LOOKUP
      : FLAT_LOOKUP;
    const lookupMs = isMixed ? times.mixedMs : times.singleMs;
    let storeRead: StoreRead = stream && isMixed ? "due" : "done";
    for (;;) {
      const nowMs = core.monotonicMs();
      const origin = stream && known.find(stream, nowMs);
      if (origin) return { origin, source: "others" };
      const hasAsked = this.#state.exchangeStartedAtMs >= startedAtMs;
      const isAnswered = hasAsked && isOver(storeRead);
      if (nowMs - startedAtMs >= (isAnswered ? lookupMs : LOOKUP_MAX_MS)) {
        return hasAsked && storeRead === "done"
          ? this.#inferOrigin(stream, service, nowMs)
          : { source: "notAsked" };
      }
      if (storeRead === "due" && nowMs >= startedAtMs + STORE_READ_AFTER_MS) {
        storeRead = "pending";
        this.#reader.read().then((isRead) => {
          storeRead = isRead ? "done" : "failed";
        });
      }
      if (stream) wantedStreams.add(stream, nowMs);
      this.#askOthers(nowMs);
      await core.sleep(LOOKUP_POLL_MS, signal);
      if (signal?.aborted) return { source: "notAsked" };
    }
  }

  /** Exchanges soon with the other nodes, for all lookups in progress. */
  #askOthers(nowMs: number): void {
    if (nowMs - this.#askedAtMs < EXCHANGE_INTERVAL_MS) return;
    this.#askedAtMs = nowMs;
    this.#sources.wakeExchange();
  }

  /** A stream of unknown origin can only be of the only version, if there is. */
  #inferOrigin(
    stream: core.StreamKey | undefined,
    service: core.ServiceName,
    nowMs: number,
  ): Lookup {
    const [softwareVersion, ...others] = this.#state
      .versionsOfStreams(service, nowMs);
    if (others.length > 0) return { source: "unknown" };
    if (softwareVersion === undefined || !this.#knowsVersions(nowMs)) {
      return { source: "notAsked" };
    }
    const origin = { service, softwareVersion };
    if (stream) {
      const ttlMs = INFERRED_TTL_MS;
      this.#state.origins.record({ stream, ...origin, ttlMs }, nowMs);
    }
    return { origin, source: "onlyVersion" };
  }

  /**
   * Whether this node knows all versions: from the store, or while that is away
   * from most of the nodes.
   */
  #knowsVersions(nowMs: number): boolean {
    const { members } = this.#state;
    const ageMs = nowMs - this.#sources.upstreamsConfirmedAtMs();
    return ageMs < UPSTREAMS_AGE_MAX_MS ||
      members.alive().length * 2 > members.count();
  }
}

function isOver(storeRead: StoreRead): boolean {
  return storeRead === "done" || storeRead === "failed";
}
