/** Decides at which software version a stream that is taken up may go on. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as origins from "../origins/mod.ts";
import type * as relay from "../relay/mod.ts";
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
 * Time after which the store is asked as well: for origins while streams are of
 * several versions, otherwise for the versions. Most origins are told before by
 * the other nodes.
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
 * Time after the start of a lookup from which on contacts with other nodes count
 * as made during it. What a node was sent while it stood still is read before.
 */
const CONTACT_AFTER_MS = 100;
/** Time for which a stream of inferred origin may be taken up again. */
const INFERRED_TTL_MS = 60_000;

/** What is known of a stream's origin, and from where. */
interface Lookup {
  readonly origin?: origins.StreamOrigin;
  readonly source: "memory" | "others" | "onlyVersion" | "unknown" | "notAsked";
}

type ReadStatus = "pending" | "done" | "failed";

/** The reads of the store that belong to one lookup. */
class LookupReads {
  readonly #status = new Map<"origins" | "versions", ReadStatus>();

  status(what: "origins" | "versions"): ReadStatus | undefined {
    return this.#status.get(what);
  }

  /** What was read and how that ended, for the log. */
  describe(): string | undefined {
    const parts = [...this.#status].map(([what, status]) =>
      `${what}:${status}`
    );
    return parts.length > 0 ? parts.join(",") : undefined;
  }

  /** Starts a read, unless it has been started before. */
  start(what: "origins" | "versions", read: () => Promise<boolean>): void {
    if (this.#status.has(what)) return;
    this.#status.set(what, "pending");
    read().then((isRead) => this.#status.set(what, isRead ? "done" : "failed"));
  }
}

/** One lookup: when it began, its reads, and what ends it. */
interface LookupContext {
  readonly startedAtMs: number;
  readonly reads: LookupReads;
  readonly signal: AbortSignal | undefined;
}

/** What the resolver needs of the node's other parts. */
export interface TakeUpSources {
  /** Makes this node exchange with the others soon. */
  readonly wakeExchange: () => void;
  /**
   * Reads from the store which software versions are in service from now on or
   * earlier; false if it could not be read.
   */
  readonly readVersions: () => Promise<boolean>;
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
    const reads = new LookupReads();
    const found: Lookup = known
      ? { origin: known, source: "memory" }
      : await this.#lookUp(stream, service, { startedAtMs, reads, signal });
    this.#state.logger.info("take_up", {
      request: caller.requestId,
      stream: firstRequestId,
      source: found.source,
      service: found.origin?.service,
      softwareVersion: found.origin?.softwareVersion,
      storeReads: reads.describe(),
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
    { startedAtMs, reads, signal }: LookupContext,
  ): Promise<Lookup> {
    const { origins: known, wantedStreams, members } = this.#state;
    const times = hasGroups(members.alive().length)
      ? GROUPS_LOOKUP
      : FLAT_LOOKUP;
    for (;;) {
      const nowMs = core.monotonicMs();
      const tookMs = nowMs - startedAtMs;
      const origin = stream && known.find(stream, nowMs);
      if (origin) return { origin, source: "others" };
      const isMixed = this.#state.versionsOfStreams(service, nowMs).length > 1;
      const hasAsked = this.#state.exchangeStartedAtMs >= startedAtMs;
      const isLate = tookMs >= LOOKUP_MAX_MS;
      if (isLate || tookMs >= (isMixed ? times.mixedMs : times.singleMs)) {
        const isKnown = isMixed
          ? !stream || reads.status("origins") === "done"
          : this.#knowsVersions(reads.status("versions"), startedAtMs, isLate);
        if (hasAsked && isKnown) {
          return isMixed
            ? { source: "unknown" }
            : this.#inferOrigin(stream, service, nowMs);
        }
        const hasFailed = isMixed && hasAsked &&
          reads.status("origins") === "failed";
        if (isLate || hasFailed) return { source: "notAsked" };
      }
      if (tookMs >= STORE_READ_AFTER_MS) {
        if (!isMixed) reads.start("versions", this.#sources.readVersions);
        else if (stream) reads.start("origins", () => this.#reader.read());
      }
      if (stream) wantedStreams.add(stream, nowMs);
      this.#askOthers(nowMs);
      await core.sleep(LOOKUP_POLL_MS);
      if (signal?.aborted) return { source: "notAsked" };
    }
  }

  /** Exchanges soon with the other nodes, for all lookups in progress. */
  #askOthers(nowMs: number): void {
    if (nowMs - this.#askedAtMs < EXCHANGE_INTERVAL_MS) return;
    this.#askedAtMs = nowMs;
    this.#sources.wakeExchange();
  }

  /** A stream of unknown origin can only be of the only version. */
  #inferOrigin(
    stream: core.StreamKey | undefined,
    service: core.ServiceName,
    nowMs: number,
  ): Lookup {
    const [softwareVersion] = this.#state.versionsOfStreams(service, nowMs);
    if (softwareVersion === undefined) return { source: "notAsked" };
    const origin = { service, softwareVersion };
    if (stream) {
      const ttlMs = INFERRED_TTL_MS;
      this.#state.origins.record({ stream, ...origin, ttlMs }, nowMs);
    }
    return { origin, source: "onlyVersion" };
  }

  /**
   * Whether this node knows all versions that were in service when the lookup
   * began: from the store, or while that is away from most of the nodes. What it
   * knew before does not count: a node that stood still or was cut off does not
   * notice at once, and not by its clock if that stood still as well.
   */
  #knowsVersions(
    read: ReadStatus | undefined,
    startedAtMs: number,
    isLate: boolean,
  ): boolean {
    if (read === "done") return true;
    if (read !== "failed" && !isLate) return false;
    const { members } = this.#state;
    const inContact = members.countInContact(startedAtMs + CONTACT_AFTER_MS);
    return inContact * 2 > members.count();
  }
}
