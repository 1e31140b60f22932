/** Which upstreams may get a request, by what became of its earlier attempts. */
import * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as relay from "../relay/mod.ts";

/** Versions, and characters of each, in a log line. */
const LOGGED_VERSIONS_MAX = 4;
const LOGGED_VERSION_LENGTH = 16;

/** Upstreams of a service that are left out of a selection. */
type Excluded = ReadonlySet<dispatch.UpstreamState>;

/** Names the upstreams to which a request is not sent. */
export class UpstreamCandidates {
  readonly #upstreams: dispatch.UpstreamRegistry;

  constructor(upstreams: dispatch.UpstreamRegistry) {
    this.#upstreams = upstreams;
  }

  /** Upstreams on which it failed, or that cannot continue its response. */
  exclude(
    service: core.ServiceName,
    { failed, softwareVersion, avoidsSuspects }: relay.AttemptHistory,
  ): Set<dispatch.UpstreamState> {
    const excluded = new Set<dispatch.UpstreamState>();
    const acceptsAll = failed.size === 0 && softwareVersion === undefined;
    if (acceptsAll && !avoidsSuspects) return excluded;
    const nowMs = core.monotonicMs();
    for (const upstream of this.#upstreams.ofService(service)) {
      const { record } = upstream;
      const isExcluded = failed.has(record.id) ||
        !isOfVersion(record, softwareVersion) ||
        (avoidsSuspects && upstream.isSuspect(nowMs));
      if (isExcluded) excluded.add(upstream);
    }
    return excluded;
  }

  /** The same for a request that has to go on without a wait. */
  excludeBusy(
    service: core.ServiceName,
    history: relay.AttemptHistory,
  ): Excluded {
    const excluded = this.exclude(service, history);
    const nowMs = core.monotonicMs();
    for (const upstream of this.#upstreams.ofService(service)) {
      const isFull = upstream.inFlight >= upstream.record.slots;
      if (isFull || upstream.health.isSilent(nowMs)) excluded.add(upstream);
    }
    return excluded;
  }

  /**
   * The same for engines. One on which the request failed may be the only one of
   * its software version that holds the model.
   */
  excludeEngines(
    { service, caller }: relay.RelayedRequest,
    model: core.ModelName,
    history: relay.AttemptHistory,
  ): Excluded {
    const excluded = this.exclude(service, history);
    const { softwareVersion, failed } = history;
    if (softwareVersion === undefined || failed.size === 0) return excluded;
    const nowMs = core.monotonicMs();
    const hasOther = [...this.#upstreams.ofService(service)]
      .some((engine) =>
        !excluded.has(engine) && !engine.isLeaving(nowMs) &&
        engine.canRun(model, caller.adapter, nowMs)
      );
    if (hasOther) return excluded;
    return this.exclude(service, { ...history, failed: new Set() });
  }

  /** When the first upstream that asks for no requests takes some again. */
  quietUntilMs(service: core.ServiceName): number | undefined {
    const nowMs = core.monotonicMs();
    const endsAtMs = [...this.#upstreams.ofService(service)]
      .filter(({ quiet }) => quiet.isActive(nowMs))
      .map(({ quiet }) => quiet.untilMs);
    return endsAtMs.length === 0 ? undefined : Math.min(...endsAtMs);
  }

  /**
   * What is known of the upstreams that could continue a stream, for the log:
   * the number of each software version, and how many of the one that began it
   * leave, are suspect, hold the model and could run the request.
   */
  describeVersion(
    { service, caller }: relay.RelayedRequest,
    softwareVersion: core.SoftwareVersion,
  ): core.LogFields {
    const { model, adapter } = caller;
    const nowMs = core.monotonicMs();
    const upstreams = [...this.#upstreams.ofService(service)];
    const ofVersion = upstreams
      .filter(({ record }) => isOfVersion(record, softwareVersion));
    const count = (holds: (upstream: dispatch.UpstreamState) => boolean) =>
      ofVersion.filter(holds).length;
    return {
      versions: countVersions(upstreams),
      ofVersion: ofVersion.length,
      leaving: count(({ record }) => record.isLeaving),
      suspect: count((upstream) => upstream.isSuspect(nowMs)),
      holding: model === undefined
        ? undefined
        : count(({ replicas }) => replicas.has(model)),
      usable: model === undefined
        ? undefined
        : count((upstream) => upstream.canRun(model, adapter, nowMs)),
    };
  }

  /**
   * Why no upstream can continue a stream that a software version began, however
   * long it waits; undefined if one may. A model that none of them holds is
   * loaded on one while the request is queued.
   */
  whyNotContinued(
    { service }: relay.RelayedRequest,
    softwareVersion: core.SoftwareVersion,
  ): string | undefined {
    const nowMs = core.monotonicMs();
    const isInService = [...this.#upstreams.ofService(service)]
      .some((upstream) =>
        isOfVersion(upstream.record, softwareVersion) &&
        !upstream.isLeaving(nowMs)
      );
    return isInService
      ? undefined
      : `no upstream of software version ${softwareVersion}`;
  }
}

/** Names the most frequent software versions with the number of upstreams. */
function countVersions(upstreams: readonly dispatch.UpstreamState[]): string {
  const counts = new Map<string, number>();
  for (const { record: { softwareVersion = "none" } } of upstreams) {
    counts.set(softwareVersion, (counts.get(softwareVersion) ?? 0) + 1);
  }
  return [...counts].sort(([, a], [, b]) => b - a)
    .slice(0, LOGGED_VERSIONS_MAX)
    .map(([version, count]) =>
      `${version.slice(0, LOGGED_VERSION_LENGTH)}:${count}`
    ).join(",");
}

function isOfVersion(
  record: fleet.UpstreamRecord,
  softwareVersion: core.SoftwareVersion | undefined,
): boolean {
  return softwareVersion === undefined ||
    record.softwareVersion === softwareVersion;
}
